"""Timers of the core: what is due at a monotonic time, without callbacks of the event loop."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")

NEVER = float("inf")


class TimerHeap(Generic[T]):
    """Items ordered by the time at which they are due, in monotonic seconds.

    An item that is no longer wanted stays until it is due; the reader drops it.

    >>> timers = TimerHeap()
    >>> timers.add(2.0, "later")
    >>> timers.add(1.0, "sooner")
    >>> list(timers.due(1.5))
    ['sooner']
    >>> timers.next_at
    2.0
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, T]] = []
        self._order = count()

    @property
    def next_at(self) -> float:
        """When the next item is due, or infinity."""
        return self._heap[0][0] if self._heap else NEVER

    def __len__(self) -> int:
        """Return the number of items not yet taken out."""
        return len(self._heap)

    def add(self, due_at: float, item: T) -> None:
        """Keep ``item`` until ``due_at``."""
        heapq.heappush(self._heap, (due_at, next(self._order), item))

    def due(self, now: float) -> Iterator[T]:
        """Take out and yield the items that are due at ``now``, the earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            yield heapq.heappop(heap)[2]
