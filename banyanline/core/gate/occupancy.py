"""The slots of one upstream that are taken, by this owner or by the one before."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.gate.messages import Work

if TYPE_CHECKING:
    from banyanline.core.gate.messages import RequestId
    from banyanline.core.types import Seconds


class Running(NamedTuple):
    """A started request. A cancelled one may still run if the cancellation got lost."""

    work: Work
    started_at: Seconds
    is_cancelled: bool = False


class Occupancy:
    """Which requests have a slot.

    >>> occupancy = Occupancy()
    >>> occupancy.start(Work("a", deadline=2.0), now=0.0)
    >>> occupancy.expect_elsewhere(1, until=1.0)
    >>> occupancy.taken
    2
    >>> occupancy.release(now=1.0)
    >>> occupancy.taken
    1
    """

    def __init__(self) -> None:
        self._running: dict[RequestId, Running] = {}
        self._cancelled: dict[RequestId, Running] = {}
        self._elsewhere = 0
        self._elsewhere_until: Seconds = 0.0

    @property
    def in_flight(self) -> int:
        """Requests of this owner that have a slot."""
        return len(self._running) + len(self._cancelled)

    @property
    def elsewhere(self) -> int:
        """Requests that a previous owner may still have running."""
        return self._elsewhere

    @property
    def elsewhere_until(self) -> Seconds:
        """When the last request of the previous owner has ended."""
        return self._elsewhere_until

    @property
    def taken(self) -> int:
        """Slots that are taken, by whichever owner."""
        return len(self._running) + len(self._cancelled) + self._elsewhere

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._running

    def start(self, work: Work, now: Seconds) -> None:
        """Give a slot to a request."""
        self._running[work.request_id] = Running(work, now)

    def end(self, request_id: RequestId) -> Running | None:
        """Free the slot of a request, if it has one."""
        return self._running.pop(request_id, None) or self._cancelled.pop(request_id, None)

    def cancel(self, request_id: RequestId, keeps_slot: bool) -> Running | None:
        """Cancel a running request; one that keeps its slot does so until its deadline."""
        running = self._running.pop(request_id, None)
        if running is not None and keeps_slot:
            self._cancelled[request_id] = running._replace(is_cancelled=True)
        return running

    def expect_elsewhere(self, count: int, until: Seconds) -> None:
        """Count ``count`` slots as taken by a previous owner until ``until``."""
        self._elsewhere = count
        self._elsewhere_until = until

    def lower_elsewhere(self, count: int) -> None:
        """Take in that the previous owner has only ``count`` requests left."""
        self._elsewhere = min(count, self._elsewhere)

    def release(self, now: Seconds) -> None:
        """Free the slots of what must have ended by ``now``."""
        if self._elsewhere and now >= self._elsewhere_until:
            self._elsewhere = 0
        if self._cancelled:
            self._cancelled = {
                request_id: running
                for request_id, running in self._cancelled.items()
                if running.work.deadline > now
            }

    def next_release_at(self) -> Seconds | None:
        """Return when :meth:`release` has something to do."""
        times = [running.work.deadline for running in self._cancelled.values()]
        if self._elsewhere:
            times.append(self._elsewhere_until)
        return min(times, default=None)

    def ended_by(self, now: Seconds) -> Seconds:
        """Return the time, not before ``now``, by which all must have ended."""
        occupied = [*self._running.values(), *self._cancelled.values()]
        latest = max((running.work.deadline for running in occupied), default=now)
        return max(latest, self._elsewhere_until, now)

    def clear(self) -> list[Work]:
        """Free all slots of this owner and return the requests that ran."""
        works = [running.work for running in self._running.values()]
        self._running.clear()
        self._cancelled.clear()
        return works
