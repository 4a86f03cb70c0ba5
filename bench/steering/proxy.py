"""A TCP proxy that injects faults: it delays, resets or drops traffic, or drops responses only."""

from __future__ import annotations

import asyncio
from enum import Enum

from bench.steering.listening import TcpStandIn

READ_BYTES = 64 * 1024
DELAY_S = 0.3


class ProxyFault(Enum):
    """Faults that the proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    DROP_ALL = "drop_all"
    DROP_RESPONSES = "drop_responses"


class FaultProxy(TcpStandIn):
    """Forwards connections to ``target``; a fault affects open connections too."""

    def __init__(self, target: tuple[str, int]) -> None:
        super().__init__()
        self._target = target
        self._fault = ProxyFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def fault(self) -> ProxyFault:
        """The fault that is being injected."""
        return self._fault

    @fault.setter
    def fault(self, fault: ProxyFault) -> None:
        self._fault = fault
        if fault is ProxyFault.RESET:
            for writer in self._writers:
                writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fault is ProxyFault.RESET:
            writer.transport.abort()
            return
        super()._accept(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
        except OSError:
            pass
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._fault is ProxyFault.DELAY:
                await asyncio.sleep(DELAY_S)
            if self._fault is ProxyFault.DROP_ALL:
                continue
            if self._fault is ProxyFault.DROP_RESPONSES and is_response:
                continue
            writer.write(data)
            await writer.drain()
        writer.write_eof()
