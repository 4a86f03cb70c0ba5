from __future__ import annotations

import pytest

from banyanline.core.error_responses import RefusalReason
from banyanline.core.ledger import (
    Admitted,
    Attempt,
    Duplicate,
    KeyRecord,
    KeyTable,
    LedgerFull,
    LedgerRejection,
    OwnerLedger,
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


def record_of(owner_ledger: OwnerLedger) -> KeyRecord:
    record = owner_ledger.get(KEY)
    assert record is not None
    return record


def dispatched_key(ballot: Ballot, outcome: Outcome, limit: int = 10) -> OwnerLedger:
    owner_ledger = ledger(limit)
    result = owner_ledger.admit(KEY, ballot, "orders-1", 0.0)
    assert isinstance(result, Admitted)
    result.record.outcome = outcome
    return owner_ledger


def refused_key() -> OwnerLedger:
    owner_ledger = ledger()
    assert owner_ledger.record_refusal(KEY, Attempt("a", 1), MOVED, 0.0)
    return owner_ledger


@pytest.mark.parametrize(
    ("claimed", "dispatched", "expected"),
    [
        pytest.param(HIGH, LOW, LedgerRejection.SUPERSEDED, id="earlier home is refused"),
        pytest.param(
            HIGH, NO_BALLOT, LedgerRejection.SUPERSEDED, id="home without a claim is refused"
        ),
        pytest.param(HIGH, HIGH, Admitted, id="claiming home"),
        pytest.param(LOW, HIGH, Admitted, id="later claiming home"),
        pytest.param(None, NO_BALLOT, Admitted, id="no claim"),
        pytest.param(Ballot(10, "b"), LOW, LedgerRejection.SUPERSEDED, id="same time, lower host"),
    ],
)
def test_claim_fences_off_lower_ballots(claimed, dispatched, expected):
    owner_ledger = ledger()
    if claimed is not None:
        owner_ledger.claim(KEY, claimed, 0.0)
    result = owner_ledger.admit(KEY, dispatched, "orders-1", 1.0)
    assert result is expected or (isinstance(expected, type) and isinstance(result, expected))


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        pytest.param(HIGH, HIGH, id="higher"),
        pytest.param(LOW, LOW, id="the same again"),
        pytest.param(NO_BALLOT, LedgerRejection.SUPERSEDED, id="lower"),
    ],
)
def test_second_claim_with_a_lower_ballot_is_rejected(second, expected):
    owner_ledger = ledger()
    owner_ledger.claim(KEY, LOW, 0.0)
    result = owner_ledger.claim(KEY, second, 1.0)
    seen = result.ballot if isinstance(result, KeyRecord) else result
    assert seen == expected
    assert record_of(owner_ledger).ballot == max(LOW, second)


@pytest.mark.parametrize("ballot", [NO_BALLOT, LOW, HIGH], ids=["none", "low", "high"])
@pytest.mark.parametrize(
    "outcome", [Pending(), DONE, Unknown("x"), MOVED], ids=["pending", "done", "unknown", "refused"]
)
def test_dispatched_key_is_never_admitted_again(outcome, ballot):
    owner_ledger = dispatched_key(NO_BALLOT, outcome)
    result = owner_ledger.admit(KEY, ballot, "orders-2", 1.0)
    assert isinstance(result, Duplicate)
    assert (result.record.outcome, result.record.upstream) == (outcome, "orders-1")


def test_late_copy_of_a_refused_dispatch_is_not_run():
    owner_ledger = refused_key()
    result = owner_ledger.admit(KEY, NO_BALLOT, "orders-1", 1.0)
    assert isinstance(result, Duplicate)
    assert result.record.outcome == MOVED


def test_refusal_does_not_overwrite_an_accepted_dispatch():
    owner_ledger = ledger()
    owner_ledger.admit(KEY, NO_BALLOT, "orders-1", 0.0)
    assert owner_ledger.record_refusal(KEY, Attempt("a", 1), MOVED, 1.0)
    assert record_of(owner_ledger).is_pending


