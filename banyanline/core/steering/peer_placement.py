"""Chooses the upstream for a new flow by the load from all hosts of the data centre.

The load of an upstream is this host's own part and the parts in the latest reports of the
other hosts. Reports are up to two seconds old and the same at all hosts: if each host chose
the upstream with the lowest load, all flows would go there until the next reports. Instead,
each upstream gets a share of the flows, which is larger if its load is below the mean.

A host among few sends a large part of the load itself. It knows that part at once, and decides
by it alone (``placement.py``).
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.admission import Admission
from banyanline.core.steering.demand import Demand
from banyanline.core.steering.overflow import Overflow, total_in_flight
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

MIN_PEERS = 5
"""Number of other hosts from which their reports say more than this host's own part."""

LOAD_GAIN = 1.0
"""Relative change of an upstream's share for a relative distance of its load from the mean."""

LOAD_WEIGHT = 0.25
"""Weight of the latest load in its moving average; with more, shares of short flows oscillate."""

MIN_LOAD_FACTOR = 0.25
MAX_LOAD_FACTOR = 2.0
"""Limits of the factor by which load changes an upstream's share, as reports may be old."""

MAX_WEIGHED_UPSTREAMS_PER_S = 500
"""Limit on computed shares per second; with more upstreams, updates are less frequent."""

LOW_DISCREPANCY_STEP = 0.618034
"""Fraction of the golden ratio: its multiples modulo 1 are a low-discrepancy sequence."""


