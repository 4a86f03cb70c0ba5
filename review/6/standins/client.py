"""A client: sends requests, each on a flow of its own, and retries after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from standins.packet import ACK, FIN, RST, SYN, Address, Packet, decode, encode
from standins.udp import Udp

COPIES_AT_S = (0.2, 0.6)
ATTEMPT_LIMIT_S = 1.4
BUDGET_S = 1.2
RETRIES = 2
RETRY_PAUSE_S = 0.05
RETRANSMIT_S = 0.2
FIRST_PORT = 1_024
MAX_PORT = 60_000
FIRST_SEQ = 1_000
SEQ_STEP = 100_000
"""Distance between the first numbers of two flows, so that a port used again has later ones."""

FIN_TRIES = 3
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Attempt(NamedTuple):
    """One attempt of a request; ``outcome`` is ``answered``, ``reset`` or ``timeout``."""

    flow: Address
    sent_at: float
    ended_at: float
    outcome: str


class Client:
    """Sends safe requests to one route; ``pick`` returns the host for a packet of a flow."""

    def __init__(
        self, address: Address, route: Address, pick: Callable[[Address, Address], Address]
    ) -> None:
        self.attempts: list[Attempt] = []
        self.syn_sent_at: dict[Address, list[float]] = {}
        self._ip = address[0]
        self._route = route
        self._pick = pick
        self._clock = asyncio.get_running_loop().time
        self._next_port = FIRST_PORT
        self._first_seq = FIRST_SEQ
        self._inbox: dict[int, asyncio.Queue[Packet]] = {}
        self._udp = Udp(address, self._on_datagram)

    def close(self) -> None:
        """Close the socket."""
        self._udp.close()

    async def request(self, port: int | None = None) -> bool:
        """Send one request with its retries; return whether it was answered.

        The first try comes from ``port`` if it is given; all others come from new ports.
        """
        ends_at = self._clock() + BUDGET_S
        for _ in range(1 + RETRIES):
            flow = self._new_flow() if port is None else (self._ip, port)
            port = None
            outcome = await self._attempt(flow, ends_at)
            if outcome == "answered":
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
            if self._clock() >= ends_at:
                break
        return False

    async def _attempt(self, flow: Address, ends_at: float) -> str:
        sent_at = self._clock()
        inbox = self._inbox[flow[1]] = asyncio.Queue()
        try:
            outcome = await self._open_and_ask(flow, inbox, ends_at)
        finally:
            del self._inbox[flow[1]]
        self.attempts.append(Attempt(flow, sent_at, self._clock(), outcome))
        return outcome

    async def _open_and_ask(
        self, flow: Address, inbox: asyncio.Queue[Packet], ends_at: float
    ) -> str:
        self._first_seq += SEQ_STEP
        first_seq = self._first_seq
        opened = await self._open(flow, inbox, first_seq)
        if isinstance(opened, str):
            return opened
        ack, echo = opened.seq + 1, opened.echo
        while self._clock() < ends_at:
            self._send(Packet(ACK, flow, self._route, first_seq + 1, ack, echo, REQUEST))
            packet = await _next(inbox, RETRANSMIT_S)
            while packet is not None and not packet.data and not packet.flags & RST:
                packet = await _next(inbox, RETRANSMIT_S)
            if packet is None:
                continue
            if packet.flags & RST:
                return "reset"
            last = Packet(
                FIN | ACK,
                flow,
                self._route,
                first_seq + 1 + len(REQUEST),
                packet.seq + len(packet.data),
                packet.echo,
            )
            await self._close_flow(last, inbox)
            return "answered"
        return "timeout"

    async def _close_flow(self, fin: Packet, inbox: asyncio.Queue[Packet]) -> None:
        """Send a FIN until the target has sent its own, and acknowledge that."""
        for _ in range(FIN_TRIES):
            self._send(fin)
            packet = await _next(inbox, RETRANSMIT_S)
            while packet is not None and not packet.flags & (FIN | RST):
                packet = await _next(inbox, RETRANSMIT_S)
            if packet is not None:
                if packet.flags & FIN:
                    self._send(fin._replace(flags=ACK, seq=fin.seq + 1, ack=packet.seq + 1))
                return

    async def _open(
        self, flow: Address, inbox: asyncio.Queue[Packet], first_seq: int
    ) -> Packet | str:
        """Send the opening packet and its copies; return the SYN+ACK, or the outcome."""
        began_at = self._clock()
        for copy, until_s in enumerate((*COPIES_AT_S, ATTEMPT_LIMIT_S)):
            if not copy:
                self.syn_sent_at.setdefault(flow, []).append(self._clock())
            self._send(Packet(SYN, flow, self._route, first_seq, copy))
            packet = await _next(inbox, began_at + until_s - self._clock())
            if packet is not None:
                return "reset" if packet.flags & RST else packet
        return "timeout"

    def _new_flow(self) -> Address:
        self._next_port += 1
        if self._next_port > MAX_PORT:
            raise RuntimeError("out of ports")
        return self._ip, self._next_port

    def _send(self, packet: Packet) -> None:
        self._udp.send(encode(packet), self._pick(packet.src, packet.dst))

    def _on_datagram(self, datagram: bytes, _source: Address) -> None:
        packet = decode(datagram)
        inbox = self._inbox.get(packet.dst[1])
        if inbox is not None and packet.src == self._route:
            inbox.put_nowait(packet)


async def _next(inbox: asyncio.Queue[Packet], timeout_s: float) -> Packet | None:
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return await inbox.get()
    except TimeoutError:
        return None
