"""Whether an upstream that has just started ever gets more than it bears.

Run ``python -m bench.experiments.cold_start``.
"""

from __future__ import annotations

import math
import random
from functools import partial
from typing import NamedTuple

from banyanline.core.gate import (
    Abort,
    GateEffects,
    GateStart,
    HealthReport,
    Start,
    StartCold,
    StartHandedOver,
    StartWarm,
    TimedOut,
    UpstreamGate,
    Work,
    WorkOutcome,
)
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint
from bench.experiments.cold_upstream import SLOTS, ColdUpstream
from bench.experiments.simulation import SERVICE_MEAN_S, Simulation, print_table

COLD_START = ColdStart(duration_s=10.0, initial_slots=1, initial_rate=5.0)
LOAD = 0.9
PATIENCE_S = 2.0
WAY_S = 0.001
LEASE_S = 1.5
CHANGE_AT_S = 3.0
END_S = 20.0
HEALTH_INTERVAL_S = 1.0
RUNS = 40
UPSTREAM = Upstream("u", "s", "d", Endpoint("192.0.2.1", 5683), slots=SLOTS)


class Owner:
    """A gate with its share of the traffic and the timers that it asks for."""

    def __init__(
        self,
        simulation: Simulation,
        target: ColdUpstream,
        start: GateStart,
        seed: int,
        health_interval_s: float = HEALTH_INTERVAL_S,
    ) -> None:
        self._simulation = simulation
        self._target = target
        self._rng = random.Random(seed)
        self._seed = seed
        self._health_interval_s = health_interval_s
        self._sent = 0
        self._tick_at = math.inf
        self._is_stopped = False
        self.gate = UpstreamGate(UPSTREAM, COLD_START, start, simulation.now, self._rng)
        self._arrive()
        self._poll()

    def stop(self) -> None:
        """Take no more requests; those that run go on."""
        self._is_stopped = True

    def _arrive(self) -> None:
        if self._is_stopped:
            return
        now = self._simulation.now
        self._sent += 1
        self._take(self.gate.offer(Work((self._seed, self._sent), now + PATIENCE_S), now))
        rate = LOAD * SLOTS / SERVICE_MEAN_S
        self._simulation.at(now + self._rng.expovariate(rate), self._arrive)

    def _poll(self) -> None:
        if self._is_stopped:
            return
        report = self._target.health()
        self._simulation.at(
            self._simulation.now + 0.5 * self._health_interval_s, lambda: self._reported(report)
        )
        self._simulation.at(self._simulation.now + self._health_interval_s, self._poll)

    def _reported(self, report: HealthReport | None) -> None:
        now = self._simulation.now
        if report is None:
            self._take(self.gate.health_missed(now))
        else:
            self._take(self.gate.health(report, now))

    def _take(self, effects: GateEffects) -> None:
        if self._is_stopped:
            return
        for effect in effects:
            if isinstance(effect, Start):
                self._send(effect.work)
            assert not isinstance(effect, Abort)
        due_at = self.gate.next_tick_at(self._simulation.now)
        if due_at is not None and due_at < self._tick_at:
            self._tick_at = due_at + 1e-3
            self._simulation.at(self._tick_at, partial(self._tick, self._tick_at))

    def _tick(self, scheduled_at: float) -> None:
        if scheduled_at != self._tick_at:
            return  # An earlier tick was scheduled meanwhile.
        self._tick_at = math.inf
        self._take(self.gate.tick(self._simulation.now))

    def _send(self, work: Work) -> None:
        def deliver() -> None:
            self._target.request(
                work.deadline - WAY_S,
                lambda outcome: self._simulation.at(
                    self._simulation.now + WAY_S, lambda: self._finish(work, outcome)
                ),
            )

        self._simulation.at(self._simulation.now + WAY_S, deliver)
        self._simulation.at(work.deadline, lambda: self._finish(work, TimedOut()))

    def _finish(self, work: Work, outcome: WorkOutcome) -> None:
        self._take(self.gate.finished(work.request_id, outcome, self._simulation.now))


class Case(NamedTuple):
    """A history: how the second owner starts and when the first one ends."""

    name: str
    first: GateStart = StartCold()
    second: GateStart | str | None = None
    first_ends_at_s: float = END_S
    restart_at_s: float | None = None
    is_host_up: bool = True
    health_interval_s: float = HEALTH_INTERVAL_S


CASES = [
    Case("new upstream, no ramp", StartWarm()),
    Case("new upstream, ramp"),
    Case("ceded, next owner warm", second=StartWarm(), first_ends_at_s=CHANGE_AT_S),
    Case("ceded, handed over", second="handed over", first_ends_at_s=CHANGE_AT_S),
    *(
        Case(f"crashed, wait {wait} s", second=StartCold(wait), first_ends_at_s=CHANGE_AT_S)
        for wait in (0.0, LEASE_S, PATIENCE_S)
    ),
    *(
        Case(
            f"two owners for {LEASE_S} s, wait {wait} s",
            second=StartCold(wait),
            first_ends_at_s=CHANGE_AT_S + LEASE_S,
        )
        for wait in (0.0, LEASE_S, LEASE_S + 0.5, LEASE_S + 1.0, LEASE_S + PATIENCE_S)
    ),
    *(
        Case(
            f"restart, {'unreachable' if is_host_up else 'silent'}, health each {interval} s",
            StartWarm(),
            restart_at_s=CHANGE_AT_S,
            is_host_up=is_host_up,
            health_interval_s=interval,
        )
        for is_host_up in (True, False)
        for interval in (1.0, 0.25)
    ),
]


def falls_and_answers(case: Case, seed: int) -> tuple[int, int]:
    """Run one history and return how often the upstream fell over and what it answered."""
    simulation = Simulation()
    target = ColdUpstream(simulation, COLD_START, seed, case.is_host_up)
    if case.restart_at_s is not None:
        target.make_warm()
        simulation.at(case.restart_at_s, target.restart)
    first = Owner(simulation, target, case.first, 2 * seed, case.health_interval_s)

    def change_owner() -> None:
        start = case.second
        if start == "handed over":
            first.gate.cede(simulation.now)
            start = StartHandedOver(first.gate.hand_over(simulation.now))
        if start is not None and not isinstance(start, str):
            Owner(simulation, target, start, 2 * seed + 1)

    simulation.at(case.first_ends_at_s, first.stop)
    simulation.at(CHANGE_AT_S, change_owner)
    simulation.run(until=END_S)
    return target.falls, target.answers


def main() -> None:
    """Print how often the upstream fell over in each case."""
    rows = []
    for case in CASES:
        results = [falls_and_answers(case, seed) for seed in range(RUNS)]
        falls = [fallen for fallen, _ in results]
        answers = sum(answered for _, answered in results) / RUNS / END_S
        rows.append([case.name, sum(map(bool, falls)), sum(falls), f"{answers:.1f}"])
    header = ["case", f"runs of {RUNS} with a fall", "falls", "answers a second"]
    print_table("Overload of an upstream in its cold start", header, rows)


if __name__ == "__main__":
    main()
