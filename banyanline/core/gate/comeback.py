"""When refused callers are told to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.25


class ComebackSchedule:
    """Spreads the next tries of refused callers over the time in which there is room.

    Each refused request is given the next turn of a line that moves on at the
    pace of the upstream. Callers that were refused together therefore come back
    one after the other, and the longer the overload lasts the later they come.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_turn_at: Seconds = 0.0

    def retry_after_s(self, now: Seconds, earliest_in_s: Seconds, interval_s: Seconds) -> Seconds:
        """Return in how many seconds a request that is refused now has its turn.

        It is not before ``earliest_in_s``; turns are ``interval_s`` apart.
        """
        turn_at = max(self._next_turn_at, now + earliest_in_s)
        turn_at = min(turn_at, now + MAX_RETRY_AFTER_S)
        self._next_turn_at = turn_at + interval_s
        jitter = self._rng.uniform(1.0 - RETRY_AFTER_JITTER, 1.0 + RETRY_AFTER_JITTER)
        return max(MIN_RETRY_AFTER_S, (turn_at - now) * jitter)
