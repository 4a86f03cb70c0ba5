"""What a host makes of the answers that it sees, and of those that it does not."""

from __future__ import annotations

import random

import pytest

from banyanline.core.steering.responses import (
    REMEMBERED_S,
    SEEN_HERE_S,
    Responses,
    RunningMedian,
)
from banyanline.tests.steering import THERE, Host, entry, packet

USUAL_S = 0.03


def answered(host: Host, name: str, took_s: float, flow: int) -> None:
    """Let one flow at an upstream ask and be answered."""
    cookie = host.cookie(name)
    host.send(packet(flow, cookie=cookie))
    host.send(packet(flow, cookie=cookie, data=10))
    host.now += took_s
    host.send(packet(flow, cookie=cookie, seq=1011, ack=600, ends=True))


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        pytest.param(0.0, USUAL_S, id="just asked"),
        pytest.param(0.5, 0.5, id="the oldest request waits longer than usual"),
        pytest.param(SEEN_HERE_S + 0.1, USUAL_S, id="its flow has moved to another host"),
    ],
)
def test_a_request_that_waits_tells_as_much_as_an_answer(waited_s, expected):
    responses = Responses()
    responses.begin("a", 0.0)
    assert responses.finish("a", USUAL_S) == pytest.approx(USUAL_S)
    responses.begin("b", 0.1)
    assert responses.expected_s(0.1 + waited_s) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        pytest.param(0.8, USUAL_S + 0.3 * (0.8 - USUAL_S), id="after long"),
        pytest.param(USUAL_S / 2, USUAL_S, id="at once"),
    ],
)
def test_a_caller_that_gives_up_counts_as_a_late_answer(waited_s, expected):
    responses = Responses()
    responses.begin("a", 0.0)
    responses.finish("a", USUAL_S)
    responses.begin("b", 1.0)
    responses.abandon("b", 1.0 + waited_s)
    assert responses.under_way(1.0 + waited_s) == 0
    assert responses.expected_s(1.0 + waited_s) == pytest.approx(expected)


def test_an_upstream_on_which_callers_give_up_gets_fewer_flows():
    """It lets part of its requests hang, and answers the others in the usual time."""
    names = ["orders-1", "orders-2"]
    host = Host(*(entry(name) for name in names))
    for flow in range(60):
        answered(host, names[flow % 2], USUAL_S, flow)
    cookie = host.cookie("orders-1")
    host.send(packet(100, cookie=cookie))
    host.send(packet(100, cookie=cookie, data=10))
    host.wait(0.8)
    host.send(packet(100, cookie=cookie, seq=1011, ends=True))
    host.wait(0.5)
    assert {host.place(flow) for flow in range(200, 204)} == {"orders-2"}


def test_requests_of_flows_that_moved_are_no_work_of_this_host():
    responses = Responses()
    for flow in range(20):
        responses.begin(flow, 0.0)
    assert responses.under_way(1.0) == 20
    assert responses.under_way(SEEN_HERE_S) == 0
    assert responses.finish(3, SEEN_HERE_S) is None


def test_what_was_seen_is_forgotten_after_a_while():
    responses = Responses()
    responses.begin("a", 0.0)
    responses.finish("a", 2.0)
    assert responses.expected_s(2.0) == 2.0
    assert responses.expected_s(2.0 + REMEMBERED_S) is None


@pytest.mark.parametrize("slow_share", [0.0, 0.2, 0.4])
def test_the_usual_time_is_not_moved_by_some_slow_answers(slow_share):
    rng = random.Random(7)
    median = RunningMedian()
    for _ in range(2000):
        median.add(rng.uniform(0.02, 0.04) * (15.0 if rng.random() < slow_share else 1.0))
    assert median.value == pytest.approx(USUAL_S, rel=0.35)


def test_all_upstreams_here_being_slow_sends_flows_elsewhere():
    """The usual time is what it was before, not what the slow ones make of it."""
    names = [f"orders-{number}" for number in range(1, 4)]
    host = Host(*(entry(name) for name in names), entry("orders-9", data_centre=THERE))
    for flow in range(60):
        answered(host, names[flow % 3], USUAL_S, flow)
    assert host.place(100) in names
    for flow in range(200, 215):
        answered(host, names[flow % 3], 20 * USUAL_S, flow)
    assert host.place(300) == "orders-9"
