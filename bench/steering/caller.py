"""A caller that opens packet flows and chooses the host of each packet, as a router would."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TypeAlias

from bench.standins.sockets import Address, UdpSocket
from bench.steering.segments import Flag, Segment, decode, encode

OPENING_RETRANSMITS_AT_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
INITIAL_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6

PickHost: TypeAlias = Callable[[], Address]
"""Returns the host that gets the next packet."""


class FlowRefusedError(Exception):
    """A reset (RST) was received on the flow."""


def _as_host_picker(host: Address | PickHost) -> PickHost:
    if callable(host):
        return host
    fixed = host
    return lambda: fixed


class PacketCaller:
    """Opens flows from one address to one service address."""

    def __init__(self, address: Address, service: Address) -> None:
        self.ip = address[0]
        self.service = service
        self._ports = itertools.count(20_000)
        self._flows: dict[int, PacketFlow] = {}
        self._socket = UdpSocket(address, self._on_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def open(self, host: Address | PickHost) -> PacketFlow:
        """Open a flow through a host; raises FlowRefusedError or TimeoutError."""
        port = next(self._ports)
        flow = self._flows[port] = PacketFlow(self, port, self._socket)
        await flow.open(_as_host_picker(host))
        return flow

    def _on_datagram(self, data: bytes, _source: Address) -> None:
        segment = decode(data)
        flow = self._flows.get(segment.dst[1])
        if flow is not None and segment.src == self.service:
            flow.receive(segment)


class PacketFlow:
    """One flow of a caller, with at most one request in flight."""

    def __init__(self, caller: PacketCaller, port: int, socket: UdpSocket) -> None:
        self._caller = caller
        self._port = port
        self._socket = socket
        self._seq = 1_000
        self._ack = 0
        self._echo = 0
        self._is_open = False
        self._was_reset = False
        self._body = b""
        self._received = asyncio.Event()

    @property
    def port(self) -> int:
        """The caller's port of this flow."""
        return self._port

    @property
    def echo(self) -> int:
        """The cookie that names the flow's upstream, as last received from it."""
        return self._echo

    async def open(self, pick: PickHost) -> None:
        """Send the opening packet and its retransmissions until the upstream responds.

        Raises FlowRefusedError or TimeoutError.
        """
        deadlines_s = [*OPENING_RETRANSMITS_AT_S, OPEN_TIMEOUT_S]
        sent_at_s = 0.0
        for attempt, until_s in enumerate(deadlines_s):
            self._send(pick(), Flag.SYN, ack=attempt)
            if await self._wait(until_s - sent_at_s):
                return
            sent_at_s = until_s
        raise TimeoutError

    async def request(
        self, data: bytes, *hosts: Address | PickHost, timeout_s: float = 5.0
    ) -> bytes:
        """Send data to the first host, retransmit it to the others in turn; return the response.

        Raises FlowRefusedError or TimeoutError.
        """
        self._body = b""
        self._received.clear()
        pickers = itertools.cycle([_as_host_picker(host) for host in hosts])
        interval_s = INITIAL_RETRANSMIT_S
        async with asyncio.timeout(timeout_s):
            while not self._body:
                self._send(next(pickers)(), Flag.ACK, data=data)
                await self._wait(interval_s)
                interval_s = min(2 * interval_s, MAX_RETRANSMIT_S)
        self._seq += len(data)
        return self._body

    def close(self, host: Address) -> None:
        """Close the flow with a FIN."""
        self._send(host, Flag.FIN | Flag.ACK)

    def receive(self, segment: Segment) -> None:
        """Process a packet from the service."""
        if segment.flags & Flag.RST:
            self._was_reset = True
        elif segment.flags & Flag.SYN and not self._is_open:
            self._is_open = True
            self._echo = segment.echo
            self._seq += 1
            self._ack = segment.seq + 1
        elif segment.data and segment.seq == self._ack:
            self._ack += len(segment.data)
            self._echo = segment.echo
            self._body = segment.data
        self._received.set()

    async def _wait(self, timeout_s: float) -> bool:
        """Return whether a packet arrived in time; raises FlowRefusedError after a reset."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._received.wait()
        except TimeoutError:
            return False
        self._received.clear()
        if self._was_reset:
            raise FlowRefusedError
        return True

    def _send(
        self, host: Address, flags: Flag, *, ack: int | None = None, data: bytes = b""
    ) -> None:
        source = (self._caller.ip, self._port)
        ack_number = self._ack if ack is None else ack
        segment = Segment(
            flags, source, self._caller.service, self._seq, ack_number, self._echo, data
        )
        self._socket.send(encode(segment), host)
