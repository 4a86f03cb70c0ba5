"""Retry policy and retry budget: whether and when a request is retried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

RETRY_SHARE = 0.1
INITIAL_RETRY_BUDGET = 1.0
MAX_RETRY_BUDGET = 50.0
BUDGET_HALF_LIFE_S = 10.0
MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5
HEDGE_SERVICE_TIMES = 6.0
MIN_HEDGE_DELAY_S = 0.02


class AttemptOutcome(StrEnum):
    """Outcome of an attempt that got no response from the upstream.

    ``STILL_RUNNING`` is an attempt that is slow but not over; a second attempt while it
    runs is a hedged request.
    """

    OWNER_MOVED = "owner_moved"
    OWNER_REFUSED = "owner_refused"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_LEFT = "upstream_left"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    OWNER_LOST = "owner_lost"
    STILL_RUNNING = "still_running"


RetryReason: TypeAlias = AttemptOutcome
"""The reason for a retry is the outcome of the previous attempt."""

NOT_RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.OWNER_MOVED,
        AttemptOutcome.OWNER_REFUSED,
        AttemptOutcome.UPSTREAM_SHED,
        AttemptOutcome.UPSTREAM_LEFT,
    }
)
"""Outcomes that prove that no upstream ran the request."""

REDIRECT_OUTCOMES = frozenset({AttemptOutcome.OWNER_MOVED, AttemptOutcome.UPSTREAM_LEFT})
"""Outcomes caused by a change, not by load: the first retry is not charged to the budget."""


class GiveUpReason(StrEnum):
    """Why a request is not retried."""

    NOT_IDEMPOTENT = "not_idempotent"
    BUDGET_SPENT = "budget_spent"
    NO_TIME_LEFT = "no_time_left"
    ATTEMPTS_SPENT = "attempts_spent"


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Retry at ``time``, in seconds of the monotonic clock."""

    time: Seconds
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Do not retry; respond to the caller according to the outcome of the last attempt."""

    reason: GiveUpReason


RetryDecision: TypeAlias = RetryAt | GiveUp


class RetryBudget:
    """Retry budget of one home for one service: a share of its recent successes.

    Each success adds ``share`` to the budget and each retry takes 1 from it. What the
    budget holds above its initial value of 1 halves every ``BUDGET_HALF_LIFE_S``. Any
    sequence of requests therefore makes at most ``1 + share`` attempts per request, plus
    the budget available before it, and without successes hardly any retry is made. A
    share of 0 allows no retries at all.

    >>> budget = RetryBudget(now=0.0)
    >>> budget.spend(now=0.0), budget.spend(now=0.0)
    (True, False)
    """

    def __init__(self, now: Seconds, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._available = INITIAL_RETRY_BUDGET if share > 0.0 else 0.0
        self._updated_at = now

    def available(self, now: Seconds) -> float:
        """Return the number of retries available now."""
        self._decay(now)
        return self._available

    def record_success(self, now: Seconds) -> None:
        """Record that an upstream responded to a request."""
        self._decay(now)
        self._available = min(MAX_RETRY_BUDGET, self._available + self._share)

    def spend(self, now: Seconds) -> bool:
        """Take one retry from the budget; false if none is available."""
        self._decay(now)
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def _decay(self, now: Seconds) -> None:
        excess = self._available - INITIAL_RETRY_BUDGET
        elapsed_s = now - self._updated_at
        if excess > 0.0 and elapsed_s > 0.0:
            self._available = INITIAL_RETRY_BUDGET + excess * 0.5 ** (
                elapsed_s / BUDGET_HALF_LIFE_S
            )
        self._updated_at = now


def hedge_delay_s(service_s: Seconds) -> Seconds:
    """Return the delay in seconds after which a running request is hedged.

    ``service_s`` is the typical service time of a request of the service, in seconds.

    >>> round(hedge_delay_s(0.05), 3)
    0.3
    """
    return max(MIN_HEDGE_DELAY_S, HEDGE_SERVICE_TIMES * service_s)


class RetryPolicy:
    """Decides on the retries of one service within its retry budget.

    >>> import random
    >>> policy = RetryPolicy(RetryBudget(now=0.0))
    >>> policy.decide(1, AttemptOutcome.UPSTREAM_TIMEOUT, False, 2.0, random.Random(1), now=0.0)
    GiveUp(reason=<GiveUpReason.NOT_IDEMPOTENT: 'not_idempotent'>)
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    @property
    def budget(self) -> RetryBudget:
        """The retry budget of the service."""
        return self._budget

    def decide(
        self,
        attempt: int,
        outcome: AttemptOutcome,
        idempotent: bool,
        remaining_s: Seconds,
        rng: random.Random,
        now: Seconds,
    ) -> RetryDecision:
        """Decide whether to retry after ``attempt``, counted from 1, ended with ``outcome``.

        ``remaining_s`` is the time left until the caller's deadline, in seconds.
        """
        if not idempotent and outcome not in NOT_RUN_OUTCOMES:
            return GiveUp(GiveUpReason.NOT_IDEMPOTENT)
        if attempt >= MAX_ATTEMPTS:
            return GiveUp(GiveUpReason.ATTEMPTS_SPENT)
        backoff_s = _backoff_s(attempt, outcome, rng)
        if backoff_s >= remaining_s:
            return GiveUp(GiveUpReason.NO_TIME_LEFT)
        if not self._is_exempt_from_budget(attempt, outcome) and not self._budget.spend(now):
            return GiveUp(GiveUpReason.BUDGET_SPENT)
        return RetryAt(now + backoff_s, outcome)

    def _is_exempt_from_budget(self, attempt: int, outcome: AttemptOutcome) -> bool:
        return attempt == 1 and outcome in REDIRECT_OUTCOMES


def _backoff_s(attempt: int, outcome: AttemptOutcome, rng: random.Random) -> Seconds:
    is_redirect = attempt == 1 and outcome in REDIRECT_OUTCOMES
    if is_redirect or outcome is AttemptOutcome.STILL_RUNNING:
        return 0.0
    backoff_ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (attempt - 1))
    return rng.uniform(0.5 * backoff_ceiling_s, backoff_ceiling_s)
