"""Openings to an upstream that starts or recovers, from 31 and 91 hosts together.

Flows stay open for several requests, so that a burst of openings weighs on the upstream for
as long as they last.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from statistics import mean
from typing import NamedTuple

import pytest

from banyanline.core.steering.failure_detection import CheckResult
from banyanline.core.steering.model import UpstreamEntry
from banyanline.core.steering.opening_window import OpeningWindow, PaceCause, PaceStep
from banyanline.core.steering.pace import IN_TURN_COST, MAX_PACED_S, OUT_OF_TURN_COST
from banyanline.core.steering.peer_reports import HostReport, UpstreamSample
from banyanline.tests.steering import HERE, Host, entry, packet

WARM = 20
NEW = "orders-20"
COLD_S = 2.0
COLD_SLOWNESS = 1.6
WORK_S = 0.04
PAUSE_S = 0.3
CHANGE_S = 4.0
END_S = 14.0
STEP_S = 0.05
SEEDS = range(4)

MAX_IN_FLIGHT = 8
"""Requests in flight at an upstream of two slots with which each waits for three others."""


def upstream_entry(number: int, cold_for_s: float = 0.0) -> UpstreamEntry:
    return entry(f"orders-{number}", wire_id=number + 1, cookie=number + 1, cold_for_s=cold_for_s)


class Load(NamedTuple):
    openings_per_s: float
    requests_per_flow: int


LONG_FLOWS = Load(60.0, 10)
SHORT_FLOWS = Load(750.0, 1)


class Simulation:
    """Simulates hosts, upstreams of two slots with a queue, and callers with long flows.

    Some upstreams start at ``CHANGE_S``. ``slowness`` is that of the new one.
    """

    def __init__(
        self,
        hosts: int,
        load: Load,
        *,
        is_paced: bool = True,
        slowness: float = 1.0,
        seed: int = 1,
        started: Iterable[int] = (WARM,),
    ) -> None:
        self.started = started
        self.load = load
        self.rng = random.Random(seed)
        self.is_paced = is_paced
        self.slowness = {NEW: slowness}
        self.entries = [upstream_entry(number) for number in range(WARM)]
        self.warm_at: dict[str, float] = {}
        self.down: set[str] = set()
        self.hosts = [self.start_host(number, hosts) for number in range(hosts)]
        self.in_flight: Counter[str] = Counter()
        self.flows: Counter[str] = Counter()
        self.loads: list[tuple[float, int, float]] = []
        self._slots: dict[str, list[float]] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._flow_ids = itertools.count(1)

    def start_host(self, number: int, hosts: int, now: float = 0.0) -> Host:
        host = Host(seed=number)
        host.now = now
        for each in self.entries:
            host.put(each._replace(cold_for_s=max(0.0, self.warm_at.get(each.name, 0.0) - now)))
        if self.is_paced:
            host.catalog.set_host_count(hosts)
        return host

    def run(self) -> None:
        self._at(0.0, self._arrive)
        self._at(0.0, self._step)
        self._at(CHANGE_S, self.change)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def change(self, now: float) -> None:
        started = [upstream_entry(number, COLD_S) for number in self.started]
        names = {each.name for each in started}
        self.entries = [each for each in self.entries if each.name not in names] + started
        self.warm_at |= dict.fromkeys(names, now + COLD_S)
        for host in self.hosts:
            host.now = now
            for each in started:
                host.put(each._replace(incarnation=2))

    def most_in_flight(self) -> int:
        """Return the most requests that the new upstream had at once after the change."""
        return max(in_flight for at, in_flight, _ in self.loads if at >= CHANGE_S)

    def shared_after_s(self) -> float:
        """Return the time from the change until the new upstream has three quarters of a share."""
        return min((at for at, _, share in self.loads if share >= 0.75), default=END_S) - CHANGE_S

    def _at(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _step(self, now: float) -> None:
        """Carry out due health checks, and sample the load of the new upstream."""
        for host in self.hosts:
            scheduler = host.steering.check_scheduler
            scheduler.on_timer(now)
            for check in scheduler.take_due():
                is_down = check.upstream.name in self.down
                result = CheckResult.UNANSWERED if is_down else CheckResult.ANSWERED
                host.steering.on_check(check, result, now)
        others = sum(self.flows[each.name] for each in self.entries if each.name != NEW)
        share = self.flows[NEW] * (len(self.entries) - 1) / max(1, others)
        self.loads.append((now, self.in_flight[NEW], share))
        if now < END_S:
            self._at(now + STEP_S, self._step)

    def _arrive(self, now: float) -> None:
        self._open(next(self._flow_ids), 0, now)
        if now < END_S:
            self._at(now + self.rng.expovariate(self.load.openings_per_s), self._arrive)

    def _open(self, flow: int, copy: int, now: float) -> None:
        host = self.rng.choice(self.hosts)
        host.now = now
        name = host.place(flow, copy=copy)
        if name in self.down:
            self._at(now + 0.2, partial(self._open, flow, copy + 1))
            return
        self.flows[name] += 1
        host.send(packet(flow, cookie=host.cookie(name)))
        self._request(host, flow, name, 0, now)

    def _request(self, host: Host, flow: int, name: str, number: int, now: float) -> None:
        host.now = now
        cookie = host.cookie(name)
        host.send(packet(flow, cookie=cookie, seq=1001 + 10 * number, data=10, ack=500 + number))
        self.in_flight[name] += 1
        slots = self._slots.setdefault(name, [0.0, 0.0])
        idx = slots.index(min(slots))
        slowness = COLD_SLOWNESS if now < self.warm_at.get(name, 0.0) else 1.0
        slowness *= self.slowness.get(name, 1.0) * self.rng.uniform(0.7, 1.3)
        slots[idx] = max(now, slots[idx]) + WORK_S * slowness
        self._at(slots[idx], partial(self._answer, host, flow, name, number))

    def _answer(self, host: Host, flow: int, name: str, number: int, now: float) -> None:
        self.in_flight[name] -= 1
        number += 1
        ends = number == self.load.requests_per_flow or name in self.down
        host.now = now
        cookie, seq = host.cookie(name), 1001 + 10 * number
        host.send(packet(flow, cookie=cookie, seq=seq, ack=500 + number, ends=ends))
        if ends:
            self.flows[name] -= 1
        else:
            request = partial(self._request, host, flow, name, number)
            self._at(now + PAUSE_S * self.rng.uniform(0.5, 1.5), request)


class Recovery(Simulation):
    """The new upstream runs from the start, and is down before the change."""

    DOWN_S = 3.0

    def __init__(self, hosts: int, load: Load, **options) -> None:
        super().__init__(hosts, load, **options)
        self.entries.append(upstream_entry(WARM))
        for host in self.hosts:
            host.put(upstream_entry(WARM))
        self._at(CHANGE_S - self.DOWN_S, lambda now: self.down.add(NEW))

    def change(self, now: float) -> None:
        self.down.clear()


class Restart(Simulation):
    """Half of the hosts restart while the new upstream is cold."""

    def change(self, now: float) -> None:
        super().change(now)
        self._at(now + COLD_S / 2, self.restart)

    def restart(self, now: float) -> None:
        half = len(self.hosts) // 2
        started = [self.start_host(1000 + idx, len(self.hosts), now) for idx in range(half)]
        self.hosts = started + self.hosts[half:]


def run(kind: type[Simulation], hosts: int, load: Load = LONG_FLOWS, **options) -> Simulation:
    simulation = kind(hosts, load, **options)
    simulation.run()
    return simulation


@pytest.mark.parametrize("hosts", [31, 91])
@pytest.mark.parametrize("kind", [Simulation, Restart], ids=["start", "start and restarts"])
def test_a_started_upstream_gets_its_share_sooner_and_no_queue(kind, hosts):
    paced = [run(kind, hosts, seed=seed) for seed in SEEDS]
    unpaced = [run(kind, hosts, seed=seed, is_paced=False) for seed in SEEDS]
    assert mean(each.shared_after_s() for each in paced) < mean(
        each.shared_after_s() for each in unpaced
    )
    assert max(each.most_in_flight() for each in paced) <= MAX_IN_FLIGHT


@pytest.mark.parametrize("hosts", [31, 91])
def test_a_recovered_upstream_gets_flows_and_no_queue(hosts):
    simulation = run(Recovery, hosts)
    assert 0 < simulation.most_in_flight() <= MAX_IN_FLIGHT
    changes = [change for host in simulation.hosts for change in host.steering.pace.take_changes()]
    assert {change.cause for change in changes} == {PaceCause.RECOVERED}


@pytest.mark.parametrize("hosts", [31, 91])
def test_a_much_slower_upstream_is_not_flooded_by_short_flows(hosts):
    paced = run(Simulation, hosts, SHORT_FLOWS, slowness=5.0)
    unpaced = run(Simulation, hosts, SHORT_FLOWS, slowness=5.0, is_paced=False)
    assert paced.most_in_flight() <= 0.6 * unpaced.most_in_flight()


def test_callers_are_served_as_without_pacing_when_all_upstreams_are_cold():
    started = range(WARM + 1)
    paced = run(Simulation, 31, started=started)
    assert paced.loads == run(Simulation, 31, started=started, is_paced=False).loads


def paced_host(*others: UpstreamEntry, hosts: int | None = 30, loaded: int = 20) -> Host:
    """Return a host with open flows at warm upstreams, where another one has just started."""
    host = Host(*(upstream_entry(number) for number in range(4)), *others)
    if hosts is not None:
        host.catalog.set_host_count(hosts)
    for flow in range(loaded):
        name = host.open(flow)
        host.send(packet(flow, cookie=host.cookie(name), data=10))
        host.wait(WORK_S)
        host.send(packet(flow, cookie=host.cookie(name), seq=1011, ack=600))
    host.wait(WORK_S)
    host.put(upstream_entry(WARM, COLD_S))
    return host


def cost(host: Host) -> float | None:
    usable = host.catalog.usable("orders")
    median_s = host.steering.flows.median_response_s("orders")
    return host.steering.pace.costs(usable, median_s, host.now).get(host.upstream(NEW))


def report(host: Host, **load) -> None:
    sample = UpstreamSample(NEW, **load)
    host.steering.peers.put(HostReport("peer", HERE, 1, 1, upstreams=(sample,)), host.now)


def test_a_host_waits_for_its_turn_and_then_for_the_answer():
    host = paced_host()
    assert cost(host) == OUT_OF_TURN_COST
    host.wait(2 * 30 * WORK_S)
    assert cost(host) == IN_TURN_COST
    assert host.place(100) == NEW
    host.wait(WORK_S)
    assert cost(host) == OUT_OF_TURN_COST


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        pytest.param({}, IN_TURN_COST, id="others idle"),
        pytest.param({"in_flight": 1.0}, OUT_OF_TURN_COST, id="requests of others in flight"),
        pytest.param({"cold_openings": 30}, OUT_OF_TURN_COST, id="openings of others"),
    ],
)
def test_the_load_from_other_hosts_counts(load, expected):
    host = paced_host(hosts=None)
    report(host, **load)
    cost(host)
    host.wait(1.0)
    assert cost(host) == expected


def test_a_window_ends_when_the_upstream_carries_what_others_do():
    host = paced_host()
    report(host, open_flows=5)
    cost(host)
    host.wait(COLD_S + 0.1)
    assert cost(host) is None
    assert [change.step for change in host.steering.pace.take_changes()] == [
        PaceStep.BEGUN,
        PaceStep.ENDED,
    ]


def test_a_window_ends_in_time_if_turns_are_rare():
    host = paced_host(hosts=3000)
    assert cost(host) == OUT_OF_TURN_COST
    host.wait(MAX_PACED_S)
    assert cost(host) is None


def test_a_host_that_knows_no_others_leaves_a_cold_upstream_idle_while_there_is_another():
    host = paced_host(hosts=None)
    assert cost(host) is None
    host.wait(1.0)
    assert host.place(100) != NEW


def test_callers_go_to_a_paced_upstream_out_of_turn_when_all_others_have_failed():
    host = paced_host()
    for number in range(4):
        upstream = host.upstream(f"orders-{number}")
        host.steering.check_scheduler.request_check(upstream, host.now)
    for check in host.steering.check_scheduler.take_due():
        host.now += 0.001
        host.steering.on_check(check, CheckResult.UNANSWERED, host.now)
    assert cost(host) is not None
    assert host.place(100) == NEW


@pytest.mark.parametrize(
    ("answers", "size"),
    [
        pytest.param([True], 2.0, id="prompt"),
        pytest.param([True] * 5, 4.0, id="prompt, up to the free window"),
        pytest.param([False], 0.5, id="late"),
        pytest.param([False] * 9, 0.125, id="late, down to the minimum"),
        pytest.param([False, True], 1.0, id="late, then prompt"),
    ],
)
def test_a_window_follows_the_answers(answers, size):
    window = OpeningWindow(PaceCause.STARTED, 0.0)
    for is_prompt in answers:
        window.resize(is_prompt=is_prompt, max_size=4.0)
    assert window.size == size
