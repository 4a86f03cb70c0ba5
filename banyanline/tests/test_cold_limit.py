"""What cold upstreams get from all hosts together, none of which knows of the others."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.core.steering.upstreams import COLD_GAP_S
from banyanline.tests.steering import THERE, Host, entry, opening, table

HOSTS = 9
OPENINGS_PER_S = 60
COLD_RATE = 4.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
LIMIT = COLD_RATE * COLD_OVERAGE + COLD_SLACK


def openings_in_a_second(entries, hosts_count: int = HOSTS) -> Counter[str]:
    """Return how many flows each upstream gets in one second from all hosts."""
    hosts = [Host(*entries, seed=seed) for seed in range(hosts_count)]
    rng = random.Random(5)
    for host in hosts:
        host.configure(table(2, cold_rate=COLD_RATE))
    outcomes = [rng.choice(hosts).send(opening(flow)) for flow in range(OPENINGS_PER_S)]
    assert {type(outcome) for outcome in outcomes} <= {Forward, Reset}
    return Counter(outcome.upstream.name for outcome in outcomes if isinstance(outcome, Forward))


@pytest.mark.parametrize(
    "warm",
    [
        pytest.param([entry("orders-9")], id="a warm one here"),
        pytest.param([entry("orders-9", data_centre=THERE)], id="a warm one elsewhere"),
    ],
)
def test_cold_upstreams_get_nothing_while_another_is_warm(warm):
    cold = [entry(f"orders-{number}", cold_for_s=2.0) for number in range(3)]
    assert set(openings_in_a_second([*cold, *warm])) == {"orders-9"}


@pytest.mark.parametrize(
    "hosts_count",
    [
        pytest.param(HOSTS, id="nine hosts"),
        pytest.param(
            90,
            id="ninety hosts",
            marks=pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt"),
        ),
    ],
)
def test_cold_upstreams_get_no_more_than_they_bear_when_all_are_cold(hosts_count):
    cold = [entry(f"orders-{number}", cold_for_s=2.0) for number in range(3)]
    assert max(openings_in_a_second(cold, hosts_count).values()) <= LIMIT


def test_what_cold_upstreams_do_not_bear_is_refused_at_once():
    host = cold_host("orders-1")
    assert host.place(1) == "orders-1"
    assert host.send(opening(2)) == Reset(ResetReason.COLD_UPSTREAMS)
    host.wait(COLD_GAP_S)
    assert host.place(3) == "orders-1"


def test_a_copy_stays_with_the_cold_upstream_that_may_be_answering():
    host = cold_host("orders-1")
    host.place(1)
    host.wait(0.2)
    assert host.place(1, copy=1) == "orders-1"


def test_an_upstream_without_a_limit_takes_all_while_cold():
    host = cold_host("orders-1", rate=0.0)
    assert [host.place(flow) for flow in range(5)] == ["orders-1"] * 5


def cold_host(*names: str, rate: float = COLD_RATE) -> Host:
    host = Host(*(entry(name, cold_for_s=5.0) for name in names))
    host.configure(table(2, cold_rate=rate))
    return host
