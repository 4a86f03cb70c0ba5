"""The judge must see each breach: every row plants one in an otherwise empty run."""

import time
from collections.abc import Mapping
from typing import cast

import pytest

from bench.scenarios.chronicle import Span
from bench.scenarios.deployments import SPLIT
from bench.scenarios.fleet import StopRecord
from bench.scenarios.judge import Footprint, Result, judge, violations
from bench.scenarios.observations import FlowEnd, FlowRecord, Outcome, RequestRecord
from bench.scenarios.world import Options, World

NAME = "stup-napajanje-1"
DATA_CENTRE = "split-sjever"
SERVICE = "stup-napajanje"
FOOTPRINT = Footprint(None, 0.0, 0.0)


def add_request(world: World, outcome: Outcome, key: str = "k") -> None:
    now = time.monotonic()
    world.observations.requests.append(
        RequestRecord(key, "post", SERVICE, now, now + 1.0, 5.0, outcome)
    )


def plant_doubled(world: World) -> None:
    for _ in range(2):
        world.runs.add("k", NAME, time.monotonic(), idempotent=False)


def plant_false_refusal(world: World) -> None:
    world.runs.add("k", NAME, time.monotonic(), idempotent=False)
    add_request(world, Outcome.REFUSED)


def plant_wrong_answer(world: World) -> None:
    add_request(world, Outcome.WRONG)


def plant_late_work(world: World) -> None:
    world.chronicle.leaving_at[NAME] = 100.0
    world.upstreams[NAME].counts.new_work += [101.0, 103.5]


def plant_revert(world: World) -> None:
    world.chronicle.leaving_at[NAME] = 100.0
    world.upstreams[NAME].counts.new_work += [100.5, 110.0]


def plant_packet_after_out(world: World) -> None:
    world.chronicle.begin_out(DATA_CENTRE, 100.0)
    world.chronicle.end_out(DATA_CENTRE, 200.0)
    world.upstreams[NAME].counts.packets += [102.0, 103.5, 200.5]


def plant_cut_by_stop(world: World) -> None:
    now = time.monotonic()
    world.fleet.stops.append(StopRecord("b", now - 1.0, now + 2.0, 0))
    add_request(world, Outcome.UNKNOWN)


def plant_cold_overload(world: World) -> None:
    world.upstreams[NAME].counts.cold_overloads += 1


def plant_misdelivery(world: World) -> None:
    world.upstreams[NAME].counts.misdelivered += 1


def plant_broken_flow(world: World) -> None:
    world.observations.flows.append(FlowRecord("k", SERVICE, NAME, 10.0, 20.0, FlowEnd.SILENT))


@pytest.fixture
async def world(tmp_path):
    world = World(Options(SPLIT, seed=1), tmp_path)
    world.start_upstreams()
    yield world
    await world.close()


@pytest.mark.parametrize(
    ("plant", "key"),
    [
        pytest.param(plant_doubled, "doubled", id="order ran twice"),
        pytest.param(plant_false_refusal, "refused_but_ran", id="refused though it ran"),
        pytest.param(plant_wrong_answer, "wrong_or_partial", id="wrong answer"),
        pytest.param(plant_late_work, "work_after_leaving", id="work after leaving"),
        pytest.param(plant_revert, "config_reverts", id="old configuration acts again"),
        pytest.param(plant_packet_after_out, "packets_after_out", id="packet after out"),
        pytest.param(plant_cut_by_stop, "requests_cut_by_stop", id="request cut by a stop"),
        pytest.param(plant_cold_overload, "cold_overloads", id="cold upstream overloaded"),
        pytest.param(plant_misdelivery, "misdelivered", id="packet of another service"),
        pytest.param(plant_broken_flow, "flows_broken", id="broken flow"),
    ],
)
async def test_breach_is_counted(world, plant, key):
    assert violations(judge(world, "steady", 1.0, FOOTPRINT), is_planned=True) == []
    plant(world)
    result: Mapping[str, object] = judge(world, "steady", 1.0, FOOTPRINT)
    assert result[key] == 1
    assert f"{key}=1" in violations(cast("Result", result), is_planned=True)


@pytest.mark.parametrize(
    ("out_at", "restarted_at", "given_up"),
    [
        pytest.param([(19.0, 30.0)], [], 1, id="data centre out"),
        pytest.param([(40.0, 50.0)], [], 0, id="data centre out later"),
        pytest.param([(1.0, 5.0)], [], 0, id="data centre out before"),
        pytest.param([], [21.0], 1, id="upstream restarted"),
        pytest.param([], [5.0], 0, id="upstream restarted before"),
    ],
)
async def test_flow_is_given_up(world, out_at, restarted_at, given_up):
    plant_broken_flow(world)
    for began, ended in out_at:
        world.chronicle.begin_out(DATA_CENTRE, began)
        world.chronicle.end_out(DATA_CENTRE, ended)
    world.upstreams[NAME].restarts.extend(restarted_at)
    result = judge(world, "steady", 1.0, FOOTPRINT)
    assert (result["flows_given_up"], result["flows_broken"]) == (given_up, 1 - given_up)


@pytest.mark.parametrize(
    ("fault_span", "cut"),
    [
        pytest.param((-30.0, -20.0), 1, id="fault long before"),
        pytest.param((-8.0, -2.0), 0, id="shortly after a fault"),
        pytest.param((0.5, 0.8), 0, id="during a fault"),
        pytest.param((1.5, 2.0), 1, id="fault after its end"),
    ],
)
async def test_request_open_during_a_fault_is_not_laid_to_a_stop(world, fault_span, cut):
    plant_cut_by_stop(world)
    started_at = world.observations.requests[0].started_at
    began, ended = fault_span
    world.chronicle.faults.append(Span(started_at + began, started_at + ended))
    assert judge(world, "steady", 1.0, FOOTPRINT)["requests_cut_by_stop"] == cut
