"""What the upstreams ran, kept outside of the balancers, to judge them by."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple


class Run(NamedTuple):
    """One execution of a request at an upstream, at a time of the monotonic clock."""

    upstream: str
    at: float


class RunLog:
    """Every execution of every request, by the key that its caller chose.

    >>> log = RunLog()
    >>> log.add("k1", "orders-1", 1.0, idempotent=False)
    >>> log.add("k1", "orders-2", 2.0, idempotent=False)
    >>> log.doubled
    ['k1']
    """

    def __init__(self) -> None:
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._not_idempotent: set[str] = set()
        self._seen: set[str] = set()
        self._attempts = 0

    @property
    def doubled(self) -> list[str]:
        """Keys of requests that are not idempotent and ran more than once."""
        return sorted(key for key in self._not_idempotent if len(self._runs[key]) > 1)

    @property
    def amplification(self) -> float:
        """Attempts that reached upstreams for each distinct request that did."""
        return self._attempts / len(self._seen) if self._seen else 1.0

    def add(self, key: str, upstream: str, at: float, *, idempotent: bool) -> None:
        """Record that ``upstream`` started to run the request ``key``."""
        self.add_attempt(key)
        self._runs[key].append(Run(upstream, at))
        if not idempotent:
            self._not_idempotent.add(key)

    def add_attempt(self, key: str) -> None:
        """Record that the request ``key`` reached an upstream, run or not."""
        self._attempts += 1
        self._seen.add(key)

    def has_run(self, key: str) -> bool:
        """Whether any upstream ran the request ``key``."""
        return bool(self._runs.get(key))

    def runs(self, key: str) -> tuple[Run, ...]:
        """Return the executions of the request ``key``."""
        return tuple(self._runs.get(key, ()))
