"""The window of openings to one upstream that has started or recovered.

As with the congestion window of a path of unknown capacity (slow start, RFC 5681), a prompt
answer doubles it and a late or missing one halves it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanline.core.types import Seconds, UpstreamName

INITIAL_WINDOW = 1.0
"""Openings per round trip at the start, from all hosts together."""

MIN_WINDOW = 0.125
"""An upstream with a queue gets at least this, so that it can show that the queue is gone."""

GROWTH = 2.0


class PaceCause(StrEnum):
    """Why the openings to an upstream are paced."""

    STARTED = "started"
    RECOVERED = "recovered"


class PaceStep(StrEnum):
    """A step in the life of a window; each is counted."""

    BEGUN = "begun"
    GROWN = "grown"
    HALVED = "halved"
    ENDED = "ended"


class PaceChange(NamedTuple):
    """The beginning or end of a window, for the log; ``size`` is in openings per round trip."""

    upstream: UpstreamName
    cause: PaceCause
    step: PaceStep
    size: float
    age_s: Seconds


class OpeningWindow:
    """One host's copy of an upstream's window.

    ``size`` is the number of openings per round trip from all hosts together. The turn of
    this host follows ``sent_at``, the time of its latest opening, or a random earlier one.
    ``target`` is the number of open flows at which this host carries its part, and
    ``willing_share`` the share of hosts that take turns with it.
    """

    __slots__ = (
        "awaits_answer",
        "began_at",
        "cause",
        "sent_at",
        "size",
        "target",
        "willing_share",
    )

    def __init__(
        self, cause: PaceCause, now: Seconds, *, target: int = 0, willing_share: float = 1.0
    ) -> None:
        self.cause = cause
        self.began_at = now
        self.size = INITIAL_WINDOW
        self.target = target
        self.willing_share = willing_share
        self.sent_at = now
        self.awaits_answer = False

    def turn_s(self, hosts: int, round_trip_s: Seconds) -> Seconds:
        """Return the time from one opening of this host to its next turn.

        >>> OpeningWindow(PaceCause.STARTED, 0.0).turn_s(30, 0.1)
        3.0
        """
        return round_trip_s * max(1.0, hosts * self.willing_share / self.size)

    def on_opening(self, now: Seconds) -> None:
        """Record that this host sends an opening packet."""
        self.sent_at = now
        self.awaits_answer = True

    def resize(self, *, is_prompt: bool, max_size: float) -> PaceStep:
        """Change the size after an answer, or the lack of one; return the step."""
        self.awaits_answer = False
        if is_prompt:
            self.size = min(self.size * GROWTH, max_size)
            return PaceStep.GROWN
        self.size = max(self.size / GROWTH, MIN_WINDOW)
        return PaceStep.HALVED
