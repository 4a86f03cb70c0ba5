"""Capacity of an upstream during its slow start: a linear ramp of slots and rate."""

from __future__ import annotations

from typing import NamedTuple

RATE_TOLERANCE = 1.25
"""An upstream accepts up to this multiple of the configured ramp's rate."""
BURST_REQUESTS = 2.0


class Ramp(NamedTuple):
    """The slow start as configured by the operators, and the full rate at its end."""

    duration_s: float = 10.0
    initial_slots: int = 1
    initial_rate: float = 5.0
    full_slots: int = 2
    full_rate: float = 50.0

    def slots_at(self, age_s: float) -> int:
        """Return the limit of concurrent requests ``age_s`` seconds after the start.

        >>> Ramp(full_slots=4).slots_at(0.0), Ramp(full_slots=4).slots_at(10.0)
        (1, 4)
        """
        progress = min(1.0, age_s / self.duration_s)
        return int(self.initial_slots + (self.full_slots - self.initial_slots) * progress)

    def rate_at(self, age_s: float) -> float:
        """Return the limit of requests per second ``age_s`` seconds after the start."""
        progress = min(1.0, age_s / self.duration_s)
        return self.initial_rate + (self.full_rate - self.initial_rate) * progress


class ColdCapacity:
    """A token bucket that follows a :class:`Ramp` and detects overload.

    >>> cold = ColdCapacity(Ramp(), started_at=0.0)
    >>> [cold.accepts(at=0.0, active=0) for _ in range(3)]
    [True, True, False]
    >>> cold.accepts(at=10.0, active=5)
    True
    """

    def __init__(self, ramp: Ramp, started_at: float) -> None:
        self._ramp = ramp
        self._started_at = started_at
        self._tokens = BURST_REQUESTS
        self._refilled_at = started_at

    def is_warm(self, at: float) -> bool:
        """Whether the slow start is over."""
        return at - self._started_at >= self._ramp.duration_s

    def accepts(self, at: float, active: int) -> bool:
        """Count a request that arrives while ``active`` others run; return False on overload."""
        if self.is_warm(at):
            return True
        age_s = at - self._started_at
        rate = self._ramp.rate_at(age_s) * RATE_TOLERANCE
        self._tokens = min(BURST_REQUESTS, self._tokens + (at - self._refilled_at) * rate)
        self._refilled_at = at
        self._tokens -= 1.0
        return self._tokens >= 0.0 and active < self._ramp.slots_at(age_s)