@pytest.mark.parametrize(
    ("ballot", "attempt", "is_restarted"),
    [
        pytest.param(NO_BALLOT, Attempt("a", 1), False, id="copy of the refused attempt"),
        pytest.param(NO_BALLOT, Attempt("a", 2), True, id="later attempt"),
        pytest.param(NO_BALLOT, Attempt("b", 2), False, id="other home without a claim"),
        pytest.param(HIGH, Attempt("b", 1), True, id="other home with a claim"),
    ],
)
def test_only_a_later_attempt_reopens_a_refused_key(ballot, attempt, is_restarted):
    owner_ledger = refused_key()
    record = record_of(owner_ledger)
    assert owner_ledger.restart_attempt(record, ballot, attempt, "orders-2") is is_restarted
    assert record.is_pending is is_restarted


def test_claim_fences_off_later_attempts_of_the_earlier_home():
    owner_ledger = refused_key()
    owner_ledger.claim(KEY, HIGH, 1.0)
    assert not owner_ledger.restart_attempt(
        record_of(owner_ledger), NO_BALLOT, Attempt("a", 2), "orders-2"
    )


def test_full_ledger_refuses_new_keys_and_evicts_none():
    owner_ledger = ledger(limit=1)
    owner_ledger.admit(KEY, NO_BALLOT, "orders-1", 0.0)
    assert owner_ledger.claim(OTHER, HIGH, 1.0) is LedgerRejection.FULL
    assert owner_ledger.admit(OTHER, NO_BALLOT, "orders-1", 1.0) is LedgerRejection.FULL
    assert owner_ledger.record_refusal(OTHER, Attempt("a", 1), MOVED, 1.0) is False
    assert owner_ledger.import_key(OTHER, "orders-1", DONE, LOW, 1.0) is None
    assert isinstance(owner_ledger.admit(KEY, HIGH, "orders-2", 1.0), Duplicate)
    assert owner_ledger.get(OTHER) is None


@pytest.mark.parametrize(
    ("now", "removed_count"),
    [
        pytest.param(59.9, 0, id="within the lifetime"),
        pytest.param(60.0, 1, id="after the lifetime"),
    ],
)
def test_key_expires_a_lifetime_after_it_was_added(now, removed_count):
    table: KeyTable[str] = KeyTable(limit=1, lifetime_s=60.0)
    table.add(KEY, "v", 0.0)
    assert table.add(OTHER, "w", 30.0) == LedgerFull(1)
    assert (table.expire(now), KEY in table) == (removed_count, not removed_count)


@pytest.mark.parametrize(
    ("own", "adopted", "expected"),
    [
        pytest.param(None, DONE, DONE, id="new key"),
        pytest.param(Pending(), DONE, DONE, id="outcome of a pending key"),
        pytest.param(DONE, MOVED, DONE, id="known outcome is kept"),
        pytest.param(DONE, Pending(), DONE, id="does not become pending again"),
        pytest.param(DONE, None, DONE, id="claimed but not dispatched"),
        pytest.param(Pending(), MOVED, Pending(), id="earlier attempt was refused elsewhere"),
        pytest.param(Pending(), Unknown("x"), Pending(), id="runs here"),
        pytest.param(MOVED, DONE, DONE, id="refused here, but answered elsewhere"),
        pytest.param(MOVED, Unknown("x"), Unknown("x"), id="refused here, may have run elsewhere"),
        pytest.param(MOVED, Pending(), MOVED, id="its own earlier state"),
    ],
)
def test_merge_of_handed_over_keys(own, adopted, expected):
    owner_ledger = ledger() if own is None else dispatched_key(HIGH, own)
    record = owner_ledger.import_key(KEY, "orders-1", adopted, LOW, 1.0)
    assert record is not None
    assert record.outcome == expected
    assert record.ballot == (LOW if own is None else HIGH)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([("u-1", Pending()), ("u-1", MOVED)], MOVED, id="in order"),
        pytest.param([("u-1", MOVED), ("u-1", Pending())], MOVED, id="handover comes late"),
        pytest.param([("u-1", MOVED), ("u-2", Pending())], Pending(), id="next attempt runs"),
        pytest.param([("u-2", Pending()), ("u-1", MOVED)], Pending(), id="earlier attempt late"),
        pytest.param([("u-2", DONE), ("u-1", MOVED)], DONE, id="earlier attempt after answer"),
        pytest.param([("u-1", Unknown("x")), ("u-2", MOVED)], Unknown("x"), id="may have run"),
    ],
)
def test_reports_of_several_attempts_in_any_order(reports, expected):
    owner_ledger = ledger()
    for upstream, outcome in reports:
        owner_ledger.import_key(KEY, upstream, outcome, LOW, 1.0)
    assert record_of(owner_ledger).outcome == expected
