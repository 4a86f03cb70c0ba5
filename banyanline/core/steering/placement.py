"""Chooses the upstream for a new flow."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.upstreams import is_suspect

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds

FLOW_WEIGHT = 0.25
"""Load of an open flow without a request in flight, in requests in flight."""

REMOTE_WEIGHT = 6.0
"""Extra cost of an upstream in another data centre, in requests in flight."""

JITTER_WEIGHT = 0.05
"""Random extra load, in requests in flight, so that hosts with the same view choose differently."""

SLOW_RATIO = 2.0
"""Ratio of an upstream's response time to its service's median from which it counts as slow."""

NOT_PACED: Mapping[Upstream, float] = {}


class PlacementPolicy(NamedTuple):
    """Weights of the cost of an upstream, in requests in flight."""

    flow: float = FLOW_WEIGHT
    remote: float = REMOTE_WEIGHT
    jitter: float = JITTER_WEIGHT


class Placement:
    """Chooses the healthy upstream with the lowest expected wait.

    Suspect upstreams rank below healthy ones, and cold ones below suspect ones, as they
    can take only a low rate of flows, unless they are paced. Those that failed a health
    check rank last.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        rng: random.Random,
        policy: PlacementPolicy | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._policy = policy or PlacementPolicy()

    def choose(
        self,
        upstreams: Sequence[Upstream],
        tried: Collection[Upstream],
        median_response_s: Seconds | None,
        now: Seconds,
        paced: Mapping[Upstream, float] = NOT_PACED,
    ) -> Upstream | None:
        """Return the upstream for a flow, preferring one that was not tried before.

        ``median_response_s`` is the median response time of the service, if it is known.
        ``paced`` holds the extra costs of upstreams whose openings are paced.
        """
        if not upstreams:
            return None
        untried = [upstream for upstream in upstreams if upstream not in tried]
        return min(
            untried or upstreams,
            key=lambda upstream: self._rank(upstream, median_response_s, now, paced),
        )

    def _rank(
        self,
        upstream: Upstream,
        median_response_s: Seconds | None,
        now: Seconds,
        paced: Mapping[Upstream, float],
    ) -> tuple[bool, bool, bool, float]:
        cost = self._cost(upstream, slowness_of(upstream, median_response_s, now), now)
        return (*availability_rank(upstream, now, paced), cost + paced.get(upstream, 0.0))

    def _cost(self, upstream: Upstream, slowness: float, now: Seconds) -> float:
        """Return the expected wait in requests of median duration, plus the cost of distance."""
        policy = self._policy
        entry = upstream.entry
        load = float(upstream.responses.under_way(now) + upstream.pending_opens)
        load += policy.flow * upstream.open_flows + policy.jitter * self._rng.random()
        cost = (1.0 + load / entry.slots) * slowness
        if entry.data_centre != self._data_centre:
            cost += policy.remote
        return cost


def availability_rank(
    upstream: Upstream, now: Seconds, paced: Collection[Upstream] = ()
) -> tuple[bool, bool, bool]:
    """Return the rank of an upstream by what may keep it from responding, best first.

    Cold upstreams rank below others unless their openings are ``paced``.
    """
    has_failed_check = upstream.failure_detector.has_failed_check
    is_reserve = upstream not in paced and upstream.is_cold(now)
    return (has_failed_check, is_reserve, is_suspect(upstream, now))


def slowness_of(upstream: Upstream, median_response_s: Seconds | None, now: Seconds) -> float:
    """Return the ratio of response time to median, or 1 if unknown or below ``SLOW_RATIO``."""
    expected_s = upstream.responses.expected_s(now)
    if not median_response_s or expected_s is None or expected_s < SLOW_RATIO * median_response_s:
        return 1.0
    return expected_s / median_response_s
