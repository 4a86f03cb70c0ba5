"""Flows of ``udp`` services at their home: upstream choice and datagram forwarding."""

from __future__ import annotations

from collections.abc import Iterable

from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.error_responses import RefusalReason
from banyanline.core.flows import FlowTable, Opened
from banyanline.core.home.lookups import Lookups
from banyanline.core.home.policies import Policies
from banyanline.core.messages import (
    FlowData,
    FlowKey,
    FlowRefused,
    FlowsAlive,
    HomeHandover,
    LookupReply,
)
from banyanline.core.types import HostName, Seconds, UpstreamName

HANDOVER_CHUNK = 2048


class Datagrams:
    """The flows of ``udp`` services whose home is this balancer."""

    def __init__(self, context: Context, policies: Policies, idle_timeout_s: float) -> None:
        self._context = context
        self._policies = policies
        self._flows: FlowTable[FlowKey] = FlowTable(
            context.limits.flows, idle_timeout_s, context.flow_idle_timeout_s
        )
        self._lookups = Lookups(context)
        self._refusing_upstreams: dict[FlowKey, frozenset[UpstreamName]] = {}

    @property
    def next_at(self) -> Seconds:
        """Time at which ``tick`` is next due for a lookup."""
        return self._lookups.next_at

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def upstream_of(self, flow: FlowKey) -> UpstreamName | None:
        """Return the upstream of an open flow."""
        entry = self._flows.get(flow)
        return None if entry is None else entry.upstream

    def receive(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Forward a caller's datagram to the owner of the flow's upstream.

        The datagram is buffered while owners are asked whether the flow is already open.
        """
        entry = self._flows.use(flow, now)
        if entry is not None and entry.upstream in self._context.directory.reachable:
            self._forward(flow, entry.upstream, payload, is_new=False)
        elif entry is None and self._may_be_open_elsewhere(flow, now):
            self._lookups.buffer(flow, payload, now)
        else:
            self._open(flow, payload, now)

    def _may_be_open_elsewhere(self, flow: FlowKey, now: Seconds) -> bool:
        context = self._context
        return not context.has_been_sole_home(
            context.slot_of(flow), self._flows.idle_timeout_s, now
        )

    def _forward(
        self, flow: FlowKey, upstream: UpstreamName, payload: bytes, *, is_new: bool
    ) -> None:
        self._context.ensure_same_service(flow.service, upstream)
        owner = self._context.owner_of(upstream)
        if owner is None:
            self._context.counters.drops[DropReason.NO_OWNER] += 1
            return
        self._context.send(owner, FlowData(flow, upstream, is_new, payload))

    def _open(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Choose an upstream for a new flow and forward the flow's first datagram."""
        context = self._context
        upstream = self._choose_upstream(flow, now)
        if upstream is None:
            context.counters.refuse(RefusalReason.NO_UPSTREAM, flow.service)
            return
        if isinstance(self._flows.open(flow, upstream, now), Opened):
            self._forward(flow, upstream, payload, is_new=True)
        else:
            context.counters.refuse(RefusalReason.FLOW_TABLE_FULL, flow.service)

    def _choose_upstream(self, flow: FlowKey, now: Seconds) -> UpstreamName | None:
        excluded = self._refusing_upstreams.get(flow, frozenset())
        return self._policies.choose(
            flow.service, self._context.hash_of(flow), excluded, now, needs_remote_owner=False
        )

    # -- from peers

    def receive_lookup_reply(self, sender: HostName, reply: LookupReply, now: Seconds) -> None:
        """Process an owner's reply to a lookup."""
        self._lookups.receive(sender, reply)
        self._finish_lookups(now)

    def _finish_lookups(self, now: Seconds) -> None:
        for resolved in self._lookups.resolved(now):
            self._restore_flow(resolved.flow, resolved.upstream, now)
            for payload in resolved.payloads:
                self._forward_after_lookup(resolved.flow, payload, now)

    def _restore_flow(self, flow: FlowKey, found: UpstreamName | None, now: Seconds) -> None:
        context = self._context
        if flow in self._flows:
            # The previous home has handed it over in the meantime.
            return
        if found is not None and found in context.directory.reachable:
            context.counters.recovered["flow"] += 1
            self._flows.open(flow, found, now)
            return
        if self._has_dead_previous_home(flow, now):
            candidate = self._policies.rendezvous_choice(flow.service, context.hash_of(flow))
            if candidate is not None:
                self._flows.open(flow, candidate, now)

    def _has_dead_previous_home(self, flow: FlowKey, now: Seconds) -> bool:
        """Whether a previous home of the flow is dead.

        The flow's upstream is stored by its home and by the owner; both may have failed then.
        """
        context = self._context
        view = context.membership.view
        homes = context.previous_homes(context.slot_of(flow), now)
        return any(not view.is_alive(home) for home in homes)

    def _forward_after_lookup(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Forward a buffered datagram now that the lookup of its flow is complete."""
        entry = self._flows.use(flow, now)
        if entry is None:
            self._open(flow, payload, now)
        else:
            self._forward(flow, entry.upstream, payload, is_new=False)

    def receive_flow_refusal(self, message: FlowRefused) -> None:
        """Close a flow that the owner refused and exclude the upstream from its next choice."""
        context = self._context
        context.counters.refuse(message.reason, message.flow.service)
        entry = self._flows.get(message.flow)
        if entry is None or entry.upstream != message.upstream:
            return
        self._flows.close(message.flow)
        if len(self._refusing_upstreams) < context.limits.held_datagrams:
            earlier = self._refusing_upstreams.get(message.flow, frozenset())
            self._refusing_upstreams[message.flow] = earlier | {message.upstream}

    def receive_flows_alive(self, message: FlowsAlive, now: Seconds) -> None:
        """Refresh flows on which only the upstream has sent data."""
        for flow, upstream in message.flows:
            if self._flows.use(flow, now) is None:
                self._flows.open(flow, upstream, now)

    def take_over(self, flows: Iterable[tuple[FlowKey, UpstreamName]], now: Seconds) -> None:
        """Add flows handed over by their previous home."""
        for flow, upstream in flows:
            if flow not in self._flows:
                self._flows.open(flow, upstream, now)

    # -- timers and changes of upstreams and homes

    def tick(self, now: Seconds) -> None:
        """Close idle flows, complete timed-out lookups and clear the exclusions of upstreams."""
        for flow in self._flows.expire(now):
            self._context.counters.count_flow_end(FlowEnd.IDLE, flow.service)
        self._lookups.tick(now)
        self._finish_lookups(now)
        self._refusing_upstreams.clear()

    def upstreams_removed(self, end_reasons: dict[UpstreamName, FlowEnd]) -> None:
        """Close the flows of upstreams that packets may no longer be sent to."""
        removed = [
            (flow, entry) for flow, entry in self._flows.items() if entry.upstream in end_reasons
        ]
        for flow, entry in removed:
            self._flows.close(flow)
            self._context.counters.count_flow_end(end_reasons[entry.upstream], flow.service)

    def hand_over(self) -> None:
        """Hand over flows whose slot has moved to another home."""
        local = self._context.local.name
        moved: dict[HostName, list[tuple[FlowKey, UpstreamName]]] = {}
        for flow, entry in self._flows.items():
            home = self._context.home_of(flow)
            if home is not None and home != local:
                moved.setdefault(home, []).append((flow, entry.upstream))
        for home, flows in moved.items():
            for start in range(0, len(flows), HANDOVER_CHUNK):
                chunk = tuple(flows[start : start + HANDOVER_CHUNK])
                self._context.transfer(home, HomeHandover(flows=chunk))
            for flow, _ in flows:
                self._flows.close(flow)
