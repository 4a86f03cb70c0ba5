"""When refused callers should be told to come back after a burst.

Run ``python -m bench.experiments.comeback``.
"""

from __future__ import annotations

import math
import random
from functools import partial
from typing import NamedTuple

from banyanline.core.gate import Answered, GateEffects, Refuse, Start, TimedOut, Work
from bench.experiments.queueing import make_upstream_gate
from bench.experiments.simulation import (
    SERVICE_MEAN_S,
    Simulation,
    print_table,
    quantile,
    service_time_s,
)

SLOTS = 2
BURST_S = 20.0
BURST_LOAD = 2.0
END_S = 80.0
LATER_LOAD = 0.4
PATIENCE_S = 2.0
MAX_TRIES = 4
MAX_WAIT_S = 2.0
SEED = 1
WAYS = {"at once (0.05 s)": 0.05, "after 1 s": 1.0, "after 5 s": 5.0, "after its turn": None}


class Try(NamedTuple):
    """One try of a caller, which is the identity of its work at the gate."""

    caller: int
    number: int
    first_at: float


class Burst:
    """Callers that come back as they are told, at most ``MAX_TRIES`` times."""

    def __init__(self, fixed_wait_s: float | None) -> None:
        self._fixed_wait_s = fixed_wait_s
        self._gate = make_upstream_gate(MAX_WAIT_S)
        self._rng = random.Random(SEED)
        self._service = random.Random(SEED + 1)
        self._simulation = Simulation()
        self._tick_at = math.inf
        self.callers = 0
        self.tries = 0
        self.delays_s: list[float] = []

    def run(self) -> Burst:
        """Run the burst and what follows."""
        self._simulation.at(0.0, self._arrive)
        self._simulation.run(until=END_S + 60.0)
        return self

    def _arrive(self) -> None:
        now = self._simulation.now
        self.callers += 1
        self._try(Try(self.callers, 1, now))
        load = BURST_LOAD if now < BURST_S else LATER_LOAD
        next_at = now + self._rng.expovariate(load * SLOTS / SERVICE_MEAN_S)
        if next_at < END_S:
            self._simulation.at(next_at, self._arrive)

    def _try(self, attempt: Try) -> None:
        self.tries += 1
        now = self._simulation.now
        self._take(self._gate.offer(Work(attempt, now + PATIENCE_S), now))

    def _take(self, effects: GateEffects) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                self._serve(effect.work)
            elif isinstance(effect, Refuse):
                self._refused(effect)
        due_at = self._gate.next_tick_at(self._simulation.now)
        if due_at is not None and due_at < self._tick_at:
            self._tick_at = due_at + 1e-4
            self._simulation.at(self._tick_at, partial(self._tick, self._tick_at))

    def _tick(self, scheduled_at: float) -> None:
        if scheduled_at == self._tick_at:
            self._tick_at = math.inf
            self._take(self._gate.tick(self._simulation.now))

    def _refused(self, effect: Refuse) -> None:
        attempt = effect.work.request_id
        assert isinstance(attempt, Try)
        if attempt.number >= MAX_TRIES:
            return
        wait_s = effect.retry_after_s if self._fixed_wait_s is None else self._fixed_wait_s
        again = attempt._replace(number=attempt.number + 1)
        self._simulation.at(self._simulation.now + wait_s, partial(self._try, again))

    def _serve(self, work: Work) -> None:
        answered_at = self._simulation.now + service_time_s(self._service)
        ended_at = min(answered_at, work.deadline)
        self._simulation.at(ended_at, partial(self._end, work, answered_at < work.deadline))

    def _end(self, work: Work, is_answered: bool) -> None:
        now = self._simulation.now
        attempt = work.request_id
        assert isinstance(attempt, Try)
        if is_answered:
            self.delays_s.append(now - attempt.first_at)
        outcome = Answered() if is_answered else TimedOut()
        self._take(self._gate.finished(attempt, outcome, now))


def main() -> None:
    """Print the table."""
    rows = []
    for name, wait_s in WAYS.items():
        burst = Burst(wait_s).run()
        rows.append(
            [
                name,
                f"{len(burst.delays_s) / burst.callers:.1%}",
                f"{burst.tries / burst.callers:.2f}",
                f"{quantile(burst.delays_s, 0.5):.1f}",
                f"{quantile(burst.delays_s, 0.99):.1f}",
            ]
        )
    header = ["refused callers come back", "answered", "tries a caller", "p50 s", "p99 s"]
    print_table(f"{BURST_LOAD} times capacity for {BURST_S} s, then {LATER_LOAD}", header, rows)


if __name__ == "__main__":
    main()
