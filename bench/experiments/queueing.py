"""Which queue discipline keeps an overloaded upstream useful.

python -m bench.experiments.queueing
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol, TypeAlias

from banyanline.core.gate import (
    Answered,
    GateEffects,
    Refuse,
    Start,
    StartWarm,
    TimedOut,
    UpstreamGate,
    Work,
)
from banyanline.core.gate.queue import DeadlineQueue
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint
from bench.experiments.disciplines import (
    PlainGate,
    earliest_deadline,
    first_come,
    newest_first,
    newest_first_if_backlogged,
)
from bench.experiments.simulation import (
    SERVICE_MEAN_S,
    Simulation,
    print_table,
    quantile,
    service_time_s,
)

SLOTS = 2
REQUESTS = 12_000
PATIENCES_S = (0.5, 1.0, 2.0, 5.0, 10.0)
LOADS = (0.8, 1.2, 2.0)
MAX_LENGTH = 256
SEED = 1


class _Gate(Protocol):
    def offer(self, work: Work, now: float) -> GateEffects: ...
    def finished(
        self, request_id: int, outcome: Answered | TimedOut, now: float
    ) -> GateEffects: ...
    def tick(self, now: float) -> GateEffects: ...
    def next_tick_at(self, now: float) -> float | None: ...


MakeGate: TypeAlias = Callable[[], _Gate]


class Run:
    """One gate before one upstream under Poisson arrivals."""

    def __init__(self, gate: _Gate, load: float, seed: int) -> None:
        self._gate = gate
        self._rate = load * SLOTS / SERVICE_MEAN_S
        self._arrivals = random.Random(seed)
        self._service = random.Random(seed + 1)
        self._simulation = Simulation()
        self._offered_at: dict[int, float] = {}
        self._tick_at = float("inf")
        self.answered: Counter[float] = Counter()
        self.offered: Counter[float] = Counter()
        self.late = 0
        self.refusal_delays_s: list[float] = []
        self.answer_delays_s: defaultdict[float, list[float]] = defaultdict(list)

    @property
    def duration_s(self) -> float:
        """Length of the run in seconds."""
        return REQUESTS / self._rate

    def run(self) -> Run:
        """Offer all requests and follow them to their ends."""
        self._simulation.at(0.0, self._arrive)
        self._simulation.run(until=self.duration_s + 20.0)
        return self

    def _arrive(self) -> None:
        now = self._simulation.now
        request_id = len(self._offered_at)
        patience_s = self._arrivals.choice(PATIENCES_S)
        self._offered_at[request_id] = now
        self.offered[patience_s] += 1
        self._take(self._gate.offer(Work(request_id, now + patience_s, True), now))
        if request_id + 1 < REQUESTS:
            self._simulation.at(now + self._arrivals.expovariate(self._rate), self._arrive)

    def _take(self, effects: GateEffects) -> None:
        now = self._simulation.now
        for effect in effects:
            if isinstance(effect, Start):
                self._serve(effect.work)
            elif isinstance(effect, Refuse):
                offered_at = self._offered_at[int(str(effect.work.request_id))]
                self.refusal_delays_s.append(now - offered_at)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due_at = self._gate.next_tick_at(self._simulation.now)
        if due_at is not None and due_at < self._tick_at:
            self._tick_at = due_at + 1e-4
            self._simulation.at(self._tick_at, partial(self._tick, self._tick_at))

    def _tick(self, scheduled_at: float) -> None:
        if scheduled_at != self._tick_at:
            return  # An earlier tick was scheduled meanwhile.
        self._tick_at = float("inf")
        self._take(self._gate.tick(self._simulation.now))

    def _serve(self, work: Work) -> None:
        answered_at = self._simulation.now + service_time_s(self._service)
        if answered_at < work.deadline:
            self._simulation.at(answered_at, lambda: self._answer(work))
        else:
            self._simulation.at(work.deadline, lambda: self._time_out(work))

    def _answer(self, work: Work) -> None:
        now = self._simulation.now
        request_id = int(str(work.request_id))
        offered_at = self._offered_at[request_id]
        patience_s = min(PATIENCES_S, key=lambda value: abs(value + offered_at - work.deadline))
        self.answered[patience_s] += 1
        self.answer_delays_s[patience_s].append(now - offered_at)
        self._take(self._gate.finished(request_id, Answered(), now))

    def _time_out(self, work: Work) -> None:
        self.late += 1
        request_id = int(str(work.request_id))
        self._take(self._gate.finished(request_id, TimedOut(), self._simulation.now))


class Result(NamedTuple):
    """A row of the table."""

    goodput: float
    late: float
    refusal_p50_ms: float
    refusal_p99_ms: float
    wait_p99_ms: float
    shares: tuple[float, ...]


def measure(make_gate: MakeGate, load: float) -> Result:
    """Run one gate at ``load`` times the capacity."""
    run = Run(make_gate(), load, SEED).run()
    answered = sum(run.answered.values())
    delays_s = [delay for delays in run.answer_delays_s.values() for delay in delays]
    return Result(
        goodput=answered * SERVICE_MEAN_S / SLOTS / run.duration_s,
        late=run.late / REQUESTS,
        refusal_p50_ms=1e3 * quantile(run.refusal_delays_s, 0.5),
        refusal_p99_ms=1e3 * quantile(run.refusal_delays_s, 0.99),
        wait_p99_ms=1e3 * quantile(delays_s, 0.99),
        shares=tuple(run.answered[value] / run.offered[value] for value in PATIENCES_S),
    )


def make_upstream_gate(max_wait_s: float) -> UpstreamGate:
    """Return the gate as built, with a queue bounded to ``max_wait_s``."""
    upstream = Upstream("u", "s", "d", Endpoint("192.0.2.1", 5683), slots=SLOTS)
    queue = DeadlineQueue(max_wait_s=max_wait_s)
    rng = random.Random(SEED)
    return UpstreamGate(upstream, ColdStart(), StartWarm(), 0.0, rng, queue=queue)


def _plain(pick: str, early_drop: bool = False, admission: bool = False) -> MakeGate:
    picks = {
        "fifo": first_come,
        "lifo": newest_first,
        "adaptive": newest_first_if_backlogged,
        "edf": earliest_deadline,
    }
    return lambda: PlainGate(picks[pick], SLOTS, MAX_LENGTH, early_drop, admission)


def _gate(max_wait_s: float) -> MakeGate:
    return lambda: make_upstream_gate(max_wait_s)


WAYS: dict[str, MakeGate] = {
    "FIFO": _plain("fifo"),
    "FIFO, early drop": _plain("fifo", early_drop=True),
    "FIFO, admission by own deadline": _plain("fifo", early_drop=True, admission=True),
    "newest first, early drop": _plain("lifo", early_drop=True),
    "adaptive LIFO, early drop": _plain("adaptive", early_drop=True),
    "EDF": _plain("edf"),
    "EDF, early drop": _plain("edf", early_drop=True),
    "EDF, admission by own deadline": _plain("edf", early_drop=True, admission=True),
    "EDF, admission by all, 0.1 s": _gate(0.1),
    "EDF, admission by all, 0.25 s": _gate(0.25),
    "EDF, admission by all, 0.5 s": _gate(0.5),
    "EDF, admission by all, 1 s": _gate(1.0),
    "EDF, admission by all, 2 s": _gate(2.0),
    "EDF, admission by all, unbounded": _gate(60.0),
}


def main() -> None:
    """Print a table for each load."""
    header = ["way", "goodput", "late", "refusal p50 ms", "p99 ms", "answer p99 ms"]
    header += [f"answered {value} s" for value in PATIENCES_S]
    for load in LOADS:
        rows = []
        for name, make_gate in WAYS.items():
            result = measure(make_gate, load)
            row = [name, f"{result.goodput:.3f}", f"{result.late:.2%}"]
            row += [f"{value:.1f}" for value in result[2:5]]
            row += [f"{share:.0%}" for share in result.shares]
            rows.append(row)
        print_table(f"{load} times capacity", header, rows)


if __name__ == "__main__":
    main()
