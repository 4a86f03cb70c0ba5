"""The mean service time of one upstream."""

from __future__ import annotations

from banyanline.core.types import Seconds

INITIAL_SERVICE_TIME_S = 0.05
SAMPLE_WEIGHT = 0.05


class ServiceTime:
    """An exponentially weighted mean of the time from dispatch to outcome.

    The first samples weigh equally, so that the initial guess fades at once.

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
        """Whether at least one sample stands behind the mean."""
        return self._samples > 0

    def add(self, elapsed_s: Seconds) -> None:
        """Take in the time of one finished request."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self._samples)
        self._mean_s += weight * (elapsed_s - self._mean_s)

    def add_at_least(self, elapsed_s: Seconds) -> None:
        """Take in a request that was given up after ``elapsed_s``: it would have taken longer."""
        if elapsed_s > self._mean_s:
            self.add(elapsed_s)
