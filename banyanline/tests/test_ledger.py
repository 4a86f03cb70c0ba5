from __future__ import annotations

import pytest

from banyanline.core.answers import RefusalReason
from banyanline.core.ledger import (
    Admitted,
    Attempt,
    Fenced,
    KeyRecord,
    KeyTable,
    LedgerFull,
    OwnerLedger,
    Repeated,
)
from banyanline.core.messages import (
    NO_BALLOT,
    Answered,
    Ballot,
    NotRun,
    Outcome,
    Pending,
    RequestKey,
    Unknown,
)

KEY = RequestKey("orders", "192.0.2.1", 40000, 7, b"t")
OTHER = KEY._replace(message_id=8)
LOW, HIGH = Ballot(10, "a"), Ballot(20, "b")
MOVED = NotRun(RefusalReason.OWNER_MOVED, 1.0)
DONE = Answered(b"done")


def ledger(limit: int = 10) -> OwnerLedger:
    return OwnerLedger(limit, lifetime_s=60.0)


def known(made: OwnerLedger) -> KeyRecord:
    record = made.get(KEY)
    assert record is not None
    return record


def carried(ballot: Ballot, outcome: Outcome, limit: int = 10) -> OwnerLedger:
    made = ledger(limit)
    verdict = made.admit(KEY, ballot, "orders-1", 0.0)
    assert isinstance(verdict, Admitted)
    verdict.record.outcome = outcome
    return made


def refused() -> OwnerLedger:
    made = ledger()
    assert made.refuse(KEY, Attempt("a", 1), MOVED, 0.0)
    return made


@pytest.mark.parametrize(
    ("claimed", "dispatched", "expected"),
    [
        pytest.param(HIGH, LOW, Fenced.SUPERSEDED, id="earlier home is refused"),
        pytest.param(HIGH, NO_BALLOT, Fenced.SUPERSEDED, id="settled home is refused"),
        pytest.param(HIGH, HIGH, Admitted, id="claimer"),
        pytest.param(LOW, HIGH, Admitted, id="later claimer"),
        pytest.param(None, NO_BALLOT, Admitted, id="no claim"),
        pytest.param(Ballot(10, "b"), LOW, Fenced.SUPERSEDED, id="same time, lesser host"),
    ],
)
def test_claim_fences_lower_ballots(claimed, dispatched, expected):
    made = ledger()
    if claimed is not None:
        made.claim(KEY, claimed, 0.0)
    verdict = made.admit(KEY, dispatched, "orders-1", 1.0)
    assert verdict is expected or (isinstance(expected, type) and isinstance(verdict, expected))


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        pytest.param(HIGH, HIGH, id="greater"),
        pytest.param(LOW, LOW, id="the same again"),
        pytest.param(NO_BALLOT, Fenced.SUPERSEDED, id="lesser"),
    ],
)
def test_second_claim_needs_no_lesser_ballot(second, expected):
    made = ledger()
    made.claim(KEY, LOW, 0.0)
    verdict = made.claim(KEY, second, 1.0)
    seen = verdict.ballot if isinstance(verdict, KeyRecord) else verdict
    assert seen == expected
    assert known(made).ballot == max(LOW, second)


@pytest.mark.parametrize("ballot", [NO_BALLOT, LOW, HIGH], ids=["none", "low", "high"])
@pytest.mark.parametrize(
    "outcome", [Pending(), DONE, Unknown("x"), MOVED], ids=["pending", "done", "unknown", "refused"]
)
def test_carried_key_is_never_admitted_again(outcome, ballot):
    made = carried(NO_BALLOT, outcome)
    verdict = made.admit(KEY, ballot, "orders-2", 1.0)
    assert isinstance(verdict, Repeated)
    assert (verdict.record.outcome, verdict.record.upstream) == (outcome, "orders-1")


def test_refusal_keeps_late_copies_out():
    made = refused()
    verdict = made.admit(KEY, NO_BALLOT, "orders-1", 1.0)
    assert isinstance(verdict, Repeated)
    assert verdict.record.outcome == MOVED


def test_refusal_does_not_overwrite_what_was_carried():
    made = ledger()
    made.admit(KEY, NO_BALLOT, "orders-1", 0.0)
    assert made.refuse(KEY, Attempt("a", 1), MOVED, 1.0)
    assert known(made).is_pending


@pytest.mark.parametrize(
    ("ballot", "attempt", "is_taken"),
    [
        pytest.param(NO_BALLOT, Attempt("a", 1), False, id="copy of the refused attempt"),
        pytest.param(NO_BALLOT, Attempt("a", 2), True, id="later attempt"),
        pytest.param(NO_BALLOT, Attempt("b", 2), False, id="other home without a claim"),
        pytest.param(HIGH, Attempt("b", 1), True, id="other home with a claim"),
    ],
)
def test_only_a_later_attempt_reopens_a_refused_key(ballot, attempt, is_taken):
    made = refused()
    record = known(made)
    assert made.reopen(record, ballot, attempt, "orders-2") is is_taken
    assert record.is_pending is is_taken


def test_claim_keeps_later_attempts_of_the_earlier_home_out():
    made = refused()
    made.claim(KEY, HIGH, 1.0)
    assert not made.reopen(known(made), NO_BALLOT, Attempt("a", 2), "orders-2")


def test_full_ledger_refuses_and_does_not_forget():
    made = ledger(limit=1)
    made.admit(KEY, NO_BALLOT, "orders-1", 0.0)
    assert made.claim(OTHER, HIGH, 1.0) is Fenced.FULL
    assert made.admit(OTHER, NO_BALLOT, "orders-1", 1.0) is Fenced.FULL
    assert made.refuse(OTHER, Attempt("a", 1), MOVED, 1.0) is False
    assert made.adopt(OTHER, "orders-1", DONE, LOW, 1.0) is None
    assert isinstance(made.admit(KEY, HIGH, "orders-2", 1.0), Repeated)
    assert made.get(OTHER) is None


@pytest.mark.parametrize(
    ("now", "forgotten"),
    [pytest.param(59.9, 0, id="within"), pytest.param(60.0, 1, id="over")],
)
def test_key_is_kept_for_its_lifetime_from_the_first_sight(now, forgotten):
    table: KeyTable[str] = KeyTable(limit=1, lifetime_s=60.0)
    table.add(KEY, "v", 0.0)
    assert table.add(OTHER, "w", 30.0) == LedgerFull(1)
    assert (table.expire(now), KEY in table) == (forgotten, not forgotten)


@pytest.mark.parametrize(
    ("own", "adopted", "expected"),
    [
        pytest.param(None, DONE, DONE, id="new key"),
        pytest.param(Pending(), DONE, DONE, id="end of a pending one"),
        pytest.param(DONE, MOVED, DONE, id="what is known stays"),
        pytest.param(DONE, Pending(), DONE, id="does not become pending again"),
        pytest.param(DONE, None, DONE, id="claimed only"),
    ],
)
def test_handed_over_keys(own, adopted, expected):
    made = ledger() if own is None else carried(HIGH, own)
    record = made.adopt(KEY, "orders-1", adopted, LOW, 1.0)
    assert record is not None
    assert record.outcome == expected
    assert record.ballot == (LOW if own is None else HIGH)
