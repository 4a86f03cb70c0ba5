"""Chooses the upstream for a new flow by the whole load that a data centre carries.

The load of an upstream is this host's own part, and the parts in the latest reports of the
other hosts. Reports are seconds old and the same at all hosts: if each host chose the
upstream with the lowest load, all flows would go there until the next reports. Instead,
each upstream gets a share of the flows, which is larger if its load is below the mean.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.admission import Admission
from banyanline.core.steering.demand import Demand
from banyanline.core.steering.overflow import Overflow, in_flight_from_all
from banyanline.core.steering.peer_responses import PeerResponses, group_of
from banyanline.core.steering.placement import (
    FLOW_WEIGHT,
    NOT_PACED,
    availability_rank,
    slowness_of,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from banyanline.core.steering.model import Route
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.peer_responses import Group
    from banyanline.core.steering.upstreams import Upstream, UpstreamTable
    from banyanline.core.types import DataCentreName, Seconds, ServiceName, UpstreamName

LOAD_GAIN = 1.0
"""Change of an upstream's share for each change of its load, both relative to the mean."""

LOAD_WEIGHT = 0.25
"""Weight of the latest load in its moving average; with more, shares of short flows oscillate."""

MIN_FACTOR = 0.25
MAX_FACTOR = 2.0
"""Limits of an upstream's share of new flows, relative to its capacity."""

UPSTREAMS_PER_S = 500
"""Upstreams whose share is computed in a second; with more, shares are updated less often."""

GOLDEN_STEP = 0.618034
"""Step whose multiples, modulo 1, fill any interval evenly."""


class _Loaded(NamedTuple):
    """The capacity of an upstream in slots, and its load for each of them."""

    name: UpstreamName
    capacity: float
    load: float


