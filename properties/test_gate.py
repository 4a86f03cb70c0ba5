"""Invariants of the admission gate over random histories of one upstream and its owners."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from banyanline.core.error_responses import RefusalReason
from banyanline.core.gate import (
    Abort,
    Answered,
    GateEffects,
    HealthReport,
    Refuse,
    ReportedState,
    Shed,
    Start,
    StartCold,
    StartHandedOver,
    StartWarm,
    TimedOut,
    Unreachable,
    UpstreamGate,
    Work,
)
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint, UpstreamState

COLD_START = ColdStart(duration_s=5.0, initial_slots=1, initial_rate=5.0)
OUTCOMES = st.sampled_from(
    [Answered(), Answered(), Answered(), Shed(0.5), Shed(60.0), TimedOut(), Unreachable()]
)
REPORTS = st.builds(
    HealthReport,
    boot=st.sampled_from(["boot-1", "boot-2"]),
    state=st.sampled_from(list(ReportedState)),
    load=st.sampled_from([0.0, 0.5, 1.0]),
)


class GateMachine(RuleBasedStateMachine):
    """Offers work to a gate and the gates that replace it, and tracks each work item."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.offered_count = 0
        self.waiting = {}
        self.running = {}
        self.in_flight_elsewhere = {}
        self.end_counts = Counter()
        self.last_sequence = 0

    @initialize(
        start=st.sampled_from([StartCold(), StartCold(takeover_wait_s=1.0), StartWarm()]),
        slots=st.integers(1, 4),
        seed=st.integers(0, 9),
    )
    def create_gate(self, start, slots, seed):
        self.slots = slots
        self.rng = random.Random(seed)
        self.upstream = Upstream(
            "orders-1", "orders", "north", Endpoint("203.0.113.1", 5683), slots=slots, connections=3
        )
        self.gate = UpstreamGate(self.upstream, COLD_START, start, self.now, self.rng)
        self.no_start_before = start.takeover_wait_s if isinstance(start, StartCold) else 0.0

    def apply_effects(self, effects: GateEffects):
        for effect in effects:
            if isinstance(effect, Start):
                self.check_start(effect.work)
            elif isinstance(effect, Refuse):
                assert effect.retry_after_s > 0.0
                del self.waiting[effect.work.request_id]
                self.end_counts[effect.work.request_id] += 1

    def check_start(self, work):
        assert self.now < work.deadline
        assert self.now >= self.no_start_before
        self.running[work.request_id] = self.waiting.pop(work.request_id)
        assert (
            len(self.running) + len(self.in_flight_elsewhere)
            <= self.gate.slots(self.now)
            <= self.slots
        )

    @rule(patience=st.floats(-0.1, 10.0), idempotent=st.booleans(), is_stream=st.booleans())
    def offer(self, patience, idempotent, is_stream):
        work = Work(self.offered_count, self.now + patience, idempotent, is_stream)
        self.offered_count += 1
        self.waiting[work.request_id] = work
        self.apply_effects(self.gate.offer(work, self.now))

    @precondition(lambda self: self.waiting or self.running)
    @rule()
    def offer_duplicates(self):
        for work in [*self.waiting.values(), *self.running.values()]:
            effects = self.gate.offer(work, self.now)
            assert Start(work) not in effects or work.request_id in self.waiting
            self.apply_effects(effects)

    @rule(elapsed=st.sampled_from([0.5, 2.0, 10.0]))
    def pause(self, elapsed):
        """Advance time without a tick, as when the process is paused."""
        self.now += elapsed
        self.expire_in_flight_elsewhere()

    @rule(count=st.integers(2, 20), patience=st.floats(0.1, 5.0))
    def offer_many(self, count, patience):
        for _ in range(count):
            self.offer(patience, True, False)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 3), outcome=OUTCOMES)
    def finish(self, index, outcome):
        request_id = list(self.running)[index % len(self.running)]
        del self.running[request_id]
        self.end_counts[request_id] += 1
        self.apply_effects(self.gate.record_outcome(request_id, outcome, self.now))

    @rule(request_id=st.integers(0, 50), outcome=OUTCOMES)
    def finish_late(self, request_id, outcome):
        if request_id in self.end_counts:
            self.apply_effects(self.gate.record_outcome(request_id, outcome, self.now))

    @rule(request_id=st.integers(0, 50))
    def cancel(self, request_id):
        if request_id in self.running:
            del self.running[request_id]
            self.end_counts[request_id] += 1
            effects = self.gate.cancel(request_id, self.now)
            assert isinstance(effects[0], Abort)
            self.apply_effects(effects)
        else:
            self.apply_effects(self.gate.cancel(request_id, self.now))

    @rule(elapsed=st.sampled_from([0.0, 0.01, 0.05, 0.2, 1.0, 6.0]))
    def wait(self, elapsed):
        target = self.now + elapsed
        due = self.gate.next_tick_at(self.now)
        for _ in range(100):
            if due is None or due >= target:
                break
            self.now = max(self.now, due)
            self.expire_in_flight_elsewhere()
            self.apply_effects(self.gate.tick(self.now))
            due = self.gate.next_tick_at(self.now)
            if due is not None and due <= self.now:
                due = self.now + 1e-3
        self.now = target
        self.expire_in_flight_elsewhere()
        self.apply_effects(self.gate.tick(self.now))

    def expire_in_flight_elsewhere(self):
        self.in_flight_elsewhere = {
            request_id: work
            for request_id, work in self.in_flight_elsewhere.items()
            if work.deadline > self.now
        }

    @rule(report=REPORTS)
    def receive_health_report(self, report):
        self.apply_effects(self.gate.record_health_report(report, self.now))

    @rule()
    def miss_health_check(self):
        self.apply_effects(self.gate.record_health_timeout(self.now))

    @rule(state=st.sampled_from(list(UpstreamState)))
    def set_state(self, state):
        self.apply_effects(self.gate.set_state(state, self.now))
        if state is UpstreamState.LEAVING:
            assert not self.waiting

    @rule(flow=st.sampled_from(["f", "g", "h", "i"]))
    def connect(self, flow):
        refusal = self.gate.open_connection(flow, self.now)
        assert refusal in (None, RefusalReason.CONNECTION_LIMIT, RefusalReason.NO_UPSTREAM)

    @rule(flow=st.sampled_from(["f", "g", "h", "i"]))
    def disconnect(self, flow):
        self.gate.close_connection(flow)

    @rule(slots=st.integers(1, 4))
    def reconfigure(self, slots):
        self.slots = slots
        self.upstream = self.upstream._replace(slots=slots)
        self.apply_effects(self.gate.reconfigure(self.upstream, COLD_START, self.now))

    @rule()
    def change_owner(self):
        self.apply_effects(self.gate.begin_handover(self.now))
        assert not self.waiting
        start = StartHandedOver(self.gate.export_state(self.now))
        assert start.gate_state.in_flight >= len(self.running) + len(self.in_flight_elsewhere)
        self.in_flight_elsewhere.update(self.running)
        for request_id in self.running:
            self.end_counts[request_id] += 1
        self.running = {}
        self.expire_in_flight_elsewhere()
        self.gate = UpstreamGate(self.upstream, COLD_START, start, self.now, self.rng)
        self.last_sequence = 0

    @rule()
    def take_data_centre_out_of_service(self):
        effects = self.gate.abort_all(self.now)
        assert sum(isinstance(effect, Abort) for effect in effects) == len(self.running)
        for request_id in self.running:
            self.end_counts[request_id] += 1
        self.running = {}
        self.in_flight_elsewhere = {}
        self.apply_effects(effects)
        assert not self.waiting
        start = StartCold(takeover_wait_s=max(0.0, self.no_start_before - self.now))
        self.gate = UpstreamGate(self.upstream, COLD_START, start, self.now, self.rng)
        self.last_sequence = 0

    @invariant()
    def each_work_item_is_in_one_state(self):
        if not hasattr(self, "gate"):
            return
        assert self.gate.queued == len(self.waiting)
        assert self.gate.in_flight >= len(self.running)
        assert all(count == 1 for count in self.end_counts.values())
        assert len(self.end_counts) + len(self.waiting) + len(self.running) == self.offered_count
        assert self.gate.connections <= self.upstream.connections

    @invariant()
    def load_snapshots_are_ordered(self):
        if not hasattr(self, "gate"):
            return
        snapshot = self.gate.load_snapshot(self.now)
        assert snapshot.sequence == self.last_sequence + 1
        assert snapshot.slots <= self.slots
        self.last_sequence = snapshot.sequence


TestGate = pytest.mark.filterwarnings("ignore")(GateMachine.TestCase)
TestGate.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    report_multiple_bugs=False,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
