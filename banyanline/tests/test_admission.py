"""Three times the requests that fit, after two thirds of the upstreams have gone."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

import pytest

from banyanline.core.steering.model import RouteKind
from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.core.steering.peer_reports import UpstreamSample
from banyanline.tests.reports import Fleet, hear_all, report
from banyanline.tests.steering import (
    ORDERS,
    SHEETS,
    THERE,
    Host,
    entry,
    opening,
    packet,
    route,
    table,
)

HOSTS = 6
UPSTREAMS = 24
KEPT = 8
SLOTS = 2
QUEUE = 8
WORK_S = 0.04
ROUND_TRIP_S = 0.006
LOSS_AT_S = 3.0
END_S = 12.0
FLOWS = {ORDERS: 120, SHEETS: 480}
THINK_S = FLOWS[ORDERS] * 5 / (3.0 * KEPT * SLOTS / WORK_S)
PATIENCE_S = 2.0
RETRY_S = 0.1
MAX_RETRIES = 2
SLICES = 10
ROUTES = [
    route(ORDERS, ("orders",), RouteKind.NON_IDEMPOTENT)._replace(
        priority=0, patience_s=PATIENCE_S, objective_s=0.3
    ),
    route(SHEETS, ("orders",))._replace(priority=2, patience_s=PATIENCE_S, objective_s=0.3),
]


class Simulation:
    """Callers with one flow each, upstreams with a queue each, and hosts that send reports.

    A request that finds the queue full is rejected, and its caller gives up on it. A caller
    whose flow is refused or has lost its upstream tries again from another port.
    """

    def __init__(self, *, has_reports: bool) -> None:
        self.fleet = Fleet(HOSTS, *(entry(f"orders-{number}") for number in range(UPSTREAMS)))
        for host in self.fleet.hosts:
            host.configure(table(2, ROUTES))
        self.rng = self.fleet.rng
        self.outcomes: defaultdict[bytes, Counter[str]] = defaultdict(Counter)
        self.waits: defaultdict[bytes, list[float]] = defaultdict(list)
        self._has_reports = has_reports
        self._free_at = {f"orders-{number}": [0.0] * SLOTS for number in range(UPSTREAMS)}
        self._began_at = self.fleet.hosts[0].now
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._flow = itertools.count(1)
        self._in_flight: defaultdict[str, Counter[int]] = defaultdict(Counter)
        self._answers: defaultdict[str, list[float]] = defaultdict(list)

    def run(self) -> None:
        for to, count in FLOWS.items():
            for _ in range(count):
                self._at(self.rng.uniform(0.0, 1.0), partial(self._begin, to))
        for tick in range(int(END_S * SLICES)):
            self._at(tick / SLICES, partial(self._tick, tick))
        self._at(LOSS_AT_S, self._lose_upstreams)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > END_S:
                break
            for host in self.fleet.hosts:
                host.now = self._began_at + now
            event(now)

    def served_share(self, to: bytes) -> float:
        """Return the share of the requests after the loss that were answered in time."""
        counts = self.outcomes[to]
        return counts["served"] / counts.total()

    def mean_wait_s(self, to: bytes) -> float:
        return sum(self.waits[to]) / len(self.waits[to])

    def _at(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _lose_upstreams(self, now: float) -> None:
        for number in range(KEPT, UPSTREAMS):
            del self._free_at[f"orders-{number}"]
            for host in self.fleet.hosts:
                host.remove(f"orders-{number}")

    def _tick(self, tick: int, now: float) -> None:
        for name in self._free_at:
            for number, host in enumerate(self.fleet.hosts):
                self._in_flight[name][number] += host.upstream(name).responses.under_way(host.now)
        if tick % SLICES or not self._has_reports:
            return
        served = {}
        for name in self._free_at:
            times = self._answers.get(name, [])
            in_flight = self._in_flight[name].total() / SLICES
            served[name] = UpstreamSample(
                name, in_flight, 0, len(times), sum(times) / max(1, len(times))
            )
        self.fleet.exchange(served)
        self._in_flight.clear()
        self._answers.clear()

    def _begin(self, to: bytes, now: float) -> None:
        """Open a flow for a caller's next request."""
        self._open(to, now, 0, now)

    def _open(self, to: bytes, asked_at: float, retries: int, now: float) -> None:
        flow = next(self._flow)
        host = self.rng.choice(self.fleet.hosts)
        outcome = host.send(opening(flow, to=to))
        if isinstance(outcome, Reset):
            assert outcome.reason is ResetReason.NO_ROOM
            if retries < MAX_RETRIES:
                again = partial(self._open, to, asked_at, retries + 1)
                self._at(now + RETRY_S, again)
            else:
                self._finish(to, "refused", asked_at, now)
                self._at(now + self._think_s(), partial(self._begin, to))
            return
        assert isinstance(outcome, Forward)
        self._ask(to, flow, outcome.upstream.name, host, asked_at, now)

    def _ask(
        self, to: bytes, flow: int, name: str, host: Host, asked_at: float, now: float
    ) -> None:
        """Send a request of an open flow."""
        if name not in self._free_at:
            self._open(to, asked_at, 0, now)
            return
        sent = packet(flow, to=to, cookie=host.cookie(name), data=10)
        host.send(sent._replace(seq=1001 + int(now * 1e4), ack=500 + int(now * 1e4)))
        slots = self._free_at[name]
        idx = slots.index(min(slots))
        queued = sum(max(0.0, each - now) for each in slots) / WORK_S
        if queued >= SLOTS + QUEUE:
            answered_at = now + ROUND_TRIP_S
            result = "rejected"
        else:
            slots[idx] = max(now, slots[idx]) + WORK_S * self.rng.uniform(0.5, 1.5)
            answered_at = slots[idx] + ROUND_TRIP_S
            result = "served"
        self._at(answered_at, partial(self._answer, to, flow, name, host, asked_at, now, result))

    def _answer(
        self,
        to: bytes,
        flow: int,
        name: str,
        host: Host,
        asked_at: float,
        sent_at: float,
        result: str,
        now: float,
    ) -> None:
        sent = packet(flow, to=to, cookie=host.cookie(name))
        host.send(sent._replace(seq=2001 + int(now * 1e4), ack=501 + int(now * 1e4)))
        self._answers[name].append(now - sent_at)
        self._finish(to, result, asked_at, now)
        again_at = now + self._think_s()
        again = partial(self._ask_next, to, flow, name, host)
        self._at(again_at, again)

    def _ask_next(self, to: bytes, flow: int, name: str, host: Host, now: float) -> None:
        self._ask(to, flow, name, host, now, now)

    def _finish(self, to: bytes, result: str, asked_at: float, now: float) -> None:
        if asked_at < LOSS_AT_S:
            return
        self.outcomes[to][result] += 1
        if result == "served":
            self.waits[to].append(now - asked_at)

    def _think_s(self) -> float:
        return self.rng.expovariate(1.0 / THINK_S)


