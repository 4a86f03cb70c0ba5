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


class PlacementPolicy(NamedTuple):
    """Weights of the choice among upstreams, in requests under way."""

    flow: float = FLOW_WEIGHT
    remote: float = REMOTE_WEIGHT
    jitter: float = JITTER_WEIGHT


class Placement:
    """Chooses the upstream with the least expected wait, of those that seem to be well.

    Suspect upstreams come after the others, and cold ones come last: what they bear
    is little, and no host knows how much other hosts send them.
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
        self, upstreams: Sequence[Upstream], tried: Collection[Upstream], now: Seconds
    ) -> Upstream | None:
        """Return the upstream for a flow, one that was not tried if there is any."""
        if not upstreams:
            return None
        fresh = [upstream for upstream in upstreams if upstream not in tried]
        return min(fresh or upstreams, key=lambda upstream: self._rank(upstream, now))

    def _rank(self, upstream: Upstream, now: Seconds) -> tuple[bool, bool, float]:
        return (upstream.is_cold(now), is_suspect(upstream, now), self._load(upstream))

    def _load(self, upstream: Upstream) -> float:
        policy = self._policy
        entry = upstream.entry
        load = upstream.in_flight + upstream.pending_opens + policy.flow * upstream.open_flows
        if entry.data_centre != self._data_centre:
            load += policy.remote * entry.slots
        return (load + policy.jitter * self._rng.random()) / entry.slots
