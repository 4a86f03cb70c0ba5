"""Tracks the requests in flight at one upstream and its response times."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

    from banyanline.core.types import Seconds

SAMPLE_WEIGHT = 0.3
"""Weight of the latest response time in the exponential moving average."""

AVERAGE_LIFETIME_S = 4.0
"""How long the average remains valid without a new response."""

MAX_REQUEST_AGE_S = 3.0
"""The flow of an older request is assumed to continue through another host."""


MEDIAN_STEP = 1.02
"""Factor by which one sample moves the running median."""


class RunningMedian:
    """A streaming estimate of the median of positive numbers.

    Each number moves the estimate by one step up or down, whatever its distance, so that
    outliers weigh no more than others. The first number is the initial estimate.

    >>> median = RunningMedian()
    >>> for number in (1.0, 9.0):
    ...     median.add(number)
    >>> median.value
    1.02
    """

    __slots__ = ("_value",)

    def __init__(self) -> None:
        self._value: float | None = None

    @property
    def value(self) -> float | None:
        """The estimate, or None before the first number."""
        return self._value

    def add(self, number: float) -> None:
        """Add a number."""
        if self._value is None:
            self._value = number
        elif number > self._value:
            self._value *= MEDIAN_STEP
        elif number < self._value:
            self._value /= MEDIAN_STEP


class ResponsePeriod(NamedTuple):
    """Requests and responses since the beginning of a period.

    ``busy_s`` is the total time in flight of all requests, so that ``busy_s / length_s`` is
    the mean number in flight. ``response_s`` is the mean time of the ``responses``.
    """

    length_s: Seconds
    busy_s: Seconds
    responses: int
    response_s: Seconds


class ResponseTracker:
    """Tracks one upstream's requests in flight and its average response time, on one host.

    Flows are identified by any hashable object; each has at most one request in flight.
    """

    __slots__ = (
        "_answered_at",
        "_average_s",
        "_busy_s",
        "_in_flight",
        "_period_began_at",
        "_response_total_s",
        "_responses",
    )

    def __init__(self) -> None:
        self._average_s: Seconds = 0.0
        self._answered_at = float("-inf")
        self._in_flight: dict[Hashable, Seconds] = {}
        self._period_began_at = float("-inf")
        self._busy_s: Seconds = 0.0
        self._responses = 0
        self._response_total_s: Seconds = 0.0

    @property
    def activity(self) -> int:
        """Number of requests in flight, and of responses in the current period."""
        return len(self._in_flight) + self._responses

    def under_way(self, now: Seconds) -> int:
        """Return the number of requests in flight."""
        self._drop_expired(now)
        return len(self._in_flight)

    def expected_s(self, now: Seconds) -> Seconds | None:
        """Return the expected response time, or None if it is unknown.

        This is the moving average, or the age of the oldest request in flight if greater.
        """
        waited_s = 0.0
        if self.under_way(now):
            waited_s = now - next(iter(self._in_flight.values()))
        if now - self._answered_at < AVERAGE_LIFETIME_S:
            return max(self._average_s, waited_s)
        return waited_s or None

    def begin(self, flow: Hashable, now: Seconds) -> None:
        """Record a request, unless the flow already has one in flight."""
        if self._period_began_at == float("-inf"):
            self._period_began_at = now
        self._in_flight.setdefault(flow, now)

    def finish(self, flow: Hashable, now: Seconds) -> Seconds | None:
        """Record a response; return the response time, or None if its request was not seen."""
        began_at = self._in_flight.pop(flow, None)
        if began_at is None:
            return None
        took_s = now - began_at
        self._add_busy_time(began_at, now)
        self._responses += 1
        self._response_total_s += took_s
        self._add_sample(took_s, now)
        return took_s

    def abandon(self, flow: Hashable, now: Seconds) -> None:
        """Record that the caller ended a flow; an unanswered request counts as a late response."""
        began_at = self._in_flight.pop(flow, None)
        if began_at is None:
            return
        self._add_busy_time(began_at, now)
        if now - began_at > self._average_s:
            self._add_sample(now - began_at, now)

    def forget(self, flow: Hashable) -> None:
        """Drop the request of a flow that has ended, without recording a response time."""
        self._in_flight.pop(flow, None)

    def begin_period(self, now: Seconds) -> None:
        """Begin a new period."""
        self._period_began_at = now
        self._busy_s = 0.0
        self._responses = 0
        self._response_total_s = 0.0

    def period(self, now: Seconds) -> ResponsePeriod:
        """Return what has happened in the current period."""
        self._drop_expired(now)
        began_at = min(now, self._period_began_at)
        if began_at == float("-inf"):
            return ResponsePeriod(0.0, 0.0, 0, 0.0)
        in_flight_s = sum(now - max(began_at, request) for request in self._in_flight.values())
        mean_s = self._response_total_s / self._responses if self._responses else 0.0
        return ResponsePeriod(now - began_at, self._busy_s + in_flight_s, self._responses, mean_s)

    def _add_busy_time(self, began_at: Seconds, ended_at: Seconds) -> None:
        self._busy_s += ended_at - max(began_at, self._period_began_at)

    def _add_sample(self, took_s: Seconds, now: Seconds) -> None:
        is_current = now - self._answered_at < AVERAGE_LIFETIME_S
        weight = SAMPLE_WEIGHT if is_current else 1.0
        self._average_s += weight * (took_s - self._average_s)
        self._answered_at = now

    def _drop_expired(self, now: Seconds) -> None:
        while self._in_flight:
            flow, began_at = next(iter(self._in_flight.items()))
            if now - began_at < MAX_REQUEST_AGE_S:
                return
            del self._in_flight[flow]
            self._add_busy_time(began_at, max(self._period_began_at, began_at + MAX_REQUEST_AGE_S))
