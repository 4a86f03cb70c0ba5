"""Data path of callers' packets: receives, decodes, steers and forwards each packet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyanline.core.steering.outcomes import Drop, DropReason, Forward, Reset
from banyanline.core.types import Endpoint
from banyanline.net.steering.connection_checks import ConnectionChecker
from banyanline.platform.packets import (
    MAX_PACKET_BYTES,
    MalformedPacket,
    caller_ip,
    decode_packet,
    describe_endpoint,
    encode_for_upstream,
    encode_reset,
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

PAUSE_THRESHOLD_S = 2.0
"""After a pause of the process this long, most callers of the queued packets have given up."""

DROP_AFTER_PAUSE_S = 0.05
"""How long packets are dropped after such a pause; callers still waiting retransmit theirs."""

log = structlog.get_logger()


class _HeldPacket(NamedTuple):
    data: bytes
    packet: CallerPacket
    received_at: Seconds


class PacketPath:
    """Receives packets and applies the decision of :class:`Steering` to each.

    ``bound`` is a socket already bound to the endpoint, if there is one. Raises OSError
    if the endpoint cannot be bound.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: Endpoint,
        steering: Steering,
        bound: socket.socket | None = None,
    ) -> None:
        self._loop = loop
        self._checker = ConnectionChecker(steering, loop)
        self._port = endpoint.port
        self._steering = steering
        self._held: deque[_HeldPacket] = deque(maxlen=MAX_HELD_PACKETS)
        self._last_packet_at: Seconds | None = None
        self._last_run_at = loop.time()
        self._drop_until: Seconds = 0.0
        self._socket = DatagramSocket(
            loop, endpoint, self._on_datagram, max_bytes=MAX_PACKET_BYTES + 1, bound=bound
        )

    @property
    def last_packet_at(self) -> Seconds | None:
        """Time of the last packet, or None before the first."""
        return self._last_packet_at

    def close(self) -> None:
        """Stop the health checks and close the socket."""
        self._checker.close()
        self._socket.close()

    def check_for_pause(self, now: Seconds) -> None:
        """Detect a pause of the process since the last call; call about once a second."""
        paused_s = now - self._last_run_at
        self._last_run_at = now
        if paused_s >= PAUSE_THRESHOLD_S:
            self._drop_until = now + DROP_AFTER_PAUSE_S
            log.warning("host_paused", pause_s=round(paused_s, 3))

    def start_due_checks(self) -> None:
        """Start health checks that are due without a packet; call about once a second."""
        self._checker.start_due()

    def release_held(self) -> None:
        """Steer the packets that were held until there was a configuration."""
        if not (self._held and self._steering.catalog.is_configured):
            return
        now = self._loop.time()
        held, self._held = self._held, deque(maxlen=MAX_HELD_PACKETS)
        for data, packet, received_at in held:
            if now - received_at < HELD_LIFETIME_S:
                self._steer(data, packet, now)

    def _on_datagram(self, data: bytes, _address: SocketAddress) -> None:
        now = self._loop.time()
        self._last_packet_at = now
        self.check_for_pause(now)
        packet = decode_packet(data)
        if isinstance(packet, MalformedPacket):
            self._steering.counters.drops[DropReason.MALFORMED] += 1
            log.warning("packet_malformed", detail=packet.detail)
            return
        if now < self._drop_until and not packet.ends_flow:
            self._steering.counters.drops[DropReason.PROCESS_PAUSED] += 1
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
        self._socket.send(encode_for_upstream(data, entry.wire_id, entry.cookie), entry.endpoint)
        if packet.opens_flow:
            self._log("flow_placed", packet, upstream=entry.name)

    def _reset(self, packet: CallerPacket, outcome: Reset) -> None:
        self._socket.send(encode_reset(packet), Endpoint(caller_ip(packet), self._port))
        self._log("flow_reset", packet, reason=outcome.reason.value, **self._evidence(outcome))

    def _evidence(self, outcome: Reset) -> dict[str, object]:
        """Return log fields about the upstream of a reset flow; empty if it had none."""
        upstream = outcome.upstream
        if upstream is None:
            return {}
        report = upstream.failure_detector.report(self._loop.time())
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
