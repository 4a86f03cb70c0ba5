from __future__ import annotations

import random

import pytest

from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.gate import (
    Abort,
    Answered,
    CloseConnection,
    GateEffects,
    GateStart,
    HealthReport,
    Refuse,
    ReportedState,
    Shed,
    Start,
    StartCold,
    StartHandedOver,
    StartWarm,
    SuspicionReason,
    TimedOut,
    Unreachable,
    UpstreamGate,
    Work,
)
from banyanline.core.gate.messages import RequestId
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint, UpstreamState

COLD_START = ColdStart(duration_s=10.0, initial_slots=1, initial_rate=5.0)


def make_gate(
    start: GateStart | None = None, slots: int = 2, connections: int = 2000
) -> UpstreamGate:
    endpoint = Endpoint("203.0.113.1", 5683)
    upstream = Upstream(
        "orders-1", "orders", "north", endpoint, slots=slots, connections=connections
    )
    return UpstreamGate(upstream, COLD_START, start or StartWarm(), 0.0, random.Random(1))


def started(effects: GateEffects) -> list[RequestId]:
    return [effect.work.request_id for effect in effects if isinstance(effect, Start)]


def refused(effects: GateEffects) -> list[tuple[RequestId, RefusalReason]]:
    return [
        (effect.work.request_id, effect.reason) for effect in effects if isinstance(effect, Refuse)
    ]


def serve(gate: UpstreamGate, count: int, now: float, service_s: float = 0.1) -> float:
    """Serve ``count`` requests one after the other and return the time afterwards."""
    for index in range(count):
        assert started(gate.offer(Work(("served", index), now + 5.0), now))
        now += service_s
        gate.record_outcome(("served", index), Answered(), now)
        now += 0.2
    return now


def report(boot: str, state: ReportedState = ReportedState.WARM, load: float = 0.0) -> HealthReport:
    return HealthReport(boot, state, load)


@pytest.mark.parametrize(
    ("patience_s", "expected"),
    [
        pytest.param(0.0, RefusalReason.DEADLINE_PASSED, id="deadline passed"),
        pytest.param(0.15, RefusalReason.DEADLINE_TOO_SHORT, id="shorter than queue and service"),
    ],
)
def test_request_that_cannot_be_answered_in_time_is_refused_at_once(patience_s, expected):
    gate = make_gate()
    now = serve(gate, 3, 0.0)
    for name in "ab":
        gate.offer(Work(name, now + 5.0), now)
    [effect] = gate.offer(Work("late", now + patience_s), now)
    assert isinstance(effect, Refuse)
    assert effect.reason is expected
    assert effect.retry_after_s > 0.0
    assert gate.refusals == {expected: 1}


def test_queued_request_is_refused_once_it_cannot_be_answered_in_time():
    gate = make_gate(slots=1)
    now = serve(gate, 3, 0.0)
    gate.offer(Work("running", now + 5.0), now)
    assert gate.offer(Work("queued", now + 0.5), now) == []
    due_at = gate.next_tick_at(now)
    assert due_at == pytest.approx(now + 0.4)
    assert refused(gate.tick(now + 0.39)) == []
    assert refused(gate.tick(now + 0.41)) == [("queued", RefusalReason.DEADLINE_PASSED)]


def test_request_offered_twice_is_started_once():
    gate = make_gate()
    assert started(gate.offer(Work("a", 5.0), 0.0)) == ["a"]
    assert gate.offer(Work("a", 5.0), 0.0) == []
    assert gate.in_flight == 1


def test_cold_upstream_is_limited_to_its_slots_and_rate():
    gate = make_gate(StartCold())
    start_times = []
    now = 0.0
    for step in range(2000):
        now = step * 0.01
        gate.record_outcome(step - 5, Answered(), now)
        if started(gate.offer(Work(step, now + 0.06), now)):
            start_times.append(now)
        assert gate.in_flight <= gate.slots(now)
    assert 5 <= sum(time < 1.0 for time in start_times) <= 8
    assert sum(9.0 <= time < 10.0 for time in start_times) <= 40
    assert gate.slots(9.9) == 1
    assert gate.slots(10.2) == 2


