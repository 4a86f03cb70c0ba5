"""Retry-after times of refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.25


class RetryAfterSchedule:
    """Assigns refused requests successive retry times at the pace of the upstream.

    Callers that were refused together therefore retry one after the other, when there is
    capacity for them, and the longer the overload lasts the later they retry.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_retry_at: Seconds = 0.0

    def retry_after_s(self, now: Seconds, earliest_in_s: Seconds, interval_s: Seconds) -> Seconds:
        """Return in how many seconds a request that is refused now should be retried.

        Before jitter, the delay is at least ``earliest_in_s`` up to a maximum, and
        successive retry times are ``interval_s`` apart.
        """
        retry_at = max(self._next_retry_at, now + earliest_in_s)
        retry_at = min(retry_at, now + MAX_RETRY_AFTER_S)
        self._next_retry_at = retry_at + interval_s
        jitter = self._rng.uniform(1.0 - RETRY_AFTER_JITTER, 1.0 + RETRY_AFTER_JITTER)
        return max(MIN_RETRY_AFTER_S, (retry_at - now) * jitter)
