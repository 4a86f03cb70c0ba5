"""Steers callers' packets: which upstream gets each, and which are refused.

An opening packet is placed by what this host knows of the upstreams. All later
packets of the flow carry the cookie of the upstream that took it, so that any host
can carry them on without having seen the flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.counters import SteeringCounters
from banyanline.core.steering.flows import FlowTable, Progress
from banyanline.core.steering.model import (
    DataCentreOut,
    FleetView,
    KnownUpstream,
    RouteKind,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.steering.outcomes import (
    HOLD,
    Drop,
    DropReason,
    Forward,
    Outcome,
    Reset,
    ResetReason,
)
from banyanline.core.steering.packet import NO_COOKIE
from banyanline.core.steering.placement import Placement
from banyanline.core.steering.silence import is_gone
from banyanline.core.steering.upstreams import (
    UpstreamStanding,
    UpstreamTable,
    in_data_centres,
    is_suspect,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from banyanline.core.steering.flows import Flow
    from banyanline.core.steering.model import Change, Revision, Route, RoutingTable
    from banyanline.core.steering.packet import CallerPacket, ServiceAddress
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, UpstreamName

OPENING_LIFETIME_S = 3.0
"""How long an opening packet is remembered; its caller gives up sooner."""

MAX_IDLE_S = 60.0

MAX_TOLD_ROUTES = 400
"""A larger configuration is read from the store rather than told by a host on a small link."""


class Steering:
    """The decisions of one host."""

    def __init__(
        self,
        data_centre: DataCentreName,
        rng: random.Random,
        placement: Placement | None = None,
    ) -> None:
        self._rng = rng
        self._placement = placement or Placement(data_centre, rng)
        self._upstreams = UpstreamTable()
        self._counters = SteeringCounters()
        self._flows = FlowTable(self._counters)
        self._table: RoutingTable | None = None
        self._table_revision: Revision = 0
        self._removed_routes: set[ServiceAddress] = set()
        self._out: dict[DataCentreName, Revision] = {}
        self._back: dict[DataCentreName, Revision] = {}
        self._revision: Revision = 0

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._table is not None

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        return self._table.version if self._table else 0

    @property
    def revision(self) -> Revision:
        """The revision of the platform up to which this host knows all changes."""
        return self._revision

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force."""
        return self._table

    @property
    def upstreams(self) -> UpstreamTable:
        """The upstreams that this host knows."""
        return self._upstreams

    @property
    def flows(self) -> FlowTable:
        """The flows that this host has seen."""
        return self._flows

    @property
    def counters(self) -> SteeringCounters:
        """What this host has done with packets."""
        return self._counters

    @property
    def data_centres_out(self) -> frozenset[DataCentreName]:
        """The data centres that operators have taken out of service."""
        return frozenset(self._out)

    def on_packet(self, packet: CallerPacket, now: Seconds) -> Outcome:
        """Decide what becomes of a caller's packet."""
        decide = self._on_opening if packet.opens_flow else self._on_later
        outcome = decide(packet, now)
        self._count(outcome, packet)
        return outcome

    def _count(self, outcome: Outcome, packet: CallerPacket) -> None:
        counters = self._counters
        if isinstance(outcome, Forward):
            counters.forwarded += 1
            if packet.opens_flow:
                placed = counters.copies if packet.ack else counters.placed
                placed[outcome.upstream.entry.service] += 1
        elif isinstance(outcome, Reset):
            counters.resets[outcome.reason] += 1
        elif isinstance(outcome, Drop):
            counters.drops[outcome.reason] += 1
        else:
            counters.held += 1

    def on_change(self, change: Change, now: Seconds) -> bool:
        """Take in what the platform says; return whether it was news."""
        if isinstance(change, UpstreamChanged):
            known = self._upstreams.get(change.entry.name)
            before = known.revision if known else 0
            self._upstreams.put(change.entry, change.revision, change.created, now)
            return change.revision > before
        if isinstance(change, UpstreamRemoved):
            return self._upstreams.remove(change.name, change.revision, now) is not None
        if isinstance(change, TableChanged):
            return self._put_table(change.table, change.revision)
        return self._put_out(change)

    def settle(self, as_of: Revision) -> None:
        """Take in that all changes up to ``as_of`` have been told."""
        self._revision = max(self._revision, as_of)

    def retain(
        self,
        names: Collection[UpstreamName],
        out: Collection[DataCentreName],
        as_of: Revision,
        now: Seconds,
    ) -> None:
        """Take in a complete list: what is not on it was removed by revision ``as_of``."""
        self.settle(as_of)
        for name in set(self._upstreams.names_with_entry()) - set(names):
            self._upstreams.remove(name, as_of, now)
        for data_centre in set(self._out) - set(out):
            self._put_out(DataCentreOut(data_centre, False, as_of))

    def standing(self, upstream: Upstream, now: Seconds) -> UpstreamStanding:
        """Return how this host regards an upstream."""
        if upstream.removed_at is not None:
            return UpstreamStanding.REMOVED
        if upstream.entry.is_leaving:
            return UpstreamStanding.LEAVING
        if upstream.entry.data_centre in self._out:
            return UpstreamStanding.OUT
        if upstream.silence.is_lost(now):
            return UpstreamStanding.LOST
        if is_suspect(upstream, now):
            return UpstreamStanding.SUSPECT
        return UpstreamStanding.COLD if upstream.is_cold(now) else UpstreamStanding.WELL

    def view(
        self, now: Seconds, have: Revision = 0, age_s: Seconds = 0.0, *, whole: bool = True
    ) -> FleetView:
        """Return what changed after the revision ``have``, for another host.

        A large configuration is told only if the view is to be ``whole``.
        """
        table = self._table if self._table_revision > have else None
        if table is not None and not whole and len(table.routes) > MAX_TOLD_ROUTES:
            table = None
        return FleetView(
            self._revision,
            age_s,
            self.version,
            table,
            tuple(
                _known(upstream, now) for upstream in self._upstreams if upstream.revision > have
            ),
            tuple(
                DataCentreOut(name, is_out, revision)
                for words, is_out in ((self._out, True), (self._back, False))
                for name, revision in words.items()
                if revision > have
            ),
        )

    def on_view(self, view: FleetView, now: Seconds) -> None:
        """Take in what another host knows; older words change nothing."""
        for known in view.upstreams:
            self._upstreams.put(known.entry, known.revision, known.created, now)
            if not known.has_entry:
                self._upstreams.remove(known.entry.name, known.revision, now)
        if view.table is not None:
            self._put_table(view.table, view.revision)
        for word in view.data_centres:
            self._put_out(word)
        if self.version >= view.table_version:
            self.settle(view.revision)

    def on_tick(self, now: Seconds) -> None:
        """Forget what is too old to matter; to be called about once a second."""
        idle_s = min(self._table.idle_timeout_s, MAX_IDLE_S) if self._table else MAX_IDLE_S
        self._flows.expire(now - idle_s, now - OPENING_LIFETIME_S)
        self._upstreams.forget_removed(now)

    def _put_table(self, table: RoutingTable, revision: Revision) -> bool:
        if table.version <= self.version:
            return False
        self._table_revision = revision
        if self._table is not None:
            self._removed_routes |= self._table.routes.keys()
        self._removed_routes -= table.routes.keys()
        self._table = table
        return True

    def _put_out(self, change: DataCentreOut) -> bool:
        name = change.data_centre
        known = max(self._out.get(name, 0), self._back.get(name, 0))
        if change.revision <= known:
            return False
        self._out.pop(name, None)
        self._back.pop(name, None)
        (self._out if change.is_out else self._back)[name] = change.revision
        return True

    def _on_opening(self, packet: CallerPacket, now: Seconds) -> Outcome:
        if self._table is None:
            return HOLD
        route = self._table.routes.get(packet.destination)
        if route is None:
            return Reset(ResetReason.NO_ROUTE)
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.is_open:
            return Forward(flow.upstream)
        if flow is not None:
            flow.upstream.silence.on_repeat(flow, flow.sent_at, now, is_open=False)
        upstream = self._choose(route, flow.tried if flow else (), now)
        if upstream is None:
            return Reset(ResetReason.NO_UPSTREAM)
        self._flows.open(packet.flow, upstream, now)
        return Forward(upstream)

    def _choose(self, route: Route, tried: Collection[Upstream], now: Seconds) -> Upstream | None:
        for service in self._services_by_chance(route):
            usable = [
                upstream
                for upstream in in_data_centres(
                    self._upstreams.of_service(service), self.data_centres_out
                )
                if upstream.takes_flows and self._upstreams.is_addressable(upstream)
            ]
            chosen = self._placement.choose(usable, tried, now)
            if chosen is not None:
                return chosen
        return None

    def _services_by_chance(self, route: Route) -> Iterable[str]:
        """Order the services of a route at random by their weights."""
        if len(route.shares) == 1:
            return (route.shares[0].service,)
        weighted = [share for share in route.shares if share.weight > 0]
        keys = {share.service: self._rng.expovariate(1.0) / share.weight for share in weighted}
        return sorted(keys, key=keys.__getitem__)

    def _on_later(self, packet: CallerPacket, now: Seconds) -> Outcome:
        if packet.destination in self._removed_routes:
            self._flows.close(packet.flow)
            return Reset(ResetReason.ROUTE_REMOVED)
        flow = self._flows.get(packet.flow)
        if flow is None or not flow.is_open:
            upstream = self._upstreams.by_cookie(packet.cookie)
            if upstream is None:
                return self._without_upstream(packet)
            flow = self._confirm(packet, flow, upstream, now)
        self._observe(flow, packet, now)
        if packet.ends_flow:
            self._flows.close(packet.flow)
        elif self._is_hopeless(flow.upstream, packet, now):
            self._flows.close(packet.flow)
            return Reset(ResetReason.UPSTREAM_LOST, flow.upstream)
        return Forward(flow.upstream)

    def _is_hopeless(self, upstream: Upstream, packet: CallerPacket, now: Seconds) -> bool:
        """Whether the caller should try again elsewhere rather than wait."""
        if not (upstream.silence.is_lost(now) or is_gone(upstream, now)):
            return False
        route = self._table.routes.get(packet.destination) if self._table else None
        return route is not None and route.kind is not RouteKind.NON_IDEMPOTENT

    def _without_upstream(self, packet: CallerPacket) -> Outcome:
        if packet.cookie == NO_COOKIE:
            return Drop(DropReason.STRAY_RESET)
        if self._table is None:
            return HOLD
        return Drop(DropReason.UNKNOWN_COOKIE)

    def _confirm(
        self, packet: CallerPacket, flow: Flow | None, upstream: Upstream, now: Seconds
    ) -> Flow:
        if flow is None:
            return self._flows.adopt(packet.flow, upstream, now)
        self._flows.confirm(flow, upstream, now)
        return flow

    def _observe(self, flow: Flow, packet: CallerPacket, now: Seconds) -> None:
        progress = self._flows.observe(flow, packet, now)
        if progress is Progress.REPEATED:
            flow.upstream.silence.on_repeat(flow, flow.sent_at, now, is_open=True)


def _known(upstream: Upstream, now: Seconds) -> KnownUpstream:
    cold_for_s = max(0.0, upstream.cold_until - now)
    return KnownUpstream(
        upstream.entry._replace(cold_for_s=cold_for_s),
        upstream.revision,
        upstream.created,
        upstream.removed_at is None,
    )