def test_nothing_is_sent_during_the_takeover_wait():
    gate = make_gate(StartCold(takeover_wait_s=3.0))
    assert gate.load_snapshot(0.0).slots == 0
    assert refused(gate.offer(Work("a", 10.0), 0.0)) == [("a", RefusalReason.QUEUE_FULL)]
    assert gate.offer(Work("b", 10.0), 2.9) == []
    assert gate.next_tick_at(2.9) == 3.0
    assert started(gate.tick(3.0)) == ["b"]


def test_handover_leaves_free_the_slots_that_the_previous_owner_uses():
    old = make_gate()
    now = serve(old, 3, 0.0)
    for name in "abc":
        old.offer(Work(name, now + 2.0), now)
    assert refused(old.begin_handover(now)) == [("c", RefusalReason.OWNER_MOVED)]
    assert refused(old.offer(Work("d", now + 2.0), now)) == [("d", RefusalReason.OWNER_MOVED)]
    new = make_gate(StartHandedOver(old.export_state(now), running=("a", "b")))
    assert new.ramp_progress(0.0) == 1.0
    assert new.offer(Work("c", 2.0), 0.0) == []
    assert started(new.end_at_previous_owners(["a"], 0.1)) == ["c"]
    assert new.end_at_previous_owners(["a"], 0.1) == []
    assert new.offer(Work("e", 2.0), 0.1) == []
    assert started(new.tick(2.0)) == []
    assert new.in_flight_at_previous_owner == 0


@pytest.mark.parametrize(
    ("running", "ended_count", "held"),
    [
        pytest.param((), 0, 2, id="none is named"),
        pytest.param(("a",), 0, 2, id="one is named"),
        pytest.param(("a", "b"), 0, 2, id="all are named"),
        pytest.param(("a",), 1, 1, id="one ended before the handover came"),
        pytest.param((), 2, 0, id="all ended before the handover came"),
    ],
)
def test_slots_of_the_previous_owner_are_held_until_it_is_known_that_they_are_free(
    running, ended_count, held
):
    old = make_gate()
    now = serve(old, 3, 0.0)
    for name in "ab":
        old.offer(Work(name, now + 2.0), now)
    old.begin_handover(now)
    new = make_gate(StartHandedOver(old.export_state(now), running, ended_count))
    assert new.in_flight_at_previous_owner == held
    new.end_at_previous_owners(["a", "b", "unknown"], 0.1)
    assert new.in_flight_at_previous_owner == held - len(running)
    new.tick(2.0)
    assert new.in_flight_at_previous_owner == 0


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        pytest.param([Unreachable()], SuspicionReason.UNREACHABLE, id="unreachable"),
        pytest.param([Shed()] * 3, SuspicionReason.SHED_STREAK, id="shed"),
        pytest.param([TimedOut()] * 3, SuspicionReason.TIMEOUT_STREAK, id="timeouts"),
        pytest.param([Answered()] * 4, SuspicionReason.LATENCY_JUMP, id="slow answers"),
    ],
)
def test_bad_outcomes_restart_the_ramp(outcomes, expected):
    gate = make_gate()
    now = serve(gate, 30, 0.0)
    for index, outcome in enumerate(outcomes):
        gate.offer(Work(index, now + 50.0), now)
        now += 1.0
        gate.record_outcome(index, outcome, now)
    assert gate.suspicions == {expected: 1}
    assert gate.ramp_progress(now) == 0.0
    assert gate.slots(now) == 1


def test_timeouts_shorter_than_usual_service_do_not_raise_suspicion():
    gate = make_gate()
    now = serve(gate, 30, 0.0)
    for index in range(10):
        gate.offer(Work(index, now + 0.2), now)
        now += 0.2
        gate.record_outcome(index, TimedOut(), now)
    assert gate.suspicions == {}
    assert not gate.is_circuit_open


