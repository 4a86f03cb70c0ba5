"""The slots of one upstream that are taken, by this owner or by the previous one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.gate.messages import Work

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from banyanline.core.gate.messages import RequestId
    from banyanline.core.types import Seconds


class Running(NamedTuple):
    """A started request. A cancelled one may still run if the cancellation was lost."""

    work: Work
    started_at: Seconds
    is_cancelled: bool = False


class Occupancy:
    """Tracks which requests hold a slot.

    >>> occupancy = Occupancy()
    >>> occupancy.start(Work("a", deadline=2.0), now=0.0)
    >>> occupancy.reserve_for_previous_owners({"b"}, unidentified=0, until=1.0)
    >>> occupancy.taken
    2
    >>> occupancy.release(now=1.0)
    >>> occupancy.taken
    1
    """

    def __init__(self) -> None:
        self._running: dict[RequestId, Running] = {}
        self._cancelled: dict[RequestId, Running] = {}
        self._running_elsewhere: set[RequestId] = set()
        self._unidentified_elsewhere = 0
        self._previous_owner_until: Seconds = 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests of this owner that hold a slot."""
        return len(self._running) + len(self._cancelled)

    @property
    def held_by_previous_owner(self) -> int:
        """Number of requests of previous owners that may still run."""
        return len(self._running_elsewhere) + self._unidentified_elsewhere

    @property
    def previous_owner_until(self) -> Seconds:
        """When the last request of the previous owner must have ended."""
        return self._previous_owner_until

    @property
    def taken(self) -> int:
        """Number of slots that are taken, by either owner."""
        return len(self._running) + len(self._cancelled) + self.held_by_previous_owner

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

    def reserve_for_previous_owners(
        self, running: Collection[RequestId], *, unidentified: int, until: Seconds
    ) -> None:
        """Count slots as taken by previous owners until ``until``.

        They are those of the requests ``running``, which may end earlier, and
        ``unidentified`` others.
        """
        self._running_elsewhere = set(running)
        self._unidentified_elsewhere = unidentified
        self._previous_owner_until = until

    def end_at_previous_owners(self, ended: Iterable[RequestId]) -> bool:
        """Free the slots of requests that ended at a previous owner; false if none had one."""
        before = len(self._running_elsewhere)
        self._running_elsewhere.difference_update(ended)
        return len(self._running_elsewhere) < before

    def release(self, now: Seconds) -> None:
        """Free the slots of requests that must have ended by ``now``."""
        if self.held_by_previous_owner and now >= self._previous_owner_until:
            self._running_elsewhere.clear()
            self._unidentified_elsewhere = 0
        if self._cancelled:
            self._cancelled = {
                request_id: running
                for request_id, running in self._cancelled.items()
                if running.work.deadline > now
            }

    def next_release_at(self) -> Seconds | None:
        """Return when :meth:`release` has something to do."""
        times = [running.work.deadline for running in self._cancelled.values()]
        if self.held_by_previous_owner:
            times.append(self._previous_owner_until)
        return min(times, default=None)

    def all_ended_at(self, now: Seconds) -> Seconds:
        """Return the time, not before ``now``, by which all requests must have ended."""
        occupied = [*self._running.values(), *self._cancelled.values()]
        latest = max((running.work.deadline for running in occupied), default=now)
        return max(latest, self._previous_owner_until, now)

    def clear(self) -> list[Work]:
        """Free all slots of this owner and return the requests that were running."""
        works = [running.work for running in self._running.values()]
        self._running.clear()
        self._cancelled.clear()
        return works
