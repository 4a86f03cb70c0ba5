"""Requests under way at one upstream, and how long answers take."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

    from banyanline.core.types import Seconds

SAMPLE_WEIGHT = 0.3
"""Weight of the newest answer in the moving average."""

REMEMBERED_S = 4.0
"""How long the average says something without a new answer."""

SEEN_HERE_S = 3.0
"""A request that waits longer is taken for one whose flow goes on through another host."""


MEDIAN_STEP = 1.02
"""Factor by which one answer moves the running median."""


class RunningMedian:
    """The median of a stream of positive numbers, as it drifts.

    Each number moves it by one step up or down, so that a few large ones weigh no
    more than others. The first number is the start.

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
        """The median so far, or None before the first number."""
        return self._value

    def add(self, number: float) -> None:
        """Take in a number."""
        if self._value is None:
            self._value = number
        elif number > self._value:
            self._value *= MEDIAN_STEP
        elif number < self._value:
            self._value /= MEDIAN_STEP


class Responses:
    """What a host has seen of one upstream's answers.

    Flows are any hashable objects that tell them apart; each has one request under
    way at most.
    """

    __slots__ = ("_answered_at", "_average_s", "_waiting")

    def __init__(self) -> None:
        self._average_s: Seconds = 0.0
        self._answered_at = float("-inf")
        self._waiting: dict[Hashable, Seconds] = {}

    def under_way(self, now: Seconds) -> int:
        """Return the number of requests without an answer so far."""
        self._forget_moved(now)
        return len(self._waiting)

    def expected_s(self, now: Seconds) -> Seconds | None:
        """Return how long an answer takes, or None if that is not known.

        A request that has waited longer than the average counts in its place.
        """
        waited_s = 0.0
        if self.under_way(now):
            waited_s = now - next(iter(self._waiting.values()))
        if now - self._answered_at < REMEMBERED_S:
            return max(self._average_s, waited_s)
        return waited_s or None

    def begin(self, flow: Hashable, now: Seconds) -> None:
        """Take in a request, unless one of the flow is under way already."""
        self._waiting.setdefault(flow, now)

    def finish(self, flow: Hashable, now: Seconds) -> Seconds | None:
        """Take in an answer; return how long it took if its request was seen."""
        began_at = self._waiting.pop(flow, None)
        if began_at is None:
            return None
        took_s = now - began_at
        self._average(took_s, now)
        return took_s

    def abandon(self, flow: Hashable, now: Seconds) -> None:
        """Take in that the caller ended a flow before its answer, which counts as a late one."""
        began_at = self._waiting.pop(flow, None)
        if began_at is not None and now - began_at > self._average_s:
            self._average(now - began_at, now)

    def give_up(self, flow: Hashable) -> None:
        """Take in that a flow has ended, with or without an answer."""
        self._waiting.pop(flow, None)

    def _average(self, took_s: Seconds, now: Seconds) -> None:
        is_known = now - self._answered_at < REMEMBERED_S
        weight = SAMPLE_WEIGHT if is_known else 1.0
        self._average_s += weight * (took_s - self._average_s)
        self._answered_at = now

    def _forget_moved(self, now: Seconds) -> None:
        while self._waiting:
            flow, began_at = next(iter(self._waiting.items()))
            if now - began_at < SEEN_HERE_S:
                return
            del self._waiting[flow]
