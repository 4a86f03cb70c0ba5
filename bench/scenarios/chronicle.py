"""What a run did to the system and when, in seconds of the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple


class Event(NamedTuple):
    """Something that the run did."""

    at: float
    what: str


class Span(NamedTuple):
    """From one time to another; an open one ends at infinity."""

    began: float
    ended: float = float("inf")


class Chronicle:
    """Events for the plots, and the spans by which the judge tells causes apart.

    >>> chronicle = Chronicle()
    >>> chronicle.begin_out("north", 5.0)
    >>> chronicle.end_out("north", 9.0)
    >>> chronicle.out_spans("north")
    [Span(began=5.0, ended=9.0)]
    """

    def __init__(self) -> None:
        self._events: list[Event] = []
        self._faults: list[Span] = []
        self._leaving_at: dict[str, float] = {}
        self._out: dict[str, list[Span]] = {}

    @property
    def events(self) -> list[Event]:
        """All events so far."""
        return self._events

    @property
    def faults(self) -> list[Span]:
        """When crashes, pauses, cuts and restarts were under way."""
        return self._faults

    @property
    def leaving_at(self) -> dict[str, float]:
        """When each leaving upstream was published as such."""
        return self._leaving_at

    def note(self, what: str) -> None:
        """Remember an event, now."""
        self._events.append(Event(time.monotonic(), what))

    def begin_out(self, data_centre: str, at: float) -> None:
        """Remember that a data centre was published as out."""
        self._out.setdefault(data_centre, []).append(Span(at))

    def end_out(self, data_centre: str, at: float) -> None:
        """Remember that a data centre was published as in service again."""
        spans = self._out[data_centre]
        spans[-1] = spans[-1]._replace(ended=at)

    def out_spans(self, data_centre: str) -> list[Span]:
        """Return when the data centre was out."""
        return list(self._out.get(data_centre, ()))

    @contextmanager
    def fault(self) -> Iterator[None]:
        """Remember that a fault lasted from here to the end of the block."""
        number = len(self._faults)
        self._faults.append(Span(time.monotonic()))
        try:
            yield
        finally:
            span = self._faults[number]
            self._faults[number] = span._replace(ended=time.monotonic())
