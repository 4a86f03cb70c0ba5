from __future__ import annotations

import random

import pytest

from banyanline.core.retry import (
    AttemptOutcome,
    GiveUp,
    GiveUpReason,
    RetryAt,
    RetryBudget,
    RetryPolicy,
)


@pytest.mark.parametrize(
    ("attempt", "outcome", "idempotent", "remaining_s", "expected"),
    [
        pytest.param(1, AttemptOutcome.OWNER_REFUSED, False, 1.0, None, id="POST not run"),
        pytest.param(1, AttemptOutcome.UPSTREAM_TIMEOUT, True, 1.0, None, id="GET timed out"),
        pytest.param(
            1,
            AttemptOutcome.OWNER_LOST,
            False,
            1.0,
            GiveUpReason.NOT_IDEMPOTENT,
            id="POST with unknown outcome",
        ),
        pytest.param(
            4,
            AttemptOutcome.UPSTREAM_SHED,
            True,
            1.0,
            GiveUpReason.ATTEMPTS_SPENT,
            id="too many attempts",
        ),
        pytest.param(
            1,
            AttemptOutcome.UPSTREAM_SHED,
            True,
            0.001,
            GiveUpReason.NO_TIME_LEFT,
            id="no time left",
        ),
    ],
)
def test_retry_decision(attempt, outcome, idempotent, remaining_s, expected):
    policy = RetryPolicy(RetryBudget(0.0))
    decision = policy.decide(attempt, outcome, idempotent, remaining_s, random.Random(1), 0.0)
    if expected is None:
        assert isinstance(decision, RetryAt)
        assert decision.reason is outcome
        assert 0.0 < decision.time < remaining_s
    else:
        assert decision == GiveUp(expected)


@pytest.mark.parametrize(
    ("outcome", "attempt", "is_spent"),
    [
        pytest.param(AttemptOutcome.OWNER_MOVED, 1, False, id="first redirect"),
        pytest.param(AttemptOutcome.OWNER_MOVED, 2, True, id="second redirect"),
        pytest.param(AttemptOutcome.OWNER_REFUSED, 1, True, id="overload"),
    ],
)
def test_only_the_first_redirect_is_exempt_from_the_budget(outcome, attempt, is_spent):
    policy = RetryPolicy(RetryBudget(0.0))
    policy.decide(attempt, outcome, True, 1.0, random.Random(1), 0.0)
    assert policy.budget.available(0.0) == (0.0 if is_spent else 1.0)


def test_budget_decays_without_successes():
    budget = RetryBudget(0.0)
    for _ in range(200):
        budget.record_success(0.0)
    assert budget.available(0.0) == pytest.approx(21.0)
    assert budget.available(10.0) == pytest.approx(11.0)
    assert budget.available(1000.0) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("share", "expected"),
    [
        pytest.param(0.0, 0, id="none"),
        pytest.param(0.1, 3, id="a tenth"),
        pytest.param(0.5, 11, id="half"),
    ],
)
def test_budget_grows_by_the_share_of_each_success(share, expected):
    budget = RetryBudget(0.0, share)
    for _ in range(20):
        budget.record_success(0.0)
    spent = 0
    while budget.spend(0.0):
        spent += 1
    assert spent == expected
