"""Chooses the upstream for a new flow by the whole load that a data centre carries.

The load of an upstream is this host's own part, and the parts in the latest reports of the
other hosts. Reports are seconds old and the same at all hosts: if each host chose the
upstream with the lowest load, all flows would go there until the next reports. Instead,
each upstream gets a share of the flows, which is larger if its load is below the mean.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.peer_responses import PeerResponses
from banyanline.core.steering.placement import FLOW_WEIGHT, availability_rank, slowness_of

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream, UpstreamTable
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

LOAD_GAIN = 2.0
"""Change of an upstream's share for each change of its load, both relative to the mean."""

MIN_SHARE = 0.25
MAX_SHARE = 2.0
"""Limits of an upstream's share of new flows, relative to its capacity."""

GOLDEN_STEP = 0.618034
"""Step whose multiples, modulo 1, fill any interval evenly."""


class PeerPlacement:
    """Chooses upstreams by their capacity, and their load from all hosts of this data centre.

    Upstreams in other data centres are chosen only if none here is available, as the
    reports do not include their hosts' load.
    """

    def __init__(self, data_centre: DataCentreName, rng: random.Random, peers: PeerReports) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._peers = peers
        self._responses = PeerResponses()
        self._positions: dict[ServiceName, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether there are reports of other hosts."""
        return bool(self._peers.hosts)

    @property
    def responses(self) -> PeerResponses:
        """What the reports say of response times."""
        return self._responses

    def on_tick(self, upstreams: UpstreamTable, now: Seconds) -> None:
        """Use the reports that arrived; call this about once a second."""
        self._responses.update(self._peers, upstreams, now)

    def capacity(self, upstream: Upstream) -> float:
        """Return the slots of an upstream times its speed."""
        return upstream.entry.slots * self._responses.speed(upstream.name)

    def choose(
        self,
        upstreams: Sequence[Upstream],
        tried: Collection[Upstream],
        median_response_s: Seconds | None,
        now: Seconds,
    ) -> Upstream | None:
        """Return the upstream for a flow, preferring one that was not tried before.

        ``median_response_s`` is the median response time of the service, if it is known.
        """
        if not upstreams:
            return None
        untried = [upstream for upstream in upstreams if upstream not in tried]
        candidates = _most_available(untried or upstreams, now)
        candidates = self._here(candidates) or candidates
        if len(candidates) == 1:
            return candidates[0]
        shares = self._shares(candidates, median_response_s, now)
        return candidates[self._draw(candidates[0].entry.service, shares)]

    def load(self, upstream: Upstream, now: Seconds) -> float:
        """Return the load from all hosts of this data centre, in requests in flight."""
        peer_load = self._peers.load(upstream.name)
        requests = requests_in_flight(upstream, now) + peer_load.in_flight
        flows = upstream.open_flows + peer_load.open_flows
        return requests + FLOW_WEIGHT * flows

    def _here(self, upstreams: Sequence[Upstream]) -> list[Upstream]:
        return [each for each in upstreams if each.entry.data_centre == self._data_centre]

    def _shares(
        self, upstreams: Sequence[Upstream], median_response_s: Seconds | None, now: Seconds
    ) -> list[float]:
        """Return the relative shares of new flows."""
        capacities = [self.capacity(upstream) for upstream in upstreams]
        loads = [
            self.load(upstream, now) / capacity
            for upstream, capacity in zip(upstreams, capacities, strict=True)
        ]
        gain = LOAD_GAIN * len(loads) / (sum(loads) or 1.0)
        return [
            capacity
            * min(max(1.0 + LOAD_GAIN - gain * load, MIN_SHARE), MAX_SHARE)
            / slowness_of(upstream, median_response_s, now)
            for upstream, load, capacity in zip(upstreams, loads, capacities, strict=True)
        ]

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


def requests_in_flight(upstream: Upstream, now: Seconds) -> int:
    """Return the requests and opening packets of this host without a response."""
    return upstream.responses.under_way(now) + upstream.pending_opens


def _most_available(upstreams: Sequence[Upstream], now: Seconds) -> list[Upstream]:
    ranks = [availability_rank(upstream, now) for upstream in upstreams]
    best = min(ranks)
    return [each for each, rank in zip(upstreams, ranks, strict=True) if rank == best]
