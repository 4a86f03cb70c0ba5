"""Placement by the load of a data centre, with reports that are old and the same everywhere."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from banyanline.core.steering.pace import IN_TURN_COST, OUT_OF_TURN_COST
from banyanline.core.steering.peer_placement import MIN_PEERS
from banyanline.core.steering.peer_reports import UpstreamSample
from banyanline.core.steering.placement import Placement
from banyanline.tests.reports import Fleet, hear_all, report
from banyanline.tests.steering import HERE, THERE, Host, entry, route

HOSTS = 31
UPSTREAMS = 20
OPENINGS_PER_S = 300
SECONDS = 5
FLOW_TICKS = 40.0
MOVED_SHARE = 0.05


def entries(count: int = UPSTREAMS):
    return [entry(f"orders-{number}") for number in range(count)]


def busiest_over_mean(counts: Counter[str]) -> float:
    return max(counts.values()) * UPSTREAMS / counts.total()


def run_seconds(fleet: Fleet) -> list[Counter[str]]:
    """Open flows that stay open; return the upstreams of each second."""
    seconds = []
    for second in range(SECONDS):
        fleet.exchange()
        flows = range(second * OPENINGS_PER_S, (second + 1) * OPENINGS_PER_S)
        seconds.append(Counter(fleet.open(flow) for flow in flows))
        fleet.advance(1.0)
    return seconds


def test_an_idle_upstream_does_not_get_all_flows_until_the_next_reports():
    fleet = Fleet(HOSTS, *entries(UPSTREAMS - 1))
    run_seconds(fleet)
    for host in fleet.hosts:
        host.put(entry("orders-new"))
    for second in run_seconds(fleet):
        assert second["orders-new"] * UPSTREAMS / OPENINGS_PER_S < 2.4


def worst_imbalance(*, has_reports: bool, seed: int) -> float:
    """Return the mean of busiest over mean, for flows of a few seconds that move between hosts."""
    fleet = Fleet(HOSTS, *entries(), seed=seed)
    ends: dict[int, tuple[str, float]] = {}
    found = []
    for tick in range(100):
        if tick % 10 == 0 and has_reports:
            fleet.exchange()
        fleet.advance(0.1)
        for flow in [flow for flow, (_, at) in ends.items() if at <= tick]:
            fleet.send(flow, ends.pop(flow)[0], ends=True)
        for flow in range(tick * 30, tick * 30 + 30):
            ends[flow] = fleet.open(flow), tick + fleet.rng.expovariate(1.0 / FLOW_TICKS)
        for flow, (name, _) in ends.items():
            if fleet.rng.random() < MOVED_SHARE:
                fleet.send(flow, name)
        found.append(busiest_over_mean(Counter(name for name, _ in ends.values())))
    return sum(found[40:]) / len(found[40:])


def test_hosts_that_report_to_each_other_spread_open_flows_more_evenly():
    alone = [worst_imbalance(has_reports=False, seed=seed) for seed in (1, 2)]
    together = [worst_imbalance(has_reports=True, seed=seed) for seed in (1, 2)]
    assert sum(together) < sum(alone)


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        pytest.param({"orders-1": 9.0}, (0.1, 0.9), id="loaded by other hosts"),
        pytest.param({"orders-1": 9.0, "orders-2": 9.0}, (0.5, 0.5), id="both loaded alike"),
        pytest.param({}, (0.5, 0.5), id="no load"),
    ],
)
def test_flows_are_shared_by_the_load_from_all_hosts(loads, expected):
    host = Host(entry("orders-1"), entry("orders-2"), entry("orders-3", data_centre=THERE))
    samples = [UpstreamSample(name, load, 1) for name, load in loads.items()]
    hear_all(host, report(*samples))
    host.wait(1.0)
    found = Counter(host.place(flow) for flow in range(10))
    assert found["orders-1"] / 10 == pytest.approx(expected[0], abs=0.21)
    assert found["orders-2"] / 10 == pytest.approx(expected[1], abs=0.21)


@pytest.mark.parametrize(
    ("cost", "in_flight", "expected"),
    [
        pytest.param(None, (0.0, 0.0), 0.0, id="cold and not paced"),
        pytest.param(OUT_OF_TURN_COST, (8.0, 0.0), 0.0, id="out of turn"),
        pytest.param(OUT_OF_TURN_COST, (40.0, 0.0), 0.5, id="out of turn, the other overloaded"),
        pytest.param(0.0, (0.0, 0.0), 0.5, id="carries its part"),
        pytest.param(IN_TURN_COST, (0.0, 0.0), 1.0, id="on this host's turn"),
        pytest.param(IN_TURN_COST, (0.0, 8.0), 0.5, id="on this host's turn, with more load"),
    ],
)
def test_a_cold_upstream_gets_flows_at_its_pace(cost, in_flight, expected):
    host = Host(entry("orders-1"), entry("orders-2", cold_for_s=60.0))
    samples = [UpstreamSample(f"orders-{number}", load) for number, load in enumerate(in_flight, 1)]
    hear_all(host, report(*samples))
    usable = host.catalog.usable("orders")
    paced = {} if cost is None else {host.upstream("orders-2"): cost}
    placement = host.steering.peer_placement
    chosen = [placement.choose(usable, (), route(), None, host.now, paced) for _ in range(50)]
    cold = sum(each is host.upstream("orders-2") for each in chosen)
    assert cold / 50 == pytest.approx(expected, abs=0.05)


def test_without_an_upstream_here_flows_go_elsewhere():
    host = Host(entry("orders-1", is_leaving=True), entry("orders-2", data_centre=THERE))
    hear_all(host, report())
    assert host.place() == "orders-2"


@pytest.mark.parametrize(
    "peers", [pytest.param(0, id="no reports"), pytest.param(MIN_PEERS - 1, id="few hosts")]
)
def test_a_host_among_few_places_flows_by_its_own_load_alone(peers):
    names = [
        entry(f"orders-{number}", data_centre=(HERE, THERE)[number % 2]) for number in range(6)
    ]
    host = Host(*names, seed=5)
    for number in range(peers):
        loaded = UpstreamSample("orders-0", 9.0, 9)
        host.steering.peers.put(report(loaded, host=f"front-{number}"), host.now)
    placement = Placement(HERE, random.Random(5))
    for flow in range(60):
        host.wait(0.1)
        expected = placement.choose(host.catalog.usable("orders"), (), None, host.now)
        assert expected is not None
        assert host.place(flow) == expected.name


@pytest.mark.parametrize(
    ("times_s", "expected"),
    [
        pytest.param((0.03, 0.09), 0.75, id="one responds late"),
        pytest.param((0.03, 0.03), 0.5, id="equal"),
        pytest.param((0.0, 0.09), 0.5, id="one unknown"),
    ],
)
def test_without_an_upstream_here_flows_follow_the_response_times_elsewhere(times_s, expected):
    names = ("orders-1", "orders-2")
    host = Host(*(entry(name, data_centre=name) for name in names))
    samples = [
        UpstreamSample(name, 0.5, 1, 20 if time_s else 0, time_s)
        for name, time_s in zip(names, times_s, strict=True)
    ]
    hear_all(host, report(*samples))
    host.wait(1.0)
    found = Counter(host.place(flow) for flow in range(60))
    assert found["orders-1"] / 60 == pytest.approx(expected, abs=0.1)
