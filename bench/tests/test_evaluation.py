"""The evaluation must report each violation: every case injects one into an empty run."""

import time
from collections.abc import Mapping
from typing import cast

import pytest

from bench.scenarios.deployments import SPLIT
from bench.scenarios.environment import Environment, Options
from bench.scenarios.evaluation import Footprint, Result, evaluate, violations
from bench.scenarios.fleet import StopRecord
from bench.scenarios.observations import FlowEnd, FlowRecord, Outcome, RequestRecord
from bench.scenarios.timeline import Interval

NAME = "stup-napajanje-1"
DATA_CENTRE = "split-sjever"
SERVICE = "stup-napajanje"
FOOTPRINT = Footprint(None, 0.0, 0.0)


def add_request(environment: Environment, outcome: Outcome, key: str = "k") -> None:
    now = time.monotonic()
    environment.observations.requests.append(
        RequestRecord(key, "post", SERVICE, now, now + 1.0, 5.0, outcome)
    )


def inject_doubled(environment: Environment) -> None:
    for _ in range(2):
        environment.executions.add("k", NAME, time.monotonic(), idempotent=False)


def inject_false_refusal(environment: Environment) -> None:
    environment.executions.add("k", NAME, time.monotonic(), idempotent=False)
    add_request(environment, Outcome.REFUSED)


def inject_wrong_answer(environment: Environment) -> None:
    add_request(environment, Outcome.WRONG)


def inject_late_work(environment: Environment) -> None:
    environment.timeline.leaving_at[NAME] = 100.0
    environment.upstreams[NAME].counts.new_work_times += [101.0, 103.5]


def inject_revert(environment: Environment) -> None:
    environment.timeline.leaving_at[NAME] = 100.0
    environment.upstreams[NAME].counts.new_work_times += [100.5, 110.0]


def inject_packet_after_out(environment: Environment) -> None:
    environment.timeline.record_out_of_service(DATA_CENTRE, 100.0)
    environment.timeline.record_back_in_service(DATA_CENTRE, 200.0)
    environment.upstreams[NAME].counts.packet_times += [102.0, 103.5, 200.5]


def inject_cut_by_stop(environment: Environment) -> None:
    now = time.monotonic()
    environment.fleet.stops.append(StopRecord("b", now - 1.0, now + 2.0, 0))
    add_request(environment, Outcome.UNKNOWN)


def inject_cold_overload(environment: Environment) -> None:
    environment.upstreams[NAME].counts.cold_overloads += 1


def inject_misdelivery(environment: Environment) -> None:
    environment.upstreams[NAME].counts.misdelivered += 1


def inject_unanswered(environment: Environment) -> None:
    add_request(environment, Outcome.NO_ANSWER)


def inject_late_answer(environment: Environment) -> None:
    now = time.monotonic()
    environment.observations.requests.append(
        RequestRecord("k", "get", SERVICE, now, now + 5.1, 5.0, Outcome.ANSWERED)
    )


def inject_refusal(environment: Environment) -> None:
    add_request(environment, Outcome.REFUSED)


def inject_broken_flow(environment: Environment) -> None:
    environment.observations.flows.append(
        FlowRecord("k", SERVICE, NAME, 10.0, 20.0, FlowEnd.SILENT)
    )


@pytest.fixture
async def environment(tmp_path):
    environment = Environment(Options(SPLIT, seed=1), tmp_path)
    environment.start_upstreams()
    yield environment
    await environment.close()


