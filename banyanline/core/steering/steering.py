"""Decides for each caller's packet whether it is forwarded, and to which upstream.

An upstream is chosen for an opening packet from this host's view of the upstreams.
All later packets of the flow carry the cookie of the upstream that accepted it, so
that any host can forward them without having seen the flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.check_evidence import ReferenceAnswers
from banyanline.core.steering.check_schedule import CheckScheduler
from banyanline.core.steering.cold_limit import ColdLimiter
from banyanline.core.steering.counters import SteeringCounters
from banyanline.core.steering.failover import Failover
from banyanline.core.steering.failure_detection import is_gone
from banyanline.core.steering.flows import FlowTable
from banyanline.core.steering.host_liveness import HostLiveness
from banyanline.core.steering.outcomes import (
    HOLD,
    Drop,
    DropReason,
    Forward,
    Outcome,
    Reset,
    ResetReason,
)
from banyanline.core.steering.pace import OpeningPacer
from banyanline.core.steering.packet import NO_COOKIE
from banyanline.core.steering.peer_placement import PeerPlacement
from banyanline.core.steering.peer_reports import PeerReports
from banyanline.core.steering.placement import Placement
from banyanline.core.steering.readiness import Readiness

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.check_schedule import DueCheck
    from banyanline.core.steering.failure_detection import CheckResult
    from banyanline.core.steering.flows import Flow
    from banyanline.core.steering.model import Route
    from banyanline.core.steering.packet import CallerPacket
    from banyanline.core.steering.peer_reports import HostReport
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

OPENING_LIFETIME_S = 3.0
"""How long an unconfirmed flow is tracked; its caller gives up sooner."""

MAX_IDLE_S = 60.0


class Steering:
    """Makes the steering decisions of one host, from its catalog of the platform's state."""

    def __init__(
        self,
        catalog: Catalog,
        data_centre: DataCentreName,
        rng: random.Random,
        placement: Placement | None = None,
        peers: PeerReports | None = None,
    ) -> None:
        self._catalog = catalog
        self._data_centre = data_centre
        self._peers = peers or PeerReports()
        self._rng = rng
        self._placement = placement or Placement(data_centre, rng)
        self._peer_placement = PeerPlacement(data_centre, rng, self._peers)
        self._counters = SteeringCounters()
        self._flows = FlowTable(self._counters)
        self._check_scheduler = CheckScheduler(catalog)
        self._readiness = Readiness(catalog, self._peers, data_centre)
        self._liveness = HostLiveness(data_centre)
        self._failover = Failover(self._liveness)
        self._reference_answers = ReferenceAnswers(catalog.upstreams)
        self._cold_limiter = ColdLimiter(catalog, self._peers, rng)
        self._pace = OpeningPacer(catalog, data_centre, self._peers, rng, self._counters)

    @property
    def catalog(self) -> Catalog:
        """The routes and upstreams that this host knows."""
        return self._catalog

    @property
    def peers(self) -> PeerReports:
        """The reports of the other hosts in this data centre."""
        return self._peers

    @property
    def liveness(self) -> HostLiveness:
        """The hosts that send heartbeats to this one."""
        return self._liveness

    @property
    def failover(self) -> Failover:
        """Whether callers should go to other data centres because hosts here are silent."""
        return self._failover

    @property
    def readiness(self) -> Readiness:
        """Whether the services are in reach of this host's data centre."""
        return self._readiness

    @property
    def is_ready(self) -> bool:
        """Whether this host should take new callers."""
        return self._readiness.is_ready and not self._failover.is_active

    @property
    def peer_placement(self) -> PeerPlacement:
        """The placement of flows by the reports of the other hosts."""
        return self._peer_placement

    @property
    def pace(self) -> OpeningPacer:
        """The pacing of openings to upstreams that have started or recovered."""
        return self._pace

    @property
    def flows(self) -> FlowTable:
        """The flows that this host tracks."""
        return self._flows

    @property
    def counters(self) -> SteeringCounters:
        """Counts of packets by outcome."""
        return self._counters

    def on_packet(self, packet: CallerPacket, now: Seconds) -> Outcome:
        """Decide whether to forward, reset, drop or hold a caller's packet."""
        decide = self._on_opening if packet.opens_flow else self._on_subsequent
        outcome = decide(packet, now)
        self._count(outcome, packet)
        return outcome

    def _count(self, outcome: Outcome, packet: CallerPacket) -> None:
        counters = self._counters
        if isinstance(outcome, Forward):
            counters.forwarded += 1
            if packet.opens_flow:
                openings = counters.copies if packet.ack else counters.placed
                entry = outcome.upstream.entry
                openings[entry.service] += 1
                if not packet.ack and entry.data_centre != self._data_centre:
                    counters.elsewhere[entry.service] += 1
        elif isinstance(outcome, Reset):
            counters.resets[outcome.reason] += 1
        elif isinstance(outcome, Drop):
            counters.drops[outcome.reason] += 1
        else:
            counters.held += 1

    @property
    def check_scheduler(self) -> CheckScheduler:
        """The schedule of health checks of upstreams."""
        return self._check_scheduler

    @property
    def reference_answers(self) -> ReferenceAnswers:
        """Recent answers of upstreams, with which health checks exclude a fault of this host."""
        return self._reference_answers

    def on_check(self, check: DueCheck, result: CheckResult, now: Seconds) -> None:
        """Handle the result of a health check."""
        self._counters.checks[result] += 1
        self._check_scheduler.on_result(check, result, now)
        self._update_readiness(now)

    def on_report(self, report: HostReport, now: Seconds) -> bool:
        """Use the report of another host; return False if it is not later than the one in use."""
        if not self._peers.put(report, now):
            return False
        if not self._readiness.is_ready or any(each.is_out_of_reach for each in report.services):
            self._update_readiness(now)
        return True

    def on_tick(self, now: Seconds) -> None:
        """Remove expired flows and upstreams; call this about once a second."""
        table = self._catalog.table
        idle_s = min(table.idle_timeout_s, MAX_IDLE_S) if table else MAX_IDLE_S
        self._flows.expire(now - idle_s, now - OPENING_LIFETIME_S)
        self._catalog.upstreams.forget_removed(now)
        self._pace.on_tick(now)
        self._peer_placement.on_tick(self._catalog.upstreams, now)
        self._update_readiness(now)
        self._failover.update(now)

    def _update_readiness(self, now: Seconds) -> None:
        for upstream in self._readiness.update(now):
            self._check_scheduler.request_check(upstream, now)

    def _on_opening(self, packet: CallerPacket, now: Seconds) -> Outcome:
        if not self._catalog.is_configured:
            return HOLD
        route = self._catalog.route(packet.destination)
        if route is None:
            return Reset(ResetReason.NO_ROUTE)
        flow = self._flows.get(packet.flow)
        if flow is not None and flow.is_open:
            return Forward(flow.upstream)
        if flow is not None:
            self._on_retransmission(flow, now)
        else:
            self._peer_placement.on_opening(route, now)
        upstream = self.choose(route, flow.tried if flow else (), now)
        if upstream is None:
            return self._refuse(route, flow)
        is_first = flow is None and not packet.ack
        if is_first and not self._peer_placement.admits(route, upstream, now):
            self._counters.refused[upstream.entry.service] += 1
            return Reset(ResetReason.NO_ROOM)
        if upstream.is_cold(now):
            upstream.cold_openings += 1
        self._cold_limiter.on_opening(upstream, now)
        self._pace.on_opening(upstream, now)
        self._check_scheduler.on_opening(self._flows.open(packet.flow, upstream, now), now)
        self._readiness.on_opening(upstream.entry.service, now)
        return Forward(upstream)

    def choose(self, route: Route, tried: Collection[Upstream], now: Seconds) -> Upstream | None:
        """Return the upstream for a new flow of a route, without recording the choice."""
        for service in self._weighted_shuffle(route):
            usable = [
                upstream
                for upstream in self._catalog.usable(service)
                if self._cold_limiter.admits(upstream, now)
            ]
            median_s = self._flows.median_response_s(service)
            paced = self._pace.costs(usable, median_s, now)
            if self._peer_placement.is_active:
                chosen = self._peer_placement.choose(usable, tried, route, median_s, now, paced)
            else:
                chosen = self._placement.choose(usable, tried, median_s, now, paced)
            if chosen is not None:
                return chosen
        return None

    def _refuse(self, route: Route, flow: Flow | None) -> Outcome:
        """Refuse a flow for which no upstream can be chosen.

        A retransmitted opening packet goes to the same cold upstream again, as that
        upstream may be answering.
        """
        reason = self.refusal_reason(route)
        if flow is not None and reason is ResetReason.COLD_UPSTREAMS:
            return Forward(flow.upstream)
        if route.shares:
            main = max(route.shares, key=lambda share: share.weight)
            self._counters.refused[main.service] += 1
        return Reset(reason)

    def refusal_reason(self, route: Route) -> ResetReason:
        """Return the reason why no upstream of a route can be chosen."""
        is_usable = any(self._catalog.usable(share.service) for share in route.shares)
        return ResetReason.COLD_UPSTREAMS if is_usable else ResetReason.NO_UPSTREAM

    def _weighted_shuffle(self, route: Route) -> Iterable[ServiceName]:
        """Return the services of a route in random order, weighted by their shares."""
        if len(route.shares) == 1:
            return (route.shares[0].service,)
        weighted = [share for share in route.shares if share.weight > 0]
        keys = {share.service: self._rng.expovariate(1.0) / share.weight for share in weighted}
        return sorted(keys, key=keys.__getitem__)

    def _on_subsequent(self, packet: CallerPacket, now: Seconds) -> Outcome:
        if self._catalog.is_route_removed(packet.destination):
            self._flows.close(packet.flow)
            return Reset(ResetReason.ROUTE_REMOVED)
        flow = self._flows.get(packet.flow)
        if flow is None or not flow.is_open:
            upstream = self._catalog.upstreams.by_cookie(packet.cookie)
            if upstream is None:
                return self._on_unknown_cookie(packet)
            flow = self._confirm(packet, flow, upstream, now)
        self._observe(flow, packet, now)
        if packet.ends_flow:
            flow.upstream.responses.abandon(flow, now)
            self._flows.close(packet.flow)
        elif self._should_reset(flow.upstream, packet, now):
            self._flows.close(packet.flow)
            return Reset(ResetReason.UPSTREAM_LOST, flow.upstream)
        return Forward(flow.upstream)

    def _should_reset(self, upstream: Upstream, packet: CallerPacket, now: Seconds) -> bool:
        """Whether to reset the flow so that the caller retries at another upstream.

        Applies only to routes whose requests may be repeated. Requests a health check of an
        upstream that has not responded since its entry was removed.
        """
        if not (upstream.failure_detector.is_lost(now) or is_gone(upstream, now)):
            if upstream.is_silent_since_removal:
                self._check_scheduler.request_check(upstream, now)
            return False
        route = self._catalog.route(packet.destination)
        return route is not None and route.kind.is_idempotent

    def _on_unknown_cookie(self, packet: CallerPacket) -> Outcome:
        if packet.cookie == NO_COOKIE:
            return Drop(DropReason.STRAY_RESET)
        if not self._catalog.is_configured:
            return HOLD
        return Drop(DropReason.UNKNOWN_COOKIE)

    def _confirm(
        self, packet: CallerPacket, flow: Flow | None, upstream: Upstream, now: Seconds
    ) -> Flow:
        if flow is None:
            return self._flows.adopt(packet.flow, upstream, now)
        self._check_scheduler.on_confirmed(now - flow.sent_at)
        self._flows.confirm(flow, upstream, now)
        return flow

    def _observe(self, flow: Flow, packet: CallerPacket, now: Seconds) -> None:
        if self._flows.observe(flow, packet, now):
            self._on_retransmission(flow, now)

    def _on_retransmission(self, flow: Flow, now: Seconds) -> None:
        upstream = flow.upstream
        upstream.failure_detector.on_retransmission(flow, flow.sent_at, now, is_open=flow.is_open)
        self._check_scheduler.request_check(upstream, now)