def test_open_circuit_passes_single_trials_until_one_is_answered():
    gate = make_gate()
    now = serve(gate, 30, 0.0)
    for index in range(2):
        gate.offer(Work(index, now + 5.0), now)
    for index in range(2):
        gate.record_outcome(index, Unreachable(), now)
    assert gate.is_circuit_open
    assert gate.load_snapshot(now).slots == 0
    assert refused(gate.offer(Work("early", now + 5.0, idempotent=True), now))
    now += 1.0
    assert refused(gate.offer(Work("post", now + 5.0, idempotent=False), now))
    assert started(gate.offer(Work("get", now + 5.0, idempotent=True), now)) == ["get"]
    assert refused(gate.offer(Work("get-2", now + 5.0, idempotent=True), now))
    gate.record_outcome("get", Answered(), now + 0.1)
    assert not gate.is_circuit_open


def test_non_idempotent_trial_needs_a_health_response_since_the_last_trial():
    gate = make_gate()
    for index in range(2):
        gate.offer(Work(index, 5.0), 0.0)
    for index in range(2):
        gate.record_outcome(index, Unreachable(), 0.0)
    gate.record_health_report(report("boot-2"), 0.1)
    assert started(gate.offer(Work("post", 5.0), 0.3)) == ["post"]
    gate.record_outcome("post", TimedOut(), 0.9)
    gate.record_health_report(report("boot-2"), 0.9)
    assert refused(gate.offer(Work("before the next trial", 5.0), 0.9))
    assert started(gate.offer(Work("post-2", 5.0), 2.0)) == ["post-2"]
    gate.record_outcome("post-2", TimedOut(), 3.0)
    assert refused(gate.offer(Work("without a health response", 60.0), 20.0))


@pytest.mark.parametrize(
    "reports",
    [
        pytest.param([report("boot-1", load=0.0)] * 60, id="always idle"),
        pytest.param([report("boot-1", load=1.0)] * 60, id="always full"),
        pytest.param([report("boot-1", ReportedState.DRAINING)] * 60, id="always draining"),
        pytest.param([report("boot-1"), *[report("boot-1", ReportedState.COLD)] * 59], id="cold"),
        pytest.param([None] * 60, id="never responds"),
        pytest.param([report(f"boot-{index}") for index in range(60)], id="new boot each time"),
    ],
)
def test_health_reports_never_take_out_an_upstream_that_answers(reports):
    gate = make_gate()
    now = serve(gate, 5, 0.0)
    for health_report in reports:
        if health_report is None:
            gate.record_health_timeout(now)
        else:
            gate.record_health_report(health_report, now)
        now = serve(gate, 3, now)
    assert gate.slots(now) == 2
    assert gate.ramp_progress(now) == 1.0


def test_reported_restart_restarts_the_ramp_and_warm_does_not_shorten_it():
    gate = make_gate()
    gate.record_health_report(report("boot-1"), 1.0)
    gate.record_health_report(report("boot-2", ReportedState.WARM), 2.0)
    gate.record_health_report(report("boot-2", ReportedState.WARM), 7.0)
    assert gate.ramp_progress(7.0) == pytest.approx(0.5)


def test_nothing_is_started_during_the_retry_delay_of_a_shed_request():
    gate = make_gate()
    gate.offer(Work("a", 5.0), 0.0)
    gate.record_outcome("a", Shed(retry_after_s=0.4), 0.1)
    assert gate.offer(Work("b", 5.0), 0.2) == []
    assert started(gate.tick(0.5)) == ["b"]


def test_leaving_upstream_finishes_running_requests_and_gets_no_new_ones():
    gate = make_gate(slots=1)
    gate.offer(Work("running", 5.0), 0.0)
    gate.offer(Work("queued", 5.0), 0.0)
    effects = gate.set_state(UpstreamState.LEAVING, 0.0)
    assert refused(effects) == [("queued", RefusalReason.NO_UPSTREAM)]
    assert refused(gate.offer(Work("new", 5.0), 0.0)) == [("new", RefusalReason.NO_UPSTREAM)]
    assert gate.open_connection("flow", 0.0) is RefusalReason.NO_UPSTREAM
    assert gate.in_flight == 1
    gate.set_state(UpstreamState.IN_SERVICE, 20.0)
    assert gate.ramp_progress(20.0) == 0.0


