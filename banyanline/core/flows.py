"""The table of open flows, which expire after an idle timeout.

Each flow takes one dictionary entry. Flows are grouped into buckets by the earliest
time at which they can expire, so that expiry never scans the whole table.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

from banyanline.core.types import Seconds, UpstreamName

K = TypeVar("K", bound=Hashable)

BUCKET_S = 1.0


class Flow:
    """One open flow: its upstream and the time of its last traffic, in whole seconds.

    ``bucket`` is the flow's current expiry bucket; entries in other buckets are stale.
    """

    __slots__ = ("bucket", "last_used", "upstream")

    def __init__(self, upstream: UpstreamName, last_used: int) -> None:
        self.upstream = upstream
        self.last_used = last_used
        self.bucket = 0


class Opened(NamedTuple):
    """The flow was added to the table or was already in it."""

    flow: Flow


class TableFull(NamedTuple):
    """The table already holds its maximum number of flows."""

    limit: int


class FlowTable(Generic[K]):
    """Open flows by key, at most ``limit``, closed after ``idle_timeout_s`` without traffic.

    >>> table = FlowTable(limit=10, idle_timeout_s=30.0)
    >>> _ = table.open("flow", "orders-1", now=0.0)
    >>> table.use("flow", now=20.0).upstream
    'orders-1'
    >>> list(table.expire(now=31.0)), list(table.expire(now=60.0))
    ([], ['flow'])

    ``timeout_of`` may return a shorter timeout for a flow, in seconds. It is called when
    a flow is opened and when a flow is checked for expiry, so a changed timeout applies
    to an open flow only once its previous timeout has elapsed.
    """

    def __init__(
        self,
        limit: int,
        idle_timeout_s: float,
        timeout_of: Callable[[K], float] | None = None,
    ) -> None:
        self._limit = limit
        self._idle_timeout = int(idle_timeout_s / BUCKET_S)
        self._timeout_of = timeout_of
        self._flows: dict[K, Flow] = {}
        self._buckets: dict[int, list[K]] = {}
        self._last_expired_s: int | None = None

    @property
    def idle_timeout_s(self) -> float:
        """The longest time that a flow stays open without traffic."""
        return self._idle_timeout * BUCKET_S

    def __len__(self) -> int:
        """Return the number of open flows."""
        return len(self._flows)

    def __contains__(self, key: K) -> bool:
        """Whether the flow is open."""
        return key in self._flows

    def __iter__(self) -> Iterator[K]:
        """Iterate over the keys of all open flows."""
        return iter(self._flows)

    def get(self, key: K) -> Flow | None:
        """Return the flow without updating the time of its last traffic."""
        return self._flows.get(key)

    def use(self, key: K, now: Seconds) -> Flow | None:
        """Return the flow and update the time of its last traffic."""
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_used = int(now)
        return flow

    def open(self, key: K, upstream: UpstreamName, now: Seconds) -> Opened | TableFull:
        """Add a flow to the table, or assign an open one to another upstream."""
        now_s = int(now)
        flow = self._flows.get(key)
        if flow is not None:
            flow.upstream = upstream
            flow.last_used = now_s
            return Opened(flow)
        if len(self._flows) >= self._limit:
            return TableFull(self._limit)
        flow = Flow(upstream, now_s)
        self._flows[key] = flow
        self._schedule_expiry(key, flow, now_s)
        return Opened(flow)

    def close(self, key: K) -> Flow | None:
        """Remove a flow from the table and return it, or None if it is not open."""
        return self._flows.pop(key, None)

    def items(self) -> Iterator[tuple[K, Flow]]:
        """Iterate over all open flows."""
        return iter(self._flows.items())

    def expire(self, now: Seconds) -> Iterator[K]:
        """Remove the flows whose idle timeout has elapsed and yield their keys."""
        now_s = int(now)
        if self._last_expired_s is None:
            return
        while self._last_expired_s < now_s:
            self._last_expired_s += 1
            for key in self._buckets.pop(self._last_expired_s, ()):
                if self._expire_one(key, now_s):
                    yield key

    def _schedule_expiry(self, key: K, flow: Flow, now_s: int) -> None:
        if self._last_expired_s is None:
            self._last_expired_s = now_s
        flow.bucket = max(flow.last_used + self._timeout(key), self._last_expired_s + 1)
        self._buckets.setdefault(flow.bucket, []).append(key)

    def _timeout(self, key: K) -> int:
        if self._timeout_of is None:
            return self._idle_timeout
        return int(min(self._idle_timeout, self._timeout_of(key) / BUCKET_S))

    def _expire_one(self, key: K, now_s: int) -> bool:
        flow = self._flows.get(key)
        if flow is None or flow.bucket != self._last_expired_s:
            return False
        if flow.last_used + self._timeout(key) > now_s:
            self._schedule_expiry(key, flow, now_s)
            return False
        del self._flows[key]
        return True
