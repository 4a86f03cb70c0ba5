"""Timer queue of the core, polled with the monotonic time instead of event-loop callbacks."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")

NEVER = float("inf")


class TimerHeap(Generic[T]):
    """Items ordered by their due time, in monotonic seconds.

    A timer cannot be cancelled: an item that is no longer needed remains until it is
    due, and the code that polls the queue must then ignore it.

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
        self._sequence = count()

    @property
    def next_at(self) -> float:
        """The due time of the next item, infinite if there is none."""
        return self._heap[0][0] if self._heap else NEVER

    def __len__(self) -> int:
        """Return the number of items that have not been removed yet."""
        return len(self._heap)

    def add(self, due_at: float, item: T) -> None:
        """Add ``item``, to be returned by :meth:`due` from ``due_at`` on."""
        heapq.heappush(self._heap, (due_at, next(self._sequence), item))

    def due(self, now: float) -> Iterator[T]:
        """Remove and yield the items that are due at ``now``, the earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            yield heapq.heappop(heap)[2]