def test_important_requests_are_served_first_and_others_not_starved():
    alone, together = (Simulation(has_reports=each) for each in (False, True))
    for simulation in (alone, together):
        simulation.run()
    assert abs(alone.served_share(ORDERS) - alone.served_share(SHEETS)) < 0.05
    assert together.served_share(ORDERS) > alone.served_share(ORDERS) + 0.1
    assert together.served_share(SHEETS) > 0.75 * alone.served_share(SHEETS)
    assert together.mean_wait_s(ORDERS) <= alone.mean_wait_s(ORDERS)
    for simulation in (alone, together):
        served = sum(each["served"] for each in simulation.outcomes.values())
        assert served == pytest.approx(KEPT * SLOTS / WORK_S * (END_S - LOSS_AT_S), rel=0.05)


def loaded_host(per_slot: float, *, priorities: tuple[int, int] = (0, 2), seed: int = 1) -> Host:
    """Return a host that has heard of this load of its eight upstreams, and opened some flows."""
    host = Host(*(entry(f"orders-{number}") for number in range(KEPT)), seed=seed)
    first, second = (
        each._replace(priority=priority) for each, priority in zip(ROUTES, priorities, strict=True)
    )
    host.configure(table(2, [first, second]))
    hear(host, per_slot, 1)
    for flow in range(200):
        to = (ORDERS, SHEETS)[flow % 5 > 0]
        outcome = host.send(opening(flow, to=to))
        if isinstance(outcome, Forward):
            host.send(packet(flow, to=to, cookie=outcome.upstream.entry.cookie))
    host.wait(1.5)
    hear(host, per_slot, 2)
    host.wait(0.1)
    host.send(opening(200))
    return host


def hear(host: Host, per_slot: float, sequence: int, *others: str) -> None:
    """Let a host hear of the load of its upstreams."""
    names = [*(f"orders-{number}" for number in range(KEPT)), *others]
    samples = [
        UpstreamSample(name, per_slot * SLOTS, 1, 20, WORK_S * max(1.0, per_slot)) for name in names
    ]
    hear_all(host, report(*samples, sequence=sequence))
    host.steering.on_tick(host.now)


