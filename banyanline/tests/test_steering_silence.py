"""Flows of lost upstreams are reset at once, those of living ones never."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeAlias

import pytest

from banyanline.core.steering.model import RouteKind
from banyanline.core.steering.outcomes import Forward, Outcome, Reset, ResetReason
from banyanline.core.steering.silence import (
    GONE_AFTER_S,
    LOST_AFTER_S,
    LOST_FOR_S,
    Silence,
)
from banyanline.tests.steering import ORDERS, Host, entry, packet, route, table

FIRST_RETRANSMISSION_S = 0.2
LOST = ResetReason.UPSTREAM_LOST

Event: TypeAlias = tuple[float, Callable[[Silence, float], None]]


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

    def ask(self, flow: int) -> Outcome:
        """Send a new request of 10 bytes."""
        self.sent[flow] += 10
        return self.repeat(flow)

    def repeat(self, flow: int) -> Outcome:
        """Send the last request again."""
        cookie = self.host.cookie("orders-1")
        return self.host.send(packet(flow, seq=self.sent[flow] - 10, cookie=cookie, data=10))

    def answer(self, flow: int, ack: int = 600) -> Outcome:
        """Let the caller acknowledge an answer."""
        cookie = self.host.cookie("orders-1")
        return self.host.send(packet(flow, seq=self.sent[flow], ack=ack, cookie=cookie))

    def lose(self, *flows: int) -> None:
        """Leave requests of these flows unanswered until they were repeated twice."""
        for flow in flows:
            self.ask(flow)
        for wait_s in (FIRST_RETRANSMISSION_S, 2 * FIRST_RETRANSMISSION_S):
            self.host.wait(wait_s)
            for flow in flows:
                self.repeat(flow)


def reason(outcome: Outcome) -> ResetReason | None:
    return outcome.reason if isinstance(outcome, Reset) else None


def test_flows_of_an_upstream_that_is_lost_are_reset_at_their_next_packet():
    flows = Flows(4)
    flows.lose(0, 1)
    assert reason(flows.ask(2)) is LOST
    assert reason(flows.ask(3)) is LOST


@pytest.mark.parametrize("kind", [pytest.param(kind, id=kind.value) for kind in RouteKind])
def test_only_what_may_be_repeated_is_reset(kind):
    flows = Flows(3, kind)
    flows.lose(0, 1)
    expected = None if kind is RouteKind.NON_IDEMPOTENT else LOST
    assert reason(flows.ask(2)) is expected


def test_one_flow_that_gets_no_answer_proves_nothing():
    """Of a request of several packets one was lost, at an upstream that this host seldom uses."""
    flows = Flows(2)
    flows.lose(0)
    flows.host.wait(0.8)
    flows.repeat(0)
    assert reason(flows.ask(1)) is None


def test_opening_packets_alone_prove_nothing():
    """An upstream whose connections are all taken answers no opening packet."""
    flows = Flows(1)
    for copy in range(3):
        for flow in (10, 11, 12):
            flows.host.place(flow, copy=copy)
        flows.host.wait(0.3)
    assert reason(flows.ask(0)) is None


def test_a_sign_from_any_flow_ends_the_conclusion():
    flows = Flows(4)
    flows.lose(0, 1)
    flows.answer(3)
    assert reason(flows.ask(2)) is None


def test_the_conclusion_lapses_without_new_evidence():
    flows = Flows(3)
    flows.lose(0, 1)
    flows.host.wait(LOST_FOR_S + 0.1)
    assert reason(flows.ask(2)) is None


def test_a_short_silence_is_no_loss():
    flows = Flows(3)
    flows.ask(0)
    flows.ask(1)
    flows.host.wait(FIRST_RETRANSMISSION_S)
    flows.repeat(0)
    flows.repeat(1)
    assert FIRST_RETRANSMISSION_S < LOST_AFTER_S
    assert reason(flows.ask(2)) is None


def test_a_new_incarnation_starts_with_a_clean_record():
    flows = Flows(3)
    flows.lose(0, 1)
    flows.host.put(entry("orders-1", incarnation=2))
    assert reason(flows.ask(2)) is None


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
    assert reason(flows.ask(0)) is expected


def test_an_upstream_that_answers_without_an_entry_is_not_gone():
    flows = Flows(2)
    flows.host.remove("orders-1")
    flows.host.wait(1.0)
    flows.ask(0)
    flows.answer(0)
    flows.host.wait(GONE_AFTER_S)
    assert reason(flows.ask(1)) is None


def test_an_upstream_that_is_back_in_the_store_is_not_gone():
    flows = Flows(1)
    flows.host.remove("orders-1")
    flows.host.wait(1.0)
    flows.host.put(entry("orders-1"))
    flows.host.wait(GONE_AFTER_S)
    assert reason(flows.ask(0)) is None


@pytest.mark.parametrize("seed", range(30))
def test_a_living_upstream_is_never_taken_for_lost(seed):
    """Packets get lost, requests take up to 0.18 s and callers move between hosts."""
    rng = random.Random(seed)
    silence = Silence()
    loss = rng.choice([0.0, 0.01, 0.05])
    events: list[Event] = []
    for _ in range(600):
        asked_at = rng.uniform(0.0, 60.0)
        events += _request(rng, loss, asked_at)
    for now, apply in sorted(events, key=lambda event: event[0]):
        apply(silence, now)
        assert not silence.is_lost(now), (now, silence.report(now))


def _request(rng: random.Random, loss: float, asked_at: float) -> list[Event]:
    """Return what a host sees of one request: its repeats and the sign of its answer."""
    sent_at, wait_s = asked_at, FIRST_RETRANSMISSION_S
    seen: list[Event] = []
    flow = object()
    while rng.random() < loss:
        sent_at += wait_s
        wait_s *= 2
        seen.append((sent_at, _repeated(flow, asked_at)))
    seen.append((sent_at + rng.uniform(0.01, 0.18), lambda silence, now: silence.on_sign(now)))
    return seen


def _repeated(flow: object, asked_at: float) -> Callable[[Silence, float], None]:
    return lambda silence, now: silence.on_repeat(flow, asked_at, now, is_open=True)


def test_a_flow_is_forwarded_while_nothing_is_known():
    flows = Flows(1)
    assert isinstance(flows.ask(0), Forward)
