"""Connection tracking: flows seen by this host, and the load and responses of upstreams.

The table is local to this host and may be lost at any time: the cookie in each packet
is enough to keep forwarding a flow.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from banyanline.core.steering.responses import RunningMedian

if TYPE_CHECKING:
    from banyanline.core.steering.counters import SteeringCounters
    from banyanline.core.steering.packet import CallerPacket, FlowId
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds, ServiceName

SEQUENCE_MODULUS = 1 << 32
_HALF_MODULUS = SEQUENCE_MODULUS // 2

MAX_FLOWS = 200_000
"""Beyond this number the oldest flows are evicted and forwarded by their cookies alone."""


class Flow:
    """One flow: its upstream and the progress of its sequence numbers.

    ``tried`` are the upstreams that its opening packet was sent to, most recent last.
    ``sent_at`` is when the latest new packet was sent that the upstream has to answer.
    """

    __slots__ = (
        "ack",
        "is_open",
        "next_seq",
        "seen_at",
        "sent_at",
        "tried",
        "upstream",
    )

    def __init__(self, upstream: Upstream, now: Seconds) -> None:
        self.upstream = upstream
        self.tried: list[Upstream] = []
        self.is_open = False
        self.sent_at = now
        self.seen_at = now
        self.next_seq: int | None = None
        self.ack = 0


class FlowTable:
    """Tracks flows by their addresses, and accounts their load to the upstreams."""

    def __init__(self, counters: SteeringCounters, max_flows: int = MAX_FLOWS) -> None:
        self._flows: dict[FlowId, Flow] = {}
        self._counters = counters
        self._max_flows = max_flows
        self._response_medians: defaultdict[ServiceName, RunningMedian] = defaultdict(RunningMedian)

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def median_response_s(self, service: ServiceName) -> Seconds | None:
        """Return the median response time of a service, or None before the first response."""
        return self._response_medians[service].value

    def get(self, flow_id: FlowId) -> Flow | None:
        """Return a tracked flow, or None."""
        return self._flows.get(flow_id)

    def open(self, flow_id: FlowId, upstream: Upstream, now: Seconds) -> Flow:
        """Record that an opening packet is sent to an upstream, for the first time or again."""
        flow = self._flows.get(flow_id)
        if flow is None:
            flow = self._add(flow_id, upstream, now)
        else:
            _release_load(flow)
            flow.upstream = upstream
        flow.tried.append(upstream)
        flow.sent_at = now
        flow.seen_at = now
        upstream.open_flows += 1
        upstream.pending_opens += 1
        return flow

    def adopt(self, flow_id: FlowId, upstream: Upstream, now: Seconds) -> Flow:
        """Start to track an open flow that this host has no record of."""
        flow = self._add(flow_id, upstream, now)
        flow.is_open = True
        upstream.open_flows += 1
        return flow

    def close(self, flow_id: FlowId) -> None:
        """Remove a flow and its load."""
        flow = self._flows.pop(flow_id, None)
        if flow is not None:
            _release_load(flow)

    def confirm(self, flow: Flow, upstream: Upstream, now: Seconds) -> None:
        """Record that the flow is open at an upstream."""
        _release_load(flow)
        flow.upstream = upstream
        flow.is_open = True
        upstream.open_flows += 1
        upstream.failure_detector.on_response(now)

    def observe(self, flow: Flow, packet: CallerPacket, now: Seconds) -> bool:
        """Record a packet of an open flow; return whether it retransmits an unanswered one."""
        flow.seen_at = now
        is_response = flow.next_seq is not None and _is_after(packet.ack, flow.ack)
        if flow.next_seq is None or is_response:
            flow.ack = packet.ack
        if is_response:
            self._on_response(flow, now)
        is_retransmission = self._track_request(flow, packet, now)
        return is_retransmission and not is_response

    def expire(self, idle_before: Seconds, pending_before: Seconds) -> None:
        """Remove flows that have been idle, and those that were never confirmed."""
        old = [
            flow_id
            for flow_id, flow in self._flows.items()
            if flow.seen_at < (idle_before if flow.is_open else pending_before)
        ]
        for flow_id in old:
            self.close(flow_id)

    def _add(self, flow_id: FlowId, upstream: Upstream, now: Seconds) -> Flow:
        self.close(flow_id)
        if len(self._flows) >= self._max_flows:
            self.close(next(iter(self._flows)))
        flow = self._flows[flow_id] = Flow(upstream, now)
        return flow

    def _on_response(self, flow: Flow, now: Seconds) -> None:
        upstream = flow.upstream
        upstream.failure_detector.on_response(now)
        took_s = upstream.responses.finish(flow, now)
        if took_s is not None:
            self._counters.responses[upstream.entry.service].observe(took_s)
            self._response_medians[upstream.entry.service].add(took_s)

    def _track_request(self, flow: Flow, packet: CallerPacket, now: Seconds) -> bool:
        """Record the start of a request; return whether the packet is a retransmission."""
        if flow.next_seq is None:
            flow.next_seq = packet.seq
        if packet.data_bytes == 0:
            return False
        end = (packet.seq + packet.data_bytes) % SEQUENCE_MODULUS
        if not _is_after(end, flow.next_seq):
            return True
        flow.next_seq = end
        flow.sent_at = now
        flow.upstream.responses.begin(flow, now)
        return False


def _is_after(number: int, other: int) -> bool:
    """Whether a sequence number comes after another, modulo 2**32 (RFC 1982)."""
    return 0 < (number - other) % SEQUENCE_MODULUS < _HALF_MODULUS


def _release_load(flow: Flow) -> None:
    """Subtract the flow's load from its upstream."""
    upstream = flow.upstream
    upstream.open_flows -= 1
    if not flow.is_open:
        upstream.pending_opens -= 1
    upstream.responses.forget(flow)
