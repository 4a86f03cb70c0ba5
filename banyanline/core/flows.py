"""The table of open flows, with expiry by idle time.

A flow costs one dictionary entry. Expiry reads buckets of flows by the time at
which they may be idle, so that no pass over the whole table is needed.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

from banyanline.core.types import Seconds, UpstreamName

K = TypeVar("K", bound=Hashable)

BUCKET_S = 1.0


class Flow:
    """One open flow: its upstream and when it last had traffic, in whole seconds.

    ``bucket`` is the only expiry bucket whose entry for the flow counts.
    """

    __slots__ = ("bucket", "last_used", "upstream")

    def __init__(self, upstream: UpstreamName, last_used: int) -> None:
        self.upstream = upstream
        self.last_used = last_used
        self.bucket = 0


class Opened(NamedTuple):
    """The flow is in the table."""

    flow: Flow


class TableFull(NamedTuple):
    """The table holds as many flows as it may."""

    limit: int


class FlowTable(Generic[K]):
    """Flows by key, at most ``limit`` of them, closed after ``idle_timeout_s`` without traffic.

    >>> table = FlowTable(limit=10, idle_timeout_s=30.0)
    >>> _ = table.open("flow", "orders-1", now=0.0)
    >>> table.use("flow", now=20.0).upstream
    'orders-1'
    >>> list(table.expire(now=31.0)), list(table.expire(now=60.0))
    ([], ['flow'])

    ``timeout_of`` may give a flow a shorter timeout than that, in seconds. It is asked
    when a flow is opened and when it may be idle, so a change reaches an open flow at
    the end of the timeout that it had.
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
        self._expired_to: int | None = None

    @property
    def idle_timeout_s(self) -> float:
        """How long a flow stays open without traffic at the longest."""
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
        """Return the flow without counting this as traffic."""
        return self._flows.get(key)

    def use(self, key: K, now: Seconds) -> Flow | None:
        """Return the flow and note that it has traffic."""
        flow = self._flows.get(key)
        if flow is not None:
            flow.last_used = int(now)
        return flow

    def open(self, key: K, upstream: UpstreamName, now: Seconds) -> Opened | TableFull:
        """Put a flow into the table, or give an open one another upstream."""
        second = int(now)
        flow = self._flows.get(key)
        if flow is not None:
            flow.upstream = upstream
            flow.last_used = second
            return Opened(flow)
        if len(self._flows) >= self._limit:
            return TableFull(self._limit)
        flow = Flow(upstream, second)
        self._flows[key] = flow
        self._file(key, flow, second)
        return Opened(flow)

    def close(self, key: K) -> Flow | None:
        """Take a flow out of the table."""
        return self._flows.pop(key, None)

    def items(self) -> Iterator[tuple[K, Flow]]:
        """Iterate over all open flows."""
        return iter(self._flows.items())

    def expire(self, now: Seconds) -> Iterator[K]:
        """Take out the flows that were idle for too long and yield their keys."""
        second = int(now)
        if self._expired_to is None:
            return
        while self._expired_to < second:
            self._expired_to += 1
            for key in self._buckets.pop(self._expired_to, ()):
                if self._expire_one(key, second):
                    yield key

    def _file(self, key: K, flow: Flow, second: int) -> None:
        if self._expired_to is None:
            self._expired_to = second
        flow.bucket = max(flow.last_used + self._timeout(key), self._expired_to + 1)
        self._buckets.setdefault(flow.bucket, []).append(key)

    def _timeout(self, key: K) -> int:
        if self._timeout_of is None:
            return self._idle_timeout
        return int(min(self._idle_timeout, self._timeout_of(key) / BUCKET_S))

    def _expire_one(self, key: K, second: int) -> bool:
        flow = self._flows.get(key)
        if flow is None or flow.bucket != self._expired_to:
            return False
        if flow.last_used + self._timeout(key) > second:
            self._file(key, flow, second)
            return False
        del self._flows[key]
        return True
