"""Opaque datagrams of ``udp`` services at the home of their flow."""

from __future__ import annotations

from collections.abc import Iterable

from banyanline.core.answers import RefusalReason
from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
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
    """All flows of ``udp`` services of which this balancer is the home."""

    def __init__(self, context: Context, policies: Policies, idle_timeout_s: float) -> None:
        self._context = context
        self._policies = policies
        self._flows: FlowTable[FlowKey] = FlowTable(
            context.limits.flows, idle_timeout_s, context.flow_idle_timeout_s
        )
        self._lookups = Lookups(context)
        self._refused: dict[FlowKey, frozenset[UpstreamName]] = {}

    @property
    def next_at(self) -> Seconds:
        """When a lookup needs attention next."""
        return self._lookups.next_at

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def upstream_of(self, flow: FlowKey) -> UpstreamName | None:
        """Return the upstream of an open flow."""
        entry = self._flows.get(flow)
        return None if entry is None else entry.upstream

    def receive(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Forward a caller's datagram to the owner of the flow's upstream."""
        entry = self._flows.use(flow, now)
        if entry is not None and entry.upstream in self._context.directory.reachable:
            self._forward(flow, entry.upstream, payload, is_new=False)
        elif entry is None and self._may_be_open_elsewhere(flow, now):
            self._lookups.hold(flow, payload, now)
        else:
            self._open(flow, payload, now)

    def _may_be_open_elsewhere(self, flow: FlowKey, now: Seconds) -> bool:
        context = self._context
        return not context.is_settled(context.slot_of(flow), self._flows.idle_timeout_s, now)

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
        """Place a new flow and forward its first datagram."""
        context = self._context
        upstream = self._place(flow, now)
        if upstream is None:
            context.counters.refuse(RefusalReason.NO_UPSTREAM, flow.service)
            return
        if isinstance(self._flows.open(flow, upstream, now), Opened):
            self._forward(flow, upstream, payload, is_new=True)
        else:
            context.counters.refuse(RefusalReason.FLOW_TABLE_FULL, flow.service)

    def _place(self, flow: FlowKey, now: Seconds) -> UpstreamName | None:
        excluded = self._refused.get(flow, frozenset())
        return self._policies.choose(
            flow.service, self._context.hash_of(flow), excluded, now, needs_other_owner=False
        )

    # -- from peers

    def looked_up(self, sender: HostName, reply: LookupReply, now: Seconds) -> None:
        """Take an owner's answer to a lookup in."""
        self._lookups.receive(sender, reply)
        self._release(now)

    def _release(self, now: Seconds) -> None:
        for resolved in self._lookups.resolved(now):
            self._settle(resolved.flow, resolved.upstream, now)
            for payload in resolved.payloads:
                self.receive_settled(resolved.flow, payload, now)

    def _settle(self, flow: FlowKey, known: UpstreamName | None, now: Seconds) -> None:
        context = self._context
        if known is not None and known in context.directory.reachable:
            context.counters.recovered["flow"] += 1
            self._flows.open(flow, known, now)
            return
        if self._has_lost_home(flow, now):
            likely = self._policies.fallback(flow.service, context.hash_of(flow))
            if likely is not None:
                self._flows.open(flow, likely, now)

    def _has_lost_home(self, flow: FlowKey, now: Seconds) -> bool:
        """Whether a previous home of the flow is gone, so that both witnesses may be lost."""
        context = self._context
        view = context.membership.view
        homes = context.previous_homes(context.slot_of(flow), now)
        return any(not view.is_alive(home) for home in homes)

    def receive_settled(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Forward a datagram whose flow was looked up."""
        entry = self._flows.use(flow, now)
        if entry is None:
            self._open(flow, payload, now)
        else:
            self._forward(flow, entry.upstream, payload, is_new=False)

    def refused(self, message: FlowRefused) -> None:
        """Place a flow elsewhere that the owner of its upstream could not take."""
        context = self._context
        context.counters.refuse(message.reason, message.flow.service)
        entry = self._flows.get(message.flow)
        if entry is None or entry.upstream != message.upstream:
            return
        self._flows.close(message.flow)
        if len(self._refused) < context.limits.held_datagrams:
            earlier = self._refused.get(message.flow, frozenset())
            self._refused[message.flow] = earlier | {message.upstream}

    def alive(self, message: FlowsAlive, now: Seconds) -> None:
        """Keep flows open whose upstream alone is sending."""
        for flow, upstream in message.flows:
            if self._flows.use(flow, now) is None:
                self._flows.open(flow, upstream, now)

    def take_over(self, flows: Iterable[tuple[FlowKey, UpstreamName]], now: Seconds) -> None:
        """Take flows from their previous home."""
        for flow, upstream in flows:
            if flow not in self._flows:
                self._flows.open(flow, upstream, now)

    # -- time and changes

    def tick(self, now: Seconds) -> None:
        """Close idle flows and settle lookups that have waited long enough."""
        for flow in self._flows.expire(now):
            self._context.counters.end_flow(FlowEnd.IDLE, flow.service)
        self._lookups.tick(now)
        self._release(now)
        self._refused.clear()

    def upstreams_gone(self, gone: dict[UpstreamName, FlowEnd]) -> None:
        """Give up the flows of upstreams to which no packet may go any more."""
        given_up = [(flow, entry) for flow, entry in self._flows.items() if entry.upstream in gone]
        for flow, entry in given_up:
            self._flows.close(flow)
            self._context.counters.end_flow(gone[entry.upstream], flow.service)

    def hand_over(self) -> None:
        """Give the flows whose slot has another home now to that home."""
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
