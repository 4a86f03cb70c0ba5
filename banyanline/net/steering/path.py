"""The way of callers' packets through a host: read, decided, sent on."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyanline.core.steering.outcomes import Drop, DropReason, Forward, Reset
from banyanline.core.types import Endpoint
from banyanline.net.steering.checks import Checker
from banyanline.platform.packets import (
    MAX_PACKET_BYTES,
    MalformedPacket,
    caller_ip,
    decode_packet,
    describe_endpoint,
    for_upstream,
    reset_for,
)
from banyanline.transport.datagram import DatagramSocket

if TYPE_CHECKING:
    import asyncio
    import socket

    from banyanline.core.steering.packet import CallerPacket
    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Seconds
    from banyanline.transport.datagram import SocketAddress

MAX_HELD_PACKETS = 2_000
HELD_LIFETIME_S = 1.0

STOOD_STILL_S = 2.0
"""After such a pause of the process most callers of the packets that waited have given up."""

CATCH_UP_S = 0.05
"""How long packets are dropped after such a pause; those of callers that still wait come again."""

log = structlog.get_logger()


class _HeldPacket(NamedTuple):
    data: bytes
    packet: CallerPacket
    came_at: Seconds


class PacketPath:
    """Carries out what :class:`Steering` decides of each packet.

    ``bound`` is a socket that was bound to the endpoint before, if there is one.
    Raises OSError if the endpoint cannot be bound.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: Endpoint,
        steering: Steering,
        bound: socket.socket | None = None,
    ) -> None:
        self._loop = loop
        self._checker = Checker(steering, loop)
        self._port = endpoint.port
        self._steering = steering
        self._held: deque[_HeldPacket] = deque(maxlen=MAX_HELD_PACKETS)
        self._seen_at: Seconds | None = None
        self._awake_at = loop.time()
        self._drop_until: Seconds = 0.0
        self._socket = DatagramSocket(
            loop, endpoint, self._on_datagram, max_bytes=MAX_PACKET_BYTES + 1, bound=bound
        )

    @property
    def seen_at(self) -> Seconds | None:
        """When a packet came last, or None before the first one."""
        return self._seen_at

    def close(self) -> None:
        """Take no more packets."""
        self._checker.close()
        self._socket.close()

    def note_awake(self, now: Seconds) -> None:
        """Take in that the process runs; to be called about once a second."""
        stood_still_s = now - self._awake_at
        self._awake_at = now
        if stood_still_s >= STOOD_STILL_S:
            self._drop_until = now + CATCH_UP_S
            log.warning("host_stood_still", pause_s=round(stood_still_s, 3))

    def release_held(self) -> None:
        """Steer what came before there was a configuration."""
        if not (self._held and self._steering.catalog.is_configured):
            return
        now = self._loop.time()
        held, self._held = self._held, deque(maxlen=MAX_HELD_PACKETS)
        for data, packet, came_at in held:
            if now - came_at < HELD_LIFETIME_S:
                self._steer(data, packet, now)

    def _on_datagram(self, data: bytes, _address: SocketAddress) -> None:
        now = self._loop.time()
        self._seen_at = now
        self.note_awake(now)
        packet = decode_packet(data)
        if isinstance(packet, MalformedPacket):
            self._steering.counters.drops[DropReason.MALFORMED] += 1
            log.warning("packet_malformed", detail=packet.detail)
            return
        if now < self._drop_until and not packet.ends_flow:
            self._steering.counters.drops[DropReason.STOOD_STILL] += 1
            return
        self._steer(data, packet, now)

    def _steer(self, data: bytes, packet: CallerPacket, now: Seconds) -> None:
        outcome = self._steering.on_packet(packet, now)
        self._checker.start_due()
        if isinstance(outcome, Forward):
            self._forward(data, packet, outcome)
        elif isinstance(outcome, Reset):
            self._reset(packet, outcome)
        elif isinstance(outcome, Drop):
            self._log("packet_dropped", packet, reason=outcome.reason.value)
        else:
            self._held.append(_HeldPacket(data, packet, now))

    def _forward(self, data: bytes, packet: CallerPacket, outcome: Forward) -> None:
        entry = outcome.upstream.entry
        self._socket.send(for_upstream(data, entry.wire_id, entry.cookie), entry.endpoint)
        if packet.opens_flow:
            self._log("flow_placed", packet, upstream=entry.name)

    def _reset(self, packet: CallerPacket, outcome: Reset) -> None:
        self._socket.send(reset_for(packet), Endpoint(caller_ip(packet), self._port))
        self._log("flow_reset", packet, reason=outcome.reason.value, **self._evidence(outcome))

    def _evidence(self, outcome: Reset) -> dict[str, object]:
        """Return what a log line says of the upstream that a reset flow was open at."""
        upstream = outcome.upstream
        if upstream is None:
            return {}
        report = upstream.silence.report(self._loop.time())
        return {
            "upstream": upstream.name,
            "removed": upstream.removed_at is not None,
            **report._asdict(),
        }

    def _log(self, event: str, packet: CallerPacket, **fields: object) -> None:
        log.info(
            event,
            flow=describe_endpoint(packet.flow[:6]),
            to=describe_endpoint(packet.destination),
            copy=packet.ack if packet.opens_flow else None,
            version=self._steering.catalog.version,
            **fields,
        )
