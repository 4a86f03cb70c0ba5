"""Slow start: the limits of an upstream grow after it has started."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.model import ColdStart
    from banyanline.core.types import Seconds


class Ramp:
    """Slots and starts per second that an upstream is allowed during its slow start.

    The ramp stays at its beginning until the upstream has responded for the first time:
    an upstream that is configured before it runs would otherwise be considered warm when
    it starts. From that response on the ramp grows linearly over ``ColdStart.duration_s``.

    >>> from banyanline.core.model import ColdStart
    >>> ramp = Ramp(ColdStart(duration_s=10.0, initial_slots=1, initial_rate=5.0), slots=2)
    >>> ramp.start(now=100.0)
    >>> ramp.slots(105.0), ramp.slots(110.0)
    (1, 2)
    >>> ramp.start_interval_s(100.0, service_s=0.05)
    0.2
    """

    def __init__(self, cold_start: ColdStart, slots: int) -> None:
        self.set_limits(cold_start, slots)
        self._started_at: Seconds | None = None

    @property
    def initial_slots(self) -> int:
        """The number of concurrent requests allowed just after a start."""
        return self._initial_slots

    @property
    def is_started(self) -> bool:
        """Whether the upstream has responded since the ramp was last restarted."""
        return self._started_at is not None

    def set_limits(self, cold_start: ColdStart, slots: int) -> None:
        """Set the slow-start parameters and the full slots; the elapsed time of the ramp stays."""
        self._cold_start = cold_start
        self._full_slots = slots
        self._initial_slots = max(1, min(cold_start.initial_slots, slots))

    def restart(self) -> None:
        """Go back to the beginning until the upstream responds again."""
        self._started_at = None

    def start(self, now: Seconds) -> None:
        """Begin to grow, as the upstream has responded; no effect if the ramp grows already."""
        if self._started_at is None:
            self._started_at = now

    def resume(self, now: Seconds, elapsed_s: Seconds) -> None:
        """Continue from the progress of another owner's ramp."""
        self._started_at = now - elapsed_s

    def complete(self, now: Seconds) -> None:
        """Consider the upstream warm."""
        self.resume(now, self._cold_start.duration_s)

    def elapsed_s(self, now: Seconds) -> Seconds | None:
        """Return the seconds since the ramp began to grow, or None before the first response."""
        return None if self._started_at is None else max(0.0, now - self._started_at)

    def progress(self, now: Seconds) -> float:
        """Return the progress of the ramp, from 0.0 (just started) to 1.0 (warm)."""
        if self._started_at is None:
            return 0.0
        elapsed_s = now - self._started_at
        if elapsed_s >= self._cold_start.duration_s:
            return 1.0
        return max(0.0, elapsed_s / self._cold_start.duration_s)

    def slots(self, now: Seconds) -> int:
        """Return the number of concurrent requests allowed now."""
        growth = self._full_slots - self._initial_slots
        return self._initial_slots + int(growth * self.progress(now))

    def start_interval_s(self, now: Seconds, service_s: Seconds) -> Seconds:
        """Return the seconds between two starts now; 0.0 when warm.

        The rate grows to the throughput of the full slots at ``service_s`` per request.
        """
        progress = self.progress(now)
        if progress >= 1.0:
            return 0.0
        initial_rate = self._cold_start.initial_rate
        full_rate = max(initial_rate, self._full_slots / max(service_s, 1e-3))
        return 1.0 / (initial_rate + progress * (full_rate - initial_rate))

    def next_slot_at(self, now: Seconds) -> Seconds | None:
        """Return when one more slot is allowed, or None if that is not known."""
        growth = self._full_slots - self._initial_slots
        if self._started_at is None or growth == 0 or self.progress(now) >= 1.0:
            return None
        gained_slots = int(growth * self.progress(now))
        return self._started_at + self._cold_start.duration_s * (gained_slots + 1) / growth
