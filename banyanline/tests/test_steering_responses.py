"""Response times as one host measures them, and their effect on the choice of upstreams."""

from __future__ import annotations

import random

import pytest

from banyanline.core.steering.responses import (
    AVERAGE_LIFETIME_S,
    MAX_REQUEST_AGE_S,
    ResponseTracker,
    RunningMedian,
)
from banyanline.tests.steering import THERE, Host, entry, packet

TYPICAL_S = 0.03


def exchange(host: Host, name: str, took_s: float, flow: int) -> None:
    """Send a request on a new flow at an upstream, and end the flow with its answer."""
    cookie = host.cookie(name)
    host.send(packet(flow, cookie=cookie))
    host.send(packet(flow, cookie=cookie, data=10))
    host.now += took_s
    host.send(packet(flow, cookie=cookie, seq=1011, ack=600, ends=True))


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        pytest.param(0.0, TYPICAL_S, id="just asked"),
        pytest.param(0.5, 0.5, id="the oldest request waits longer than usual"),
        pytest.param(MAX_REQUEST_AGE_S + 0.1, TYPICAL_S, id="its flow has moved to another host"),
    ],
)
def test_the_age_of_the_oldest_request_counts_as_a_response_time(waited_s, expected):
    responses = ResponseTracker()
    responses.begin("a", 0.0)
    assert responses.finish("a", TYPICAL_S) == pytest.approx(TYPICAL_S)
    responses.begin("b", 0.1)
    assert responses.expected_s(0.1 + waited_s) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        pytest.param(0.8, TYPICAL_S + 0.3 * (0.8 - TYPICAL_S), id="after a long wait"),
        pytest.param(TYPICAL_S / 2, TYPICAL_S, id="at once"),
    ],
)
def test_a_caller_that_gives_up_counts_as_a_late_response(waited_s, expected):
    responses = ResponseTracker()
    responses.begin("a", 0.0)
    responses.finish("a", TYPICAL_S)
    responses.begin("b", 1.0)
    responses.abandon("b", 1.0 + waited_s)
    assert responses.under_way(1.0 + waited_s) == 0
    assert responses.expected_s(1.0 + waited_s) == pytest.approx(expected)


def test_an_upstream_on_which_callers_give_up_gets_fewer_flows():
    """The upstream leaves some requests unanswered and answers the others in the usual time."""
    names = ["orders-1", "orders-2"]
    host = Host(*(entry(name) for name in names))
    for flow in range(60):
        exchange(host, names[flow % 2], TYPICAL_S, flow)
    cookie = host.cookie("orders-1")
    host.send(packet(100, cookie=cookie))
    host.send(packet(100, cookie=cookie, data=10))
    host.wait(0.8)
    host.send(packet(100, cookie=cookie, seq=1011, ends=True))
    host.wait(0.5)
    assert {host.place(flow) for flow in range(200, 204)} == {"orders-2"}


def test_requests_of_flows_that_moved_are_no_longer_counted():
    responses = ResponseTracker()
    for flow in range(20):
        responses.begin(flow, 0.0)
    assert responses.under_way(1.0) == 20
    assert responses.under_way(MAX_REQUEST_AGE_S) == 0
    assert responses.finish(3, MAX_REQUEST_AGE_S) is None


def test_the_average_expires():
    responses = ResponseTracker()
    responses.begin("a", 0.0)
    responses.finish("a", 2.0)
    assert responses.expected_s(2.0) == 2.0
    assert responses.expected_s(2.0 + AVERAGE_LIFETIME_S) is None


@pytest.mark.parametrize("slow_share", [0.0, 0.2, 0.4])
def test_the_median_is_not_moved_by_some_slow_responses(slow_share):
    rng = random.Random(7)
    median = RunningMedian()
    for _ in range(2000):
        median.add(rng.uniform(0.02, 0.04) * (15.0 if rng.random() < slow_share else 1.0))
    assert median.value == pytest.approx(TYPICAL_S, rel=0.35)


def test_flows_go_elsewhere_when_all_upstreams_here_are_slow():
    """The upstreams are compared with the earlier median, which slow responses move only slowly."""
    names = [f"orders-{number}" for number in range(1, 4)]
    host = Host(*(entry(name) for name in names), entry("orders-9", data_centre=THERE))
    for flow in range(60):
        exchange(host, names[flow % 3], TYPICAL_S, flow)
    assert host.place(100) in names
    for flow in range(200, 215):
        exchange(host, names[flow % 3], 20 * TYPICAL_S, flow)
    assert host.place(300) == "orders-9"
