"""The window of openings to one upstream that has started or recovered.

Like the congestion window in TCP's slow start (RFC 5681) it grows from a small value towards
an unknown capacity: a prompt answer doubles it, and a late or missing one halves it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanline.core.types import Seconds, UpstreamName

INITIAL_WINDOW = 1.0
"""Openings per round trip at the start, from all hosts together."""

MIN_WINDOW = 0.125
"""Lower limit in openings per round trip, so that prompt answers can show a recovery."""

WINDOW_FACTOR = 2.0
"""Factor by which a window grows or shrinks."""


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
    """One host's estimate of an upstream's window.

    ``size`` is the number of openings per round trip from all hosts together. ``sent_at`` is
    the time of this host's latest opening, or a random earlier time before its first one; its
    turns count from there. ``target`` is this host's part of the upstream's open flows, and
    ``participating_share`` the share of hosts that take turns.
    """

    __slots__ = (
        "awaits_answer",
        "began_at",
        "cause",
        "participating_share",
        "sent_at",
        "size",
        "target",
    )

    def __init__(
        self, cause: PaceCause, now: Seconds, *, target: int = 0, participating_share: float = 1.0
    ) -> None:
        self.cause = cause
        self.began_at = now
        self.size = INITIAL_WINDOW
        self.target = target
        self.participating_share = participating_share
        self.sent_at = now
        self.awaits_answer = False

    def turn_interval_s(self, hosts: int, round_trip_s: Seconds) -> Seconds:
        """Return the time from one opening of this host to its next turn.

        >>> OpeningWindow(PaceCause.STARTED, 0.0).turn_interval_s(30, 0.1)
        3.0
        """
        return round_trip_s * max(1.0, hosts * self.participating_share / self.size)

    def on_opening(self, now: Seconds) -> None:
        """Record that this host sends an opening packet."""
        self.sent_at = now
        self.awaits_answer = True

    def resize(self, *, is_prompt: bool, max_size: float) -> PaceStep:
        """Change the size after an answer, or the lack of one; return the step."""
        self.awaits_answer = False
        if is_prompt:
            self.size = min(self.size * WINDOW_FACTOR, max_size)
            return PaceStep.GROWN
        self.size = max(self.size / WINDOW_FACTOR, MIN_WINDOW)
        return PaceStep.HALVED
