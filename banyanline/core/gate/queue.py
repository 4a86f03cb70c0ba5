"""The queue of one upstream, ordered by deadline, with bounded length and wait."""

from __future__ import annotations

from bisect import bisect_right, insort
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.error_responses import RefusalReason

if TYPE_CHECKING:
    from banyanline.core.gate.messages import RequestId, Work
    from banyanline.core.types import Seconds

MAX_QUEUE_LENGTH = 256
MAX_QUEUE_WAIT_S = 2.0


class Pace(NamedTuple):
    """Expected pace at which an upstream starts and answers requests now.

    The next start is expected in ``ready_in_s``, further ones every
    ``interval_s``, and each takes ``service_s`` to be answered.
    """

    ready_in_s: Seconds
    interval_s: Seconds
    service_s: Seconds


class _Entry(NamedTuple):
    deadline: Seconds
    sequence: int
    work: Work


class DeadlineQueue:
    """Requests that wait for a slot, the earliest deadline first.

    A request is admitted only if it is expected to be answered in time and does not make
    any queued request late. A refusal is therefore sent at once and not after a wait.

    >>> from banyanline.core.gate.messages import Work
    >>> queue = DeadlineQueue()
    >>> pace = Pace(ready_in_s=0.1, interval_s=0.1, service_s=0.2)
    >>> queue.admit(Work("a", deadline=0.35), now=0.0, pace=pace)
    >>> queue.admit(Work("b", deadline=0.32), now=0.0, pace=pace)
    <RefusalReason.QUEUE_FULL: 'queue_full'>
    >>> queue.admit(Work("c", deadline=0.2), now=0.0, pace=pace)
    <RefusalReason.DEADLINE_TOO_SHORT: 'deadline_too_short'>
    """

    def __init__(
        self, max_length: int = MAX_QUEUE_LENGTH, max_wait_s: Seconds = MAX_QUEUE_WAIT_S
    ) -> None:
        self._max_length = max_length
        self._max_wait_s = max_wait_s
        self._entries: list[_Entry] = []
        self._by_id: dict[RequestId, _Entry] = {}
        self._sequence = 0

    @property
    def first_deadline(self) -> Seconds | None:
        """The earliest deadline in the queue."""
        return self._entries[0].deadline if self._entries else None

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._by_id

    def admit(self, work: Work, now: Seconds, pace: Pace) -> RefusalReason | None:
        """Queue ``work``, or return why it is refused."""
        entry = _Entry(work.deadline, self._sequence, work)
        position = bisect_right(self._entries, entry)
        if now + pace.ready_in_s + position * pace.interval_s + pace.service_s > work.deadline:
            return RefusalReason.DEADLINE_TOO_SHORT
        if self._is_full(pace) or self._would_delay(position, now, pace):
            return RefusalReason.QUEUE_FULL
        self._sequence += 1
        insort(self._entries, entry)
        self._by_id[work.request_id] = entry
        return None

    def pop(self) -> Work:
        """Remove and return the work with the earliest deadline."""
        entry = self._entries.pop(0)
        del self._by_id[entry.work.request_id]
        return entry.work

    def remove(self, request_id: RequestId) -> Work | None:
        """Remove and return the work of one request, if it is queued."""
        entry = self._by_id.pop(request_id, None)
        if entry is None:
            return None
        self._entries.remove(entry)
        return entry.work

    def expire(self, latest_deadline: Seconds) -> list[Work]:
        """Remove and return all work whose deadline is before ``latest_deadline``."""
        expired = []
        while self._entries and self._entries[0].deadline < latest_deadline:
            expired.append(self.pop())
        return expired

    def clear(self) -> list[Work]:
        """Remove and return all work."""
        works = [entry.work for entry in self._entries]
        self._entries.clear()
        self._by_id.clear()
        return works

    def _is_full(self, pace: Pace) -> bool:
        wait_s = pace.ready_in_s + len(self._entries) * pace.interval_s
        return len(self._entries) >= self._max_length or wait_s > self._max_wait_s

    def _would_delay(self, position: int, now: Seconds, pace: Pace) -> bool:
        answered_at = now + pace.ready_in_s + position * pace.interval_s + pace.service_s
        for index in range(position, len(self._entries)):
            answered_at += pace.interval_s
            if answered_at > self._entries[index].deadline:
                return True
        return False