class _SmoothedLoad(NamedTuple):
    """The capacity of an upstream in slots of usual speed, and its average load per slot."""

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
        self._draw_positions: dict[ServiceName, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether there are reports of enough other hosts."""
        return len(self._peers.hosts) >= MIN_PEERS

    @property
    def responses(self) -> PeerResponses:
        """What the reports say of response times."""
        return self._responses

    @property
    def admission(self) -> Admission:
        """Admission control during a shortage of capacity."""
        return self._admission

    def on_opening(self, route: Route, now: Seconds) -> None:
        """Record the first opening packet of a flow."""
        if self.is_active:
            self._demand.on_opening(route, now)

    def admits(self, route: Route, upstream: Upstream, now: Seconds) -> bool:
        """Whether a new flow may be opened at the upstream chosen for it."""
        return not self.is_active or self._admission.admits(route, upstream, now)

    def on_tick(self, upstreams: UpstreamTable, now: Seconds) -> None:
        """Update loads and shares from the latest reports; call this about once a second."""
        if not self.is_active:
            self._loads = {}
            self._weights = {}
        elif now >= self._next_update_at:
            self._next_update_at = now + len(upstreams) / MAX_WEIGHED_UPSTREAMS_PER_S
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
        if it is known. ``paced`` holds the extra costs of upstreams whose openings are paced.
        """
        if not upstreams:
            return None
        untried = [upstream for upstream in upstreams if upstream not in tried]
        available = _most_available(untried or upstreams, now, paced)
        if not tried:
            self._admission.update(_without_failed_check(upstreams) or available, route, now)
        candidates = self._overflow.select(available, route.objective_s, now)
        candidates = self._admission.select(candidates, route, now)
        candidates = self._in_turn(candidates, paced, now)
        if len(candidates) == 1:
            return candidates[0]
        shares = self._shares(candidates, median_response_s, now)
        return candidates[self._draw(candidates[0].entry.service, shares)]

    def _in_turn(
        self, upstreams: Sequence[Upstream], paced: Mapping[Upstream, float], now: Seconds
    ) -> Sequence[Upstream]:
        """Return the upstreams to draw from, when the openings to some are paced.

        A paced upstream is left out if its load and its cost exceed the load of another. On
        this host's turn it is preferred, unless another has less load.
        """
        if not any(paced.get(upstream) for upstream in upstreams):
            return upstreams
        loads = {each: self._in_flight_per_slot(each, now) for each in upstreams}
        lowest = min((loads[each] for each in upstreams if each not in paced), default=None)
        if lowest is None:
            return upstreams
        preferred = [
            each for each in upstreams if paced.get(each, 0.0) < 0.0 and loads[each] <= lowest
        ]
        return preferred or [
            each
            for each in upstreams
            if paced.get(each, 0.0) <= 0.0 or loads[each] + paced[each] <= lowest
        ]

    def _in_flight_per_slot(self, upstream: Upstream, now: Seconds) -> float:
        return total_in_flight(upstream, self._peers, now) / upstream.entry.slots

    def _weigh(self, upstreams: UpstreamTable, now: Seconds) -> dict[UpstreamName, float]:
        """Return the weight of each upstream: its capacity times a factor for its load.

        The factor is above 1 if the load is below the mean of its service and data centre.
        """
        groups: defaultdict[Group, list[_SmoothedLoad]] = defaultdict(list)
        for upstream in upstreams:
            if upstream.accepts_flows:
                groups[group_of(upstream)].append(self._smoothed_load(upstream, now))
        self._loads = {each.name: each.load for group in groups.values() for each in group}
        weights = {}
        for group in groups.values():
            gain = LOAD_GAIN * len(group) / (sum(each.load for each in group) or 1.0)
            for name, capacity, load in group:
                factor = 1.0 + LOAD_GAIN - gain * load
                weights[name] = capacity * min(max(factor, MIN_LOAD_FACTOR), MAX_LOAD_FACTOR)
        return weights

    def _smoothed_load(self, upstream: Upstream, now: Seconds) -> _SmoothedLoad:
        """Return an upstream's load relative to its capacity, as a moving average."""
        name = upstream.name
        capacity = upstream.entry.slots * self._responses.speed(name)
        load = self._load(upstream, now) / capacity
        previous = self._loads.get(name, load)
        return _SmoothedLoad(name, capacity, previous + LOAD_WEIGHT * (load - previous))

    def _load(self, upstream: Upstream, now: Seconds) -> float:
        """Return the load from all hosts of this data centre, in requests in flight."""
        flows = upstream.open_flows + self._peers.load(upstream.name).open_flows
        return total_in_flight(upstream, self._peers, now) + FLOW_WEIGHT * flows

    def _shares(
        self, upstreams: Sequence[Upstream], median_response_s: Seconds | None, now: Seconds
    ) -> list[float]:
        """Return the relative shares of new flows.

        Those of different data centres are also in proportion to how fast each responds,
        as this host doesn't know the load from hosts elsewhere.
        """
        rates = self._response_rates({group_of(upstream) for upstream in upstreams})
        return [
            self._weights.get(upstream.name, upstream.entry.slots)
            * rates.get(group_of(upstream), 1.0)
            / slowness_of(upstream, median_response_s, now)
            for upstream in upstreams
        ]

    def _response_rates(self, groups: Collection[Group]) -> Mapping[Group, float]:
        """Return the responses per second of one slot in each of several groups.

        Empty if there is only one group, or if the response time of any is unknown.
        """
        if len(groups) < 2:
            return {}
        times_s = {group: self._responses.mean_s(*group) for group in groups}
        rates = {group: 1.0 / time_s for group, time_s in times_s.items() if time_s}
        return rates if len(rates) == len(groups) else {}

    def _draw(self, service: ServiceName, shares: Sequence[float]) -> int:
        """Return an index drawn in proportion to the shares.

        A low-discrepancy sequence varies less than independent draws. It starts at random,
        as hosts that draw the same numbers would choose the same upstreams.
        """
        position = self._draw_positions.get(service)
        if position is None:
            position = self._rng.random()
        position = self._draw_positions[service] = (position + LOW_DISCREPANCY_STEP) % 1.0
        remaining = position * sum(shares)
        for idx, share in enumerate(shares):
            remaining -= share
            if remaining < 0.0:
                return idx
        return len(shares) - 1


def _most_available(
    upstreams: Sequence[Upstream], now: Seconds, paced: Collection[Upstream]
) -> list[Upstream]:
    ranks = [availability_rank(upstream, now, paced) for upstream in upstreams]
    best = min(ranks)
    return [each for each, rank in zip(upstreams, ranks, strict=True) if rank == best]


def _without_failed_check(upstreams: Sequence[Upstream]) -> list[Upstream]:
    """Return the upstreams that may have capacity: suspect and cold ones answer requests too."""
    return [each for each in upstreams if not each.failure_detector.has_failed_check]
