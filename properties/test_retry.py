"""Upper bound on retry amplification over random histories of one service."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.core.retry import (
    INITIAL_RETRY_BUDGET,
    MAX_RETRY_BUDGET,
    RETRY_SHARE,
    AttemptOutcome,
    RetryAt,
    RetryBudget,
    RetryPolicy,
)

OVERLOAD_OUTCOMES = [
    AttemptOutcome.OWNER_REFUSED,
    AttemptOutcome.UPSTREAM_SHED,
    AttemptOutcome.UPSTREAM_TIMEOUT,
]


def attempt_request(policy, success_share, rng, now):
    """Attempt one request until it succeeds or is not retried; return the number of attempts."""
    attempt = 1
    while rng.random() >= success_share:
        outcome = rng.choice(OVERLOAD_OUTCOMES)
        decision = policy.decide(attempt, outcome, True, 5.0, rng, now)
        if not isinstance(decision, RetryAt):
            return attempt
        attempt += 1
    policy.budget.record_success(now)
    return attempt


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    phases=st.lists(
        st.tuples(st.integers(1, 300), st.floats(0.0, 1.0), st.floats(0.0, 0.2)),
        min_size=1,
        max_size=6,
    ),
)
def test_amplification_stays_within_the_retry_share(seed, phases):
    rng = random.Random(seed)
    policy = RetryPolicy(RetryBudget(0.0))
    now = 0.0
    requests = 0
    attempts = 0
    for count, success_share, interval_s in phases:
        saved = policy.budget.available(now)
        phase_attempts = 0
        for _ in range(count):
            phase_attempts += attempt_request(policy, success_share, rng, now)
            now += interval_s
        assert phase_attempts <= (1.0 + RETRY_SHARE) * count + saved + 1e-6
        assert saved <= MAX_RETRY_BUDGET
        requests += count
        attempts += phase_attempts
    assert attempts <= (1.0 + RETRY_SHARE) * requests + INITIAL_RETRY_BUDGET + 1e-6


@settings(max_examples=50, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**32), count=st.integers(1, 500))
def test_total_overload_from_the_start_gets_only_the_initial_retries(seed, count):
    rng = random.Random(seed)
    policy = RetryPolicy(RetryBudget(0.0))
    attempts = sum(attempt_request(policy, 0.0, rng, 0.01 * i) for i in range(count))
    assert attempts <= count + INITIAL_RETRY_BUDGET
