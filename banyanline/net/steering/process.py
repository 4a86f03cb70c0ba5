"""One balancer on the operators' platform: sockets, timers and the life of the process."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter, deque
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.outcomes import Drop, DropReason, Forward, Reset
from banyanline.core.steering.steering import Steering
from banyanline.core.types import Endpoint
from banyanline.net.datagram import DatagramSocket
from banyanline.net.pages import PageResponse, PageServer
from banyanline.net.steering.feed import StoreFeed
from banyanline.platform.packets import (
    MAX_PACKET_BYTES,
    MalformedPacket,
    caller_ip,
    decode_packet,
    describe_endpoint,
    for_upstream,
    reset_for,
)
from banyanline.platform.store import StoreClient

if TYPE_CHECKING:
    from collections.abc import Sequence
    from enum import StrEnum

    from banyanline.core.steering.packet import CallerPacket
    from banyanline.net.datagram import SocketAddress
    from banyanline.platform.boot import HostSettings

READY_TARGET = "/readiness"
TICK_S = 1.0
STOP_AFTER_S = 3.5
"""How long a process goes on serving after SIGTERM: routers notice within 1.5 s."""

MAX_HELD_PACKETS = 2_000
HELD_LIFETIME_S = 1.0

log = structlog.get_logger()


class SteeringProcess:
    """Runs the decisions of :class:`Steering` on real sockets."""

    def __init__(self, settings: HostSettings, rng: random.Random) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._steering = Steering(settings.data_centre, rng)
        self._client = StoreClient(settings.store)
        self._feed = StoreFeed(
            self._client,
            self._steering,
            self._loop.time,
            rng,
            settings.contact_s,
            self._release_held,
        )
        self._pages = PageServer(settings.readiness, self._respond)
        self._held: deque[tuple[bytes, CallerPacket, float]] = deque(maxlen=MAX_HELD_PACKETS)
        self._outcomes: Counter[StrEnum] = Counter()
        self._stopping = False
        self._socket: DatagramSocket | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets here."""
        return self._steering.is_configured and not self._stopping

    async def start(self) -> None:
        """Bind the sockets and begin to read the platform; raises OSError."""
        self._socket = DatagramSocket(
            self._loop, self._settings.packets, self._on_datagram, max_bytes=MAX_PACKET_BYTES + 1
        )
        self._tasks = [
            asyncio.create_task(self._feed.run()),
            asyncio.create_task(self._tick()),
        ]
        await self._pages.start()

    async def stop(self) -> None:
        """Leave the rotation, serve until routers have noticed, and end."""
        self._stopping = True
        await asyncio.sleep(STOP_AFTER_S)
        for task in self._tasks:
            task.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._steering.on_tick(self._loop.time())

    def _respond(self, target: str, _accepts: Sequence[str]) -> PageResponse:
        if target != READY_TARGET:
            return PageResponse(404, b"no such page\n")
        return PageResponse(200, b"ok\n") if self.is_ready else PageResponse(503, b"not ready\n")

    def _on_datagram(self, data: bytes, _address: SocketAddress) -> None:
        packet = decode_packet(data)
        if isinstance(packet, MalformedPacket):
            self._outcomes[DropReason.MALFORMED] += 1
            log.warning("packet_malformed", detail=packet.detail)
            return
        self._steer(data, packet, self._loop.time())

    def _steer(self, data: bytes, packet: CallerPacket, now: float) -> None:
        outcome = self._steering.on_packet(packet, now)
        assert self._socket is not None
        if isinstance(outcome, Forward):
            entry = outcome.upstream.entry
            self._socket.send(for_upstream(data, entry.wire_id, entry.cookie), entry.endpoint)
            if packet.opens_flow:
                self._log_outcome("flow_placed", packet, upstream=entry.name)
        elif isinstance(outcome, Reset):
            self._outcomes[outcome.reason] += 1
            caller = Endpoint(caller_ip(packet), self._settings.packets.port)
            self._socket.send(reset_for(packet), caller)
            self._log_outcome("flow_reset", packet, reason=outcome.reason.value)
        elif isinstance(outcome, Drop):
            self._outcomes[outcome.reason] += 1
            self._log_outcome("packet_dropped", packet, reason=outcome.reason.value)
        else:
            self._held.append((data, packet, now))

    def _log_outcome(self, event: str, packet: CallerPacket, **fields: object) -> None:
        log.info(
            event,
            flow=describe_endpoint(packet.flow[:6]),
            to=describe_endpoint(packet.destination),
            copy=packet.ack if packet.opens_flow else None,
            version=self._steering.version,
            **fields,
        )

    def _release_held(self) -> None:
        """Steer what came before there was a configuration."""
        if not (self._held and self._steering.is_configured):
            return
        now = self._loop.time()
        held, self._held = self._held, deque(maxlen=MAX_HELD_PACKETS)
        for data, packet, came_at in held:
            if now - came_at < HELD_LIFETIME_S:
                self._steer(data, packet, now)


async def serve(settings: HostSettings) -> None:
    """Run a balancer until it is told to stop."""
    process = SteeringProcess(settings, random.Random())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info("reload"))
    await process.start()
    log.info("started", host=settings.host, data_centre=settings.data_centre)
    await stop.wait()
    log.info("stopping")
    await process.stop()
    log.info("stopped")
