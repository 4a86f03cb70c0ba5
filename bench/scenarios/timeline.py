"""Timeline of the changes and faults of a run, in seconds of the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple


class Event(NamedTuple):
    """A change or fault, as shown in the plots."""

    at: float
    description: str


class Interval(NamedTuple):
    """A time interval; one that is still open ends at infinity."""

    start: float
    end: float = float("inf")


class Timeline:
    """Events for the plots, and intervals by which the evaluation attributes violations to causes.

    >>> timeline = Timeline()
    >>> timeline.record_out_of_service("north", 5.0)
    >>> timeline.record_back_in_service("north", 9.0)
    >>> timeline.out_of_service_intervals("north")
    [Interval(start=5.0, end=9.0)]
    """

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._fault_intervals: list[Interval] = []
        self._leaving_at: dict[str, float] = {}
        self._out_of_service_intervals: dict[str, list[Interval]] = {}

    @property
    def events(self) -> list[Event]:
        """All events so far."""
        return self._events

    @property
    def fault_intervals(self) -> list[Interval]:
        """The intervals of crashes, pauses, partitions and upstream restarts."""
        return self._fault_intervals

    @property
    def leaving_at(self) -> dict[str, float]:
        """When each upstream was published as leaving, by name."""
        return self._leaving_at

    def record_event(self, description: str) -> None:
        """Record an event at the current time."""
        self._events.append(Event(time.monotonic(), description))

    def record_out_of_service(self, data_centre: str, at: float) -> None:
        """Record that a data centre was published as out of service."""
        self._out_of_service_intervals.setdefault(data_centre, []).append(Interval(at))

    def record_back_in_service(self, data_centre: str, at: float) -> None:
        """Record that a data centre was published as back in service."""
        intervals = self._out_of_service_intervals[data_centre]
        intervals[-1] = intervals[-1]._replace(end=at)

    def out_of_service_intervals(self, data_centre: str) -> list[Interval]:
        """Return the intervals in which the data centre was out of service."""
        return list(self._out_of_service_intervals.get(data_centre, ()))

    @contextmanager
    def record_fault(self) -> Iterator[None]:
        """Record a fault that lasts for the duration of the ``with`` block."""
        number = len(self._fault_intervals)
        self._fault_intervals.append(Interval(time.monotonic()))
        try:
            yield
        finally:
            interval = self._fault_intervals[number]
            self._fault_intervals[number] = interval._replace(end=time.monotonic())
