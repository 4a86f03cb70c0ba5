"""The total rate of new flows to cold upstreams from hosts that do not coordinate."""

from __future__ import annotations

import random

import pytest

from banyanline.core.steering.cold_limit import COLD_OPENING_INTERVAL_S
from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.core.steering.peer_reports import HostReport, UpstreamSample
from banyanline.tests.steering import HERE, THERE, Host, entry, opening, table

HOSTS = 9
OPENINGS_PER_S = 60
COLD_RATE = 4.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
COLD_S = 2.0
LIMIT = COLD_RATE * COLD_OVERAGE + COLD_SLACK


def run_openings(
    entries,
    hosts_count: int = HOSTS,
    seed: int = 5,
    *,
    is_counted: bool = True,
    has_reports: bool = False,
    rate: float = COLD_RATE,
    openings_per_s: int = OPENINGS_PER_S,
) -> list[tuple[float, str]]:
    """Open flows through random hosts for ``COLD_S``; return the time and upstream of each."""
    hosts = [Host(*entries, seed=number) for number in range(hosts_count)]
    rng = random.Random(seed)
    for host in hosts:
        host.configure(table(2, cold_rate=rate))
        if is_counted:
            host.catalog.set_host_count(hosts_count)
        if has_reports:
            for number in range(hosts_count - 1):
                host.steering.peers.put(HostReport(f"peer-{number}", HERE, 1, 1), host.now)
    found = []
    for flow in range(int(openings_per_s * COLD_S)):
        host = rng.choice(hosts)
        at = flow / openings_per_s
        host.now = 100.0 + at
        outcome = host.send(opening(flow))
        assert isinstance(outcome, Forward | Reset)
        if isinstance(outcome, Forward):
            found.append((at, outcome.upstream.name))
    return found


def busiest_second(found: list[tuple[float, str]]) -> int:
    """Return the most flows that one upstream got in any second."""
    return max(
        sum(name == other and start <= at < start + 1.0 for at, other in found)
        for start, name in found
    )


@pytest.mark.parametrize(
    "warm",
    [
        pytest.param([entry("orders-9")], id="a warm upstream here"),
        pytest.param([entry("orders-9", data_centre=THERE)], id="a warm upstream elsewhere"),
    ],
)
def test_cold_upstreams_get_nothing_while_another_is_warm(warm):
    cold = [entry(f"orders-{number}", cold_for_s=COLD_S) for number in range(3)]
    assert {name for _, name in run_openings([*cold, *warm])} == {"orders-9"}


@pytest.mark.parametrize(
    "hosts_count",
    [
        pytest.param(HOSTS, id="nine hosts"),
        pytest.param(30, id="thirty hosts that poll seeds"),
        pytest.param(90, id="ninety hosts that poll seeds"),
    ],
)
@pytest.mark.parametrize("seed", range(5))
def test_cold_upstreams_stay_within_their_limit_when_all_are_cold(hosts_count, seed):
    cold = [entry(f"orders-{number}", cold_for_s=COLD_S) for number in range(3)]
    found = run_openings(cold, hosts_count, seed)
    assert 0 < busiest_second(found) <= LIMIT


@pytest.mark.parametrize("rate", [0.5, 2.0, COLD_RATE])
@pytest.mark.parametrize("hosts_count", [6, 9, 31, 91])
def test_cold_upstreams_stay_within_a_low_limit_under_heavy_load(hosts_count, rate):
    cold = [entry(f"orders-{number}", cold_for_s=COLD_S) for number in range(6)]
    found = run_openings(cold, hosts_count, rate=rate, openings_per_s=600)
    assert 0 < busiest_second(found) <= rate * COLD_OVERAGE + COLD_SLACK


@pytest.mark.parametrize("others", [pytest.param(3, id="below"), pytest.param(4, id="at")])
def test_a_cold_upstream_gets_nothing_while_other_hosts_use_its_limit(others):
    host = cold_host("orders-1")
    sample = UpstreamSample("orders-1", cold_openings=others)
    host.steering.peers.put(HostReport("peer", HERE, 1, 1, upstreams=(sample,)), host.now)
    outcome = host.send(opening(1))
    assert isinstance(outcome, Forward) is (others < COLD_RATE)


@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_read_the_store_themselves_count_each_other_by_their_reports(seed):
    cold = [entry(f"orders-{number}", cold_for_s=COLD_S) for number in range(3)]
    found = run_openings(cold, 30, seed, is_counted=False, has_reports=True)
    assert 0 < busiest_second(found) <= LIMIT


@pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt")
def test_cold_upstreams_are_spared_by_hosts_that_each_read_the_store_themselves():
    cold = [entry(f"orders-{number}", cold_for_s=COLD_S) for number in range(3)]
    assert busiest_second(run_openings(cold, 30, is_counted=False)) <= LIMIT


def test_flows_beyond_the_cold_limit_are_reset_at_once():
    host = cold_host("orders-1")
    assert host.place(1) == "orders-1"
    assert host.send(opening(2)) == Reset(ResetReason.COLD_UPSTREAMS)
    host.wait(COLD_OPENING_INTERVAL_S)
    assert host.place(3) == "orders-1"


def test_a_retransmission_stays_with_the_cold_upstream_that_may_be_answering():
    host = cold_host("orders-1")
    host.place(1)
    host.wait(0.2)
    assert host.place(1, copy=1) == "orders-1"


def test_an_upstream_without_a_limit_gets_all_flows_while_cold():
    host = cold_host("orders-1", rate=0.0)
    assert [host.place(flow) for flow in range(5)] == ["orders-1"] * 5


def cold_host(*names: str, rate: float = COLD_RATE) -> Host:
    host = Host(*(entry(name, cold_for_s=5.0) for name in names))
    host.configure(table(2, cold_rate=rate))
    return host