@pytest.mark.parametrize(
    ("inject", "key"),
    [
        pytest.param(inject_doubled, "doubled", id="order ran twice"),
        pytest.param(inject_false_refusal, "refused_but_ran", id="refused though it ran"),
        pytest.param(inject_wrong_answer, "wrong_or_partial", id="wrong answer"),
        pytest.param(inject_late_work, "work_after_leaving", id="work after leaving"),
        pytest.param(inject_revert, "config_reverts", id="old configuration acts again"),
        pytest.param(inject_packet_after_out, "packets_after_out", id="packet after out"),
        pytest.param(inject_cut_by_stop, "requests_cut_by_stop", id="request cut by a stop"),
        pytest.param(inject_cold_overload, "cold_overloads", id="cold upstream overloaded"),
        pytest.param(inject_misdelivery, "misdelivered", id="packet of another service"),
        pytest.param(inject_broken_flow, "flows_broken", id="broken flow"),
        pytest.param(inject_unanswered, "not_served", id="request without a response"),
        pytest.param(inject_late_answer, "not_served", id="response after the patience"),
        pytest.param(inject_refusal, "refused_not_run", id="refusal without overload"),
    ],
)
async def test_violation_is_counted(environment, inject, key):
    assert violations(evaluate(environment, "steady", 1.0, FOOTPRINT), is_planned=True) == []
    inject(environment)
    result: Mapping[str, object] = evaluate(environment, "steady", 1.0, FOOTPRINT)
    assert result[key] == 1
    assert f"{key}=1" in violations(cast("Result", result), is_planned=True)


@pytest.mark.parametrize(
    ("out_of_service", "restarted_at", "given_up"),
    [
        pytest.param([(19.0, 30.0)], [], 1, id="data centre out"),
        pytest.param([(40.0, 50.0)], [], 0, id="data centre out later"),
        pytest.param([(1.0, 5.0)], [], 0, id="data centre out before"),
        pytest.param([], [21.0], 1, id="upstream restarted"),
        pytest.param([], [5.0], 0, id="upstream restarted before"),
    ],
)
async def test_broken_flow_is_allowed_if_its_upstream_or_data_centre_went_down(
    environment, out_of_service, restarted_at, given_up
):
    inject_broken_flow(environment)
    for start, end in out_of_service:
        environment.timeline.record_out_of_service(DATA_CENTRE, start)
        environment.timeline.record_back_in_service(DATA_CENTRE, end)
    environment.upstreams[NAME].restarts.extend(restarted_at)
    result = evaluate(environment, "steady", 1.0, FOOTPRINT)
    assert (result["flows_given_up"], result["flows_broken"]) == (given_up, 1 - given_up)


@pytest.mark.parametrize(
    ("fault_interval", "cut"),
    [
        pytest.param((-30.0, -20.0), 1, id="fault long before"),
        pytest.param((-8.0, -2.0), 0, id="shortly after a fault"),
        pytest.param((0.5, 0.8), 0, id="during a fault"),
        pytest.param((1.5, 2.0), 1, id="fault after its end"),
    ],
)
async def test_request_open_during_a_fault_is_not_attributed_to_a_stop(
    environment, fault_interval, cut
):
    inject_cut_by_stop(environment)
    started_at = environment.observations.requests[0].started_at
    start, end = fault_interval
    environment.timeline.fault_intervals.append(Interval(started_at + start, started_at + end))
    assert evaluate(environment, "steady", 1.0, FOOTPRINT)["requests_cut_by_stop"] == cut


@pytest.mark.parametrize(
    ("fault_interval", "detail", "not_served"),
    [
        pytest.param(None, "", 1, id="calm"),
        pytest.param((-30.0, -5.1), "", 1, id="after the recovery time"),
        pytest.param((-30.0, -4.9), "", 0, id="within the recovery time"),
        pytest.param((0.5, 0.8), "", 0, id="during a fault"),
        pytest.param((1.1, 2.0), "", 1, id="before a fault"),
        pytest.param(None, "unknown:data_centre_out", 0, id="data centre out of service"),
        pytest.param(None, "unknown:upstream_timeout", 1, id="unknown outcome"),
    ],
)
async def test_requests_must_be_served_outside_of_faults(
    environment, fault_interval, detail, not_served
):
    add_request(environment, Outcome.UNKNOWN)
    request = environment.observations.requests[0]
    environment.observations.requests[0] = request._replace(detail=detail)
    if fault_interval is not None:
        start, end = (request.started_at + offset for offset in fault_interval)
        environment.timeline.fault_intervals.append(Interval(start, end))
    assert evaluate(environment, "steady", 1.0, FOOTPRINT)["not_served"] == not_served


async def test_refusals_are_allowed_in_overload_and_after_faults(environment):
    inject_refusal(environment)
    result = evaluate(environment, "overload", 1.0, FOOTPRINT)
    assert violations(result, is_planned=True, may_refuse=True) == []
    assert violations(result, is_planned=False) == []
