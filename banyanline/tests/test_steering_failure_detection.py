"""Failure detection: flows of failed upstreams are reset, those of live upstreams never."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeAlias

import pytest

from banyanline.core.steering.failure_detection import (
    CHECK_INTERVAL_S,
    GONE_AFTER_S,
    LOST_FOR_S,
    CheckResult,
    FailureDetector,
)
from banyanline.core.steering.model import RouteKind
from banyanline.core.steering.outcomes import Forward, Outcome, Reset, ResetReason
from banyanline.tests.steering import ORDERS, Host, entry, packet, route, table

FIRST_RETRANSMISSION_S = 0.2
CHECK_S = 0.05
LOST = ResetReason.UPSTREAM_LOST

Event: TypeAlias = tuple[float, Callable[[FailureDetector, float], None]]


class Flows:
    """Flows at one upstream, each with a request that the upstream may leave unanswered."""

    def __init__(self, count: int, kind: RouteKind = RouteKind.IDEMPOTENT) -> None:
        self.host = Host(entry("orders-1"))
        self.host.configure(table(2, [route(ORDERS, kind=kind)]))
        self.sent: dict[int, int] = {}
        for flow in range(count):
            self.host.open(flow)
            self.sent[flow] = 1001
        self.host.wait(1.0)

    def send_request(self, flow: int) -> Outcome:
        """Send a new request of 10 bytes."""
        self.sent[flow] += 10
        return self.retransmit(flow)

    def retransmit(self, flow: int) -> Outcome:
        """Send the last request again."""
        cookie = self.host.cookie("orders-1")
        return self.host.send(packet(flow, seq=self.sent[flow] - 10, cookie=cookie, data=10))

    def acknowledge(self, flow: int, ack: int = 600) -> Outcome:
        """Send the caller's acknowledgement of an answer."""
        cookie = self.host.cookie("orders-1")
        return self.host.send(packet(flow, seq=self.sent[flow], ack=ack, cookie=cookie))

    def run_checks(self, result: CheckResult) -> int:
        """Complete all due checks with the same result; return their number."""
        due = self.host.steering.check_scheduler.take_due()
        self.host.wait(CHECK_S)
        for each in due:
            self.host.steering.on_check(each, result, self.host.now)
        return len(due)

    def leave_unanswered(self, *flows: int, result: CheckResult = CheckResult.UNANSWERED) -> None:
        """Send and retransmit requests without an answer, then check the upstream once."""
        for flow in flows:
            self.send_request(flow)
        self.host.wait(FIRST_RETRANSMISSION_S)
        for flow in flows:
            self.retransmit(flow)
        assert self.run_checks(result) == 1


def reason(outcome: Outcome) -> ResetReason | None:
    return outcome.reason if isinstance(outcome, Reset) else None


def test_flows_of_an_upstream_that_is_lost_are_reset_at_their_next_packet():
    flows = Flows(4)
    flows.leave_unanswered(0, 1)
    assert reason(flows.send_request(2)) is LOST
    assert reason(flows.send_request(3)) is LOST


@pytest.mark.parametrize("kind", [pytest.param(kind, id=kind.value) for kind in RouteKind])
def test_only_flows_whose_requests_may_be_repeated_are_reset(kind):
    flows = Flows(3, kind)
    flows.leave_unanswered(0, 1)
    may_repeat = kind in (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
    expected = LOST if may_repeat else None
    assert reason(flows.send_request(2)) is expected


@pytest.mark.parametrize(
    "result", [CheckResult.ANSWERED, CheckResult.UNKNOWN], ids=lambda result: result.value
)
def test_unanswered_requests_are_no_proof_of_failure_unless_a_check_fails(result):
    flows = Flows(4)
    flows.leave_unanswered(0, 1, 2, result=result)
    flows.host.wait(0.8)
    flows.retransmit(0)
    flows.retransmit(1)
    assert reason(flows.send_request(3)) is None


def test_flows_that_moved_to_another_host_are_no_proof_of_failure():
    """Two packets were lost; their flows continue through another host, which sees the answers."""
    flows = Flows(4)
    flows.leave_unanswered(0, 1, result=CheckResult.ANSWERED)
    flows.host.wait(0.5)
    assert reason(flows.send_request(2)) is None
    flows.host.wait(0.5)
    assert reason(flows.send_request(3)) is None


def test_one_unanswered_flow_suffices_if_a_check_fails():
    flows = Flows(2)
    flows.leave_unanswered(0)
    assert reason(flows.retransmit(0)) is LOST
    assert reason(flows.send_request(1)) is LOST


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        pytest.param(CheckResult.ANSWERED, None, id="full"),
        pytest.param(CheckResult.UNANSWERED, LOST, id="dead"),
    ],
)
def test_a_check_distinguishes_a_full_upstream_from_a_dead_one(result, expected):
    """An upstream whose connections are all in use leaves opening packets unanswered too."""
    flows = Flows(1)
    for copy in range(2):
        for flow in (10, 11, 12):
            flows.host.place(flow, copy=copy)
        flows.host.wait(0.3)
    assert flows.run_checks(result) == 1
    assert reason(flows.send_request(0)) is expected


def test_a_response_during_a_check_overrides_its_result():
    flows = Flows(2)
    flows.send_request(0)
    flows.host.wait(FIRST_RETRANSMISSION_S)
    flows.retransmit(0)
    flows.acknowledge(0)
    assert flows.run_checks(CheckResult.UNANSWERED) == 1
    assert reason(flows.send_request(1)) is None


