"""Whether and when a request is tried again."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

RETRY_SHARE = 0.1
INITIAL_RETRIES = 1.0
MAX_RETRIES_SAVED = 50.0
SUCCESS_HALF_LIFE_S = 10.0
MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5
HEDGE_SERVICE_TIMES = 6.0
MIN_HEDGE_DELAY_S = 0.02


class AttemptOutcome(StrEnum):
    """How one attempt of a request went without an answer of the upstream.

    ``STILL_RUNNING`` is one that takes long: a second one beside it is a hedge.
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
"""The reason of a retry is how the attempt before it went."""

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
"""Outcomes that come from a change and not from load: the first one costs no budget."""


class GiveUpReason(StrEnum):
    """Why a request is not tried again."""

    NOT_IDEMPOTENT = "not_idempotent"
    BUDGET_SPENT = "budget_spent"
    NO_TIME_LEFT = "no_time_left"
    ATTEMPTS_SPENT = "attempts_spent"


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Try again at ``time``, a time of the monotonic clock in seconds."""

    time: Seconds
    reason: RetryReason


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with what the last attempt allows to promise."""

    reason: GiveUpReason


RetryDecision: TypeAlias = RetryAt | GiveUp


class RetryBudget:
    """Retries that one home may make for one service: a share of its recent successes.

    Each success saves ``share`` of a retry and each retry spends one. What
    was saved halves every ``SUCCESS_HALF_LIFE_S``, down to the one that a service
    has from the start. The attempts of any run of requests therefore number at
    most ``1 + share`` times the requests plus what was saved before it, and
    without successes hardly any retry is made. A share of 0 allows none at all.

    >>> budget = RetryBudget(now=0.0)
    >>> budget.spend(now=0.0), budget.spend(now=0.0)
    (True, False)
    """

    def __init__(self, now: Seconds, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._saved = INITIAL_RETRIES if share > 0.0 else 0.0
        self._updated_at = now

    def saved(self, now: Seconds) -> float:
        """Return how many retries may be made now."""
        self._decay(now)
        return self._saved

    def succeeded(self, now: Seconds) -> None:
        """Take in that a request was answered by an upstream."""
        self._decay(now)
        self._saved = min(MAX_RETRIES_SAVED, self._saved + self._share)

    def spend(self, now: Seconds) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        self._decay(now)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _decay(self, now: Seconds) -> None:
        excess = self._saved - INITIAL_RETRIES
        elapsed_s = now - self._updated_at
        if excess > 0.0 and elapsed_s > 0.0:
            self._saved = INITIAL_RETRIES + excess * 0.5 ** (elapsed_s / SUCCESS_HALF_LIFE_S)
        self._updated_at = now


def hedge_delay_s(service_s: Seconds) -> Seconds:
    """Return after how many seconds a request that runs is due for a hedge.

    ``service_s`` is the usual time of a request of the service, in seconds.

    >>> round(hedge_delay_s(0.05), 3)
    0.3
    """
    return max(MIN_HEDGE_DELAY_S, HEDGE_SERVICE_TIMES * service_s)


class RetryPolicy:
    """Decides on retries of one service within its budget.

    >>> import random
    >>> policy = RetryPolicy(RetryBudget(now=0.0))
    >>> policy.decide(1, AttemptOutcome.UPSTREAM_TIMEOUT, False, 2.0, random.Random(1), now=0.0)
    GiveUp(reason=<GiveUpReason.NOT_IDEMPOTENT: 'not_idempotent'>)
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    @property
    def budget(self) -> RetryBudget:
        """The budget that retries are taken from."""
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
        """Decide what follows ``attempt``, counted from 1, that ended with ``outcome``.

        ``remaining_s`` is what is left of the caller's patience, in seconds.
        """
        if not idempotent and outcome not in NOT_RUN_OUTCOMES:
            return GiveUp(GiveUpReason.NOT_IDEMPOTENT)
        if attempt >= MAX_ATTEMPTS:
            return GiveUp(GiveUpReason.ATTEMPTS_SPENT)
        backoff_s = _backoff_s(attempt, outcome, rng)
        if backoff_s >= remaining_s:
            return GiveUp(GiveUpReason.NO_TIME_LEFT)
        if not self._is_free(attempt, outcome) and not self._budget.spend(now):
            return GiveUp(GiveUpReason.BUDGET_SPENT)
        return RetryAt(now + backoff_s, outcome)

    def _is_free(self, attempt: int, outcome: AttemptOutcome) -> bool:
        return attempt == 1 and outcome in REDIRECT_OUTCOMES


def _backoff_s(attempt: int, outcome: AttemptOutcome, rng: random.Random) -> Seconds:
    is_redirect = attempt == 1 and outcome in REDIRECT_OUTCOMES
    if is_redirect or outcome is AttemptOutcome.STILL_RUNNING:
        return 0.0
    longest_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (attempt - 1))
    return rng.uniform(0.5 * longest_s, longest_s)
