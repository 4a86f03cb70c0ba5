"""Homes, owners and upstreams of one service, with delays between them."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, TypeAlias

from banyanline.core.choice import UpstreamChoice, fallback
from banyanline.core.gate import (
    Abort,
    Answered,
    GateEffects,
    Refuse,
    Start,
    StartCold,
    StartWarm,
    TimedOut,
    UpstreamGate,
    Work,
)
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.retry import RetryBudget
from banyanline.core.types import Endpoint, UpstreamName
from bench.experiments.simulation import SERVICE_MEAN_S, Simulation, service_time_s

SLOTS = 2
HOMES = 6
UPSTREAMS = 7
PATIENCE_S = 5.0
WAY_S = 0.001
SLOW_FACTOR = 3.0

Choose: TypeAlias = Callable[["Fleet", UpstreamChoice, int], UpstreamName]


class Attempt(NamedTuple):
    """One attempt of a request, which is the identity of its work at a gate."""

    request: int
    number: int
    home: int
    upstream: UpstreamName


class FleetSettings(NamedTuple):
    """What varies between experiments.

    ``hedge_after_s`` is None without hedging. With ``is_tail_of_request`` a request
    takes the same time at whichever upstream.
    """

    load: float
    requests: int
    slow: UpstreamName | None = None
    lying: UpstreamName | None = None
    cold: UpstreamName | None = None
    hedge_after_s: float | None = None
    hedge_to_free_slots_only: bool = True
    is_tail_of_request: bool = False
    seed: int = 1


class Fleet:
    """Runs requests through homes, gates and upstreams."""

    def __init__(self, choose: Choose, settings: FleetSettings) -> None:
        self._choose = choose
        self._settings = settings
        self.simulation = Simulation()
        self.rng = random.Random(settings.seed)
        self._service = random.Random(settings.seed + 1)
        self.names = [f"u{number}" for number in range(1, UPSTREAMS + 1)]
        self._gates = {name: self._make_gate(name) for name in self.names}
        self._tick_at = dict.fromkeys(self.names, math.inf)
        self._choices = [UpstreamChoice(self.names) for _ in range(HOMES)]
        self._budgets = [RetryBudget(0.0) for _ in range(HOMES)]
        self._arrived_at: dict[int, float] = {}
        self._open: dict[int, list[Attempt]] = {}
        self.reported_load = dict.fromkeys(self.names, 0.0)
        self.dispatched: Counter[UpstreamName] = Counter()
        self.delays_s: list[float] = []
        self.fallback_hits = 0
        self.hedges = 0

    def run(self) -> Fleet:
        """Offer all requests and follow them to their ends."""
        self.simulation.at(0.0, self._arrive)
        self.simulation.at(0.0, self._report_load)
        duration_s = self._settings.requests / self._rate()
        self.simulation.run(until=duration_s + 2.0 * PATIENCE_S)
        return self

    def _make_gate(self, name: UpstreamName) -> UpstreamGate:
        upstream = Upstream(name, "s", "d", Endpoint("192.0.2.1", 5683), slots=SLOTS)
        rng = random.Random(self._settings.seed + 2)
        start = StartCold() if name == self._settings.cold else StartWarm()
        return UpstreamGate(upstream, ColdStart(), start, 0.0, rng)

    def _rate(self) -> float:
        speed = UPSTREAMS - (0 if self._settings.slow is None else 1.0 - 1.0 / SLOW_FACTOR)
        return self._settings.load * speed * SLOTS / SERVICE_MEAN_S

    def _report_load(self) -> None:
        """Let the health endpoints report their load; the one that lies is always idle."""
        for name, gate in self._gates.items():
            is_lying = name == self._settings.lying
            self.reported_load[name] = 0.0 if is_lying else gate.in_flight / SLOTS
        if len(self._arrived_at) < self._settings.requests:
            self.simulation.at(self.simulation.now + 1.0, self._report_load)

    def _arrive(self) -> None:
        request = len(self._arrived_at)
        now = self.simulation.now
        self._arrived_at[request] = now
        self._open[request] = []
        home = self.rng.randrange(HOMES)
        flow_hash = self.rng.getrandbits(64)
        name = self._choose(self, self._choices[home], flow_hash)
        self.fallback_hits += name == fallback(flow_hash, self.names)
        self._dispatch(Attempt(request, 1, home, name))
        if self._settings.hedge_after_s is not None:
            hedge = partial(self._hedge, request, home, flow_hash, name)
            self.simulation.at(now + self._settings.hedge_after_s, hedge)
        if request + 1 < self._settings.requests:
            self.simulation.at(now + self.rng.expovariate(self._rate()), self._arrive)

    def _hedge(self, request: int, home: int, flow_hash: int, tried: UpstreamName) -> None:
        now = self.simulation.now
        choice = self._choices[home]
        name = choice.choose(flow_hash, now, excluded={tried})
        if name is None or not self._open.get(request):
            return
        if self._settings.hedge_to_free_slots_only and not choice.has_free_slot(name, now):
            return
        if self._budgets[home].spend(now):
            self.hedges += 1
            self._dispatch(Attempt(request, 2, home, name))

    def _dispatch(self, attempt: Attempt) -> None:
        self._open[attempt.request].append(attempt)
        self._choices[attempt.home].dispatched(attempt.upstream)
        self.dispatched[attempt.upstream] += 1
        self.simulation.at(self.simulation.now + WAY_S, partial(self._offer, attempt))

    def _offer(self, attempt: Attempt) -> None:
        deadline = self._arrived_at[attempt.request] + PATIENCE_S
        work = Work(attempt, deadline, True)
        gate = self._gates[attempt.upstream]
        self._take(attempt.upstream, gate.offer(work, self.simulation.now))

    def _take(self, name: UpstreamName, effects: GateEffects) -> None:
        for effect in effects:
            if isinstance(effect, Start):
                self._serve(name, effect.work)
            elif isinstance(effect, Refuse):
                self._reply(effect.work, is_answered=False)
        due_at = self._gates[name].next_tick_at(self.simulation.now)
        if due_at is not None and due_at < self._tick_at[name]:
            self._tick_at[name] = due_at + 1e-3
            self.simulation.at(self._tick_at[name], partial(self._tick, name, self._tick_at[name]))

    def _tick(self, name: UpstreamName, scheduled_at: float) -> None:
        if scheduled_at == self._tick_at[name]:
            self._tick_at[name] = math.inf
            self._take(name, self._gates[name].tick(self.simulation.now))

    def _serve(self, name: UpstreamName, work: Work) -> None:
        factor = SLOW_FACTOR if name == self._settings.slow else 1.0
        answered_at = self.simulation.now + factor * service_time_s(self._service_rng(work))
        ended_at = min(answered_at, work.deadline)
        self.simulation.at(ended_at, partial(self._end, name, work, answered_at < work.deadline))

    def _service_rng(self, work: Work) -> random.Random:
        """Return the source of a service time, the same for all attempts if it is the request's."""
        if not self._settings.is_tail_of_request:
            return self._service
        assert isinstance(work.request_id, Attempt)
        return random.Random(work.request_id.request)

    def _end(self, name: UpstreamName, work: Work, is_answered: bool) -> None:
        outcome = Answered() if is_answered else TimedOut()
        gate = self._gates[name]
        effects = gate.finished(work.request_id, outcome, self.simulation.now)
        if is_answered:
            self._reply(work, is_answered=True)
        self._take(name, effects)

    def _reply(self, work: Work, is_answered: bool) -> None:
        attempt = work.request_id
        assert isinstance(attempt, Attempt)
        now = self.simulation.now
        word = self._gates[attempt.upstream].load_word(now)

        def arrive() -> None:
            choice = self._choices[attempt.home]
            choice.observe(attempt.upstream, "owner", word, self.simulation.now)
            if is_answered:
                self._answered(attempt)
            elif attempt in self._open.get(attempt.request, []):
                self._open[attempt.request].remove(attempt)

        self.simulation.at(now + WAY_S, arrive)

    def _answered(self, attempt: Attempt) -> None:
        attempts = self._open.pop(attempt.request, None)
        if attempts is None:
            return
        self.delays_s.append(self.simulation.now - self._arrived_at[attempt.request])
        self._budgets[attempt.home].succeeded(self.simulation.now)
        for other in attempts:
            if other != attempt:
                self.simulation.at(self.simulation.now + WAY_S, partial(self._cancel, other))

    def _cancel(self, attempt: Attempt) -> None:
        effects = self._gates[attempt.upstream].cancel(attempt, self.simulation.now)
        effects = [effect for effect in effects if not isinstance(effect, Abort)]
        self._take(attempt.upstream, effects)
