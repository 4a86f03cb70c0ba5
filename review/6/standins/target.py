"""A target: takes flows over UDP, runs their requests, and registers itself in the store."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from standins.packet import ACK, FIN, RST, SYN, Address, Packet, decode, encode, is_genuine
from standins.store import Store
from standins.udp import Udp

HEARTBEAT_S = 1.2
SLOTS = 2
MAX_QUEUED = 8
WORK_S = 0.022
COLD_WORK_FACTOR = 1.6
BODY_BYTES = 600
ID_BYTES = 8

_FIRST_SEQUENCES = itertools.count(50_000, 1_000_003)


class Opening(NamedTuple):
    """An opening packet that a target took, once for each flow."""

    target: str
    flow: Address
    at: float
    was_cold: bool


class Refusal(NamedTuple):
    """A reset that a target sent; ``host`` is the address that the packet came from."""

    target: str
    flow: Address
    host: str
    at: float


class _Flow:
    """A flow: numbers of the next bytes in each direction, and the latest response."""

    def __init__(self, first_seq: int) -> None:
        self.next_seq = first_seq + 1
        self.expected_seq: int | None = None
        self.is_open = False
        self.is_running = False
        self.response = b""


class Target:
    """One lifetime of a target; ``on_opening`` gets each flow whose opening packet it took."""

    def __init__(
        self,
        name: str,
        address: Address,
        service: str,
        zone: str,
        store: Store,
        on_opening: Callable[[Opening], None],
        *,
        cold_s: float = 0.0,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.address = address
        self.altered = 0
        self.runs: list[Address] = []
        self.opened: dict[Address, float] = {}
        self.refusals: list[Refusal] = []
        self._number = int(name.rpartition("-")[2], 16)
        self.zone = zone
        self._service = service
        self._store = store
        self._on_opening = on_opening
        self._clock = loop.time
        self._cold_until = self._clock() + cold_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._written: tuple[str, int] | None = None
        self._flows: dict[Address, _Flow] = {}
        self._ended: set[Address] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._pending = 0
        self._udp = Udp(address, self._on_datagram)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_cold(self) -> bool:
        """Whether the target bears only the cold rate."""
        return self._clock() < self._cold_until

    async def start(self) -> None:
        """Listen for health checks, register, and write a heartbeat every ``HEARTBEAT_S``."""
        self._server = await asyncio.start_server(self._serve_health, *self.address)
        self._spawn(self._beat())

    def close(self) -> None:
        """Close the sockets and stop all tasks."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        self._udp.close()

    async def _beat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _write_entry(self) -> None:
        """Write the entry if more than its sequence number has changed, and the store is up."""
        self._sequence += 1
        if self._store.is_down:
            return
        cold_ms = max(0, int(1000 * (self._cold_until - self._clock())))
        if self._written == ("ready", cold_ms):
            return
        self._written = ("ready", cold_ms)
        ip, port = self.address
        entry = {
            "service": self._service,
            "address": f"{ip}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": cold_ms,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put(f"servers/{self.name}", entry)

    async def _serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        number = int.from_bytes(datagram[:ID_BYTES], "big")
        if number not in (0, self._number):
            return
        packet = decode(datagram[ID_BYTES:])
        if not is_genuine(packet):
            self.altered += 1
        flow = self._flows.get(packet.src)
        if packet.flags & SYN:
            self._on_syn(packet, flow)
        elif flow is None:
            self._on_unknown_flow(packet, source)
        elif packet.flags & RST:
            self._end(packet)
        elif not flow.is_open and packet.ack != flow.next_seq:
            # The end of a handshake with another target.
            self._end(packet)
            self._refuse(packet, source)
        elif packet.flags & FIN:
            self._end(packet)
            self._reply(packet, FIN | ACK, packet.ack)
        else:
            self._on_data(flow, packet)

    def _end(self, packet: Packet) -> None:
        del self._flows[packet.src]
        self._ended.add(packet.src)

    def _on_unknown_flow(self, packet: Packet, source: Address) -> None:
        """Answer a packet of a flow that has ended here, or that was never open here."""
        if packet.flags & RST:
            return
        if packet.src not in self._ended or packet.data:
            self._refuse(packet, source)
        elif packet.flags & FIN:
            self._reply(packet, ACK, packet.ack)

    def _refuse(self, packet: Packet, source: Address) -> None:
        self.refusals.append(Refusal(self.name, packet.src, source[0], self._clock()))
        self._reply(packet, RST, packet.ack)

    def _on_syn(self, packet: Packet, flow: _Flow | None) -> None:
        if flow is None:
            self._ended.discard(packet.src)
            flow = self._flows[packet.src] = _Flow(next(_FIRST_SEQUENCES) % (1 << 31))
            self._on_opening(Opening(self.name, packet.src, self._clock(), self.is_cold))
        if not flow.is_open:
            self._reply(packet, SYN | ACK, flow.next_seq - 1)

    def _on_data(self, flow: _Flow, packet: Packet) -> None:
        if not flow.is_open:
            flow.is_open = True
            self.opened[packet.src] = self._clock()
        if not packet.data:
            return
        if flow.expected_seq is not None and packet.seq < flow.expected_seq:
            if flow.response and not flow.is_running:
                self._reply(packet, ACK, flow.next_seq - len(flow.response), flow.response)
        elif self._pending < SLOTS + MAX_QUEUED:
            flow.is_running = True
            flow.expected_seq = packet.seq + len(packet.data)
            self._pending += 1
            self._spawn(self._run(flow, packet))

    async def _run(self, flow: _Flow, packet: Packet) -> None:
        async with self._slots:
            self.runs.append(packet.src)
            await asyncio.sleep(WORK_S * (COLD_WORK_FACTOR if self.is_cold else 1.0))
        self._pending -= 1
        flow.is_running = False
        flow.response = self.name.encode().ljust(BODY_BYTES, b".")
        self._reply(packet, ACK, flow.next_seq, flow.response)
        flow.next_seq += BODY_BYTES

    def _reply(self, packet: Packet, flags: int, seq: int, data: bytes = b"") -> None:
        ack = packet.seq + len(packet.data) + bool(packet.flags & (SYN | FIN))
        reply = Packet(flags, packet.dst, packet.src, seq, ack, packet.echo, data)
        self._udp.send(encode(reply), (packet.src[0], CLIENT_PORT))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


CLIENT_PORT = 8172
"""The port at which clients receive packets: that of ``datagram_address``."""
