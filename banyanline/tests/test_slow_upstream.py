"""Placement of new flows while one upstream is several times slower than the others."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import pytest

from banyanline.tests.steering import THERE, Host, entry, packet

WORK_S = 0.03
ROUND_TRIP_S = 0.004
OPENINGS_PER_S = 60.0
SLOW = "orders-1"
SLOW_FROM_S = 2.0
SLOW_UNTIL_S = 8.0
END_S = 16.0


class Simulation:
    """Simulates hosts that share upstreams of two slots, with one request per flow."""

    def __init__(self, hosts: int, slowness: float, seed: int) -> None:
        entries = [entry(f"orders-{number}") for number in range(1, 4)]
        entries += [entry(f"orders-{number}", data_centre=THERE) for number in range(4, 6)]
        self.hosts = [Host(*entries, seed=seed + number) for number in range(hosts)]
        self.rng = random.Random(seed)
        self.slowness = slowness
        self.free_at = {each.name: [0.0] * each.slots for each in entries}
        self.placed: list[tuple[float, str]] = []
        self.took: list[tuple[float, float]] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._began_at = self.hosts[0].now

    def run(self) -> None:
        opens_at = 0.0
        for flow in itertools.count(1):
            opens_at += self.rng.expovariate(OPENINGS_PER_S)
            if opens_at > END_S:
                break
            self._at(opens_at, partial(self._open, flow))
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def share(self, since_s: float, until_s: float) -> float:
        """Return the share of flows that the slow upstream got."""
        names = Counter(name for at, name in self.placed if since_s <= at < until_s)
        return names[SLOW] / names.total()

    def response_quantile(self, since_s: float, until_s: float, quantile: float) -> float:
        times = sorted(took for at, took in self.took if since_s <= at < until_s)
        return times[int(quantile * (len(times) - 1))]

    def _at(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _open(self, flow: int, now: float) -> None:
        host = self.rng.choice(self.hosts)
        host.now = self._began_at + now
        name = host.open(flow)
        self.placed.append((now, name))
        host.send(packet(flow, cookie=host.cookie(name), data=10))
        work_s = WORK_S * self.rng.uniform(0.7, 1.3)
        if name == SLOW and SLOW_FROM_S <= now < SLOW_UNTIL_S:
            work_s *= self.slowness
        slots = self.free_at[name]
        idx = slots.index(min(slots))
        slots[idx] = max(now, slots[idx]) + work_s
        answered_at = slots[idx] + ROUND_TRIP_S
        self.took.append((now, answered_at - now))
        self._at(answered_at, lambda now: self._answer(host, flow, name, now))

    def _answer(self, host: Host, flow: int, name: str, now: float) -> None:
        host.now = self._began_at + now
        cookie = host.cookie(name)
        host.send(packet(flow, cookie=cookie, seq=1011, ack=600))
        host.send(packet(flow, cookie=cookie, seq=1011, ack=600, ends=True))


@pytest.mark.parametrize(
    ("hosts", "slowness", "share"),
    [
        pytest.param(1, 4.0, 0.1, id="one host, four times"),
        pytest.param(1, 15.0, 0.05, id="one host, fifteen times"),
        pytest.param(3, 4.0, 0.15, id="three hosts, four times"),
        pytest.param(3, 15.0, 0.1, id="three hosts, fifteen times"),
    ],
)
def test_a_slow_upstream_gets_few_new_flows(hosts, slowness, share):
    simulation = Simulation(hosts, slowness, seed=3)
    simulation.run()
    assert simulation.share(SLOW_FROM_S + 0.5, SLOW_UNTIL_S) <= share


@pytest.mark.parametrize("hosts", [1, 3])
def test_an_upstream_that_is_no_longer_slow_gets_its_share_again(hosts):
    simulation = Simulation(hosts, 8.0, seed=4)
    simulation.run()
    assert simulation.share(SLOW_UNTIL_S + 5.0, END_S) >= 0.2


@pytest.mark.parametrize("hosts", [1, 3, 9])
def test_equally_fast_upstreams_share_the_flows_evenly(hosts):
    simulation = Simulation(hosts, 1.0, seed=5)
    simulation.run()
    assert 0.25 <= simulation.share(0.0, END_S) <= 0.42
    assert simulation.response_quantile(0.0, END_S, 0.95) < 3 * WORK_S
