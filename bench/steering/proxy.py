"""A loopback proxy for TCP connections that delays, resets, silences or cuts them one way."""

from __future__ import annotations

import asyncio
from enum import Enum

from bench.steering.listening import TcpStandIn

READ_BYTES = 64 * 1024
DELAY_S = 0.3


class LinkFault(Enum):
    """What the proxy does to the connections that pass through it."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"


class FaultyLink(TcpStandIn):
    """Passes connections on to ``target``; a fault takes hold of open ones too."""

    def __init__(self, target: tuple[str, int]) -> None:
        super().__init__()
        self._target = target
        self._fault = LinkFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def fault(self) -> LinkFault:
        """The fault in force."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        self._fault = fault
        if fault is LinkFault.RESET:
            for writer in self._writers:
                writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        super()._accept(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, is_answer=False),
                self._pass(far_reader, writer, is_answer=True),
            )
        except OSError:
            pass
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_S)
            if self._fault is LinkFault.SILENCE:
                continue
            if self._fault is LinkFault.CUT_ANSWERS and is_answer:
                continue
            writer.write(data)
            await writer.drain()
        writer.write_eof()
