"""Flows as this host has seen them: what their packets tell of the upstream.

The table is a memory of this host alone and may be lost at any time: the cookie
in each packet is enough to carry a flow on.
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
_HALF = SEQUENCE_MODULUS // 2

MAX_FLOWS = 200_000
"""Flows beyond these are carried by their cookies alone; the oldest are forgotten first."""


class Flow:
    """One flow: where it went, and how far it has come.

    ``tried`` are the upstreams that got its opening packet, the last one last.
    ``sent_at`` is when the last new packet was sent that its upstream has to answer.
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
    """Flows by their addresses, and the work at each upstream that they amount to."""

    def __init__(self, counters: SteeringCounters, max_flows: int = MAX_FLOWS) -> None:
        self._flows: dict[FlowId, Flow] = {}
        self._counters = counters
        self._max_flows = max_flows
        self._usual: defaultdict[ServiceName, RunningMedian] = defaultdict(RunningMedian)

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def usual_s(self, service: ServiceName) -> Seconds | None:
        """Return how long answers of a service usually take, or None before the first one."""
        return self._usual[service].value

    def get(self, flow_id: FlowId) -> Flow | None:
        """Return a flow that was seen before."""
        return self._flows.get(flow_id)

    def open(self, flow_id: FlowId, upstream: Upstream, now: Seconds) -> Flow:
        """Take in that an opening packet went to an upstream, perhaps after another one."""
        flow = self._flows.get(flow_id)
        if flow is None:
            flow = self._add(flow_id, upstream, now)
        else:
            _release(flow)
            flow.upstream = upstream
        flow.tried.append(upstream)
        flow.sent_at = now
        flow.seen_at = now
        upstream.open_flows += 1
        upstream.pending_opens += 1
        return flow

    def adopt(self, flow_id: FlowId, upstream: Upstream, now: Seconds) -> Flow:
        """Take in an open flow that began at another host."""
        flow = self._add(flow_id, upstream, now)
        flow.is_open = True
        upstream.open_flows += 1
        return flow

    def close(self, flow_id: FlowId) -> None:
        """Forget a flow and the work that it was."""
        flow = self._flows.pop(flow_id, None)
        if flow is not None:
            _release(flow)

    def confirm(self, flow: Flow, upstream: Upstream, now: Seconds) -> None:
        """Take in that the flow is open at an upstream."""
        _release(flow)
        flow.upstream = upstream
        flow.is_open = True
        upstream.open_flows += 1
        upstream.silence.on_sign(now)

    def observe(self, flow: Flow, packet: CallerPacket, now: Seconds) -> bool:
        """Take in a packet of an open flow; return whether it repeats one without an answer."""
        flow.seen_at = now
        answered = flow.next_seq is not None and _is_after(packet.ack, flow.ack)
        if flow.next_seq is None or answered:
            flow.ack = packet.ack
        if answered:
            self._answer(flow, now)
        repeated = self._take_data(flow, packet, now)
        return repeated and not answered

    def expire(self, idle_before: Seconds, pending_before: Seconds) -> None:
        """Forget flows that have been idle, and those that never opened."""
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

    def _answer(self, flow: Flow, now: Seconds) -> None:
        upstream = flow.upstream
        upstream.silence.on_sign(now)
        took_s = upstream.responses.finish(flow, now)
        if took_s is not None:
            self._counters.responses[upstream.entry.service].observe(took_s)
            self._usual[upstream.entry.service].add(took_s)

    def _take_data(self, flow: Flow, packet: CallerPacket, now: Seconds) -> bool:
        """Note a request that begins; return whether the packet was sent before."""
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
    return 0 < (number - other) % SEQUENCE_MODULUS < _HALF


def _release(flow: Flow) -> None:
    """Take the flow's work off its upstream."""
    upstream = flow.upstream
    upstream.open_flows -= 1
    if not flow.is_open:
        upstream.pending_opens -= 1
    upstream.responses.give_up(flow)
