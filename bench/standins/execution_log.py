"""Log of request executions at the upstreams, recorded independently of the balancers."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple


class Execution(NamedTuple):
    """Start of one execution of a request at an upstream, by the monotonic clock."""

    upstream: str
    at: float


class ExecutionLog:
    """All executions of all requests, by the request key set by the caller.

    >>> log = ExecutionLog()
    >>> log.add("k1", "orders-1", 1.0, idempotent=False)
    >>> log.add("k1", "orders-2", 2.0, idempotent=False)
    >>> log.duplicated_keys
    ['k1']
    """

    def __init__(self) -> None:
        self._executions: dict[str, list[Execution]] = defaultdict(list)
        self._not_idempotent: set[str] = set()
        self._received_keys: set[str] = set()
        self._attempts = 0

    @property
    def duplicated_keys(self) -> list[str]:
        """Keys of non-idempotent requests that were executed more than once."""
        return sorted(key for key in self._not_idempotent if len(self._executions[key]) > 1)

    @property
    def amplification(self) -> float:
        """Mean number of attempts per distinct request, of those that reached an upstream."""
        return self._attempts / len(self._received_keys) if self._received_keys else 1.0

    def add(self, key: str, upstream: str, at: float, *, idempotent: bool) -> None:
        """Record that ``upstream`` started to execute the request ``key``."""
        self.add_attempt(key)
        self._executions[key].append(Execution(upstream, at))
        if not idempotent:
            self._not_idempotent.add(key)

    def add_attempt(self, key: str) -> None:
        """Record that the request ``key`` reached an upstream, executed or not."""
        self._attempts += 1
        self._received_keys.add(key)

    def was_executed(self, key: str) -> bool:
        """Whether any upstream executed the request ``key``."""
        return bool(self._executions.get(key))

    def executions(self, key: str) -> tuple[Execution, ...]:
        """Return the executions of the request ``key``."""
        return tuple(self._executions.get(key, ()))
