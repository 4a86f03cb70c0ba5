"""Keeps the opening packets of all hosts together below the cold limit of each upstream.

The limit, in openings per second, comes from the configuration of the service. Hosts don't
exchange messages about it: each sends an opening packet at regular intervals from a random
time on, and the interval grows with the number of hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.host_count import count_hosts

if TYPE_CHECKING:
    import random

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

COLD_OPENING_INTERVAL_S = 1.0
"""Minimum interval between one host's opening packets to a cold upstream."""

MAX_UNCOORDINATED_HOSTS = 5
"""Number of hosts up to which that interval alone keeps the total within the tolerance."""

LIMIT_SHARE = 0.75
"""Share of the limit that more hosts use, as their openings may coincide."""

MIN_FLEET_OPENINGS_PER_S = 0.5
"""Openings per second from more hosts if the limit is lower; within the limit's tolerance."""


class ColdLimiter:
    """Decides when this host may send an opening packet to a cold upstream."""

    def __init__(self, catalog: Catalog, peers: PeerReports, rng: random.Random) -> None:
        self._catalog = catalog
        self._peers = peers
        self._rng = rng

    def admits(self, upstream: Upstream, now: Seconds) -> bool:
        """Whether an upstream is warm, has no limit, or may get an opening packet now."""
        limit_per_s = (
            self._catalog.cold_rate(upstream.entry.service) if upstream.is_cold(now) else 0.0
        )
        if limit_per_s == 0.0:
            return True
        if upstream.next_cold_opening_at is None:
            interval_s = self._interval_s(limit_per_s)
            max_delay_s = interval_s if interval_s > COLD_OPENING_INTERVAL_S else 0.0
            upstream.next_cold_opening_at = now + max_delay_s * self._rng.random()
        if now < upstream.next_cold_opening_at:
            return False
        return self._peers.load(upstream.name).cold_openings < max(
            limit_per_s, MIN_FLEET_OPENINGS_PER_S
        )

    def on_opening(self, upstream: Upstream, now: Seconds) -> None:
        """Record that this host sends an opening packet to an upstream."""
        limit_per_s = self._catalog.cold_rate(upstream.entry.service)
        if limit_per_s > 0.0 and upstream.is_cold(now):
            upstream.next_cold_opening_at = now + self._interval_s(limit_per_s)

    def _interval_s(self, limit_per_s: float) -> Seconds:
        hosts = count_hosts(self._catalog, self._peers)
        if hosts is None or hosts.total <= MAX_UNCOORDINATED_HOSTS:
            return COLD_OPENING_INTERVAL_S
        openings_per_s = max(MIN_FLEET_OPENINGS_PER_S, LIMIT_SHARE * limit_per_s)
        return max(COLD_OPENING_INTERVAL_S, hosts.total / openings_per_s)