class PeerPlacement:
    """Chooses upstreams by their capacity, and their load from all hosts of this data centre.

    Upstreams in other data centres are chosen if none here is available, or by
    :class:`Overflow`: the reports do not include the load from their hosts.
    """

    def __init__(self, data_centre: DataCentreName, rng: random.Random, peers: PeerReports) -> None:
        self._rng = rng
        self._peers = peers
        self._responses = PeerResponses()
        self._overflow = Overflow(data_centre, rng, peers, self._responses)
        self._demand = Demand(data_centre, peers)
        self._admission = Admission(rng, self._overflow, self._demand)
        self._loads: dict[UpstreamName, float] = {}
        self._weights: dict[UpstreamName, float] = {}
        self._next_update_at: Seconds = 0.0
        self._positions: dict[ServiceName, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether there are reports of other hosts."""
        return bool(self._peers.hosts)

    @property
    def responses(self) -> PeerResponses:
        """What the reports say of response times."""
        return self._responses

    @property
    def admission(self) -> Admission:
        """Who is admitted while there is too little room."""
        return self._admission

    def on_opening(self, route: Route, now: Seconds) -> None:
        """Record the first opening packet of a flow."""
        if self.is_active:
            self._demand.on_opening(route, now)

    def admits(self, route: Route, upstream: Upstream, now: Seconds) -> bool:
        """Whether a new flow may be opened at the upstream chosen for it."""
        return not self.is_active or self._admission.admits(route, upstream, now)

    def on_tick(self, upstreams: UpstreamTable, now: Seconds) -> None:
        """Use the reports that arrived; call this about once a second."""
        if not self.is_active:
            self._loads = {}
            self._weights = {}
        elif now >= self._next_update_at:
            self._next_update_at = now + len(upstreams) / UPSTREAMS_PER_S
            self._responses.update(self._peers, upstreams, now)
            self._demand.update(upstreams, now)
            self._weights = self._weigh(upstreams, now)

    def choose(
        self,
        upstreams: Sequence[Upstream],
        tried: Collection[Upstream],
        route: Route,
        median_response_s: Seconds | None,
        now: Seconds,
        paced: Mapping[Upstream, float] = NOT_PACED,
    ) -> Upstream | None:
        """Return the upstream for a flow of a route, preferring one that was not tried before.

        ``upstreams`` are of one service, whose median response time is ``median_response_s``
        if it is known. ``paced`` holds the extra costs of upstreams whose openings are paced,
        in requests in flight.
        """
        if not upstreams:
            return None
        untried = [upstream for upstream in upstreams if upstream not in tried]
        available = _most_available(untried or upstreams, paced, now)
        if not tried:
            self._admission.update(available, route, now)
        candidates = self._overflow.select(available, route.objective_s, now)
        candidates = self._admission.select(candidates, route, now)
        if len(candidates) == 1:
            return candidates[0]
        shares = self._shares(candidates, median_response_s, paced, now)
        return candidates[self._draw(candidates[0].entry.service, shares)]

    def _weigh(self, upstreams: UpstreamTable, now: Seconds) -> dict[UpstreamName, float]:
        """Return the capacity of each upstream, corrected by its load.

        The load is compared with the mean of its service and data centre.
        """
        groups: defaultdict[Group, list[_Loaded]] = defaultdict(list)
        for upstream in upstreams:
            if upstream.accepts_flows:
                groups[group_of(upstream)].append(self._loaded(upstream, now))
        self._loads = {each.name: each.load for group in groups.values() for each in group}
        weights = {}
        for group in groups.values():
            gain = LOAD_GAIN * len(group) / (sum(each.load for each in group) or 1.0)
            for name, capacity, load in group:
                factor = 1.0 + LOAD_GAIN - gain * load
                weights[name] = capacity * min(max(factor, MIN_FACTOR), MAX_FACTOR)
        return weights

    def _loaded(self, upstream: Upstream, now: Seconds) -> _Loaded:
        """Return an upstream's load relative to its capacity, as a moving average."""
        name = upstream.name
        capacity = upstream.entry.slots * self._responses.speed(name)
        load = self._load(upstream, now) / capacity
        known = self._loads.get(name, load)
        return _Loaded(name, capacity, known + LOAD_WEIGHT * (load - known))

    def _load(self, upstream: Upstream, now: Seconds) -> float:
        """Return the load from all hosts of this data centre, in requests in flight."""
        flows = upstream.open_flows + self._peers.load(upstream.name).open_flows
        return in_flight_from_all(upstream, self._peers, now) + FLOW_WEIGHT * flows

    def _shares(
        self,
        upstreams: Sequence[Upstream],
        median_response_s: Seconds | None,
        paced: Mapping[Upstream, float],
        now: Seconds,
    ) -> list[float]:
        """Return the relative shares of new flows.

        Between data centres they are in proportion to how fast each responds, as the load
        from their own hosts is unknown here.
        """
        rates = self._rates({group_of(upstream) for upstream in upstreams})
        return [
            self._weights.get(upstream.name, upstream.entry.slots)
            * rates.get(group_of(upstream), 1.0)
            / (slowness_of(upstream, median_response_s, now) * (1.0 + paced.get(upstream, 0.0)))
            for upstream in upstreams
        ]

    def _rates(self, groups: Collection[Group]) -> Mapping[Group, float]:
        """Return the rates of groups of upstreams; empty if not all are known, or there is one."""
        if len(groups) < 2:
            return {}
        times_s = {group: self._responses.mean_s(*group) for group in groups}
        rates = {group: 1.0 / time_s for group, time_s in times_s.items() if time_s}
        return rates if len(rates) == len(groups) else {}

    def _draw(self, service: ServiceName, shares: Sequence[float]) -> int:
        """Return a random index, more evenly distributed than independent ones would be."""
        position = self._positions.get(service)
        if position is None:
            position = self._rng.random()
        position = self._positions[service] = (position + GOLDEN_STEP) % 1.0
        rest = position * sum(shares)
        for idx, share in enumerate(shares):
            rest -= share
            if rest < 0.0:
                return idx
        return len(shares) - 1


def _most_available(
    upstreams: Sequence[Upstream], paced: Collection[Upstream], now: Seconds
) -> list[Upstream]:
    ranks = [availability_rank(upstream, now, paced) for upstream in upstreams]
    best = min(ranks)
    return [each for each, rank in zip(upstreams, ranks, strict=True) if rank == best]
