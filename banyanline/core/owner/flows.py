"""Opaque flows of ``udp`` services at the owner of their upstream."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.effects import CloseFlow, SendOnFlow
from banyanline.core.error_responses import RefusalReason
from banyanline.core.flows import FlowTable, TableFull
from banyanline.core.messages import (
    FlowData,
    FlowKey,
    FlowRefused,
    FlowsAlive,
    Lookup,
    LookupReply,
)
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.ownership import OwnershipStage
from banyanline.core.types import Endpoint, HostName, Seconds, ServiceName, UpstreamName

ALIVE_REPORTS_PER_TIMEOUT = 3
FLOWS_PER_REPORT = 16


class OwnerFlows:
    """Forwards flows to the upstreams that this balancer owns, with one socket per flow."""

    def __init__(
        self,
        context: Context,
        owned: dict[UpstreamName, OwnedUpstream],
        idle_timeout_s: float,
        now: Seconds,
    ) -> None:
        self._context = context
        self._owned = owned
        self._table: FlowTable[FlowKey] = FlowTable(
            context.limits.flows, idle_timeout_s, context.flow_idle_timeout_s
        )
        self._upstream_only: set[FlowKey] = set()
        self._report_at = now + self._report_interval_s

    @property
    def table(self) -> FlowTable[FlowKey]:
        """The open flows."""
        return self._table

    @property
    def _report_interval_s(self) -> Seconds:
        """Interval between reports, short enough for several within any home's idle timeout."""
        shortest_s = self._context.directory.shortest_idle_timeout_s
        return min(self._table.idle_timeout_s, shortest_s) / ALIVE_REPORTS_PER_TIMEOUT

    @property
    def next_at(self) -> Seconds:
        """When the next report of flows with traffic from the upstream alone is due."""
        return self._report_at

    def receive(self, sender: HostName, message: FlowData, now: Seconds) -> None:
        """Forward a caller's datagram to the flow's upstream."""
        flow = message.flow
        self._context.ensure_same_service(flow.service, message.upstream)
        upstream = self._context.directory.reachable.get(message.upstream)
        if upstream is None:
            self._context.counters.drop(DropReason.DATA_CENTRE_OUT)
            return
        entry = self._table.use(flow, now)
        if entry is not None and entry.upstream != message.upstream:
            self._close(flow)
            entry = None
        if entry is None and not self._open(sender, message, now):
            return
        self._upstream_only.discard(flow)
        self._context.emit(SendOnFlow(flow, upstream.endpoint, message.payload))

    def _open(self, sender: HostName, message: FlowData, now: Seconds) -> bool:
        owned = self._owned.get(message.upstream)
        if owned is None or owned.is_handed_over:
            self._context.counters.drop(DropReason.NO_OWNER)
            return False
        reason = self._admit(owned, message, now)
        if reason is None:
            opened = self._table.open(message.flow, message.upstream, now)
            if not isinstance(opened, TableFull):
                return True
            owned.gate.close_connection(message.flow)
            reason = RefusalReason.FLOW_TABLE_FULL
        self._context.send(sender, FlowRefused(message.flow, message.upstream, reason))
        return False

    def _admit(self, owned: OwnedUpstream, message: FlowData, now: Seconds) -> RefusalReason | None:
        if message.is_new and owned.is_active:
            return owned.gate.open_connection(message.flow, now)
        if message.is_new:
            return RefusalReason.OWNER_MOVED
        owned.gate.adopt_connection(message.flow)
        return None

    def answer(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Forward an upstream's datagram to the caller."""
        entry = self._table.use(flow, now)
        if entry is None:
            self._context.counters.drop(DropReason.UNMATCHED_ANSWER)
            return
        self._context.ensure_same_service(flow.service, entry.upstream)
        self._upstream_only.add(flow)
        self._context.answer(flow.service, Endpoint(flow.caller_ip, flow.caller_port), payload)

    def look_up(self, sender: HostName, message: Lookup) -> None:
        """Reply to a new home with the upstreams of the flows that are open here.

        An owner that awaits a handover does not reply while it may still learn of one of
        the flows; the home asks again.
        """
        known = []
        for flow in message.flows:
            entry = self._table.get(flow)
            if entry is not None:
                known.append((flow, entry.upstream))
        if len(known) < len(message.flows) and self._awaits_handover(message.flows[0].service):
            return
        self._context.send(sender, LookupReply(message.lookup_id, tuple(known)))

    def _awaits_handover(self, service: ServiceName) -> bool:
        return any(
            owned.ownership.stage is OwnershipStage.AWAITING_HANDOVER
            for owned in self._owned.values()
            if owned.upstream.service == service
        )

    def tick(self, now: Seconds) -> None:
        """Close idle flows and report those with traffic from the upstream alone."""
        for flow in self._table.expire(now):
            self._release(flow)
        # A new configuration may have shortened the interval.
        self._report_at = min(self._report_at, now + self._report_interval_s)
        if now >= self._report_at:
            self._report_at = now + self._report_interval_s
            self._report()

    def _report(self) -> None:
        upstream_only, self._upstream_only = self._upstream_only, set()
        by_home: dict[HostName, list[tuple[FlowKey, UpstreamName]]] = {}
        for flow in upstream_only:
            entry = self._table.get(flow)
            home = self._context.home_of(flow)
            if entry is not None and home is not None:
                by_home.setdefault(home, []).append((flow, entry.upstream))
        for home, flows in by_home.items():
            for start in range(0, len(flows), FLOWS_PER_REPORT):
                self._context.send(home, FlowsAlive(tuple(flows[start : start + FLOWS_PER_REPORT])))

    def upstreams_removed(self, end_reasons: dict[UpstreamName, FlowEnd]) -> None:
        """Close the flows of upstreams that must receive no more packets."""
        closing = [flow for flow, entry in self._table.items() if entry.upstream in end_reasons]
        for flow in closing:
            self._close(flow)

    def _close(self, flow: FlowKey) -> None:
        entry = self._table.close(flow)
        if entry is not None:
            owned = self._owned.get(entry.upstream)
            if owned is not None:
                owned.gate.close_connection(flow)
            self._release(flow)

    def _release(self, flow: FlowKey) -> None:
        self._upstream_only.discard(flow)
        for owned in self._owned.values():
            owned.gate.close_connection(flow)
        self._context.emit(CloseFlow(flow))
