"""What cold upstreams get from all hosts together, none of which knows of the others."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from banyanline.tests.steering import THERE, Host, entry, table

HOSTS = 9
OPENINGS_PER_S = 60
COLD_RATE = 4.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
LIMIT = COLD_RATE * COLD_OVERAGE + COLD_SLACK


def openings_in_a_second(entries) -> Counter[str]:
    """Return how many flows each upstream gets in one second from all hosts."""
    hosts = [Host(*entries, seed=seed) for seed in range(HOSTS)]
    rng = random.Random(5)
    for host in hosts:
        host.configure(table(2, cold_rate=COLD_RATE))
    return Counter(rng.choice(hosts).open(flow) for flow in range(OPENINGS_PER_S))


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


@pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt")
def test_cold_upstreams_get_no_more_than_they_bear_when_all_are_cold():
    cold = [entry(f"orders-{number}", cold_for_s=2.0) for number in range(3)]
    assert max(openings_in_a_second(cold).values()) <= LIMIT
