"""The growth of what an upstream gets after a start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.model import ColdStart
    from banyanline.core.types import Seconds


class Ramp:
    """Slots and starts a second that an upstream bears, growing with its warm-up.

    The ramp is at its beginning until the upstream has given a sign of life,
    since an upstream that is configured before it runs would otherwise be taken
    for warm at its start. From that sign it grows linearly over
    ``ColdStart.duration_s``.

    >>> from banyanline.core.model import ColdStart
    >>> ramp = Ramp(ColdStart(duration_s=10.0, initial_slots=1, initial_rate=5.0), slots=2)
    >>> ramp.confirm(now=100.0)
    >>> ramp.slots(105.0), ramp.slots(110.0)
    (1, 2)
    >>> ramp.start_interval_s(100.0, service_s=0.05)
    0.2
    """

    def __init__(self, cold_start: ColdStart, slots: int) -> None:
        self.set_limits(cold_start, slots)
        self._began_at: Seconds | None = None

    @property
    def initial_slots(self) -> int:
        """The concurrent requests that the upstream bears just after a start."""
        return self._initial_slots

    @property
    def is_confirmed(self) -> bool:
        """Whether the upstream answered since the ramp was last restarted."""
        return self._began_at is not None

    def set_limits(self, cold_start: ColdStart, slots: int) -> None:
        """Grow along ``cold_start`` to ``slots`` from now on, as far as the time since allows."""
        self._cold_start = cold_start
        self._full_slots = slots
        self._initial_slots = max(1, min(cold_start.initial_slots, slots))

    def restart(self) -> None:
        """Go back to the beginning until the upstream gives a sign of life."""
        self._began_at = None

    def confirm(self, now: Seconds) -> None:
        """Take in a sign of life: the ramp grows from the first one on."""
        if self._began_at is None:
            self._began_at = now

    def resume(self, now: Seconds, elapsed_s: Seconds) -> None:
        """Go on from where another owner's ramp was."""
        self._began_at = now - elapsed_s

    def complete(self, now: Seconds) -> None:
        """Take the upstream for warm."""
        self.resume(now, self._cold_start.duration_s)

    def elapsed_s(self, now: Seconds) -> Seconds | None:
        """Seconds since the ramp began, or None before the first sign of life."""
        return None if self._began_at is None else max(0.0, now - self._began_at)

    def share(self, now: Seconds) -> float:
        """How far the ramp has got, from 0.0 (just started) to 1.0 (warm)."""
        if self._began_at is None:
            return 0.0
        elapsed_s = now - self._began_at
        if elapsed_s >= self._cold_start.duration_s:
            return 1.0
        return max(0.0, elapsed_s / self._cold_start.duration_s)

    def slots(self, now: Seconds) -> int:
        """Concurrent requests that the upstream bears now."""
        growth = self._full_slots - self._initial_slots
        return self._initial_slots + int(growth * self.share(now))

    def start_interval_s(self, now: Seconds, service_s: Seconds) -> Seconds:
        """Seconds between two starts now; 0.0 when warm.

        The rate grows to what the full slots can do at ``service_s`` a request.
        """
        share = self.share(now)
        if share >= 1.0:
            return 0.0
        initial_rate = self._cold_start.initial_rate
        full_rate = max(initial_rate, self._full_slots / max(service_s, 1e-3))
        return 1.0 / (initial_rate + share * (full_rate - initial_rate))

    def next_slot_at(self, now: Seconds) -> Seconds | None:
        """When one more slot comes into force, or None if that is not known."""
        growth = self._full_slots - self._initial_slots
        if self._began_at is None or growth == 0 or self.share(now) >= 1.0:
            return None
        gained = int(growth * self.share(now))
        return self._began_at + self._cold_start.duration_s * (gained + 1) / growth
