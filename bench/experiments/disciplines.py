"""Queue disciplines that the gate's own is compared with."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from banyanline.core.answers import RefusalReason
from banyanline.core.gate import GateEffects, Refuse, Start, Work
from banyanline.core.gate.service_time import ServiceTime

if TYPE_CHECKING:
    from banyanline.core.gate.messages import RequestId, WorkOutcome
    from banyanline.core.types import Seconds

BACKLOG_S = 0.1


class Queued(NamedTuple):
    """A request and when it came."""

    work: Work
    arrived_at: Seconds


Pick: TypeAlias = Callable[[list[Queued], float], int]


def first_come(queue: list[Queued], now: Seconds) -> int:
    """Pick the oldest."""
    return 0


def newest_first(queue: list[Queued], now: Seconds) -> int:
    """Pick the newest."""
    return len(queue) - 1


def newest_first_if_backlogged(queue: list[Queued], now: Seconds) -> int:
    """Pick the oldest, but the newest once the oldest has waited for long (adaptive LIFO)."""
    return len(queue) - 1 if now - queue[0].arrived_at > BACKLOG_S else 0


def earliest_deadline(queue: list[Queued], now: Seconds) -> int:
    """Pick the earliest deadline."""
    return min(range(len(queue)), key=lambda index: queue[index].work.deadline)


class PlainGate:
    """Slots before an upstream, with a queue bounded in length only.

    With ``early_drop`` work is dropped when it is picked with less time left than
    a request takes; with ``admission`` it is refused at once if it would have to
    wait longer than its patience behind what is picked before it.
    """

    def __init__(
        self, pick: Pick, slots: int, max_length: int, early_drop: bool, admission: bool
    ) -> None:
        self._pick = pick
        self._slots = slots
        self._max_length = max_length
        self._early_drop = early_drop
        self._admission = admission
        self._queue: list[Queued] = []
        self._running: dict[RequestId, Seconds] = {}
        self._service_time = ServiceTime()

    def next_tick_at(self, now: Seconds) -> Seconds | None:
        """Return the earliest deadline in the queue."""
        return min((queued.work.deadline for queued in self._queue), default=None)

    def offer(self, work: Work, now: Seconds) -> GateEffects:
        """Take in a request."""
        if len(self._queue) >= self._max_length:
            return [Refuse(work, RefusalReason.QUEUE_FULL, 1.0)]
        if self._admission and self._is_hopeless(work, now):
            return [Refuse(work, RefusalReason.DEADLINE_TOO_SHORT, 1.0)]
        self._queue.append(Queued(work, now))
        return self.tick(now)

    def finished(self, request_id: RequestId, outcome: WorkOutcome, now: Seconds) -> GateEffects:
        """Take in the end of a request."""
        self._service_time.add(now - self._running.pop(request_id))
        return self.tick(now)

    def tick(self, now: Seconds) -> GateEffects:
        """Refuse what is too late and start what can be."""
        late = [queued.work for queued in self._queue if queued.work.deadline <= now]
        self._queue = [queued for queued in self._queue if queued.work.deadline > now]
        effects: GateEffects = [Refuse(work, RefusalReason.DEADLINE_PASSED, 1.0) for work in late]
        while self._queue and len(self._running) < self._slots:
            work = self._queue.pop(self._pick(self._queue, now)).work
            needed_s = self._service_time.mean_s if self._early_drop else 0.0
            if now + needed_s >= work.deadline:
                effects.append(Refuse(work, RefusalReason.DEADLINE_PASSED, 1.0))
            else:
                self._running[work.request_id] = now
                effects.append(Start(work))
        return effects

    def _is_hopeless(self, work: Work, now: Seconds) -> bool:
        if len(self._running) < self._slots:
            return False
        ahead = len(self._queue)
        if self._pick is earliest_deadline:
            ahead = sum(queued.work.deadline <= work.deadline for queued in self._queue)
        mean_s = self._service_time.mean_s
        return now + (ahead + 1) * mean_s / self._slots + mean_s > work.deadline