def test_a_check_of_an_earlier_incarnation_is_ignored():
    flows = Flows(2)
    flows.send_request(0)
    flows.host.wait(FIRST_RETRANSMISSION_S)
    flows.retransmit(0)
    flows.host.put(entry("orders-1", incarnation=2))
    assert flows.run_checks(CheckResult.UNANSWERED) == 1
    assert reason(flows.send_request(1)) is None


def test_checks_of_an_upstream_are_rate_limited():
    flows = Flows(8)
    for flow in range(8):
        flows.send_request(flow)
    flows.host.wait(FIRST_RETRANSMISSION_S)
    for flow in range(8):
        flows.retransmit(flow)
    assert flows.run_checks(CheckResult.ANSWERED) == 1
    flows.retransmit(0)
    assert flows.run_checks(CheckResult.ANSWERED) == 0
    flows.host.wait(CHECK_INTERVAL_S)
    flows.retransmit(0)
    assert flows.run_checks(CheckResult.ANSWERED) == 1


def test_a_response_on_any_flow_clears_a_failed_check():
    flows = Flows(4)
    flows.leave_unanswered(0, 1)
    flows.acknowledge(3)
    assert reason(flows.send_request(2)) is None


def test_a_failed_check_expires_without_new_evidence():
    flows = Flows(3)
    flows.leave_unanswered(0, 1)
    flows.host.wait(LOST_FOR_S + 0.1)
    assert reason(flows.send_request(2)) is None


def test_a_new_incarnation_clears_the_evidence():
    flows = Flows(3)
    flows.leave_unanswered(0, 1)
    flows.host.put(entry("orders-1", incarnation=2))
    assert reason(flows.send_request(2)) is None


@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        pytest.param(0.1, None, id="just removed"),
        pytest.param(GONE_AFTER_S - 0.1, None, id="perhaps a lapse"),
        pytest.param(GONE_AFTER_S + 0.1, LOST, id="gone"),
    ],
)
def test_flows_of_an_upstream_that_is_gone_are_reset(age_s, expected):
    flows = Flows(1)
    flows.host.remove("orders-1")
    flows.host.wait(age_s)
    assert reason(flows.send_request(0)) is expected


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        pytest.param(CheckResult.UNANSWERED, LOST, id="nothing listens"),
        pytest.param(CheckResult.ANSWERED, None, id="lapsed or its address used again"),
    ],
)
def test_a_check_shows_at_once_whether_a_removed_upstream_is_gone(result, expected):
    flows = Flows(1)
    flows.host.remove("orders-1")
    flows.host.wait(0.1)
    assert reason(flows.send_request(0)) is None
    assert flows.run_checks(result) == 1
    assert reason(flows.send_request(0)) is expected


def test_an_upstream_that_answers_without_an_entry_is_not_gone():
    flows = Flows(2)
    flows.host.remove("orders-1")
    flows.host.wait(1.0)
    flows.send_request(0)
    flows.acknowledge(0)
    flows.host.wait(GONE_AFTER_S)
    assert reason(flows.send_request(1)) is None


def test_an_upstream_that_is_back_in_the_store_is_not_gone():
    flows = Flows(1)
    flows.host.remove("orders-1")
    flows.host.wait(1.0)
    flows.host.put(entry("orders-1"))
    flows.host.wait(GONE_AFTER_S)
    assert reason(flows.send_request(0)) is None


@pytest.mark.parametrize("seed", range(30))
def test_a_live_upstream_is_never_lost(seed):
    """Packets are lost, answers take up to 2 s, and another host sees those of some flows."""
    rng = random.Random(seed)
    detector = FailureDetector()
    loss = rng.choice([0.0, 0.05, 0.3])
    events: list[Event] = []
    for _ in range(600):
        asked_at = rng.uniform(0.0, 60.0)
        events += _request(rng, loss, asked_at)
    checked = 0
    for now, apply in sorted(events, key=lambda event: event[0]):
        apply(detector, now)
        if detector.begin_check(now):
            checked += 1
            result = rng.choice([CheckResult.ANSWERED, CheckResult.UNKNOWN])
            detector.on_check(result, now, now + CHECK_S)
        assert not detector.is_lost(now), (now, detector.report(now))
    assert checked > 0


def _request(rng: random.Random, loss: float, asked_at: float) -> list[Event]:
    """Return the events that a host sees of one request: retransmissions and maybe a response."""
    answered_at = asked_at + rng.uniform(0.01, 2.0)
    sent_at, wait_s = asked_at, FIRST_RETRANSMISSION_S
    seen: list[Event] = []
    flow = object()
    while sent_at + wait_s < answered_at or rng.random() < loss:
        sent_at += wait_s
        wait_s *= 2
        seen.append((sent_at, _retransmitted(flow, asked_at)))
    if rng.random() < 0.5:
        seen.append((max(sent_at, answered_at), lambda detector, now: detector.on_response(now)))
    return seen


def _retransmitted(flow: object, asked_at: float) -> Callable[[FailureDetector, float], None]:
    return lambda detector, now: detector.on_retransmission(flow, asked_at, now, is_open=True)


def test_a_flow_is_forwarded_without_evidence_of_failure():
    flows = Flows(1)
    assert isinstance(flows.send_request(0), Forward)