@pytest.mark.parametrize(
    ("per_slot", "priorities", "reserved"),
    [
        pytest.param(0.6, (0, 2), None, id="room"),
        pytest.param(2.0, (0, 2), None, id="queues, and room in them"),
        pytest.param(4.5, (0, 2), 4, id="too little room"),
        pytest.param(4.5, (2, 0), 4, id="the other route first"),
        pytest.param(4.5, (1, 1), 4, id="the same priority, by kind"),
    ],
)
def test_upstreams_are_reserved_while_there_is_too_little_room(per_slot, priorities, reserved):
    hosts = [loaded_host(per_slot, priorities=priorities, seed=seed) for seed in (1, 2)]
    for host in hosts:
        shortages = host.steering.peer_placement.admission.shortages(host.now)
        assert shortages.get("orders") == reserved
        counters = host.steering.counters
        is_refusing = counters.resets[ResetReason.NO_ROOM] > 0
        assert counters.refused["orders"] == counters.resets[ResetReason.NO_ROOM]
        assert is_refusing is (reserved is not None)
    first = (ORDERS, SHEETS)[priorities[1] < priorities[0]]
    places = [
        {to: names(host, to) for to in (ORDERS, SHEETS)} for host in hosts if reserved is not None
    ]
    for found in places:
        assert found[ORDERS].isdisjoint(found[SHEETS])
        assert found[first] == places[0][first]


def names(host: Host, to: bytes) -> set[str]:
    """Return the upstreams that new flows go to."""
    outcomes = [host.send(opening(flow, to=to)) for flow in range(1000, 1400)]
    return {each.upstream.name for each in outcomes if isinstance(each, Forward)}


def test_upstreams_are_no_longer_reserved_when_there_is_room_again():
    host = loaded_host(4.5)
    for sequence in range(3, 13):
        host.wait(1.0)
        hear(host, 0.2, sequence)
        host.send(opening(2000 + sequence))
    assert not host.steering.peer_placement.admission.shortages(host.now)
    before = host.steering.counters.resets[ResetReason.NO_ROOM]
    assert {type(host.send(opening(flow, to=SHEETS))) for flow in range(3000, 3100)} == {Forward}
    assert host.steering.counters.resets[ResetReason.NO_ROOM] == before


@pytest.mark.parametrize(
    ("per_slot", "is_short"),
    [pytest.param(1.5, False, id="room"), pytest.param(4.5, True, id="too little room")],
)
def test_a_route_without_patience_and_objective_is_judged_by_the_queues(per_slot, is_short):
    unknown = [each._replace(patience_s=0.0, objective_s=0.0) for each in ROUTES]
    entries = [entry(f"orders-{number}") for number in range(KEPT)]
    host = Host(*entries, entry("orders-far", data_centre=THERE))
    host.configure(table(2, unknown))
    hear(host, per_slot, 1, "orders-far")
    host.place()
    shortages = host.steering.peer_placement.admission.shortages(host.now)
    assert ("orders" in shortages) is is_short


def test_copies_of_an_opening_packet_are_never_refused():
    host = loaded_host(4.9)
    assert {type(host.send(opening(flow, copy=1))) for flow in range(4000, 4100)} == {Forward}


def test_the_patience_of_one_route_does_not_refuse_the_flows_of_another():
    host = Host(*(entry(f"orders-{number}") for number in range(8)))
    patient = route(ORDERS, ("orders",))._replace(patience_s=5.0, objective_s=0.3)
    hasty = route(SHEETS, ("orders",))._replace(patience_s=0.05, objective_s=0.3)
    host.configure(table(2, [patient, hasty]))
    samples = [UpstreamSample(f"orders-{number}", 4.0, 4, 40, 0.09) for number in range(8)]
    hear_all(host, report(*samples))
    host.wait(1.0)
    for flow in range(40):
        host.now += 0.1
        host.send(opening(flow, to=SHEETS))
    before = host.steering.counters.resets[ResetReason.NO_ROOM]
    for flow in range(100, 140):
        host.place(flow)
    assert before > 0
    assert host.steering.counters.resets[ResetReason.NO_ROOM] == before


def test_suspect_upstreams_are_no_shortage():
    host = Host(*(entry(f"orders-{number}") for number in range(10)))
    host.configure(table(2, ROUTES))
    samples = [UpstreamSample(f"orders-{number}", 3.8, 4, 40, 0.04) for number in range(10)]
    hear_all(host, report(*samples))
    host.wait(1.0)
    for number in range(3):
        detector = host.upstream(f"orders-{number}").failure_detector
        detector.on_retransmission("flow", host.now, host.now, is_open=True)
    host.place(1)
    assert host.steering.peer_placement.admission.shortages(host.now) == {}
