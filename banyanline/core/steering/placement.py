"""Which upstream a new flow goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.upstreams import is_suspect

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds

FLOW_WEIGHT = 0.25
"""An open flow without a request under way, measured in requests under way."""

REMOTE_WEIGHT = 6.0
"""What an upstream in another data centre counts more, in requests under way."""

JITTER_WEIGHT = 0.05
"""Spreads the choices of hosts that know the same, in requests under way."""


SLOW_RATIO = 2.0
"""An upstream is slow if it answers this many times as late as is usual for its service."""


class PlacementPolicy(NamedTuple):
    """Weights of the choice among upstreams, in requests under way."""

    flow: float = FLOW_WEIGHT
    remote: float = REMOTE_WEIGHT
    jitter: float = JITTER_WEIGHT


class Placement:
    """Chooses the upstream with the least expected wait, of those that seem to be well.

    Suspect upstreams come after the others, then cold ones, as what they bear is little.
    Those that took no connection come last.
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
        usual_s: Seconds | None,
        now: Seconds,
    ) -> Upstream | None:
        """Return the upstream for a flow, one that was not tried if there is any.

        ``usual_s`` is how long answers of the service usually take, if that is known.
        """
        if not upstreams:
            return None
        fresh = [upstream for upstream in upstreams if upstream not in tried]
        return min(fresh or upstreams, key=lambda upstream: self._rank(upstream, usual_s, now))

    def _rank(
        self, upstream: Upstream, usual_s: Seconds | None, now: Seconds
    ) -> tuple[bool, bool, bool, float]:
        cost = self._cost(upstream, _slowness(upstream, usual_s, now), now)
        has_failed = upstream.silence.has_failed
        return (has_failed, upstream.is_cold(now), is_suspect(upstream, now), cost)

    def _cost(self, upstream: Upstream, slowness: float, now: Seconds) -> float:
        """Return the expected wait, in usual requests at one slot, and what distance adds."""
        policy = self._policy
        entry = upstream.entry
        load = float(upstream.responses.under_way(now) + upstream.pending_opens)
        load += policy.flow * upstream.open_flows + policy.jitter * self._rng.random()
        cost = (1.0 + load / entry.slots) * slowness
        if entry.data_centre != self._data_centre:
            cost += policy.remote
        return cost


def _slowness(upstream: Upstream, usual_s: Seconds | None, now: Seconds) -> float:
    """Return how many times as late as usual an upstream answers, 1 for about as usual."""
    expected_s = upstream.responses.expected_s(now)
    if not usual_s or expected_s is None or expected_s < SLOW_RATIO * usual_s:
        return 1.0
    return expected_s / usual_s
