"""The mean service time of one upstream."""

from __future__ import annotations

from banyanline.core.types import Seconds

INITIAL_SERVICE_TIME_S = 0.05
SAMPLE_WEIGHT = 0.05


class ServiceTime:
    """Exponentially weighted moving average of the time from dispatch to outcome.

    The first samples have equal weight, so the first one replaces the initial estimate.

    >>> service_time = ServiceTime()
    >>> service_time.add(0.2)
    >>> service_time.add(0.4)
    >>> round(service_time.mean_s, 3)
    0.3
    """

    def __init__(self, initial_s: Seconds | None = None) -> None:
        self._mean_s = INITIAL_SERVICE_TIME_S if initial_s is None else initial_s
        self._samples = 0 if initial_s is None else 1

    @property
    def mean_s(self) -> Seconds:
        """The mean service time in seconds."""
        return self._mean_s

    @property
    def is_known(self) -> bool:
        """Whether the mean is based on at least one sample."""
        return self._samples > 0

    def add(self, elapsed_s: Seconds) -> None:
        """Add the time of one finished request."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self._samples)
        self._mean_s += weight * (elapsed_s - self._mean_s)

    def add_lower_bound(self, elapsed_s: Seconds) -> None:
        """Add a request that was cancelled after ``elapsed_s`` and would have taken longer."""
        if elapsed_s > self._mean_s:
            self.add(elapsed_s)
