"""The hosts of other data centres to which a host sends heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from banyanline.core.types import Endpoint, Seconds

MAX_REMOTE_HOSTS = 16
"""Limit on the hosts that are kept: a sample is enough, as one that is heard counts for all."""

HOSTS_PER_HEARTBEAT = 2
"""Hosts of other data centres that get one heartbeat."""

REPLACED_AFTER_S = 10.0
"""Silence from which a host may be replaced by another one."""


class RemoteHosts:
    """A sample of the hosts of other data centres, and when each was last heard."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heard_at: dict[Endpoint, Seconds] = {}

    def __len__(self) -> int:
        """Return the number of hosts."""
        return len(self._heard_at)

    def learn(self, endpoints: Iterable[Endpoint], now: Seconds) -> None:
        """Record hosts that a seed has named; with too many, they replace silent ones."""
        for endpoint in endpoints:
            if endpoint not in self._heard_at and self._has_space(now):
                self._heard_at[endpoint] = float("-inf")

    def on_heartbeat(self, endpoint: Endpoint, now: Seconds) -> None:
        """Record that a host was heard."""
        if endpoint in self._heard_at or self._has_space(now):
            self._heard_at[endpoint] = now

    def choose(self) -> list[Endpoint]:
        """Return the hosts that get the next heartbeat, at random."""
        count = min(HOSTS_PER_HEARTBEAT, len(self._heard_at))
        return self._rng.sample(list(self._heard_at), count)

    def _has_space(self, now: Seconds) -> bool:
        """Whether there is space for another host; drop the one silent for longest if needed."""
        if len(self._heard_at) < MAX_REMOTE_HOSTS:
            return True
        oldest = min(self._heard_at, key=self._heard_at.__getitem__)
        if now - self._heard_at[oldest] < REPLACED_AFTER_S:
            return False
        del self._heard_at[oldest]
        return True