def test_data_centre_out_ends_all_requests_and_connections():
    gate = make_gate(slots=1)
    gate.open_connection("flow", 0.0)
    running, queued = Work("running", 5.0), Work("queued", 5.0)
    gate.offer(running, 0.0)
    gate.offer(queued, 0.0)
    effects = gate.abort_all(1.0)
    assert refused(effects) == [("queued", RefusalReason.NO_UPSTREAM)]
    assert Abort(running, UnknownReason.DATA_CENTRE_OUT) in effects
    assert CloseConnection("flow") in effects
    assert (gate.in_flight, gate.queued, gate.connections) == (0, 0, 0)


def test_cancelled_request_keeps_the_slot_of_a_cold_upstream():
    gate = make_gate(StartCold())
    first = Work("a", 1.0)
    gate.offer(first, 0.0)
    assert gate.cancel("a", 0.1) == [Abort(first)]
    assert gate.offer(Work("b", 5.0), 0.6) == []
    assert started(gate.tick(1.0)) == ["b"]


def test_streams_and_flows_share_the_connection_limit():
    gate = make_gate(connections=2)
    assert gate.open_connection("flow", 0.0) is None
    assert started(gate.offer(Work("stream", 5.0, is_stream=True), 0.0)) == ["stream"]
    gate.record_outcome("stream", Answered(), 0.1)
    assert gate.connections == 2
    effects = gate.offer(Work("stream-2", 5.0, is_stream=True), 0.2)
    assert refused(effects) == [("stream-2", RefusalReason.CONNECTION_LIMIT)]
    assert gate.open_connection("flow-2", 0.2) is RefusalReason.CONNECTION_LIMIT
    assert gate.close_connection("stream")
    assert gate.open_connection("flow-2", 0.3) is None


@pytest.mark.parametrize(
    "released",
    [
        pytest.param(None, id="no progress reported"),
        pytest.param(3, id="previous owner still holds them"),
        pytest.param(0, id="previous owner closed them"),
    ],
)
def test_flows_that_were_handed_over_are_counted_once(released):
    old = make_gate(connections=4)
    flows = ["a", "b", "c"]
    for flow in flows:
        old.open_connection(flow, 0.0)
    old.begin_handover(0.0)
    new = make_gate(StartHandedOver(old.export_state(0.0)), connections=4)
    assert new.open_connection("before the flows are adopted", 0.0) is None
    new.close_connection("before the flows are adopted")
    for flow in flows:
        new.adopt_connection(flow)
    if released is not None:
        new.set_connections_at_previous_owner(released)
    assert new.open_connection("fourth", 1.0) is None
    assert new.open_connection("fifth", 2.0) is RefusalReason.CONNECTION_LIMIT


def test_callers_refused_together_get_different_retry_times():
    gate = make_gate()
    now = serve(gate, 20, 0.0)
    effects = [gate.offer(Work(index, now + 3.0), now) for index in range(200)]
    waits = [e.retry_after_s for [e] in filter(None, effects) if isinstance(e, Refuse)]
    assert len(waits) > 100
    first, last = waits[:20], waits[-20:]
    # Retry times are 0.05 s apart: 0.1 s per request over two slots.
    assert sum(last) / 20 - sum(first) / 20 == pytest.approx(0.05 * (len(waits) - 20), rel=0.2)


@pytest.mark.parametrize(
    ("slots", "started_at_once", "started_after_two"),
    [
        pytest.param(3, ["c"], [], id="more slots"),
        pytest.param(1, [], ["c"], id="fewer slots"),
    ],
)
def test_new_limits_keep_running_and_queued_requests(slots, started_at_once, started_after_two):
    gate = make_gate(slots=2)
    for name in "abc":
        gate.offer(Work(name, 5.0), 0.0)
    limits = gate.upstream._replace(slots=slots)
    assert started(gate.reconfigure(limits, COLD_START, 0.1)) == started_at_once
    assert started(gate.record_outcome("a", Answered(), 0.2)) == []
    assert started(gate.record_outcome("b", Answered(), 0.3)) == started_after_two


def test_upstream_at_another_endpoint_starts_cold():
    gate = make_gate()
    moved = gate.upstream._replace(endpoint=Endpoint("203.0.113.9", 5683))
    gate.reconfigure(moved, COLD_START, 1.0)
    assert gate.ramp_progress(1.0) == 0.0
