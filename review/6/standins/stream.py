"""A client that keeps each flow open for several requests, with pauses between them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from standins.client import (
    ATTEMPT_LIMIT_S,
    COPIES_AT_S,
    FIRST_PORT,
    FIRST_SEQ,
    REQUEST,
    RETRANSMIT_S,
)
from standins.packet import ACK, FIN, RST, SYN, Address, Packet, decode, encode
from standins.udp import Udp

MAX_RETRANSMIT_S = 1.6
BUDGET_S = 5.0


class Reset(NamedTuple):
    """A reset that a client got on a flow, and the address that sent it."""

    flow: Address
    sender: str
    was_open: bool
    at: float


class StreamClient:
    """Opens long flows to one route; ``pick`` returns the host for a packet of a flow.

    With ``takes_any_echo`` a flow's packets carry the last ``echo`` of all packets received on
    it, as the page says word for word; otherwise only of packets that it accepts.
    """

    def __init__(
        self,
        address: Address,
        route: Address,
        pick: Callable[[Address, Address], Address],
        *,
        takes_any_echo: bool,
    ) -> None:
        self.resets: list[Reset] = []
        self.outcomes: list[str] = []
        self.ip = address[0]
        self.route = route
        self.takes_any_echo = takes_any_echo
        self.clock = asyncio.get_running_loop().time
        self._pick = pick
        self._next_port = FIRST_PORT
        self._streams: dict[int, _Stream] = {}
        self._udp = Udp(address, self._on_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._udp.close()

    async def stream(self, requests: int, pause_s: float) -> bool:
        """Open a flow and send requests on it; return whether all were answered."""
        self._next_port += 1
        stream = self._streams[self._next_port] = _Stream(self, (self.ip, self._next_port))
        outcome = await stream.run(requests, pause_s)
        del self._streams[stream.flow[1]]
        ip, port = stream.flow
        self.outcomes.append(f"flow={ip}:{port} outcome={outcome} answered={stream.answered}")
        return outcome == "answered"

    def send(self, packet: Packet) -> None:
        """Send a packet through the routers."""
        self._udp.send(encode(packet), self._pick(packet.src, packet.dst))

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        packet = decode(datagram)
        stream = self._streams.get(packet.dst[1])
        if stream is None or packet.src != self.route:
            return
        if packet.flags & RST:
            self.resets.append(Reset(stream.flow, source[0], stream.is_open, self.clock()))
        stream.receive(packet)


class _Stream:
    """One flow of a client, with at most one request in flight."""

    def __init__(self, client: StreamClient, flow: Address) -> None:
        self.flow = flow
        self.is_open = False
        self.answered = 0
        self._client = client
        self._seq = FIRST_SEQ
        self._ack = 0
        self._echo = 0
        self._was_reset = False
        self._has_response = False
        self._received = asyncio.Event()

    async def run(self, requests: int, pause_s: float) -> str:
        if not await self._open():
            return "refused" if self._was_reset else "unopened"
        for _ in range(requests):
            if not await self._ask():
                return "reset" if self._was_reset else "timeout"
            self.answered += 1
            await asyncio.sleep(pause_s)
        self._send(FIN | ACK)
        return "answered"

    def receive(self, packet: Packet) -> None:
        accepted = False
        if packet.flags & RST:
            self._was_reset = True
        elif packet.flags & SYN and not self.is_open:
            accepted = self.is_open = True
            self._ack = packet.seq + 1
            self._seq += 1
        elif packet.data and packet.seq == self._ack:
            accepted = self._has_response = True
            self._ack += len(packet.data)
        if accepted or (self._client.takes_any_echo and not packet.flags & RST):
            self._echo = packet.echo
        self._received.set()

    async def _open(self) -> bool:
        began_at = self._client.clock()
        for copy, until_s in enumerate((*COPIES_AT_S, ATTEMPT_LIMIT_S)):
            packet = Packet(SYN, self.flow, self._client.route, self._seq, copy)
            self._client.send(packet)
            if await self._wait(began_at + until_s, lambda: self.is_open):
                return self.is_open
        return False

    async def _ask(self) -> bool:
        self._has_response = False
        ends_at = self._client.clock() + BUDGET_S
        interval_s = RETRANSMIT_S
        while self._client.clock() < ends_at and not self._was_reset:
            self._send(ACK, REQUEST)
            if await self._wait(self._client.clock() + interval_s, lambda: self._has_response):
                break
            interval_s = min(2.0 * interval_s, MAX_RETRANSMIT_S)
        self._seq += len(REQUEST)
        if self._has_response:
            self._send(ACK)
        return self._has_response

    def _send(self, flags: int, data: bytes = b"") -> None:
        client = self._client
        client.send(Packet(flags, self.flow, client.route, self._seq, self._ack, self._echo, data))

    async def _wait(self, until: float, is_done: Callable[[], bool]) -> bool:
        """Wait until something is done or the flow is reset; return False at the time limit."""
        while not (is_done() or self._was_reset):
            self._received.clear()
            try:
                async with asyncio.timeout_at(until):
                    await self._received.wait()
            except TimeoutError:
                return False
        return True
