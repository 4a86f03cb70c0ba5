"""Scheduling of one upstream: starts queued requests and drops those that are too late."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.gate.occupancy import Occupancy
from banyanline.core.invariants import require

if TYPE_CHECKING:
    from banyanline.core.error_responses import RefusalReason
    from banyanline.core.gate.messages import RequestId, Work
    from banyanline.core.gate.pacing import Pacing
    from banyanline.core.gate.queue import DeadlineQueue, Pace
    from banyanline.core.types import Seconds


class Scheduled(NamedTuple):
    """Requests that were given a slot, and those that can no longer be answered in time."""

    started: list[Work]
    late: list[Work]


class Scheduler:
    """Moves requests from the queue into slots as fast as the pacing allows."""

    def __init__(self, queue: DeadlineQueue, pacing: Pacing) -> None:
        self._queue = queue
        self._pacing = pacing
        self._occupancy = Occupancy()

    @property
    def queue(self) -> DeadlineQueue:
        """The requests that wait for a slot."""
        return self._queue

    @property
    def occupancy(self) -> Occupancy:
        """The requests that hold a slot."""
        return self._occupancy

    @property
    def is_idle(self) -> bool:
        """Whether this owner has no request waiting or running."""
        return not self._queue and not self._occupancy.in_flight

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._occupancy or request_id in self._queue

    def may_start(self, now: Seconds) -> bool:
        """Whether slots and rate let one more request start."""
        return self._pacing.may_start(self._occupancy.taken, now)

    def pace(self, now: Seconds) -> Pace:
        """Return the expected pace of starts now."""
        return self._pacing.pace(self._occupancy.taken, now)

    def expected_wait_s(self, pace: Pace) -> Seconds:
        """Return how long a request would wait behind all queued ones."""
        return pace.ready_in_s + len(self._queue) * pace.interval_s

    def admit(self, work: Work, now: Seconds) -> RefusalReason | None:
        """Queue a request, or return why it is refused.

        For an idle upstream the service time is ignored: an estimate that has become too
        long would otherwise refuse the very requests that could correct it.
        """
        pace = self.pace(now)
        if self.is_idle and pace.ready_in_s == 0.0:
            pace = pace._replace(service_s=0.0)
        return self._queue.admit(work, now, pace)

    def run(self, now: Seconds) -> Scheduled:
        """Start the requests that may start and drop those that are too late."""
        self._occupancy.release(now)
        scheduled = Scheduled([], [])
        if not self._queue:
            return scheduled
        while self._queue and self.may_start(now):
            work = self._queue.pop()
            if self._is_late(work, now):
                scheduled.late.append(work)
            else:
                self._start(work, now)
                scheduled.started.append(work)
        scheduled.late.extend(self._queue.expire(now + self._pacing.service_time.mean_s))
        return scheduled

    def next_at(self, now: Seconds) -> Seconds | None:
        """Return when :meth:`run` is due next, unless a request ends or arrives before."""
        times = [self._occupancy.next_release_at()]
        first_deadline = self._queue.first_deadline
        if first_deadline is not None:
            times.append(first_deadline - self._pacing.service_time.mean_s)
            times.append(self._pacing.next_change_at(now))
        return min((time for time in times if time is not None), default=None)

    def _is_late(self, work: Work, now: Seconds) -> bool:
        service_s = self._pacing.service_time.mean_s if self._occupancy.in_flight else 0.0
        return now + service_s >= work.deadline

    def _start(self, work: Work, now: Seconds) -> None:
        require(now < work.deadline, "a request is started before its deadline")
        self._occupancy.start(work, now)
        is_within_slots = self._occupancy.taken <= self._pacing.slots(now)
        require(is_within_slots, "no more requests run than there are slots")
        self._pacing.record_start(now)
