"""Pacing: when the next request may start at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.gate.queue import Pace
from banyanline.core.gate.ramp import Ramp
from banyanline.core.gate.service_time import ServiceTime

if TYPE_CHECKING:
    from banyanline.core.model import ColdStart
    from banyanline.core.types import Seconds


class Pacing:
    """Combines the current slots, start rate and pauses into the pace of one upstream.

    >>> from banyanline.core.model import ColdStart
    >>> pacing = Pacing(ColdStart(initial_slots=1, initial_rate=5.0), slots=2, now=0.0)
    >>> pacing.may_start(taken=0, now=0.0)
    True
    >>> pacing.record_start(now=0.0)
    >>> pacing.may_start(taken=0, now=0.1), pacing.may_start(taken=0, now=0.2)
    (False, True)
    """

    def __init__(self, cold_start: ColdStart, slots: int, now: Seconds) -> None:
        self._ramp = Ramp(cold_start, slots)
        self._service_time = ServiceTime()
        self._paused_until = now
        self._next_start_at = now
        self._is_limited_to_initial_slots = False

    @property
    def ramp(self) -> Ramp:
        """The slow start after a cold start."""
        return self._ramp

    @property
    def service_time(self) -> ServiceTime:
        """The mean service time of requests."""
        return self._service_time

    @property
    def paused_until(self) -> Seconds:
        """Time before which no request starts."""
        return self._paused_until

    def limit_to_initial_slots(self, is_limited: bool) -> None:
        """Allow only the initial slots as long as ``is_limited``."""
        self._is_limited_to_initial_slots = is_limited

    def pause(self, until: Seconds) -> None:
        """Start no request before ``until``."""
        self._paused_until = max(self._paused_until, until)

    def resume(
        self,
        now: Seconds,
        ramp_elapsed_s: Seconds | None,
        next_start_in_s: Seconds,
        service_s: Seconds,
    ) -> None:
        """Continue from the state of another owner's pacing."""
        self._service_time = ServiceTime(service_s)
        self._next_start_at = now + next_start_in_s
        if ramp_elapsed_s is not None:
            self._ramp.resume(now, ramp_elapsed_s)

    def record_start(self, now: Seconds) -> None:
        """Record that a request started."""
        self._next_start_at = now + self.start_interval_s(now)

    def slots(self, now: Seconds) -> int:
        """Return the number of concurrent requests allowed now, from all owners together."""
        return (
            self._ramp.initial_slots if self._is_limited_to_initial_slots else self._ramp.slots(now)
        )

    def start_interval_s(self, now: Seconds) -> Seconds:
        """Return the seconds between two starts, 0.0 when the upstream is warm."""
        return self._ramp.start_interval_s(now, self._service_time.mean_s)

    def next_start_in_s(self, now: Seconds) -> Seconds:
        """Return the seconds until pauses and rate allow a request to start."""
        return max(self._paused_until, self._next_start_at, now) - now

    def may_start(self, taken: int, now: Seconds) -> bool:
        """Whether a request may start while ``taken`` slots are taken."""
        is_due = now >= self._paused_until and now >= self._next_start_at
        return is_due and taken < self.slots(now)

    def next_change_at(self, now: Seconds) -> Seconds | None:
        """Return when time alone allows more starts, or None if it does not."""
        times = [time for time in (self._paused_until, self._next_start_at) if time > now]
        next_slot_at = self._ramp.next_slot_at(now)
        if next_slot_at is not None:
            times.append(next_slot_at)
        return min(times, default=None)

    def pace(self, taken: int, now: Seconds) -> Pace:
        """Return the expected pace of starts while ``taken`` slots are taken."""
        slots = self.slots(now)
        service_s = self._service_time.mean_s
        slot_interval_s = service_s / slots
        interval_s = max(slot_interval_s, self._ramp.start_interval_s(now, service_s))
        ready_in_s = max(0, taken - slots + 1) * slot_interval_s
        return Pace(max(ready_in_s, self.next_start_in_s(now)), interval_s, service_s)
