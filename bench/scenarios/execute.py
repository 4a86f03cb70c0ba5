"""Runs one scenario from start to judgement, and prints and writes its result."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import time
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import NamedTuple, TypedDict

from bench.reports.pages import write_pages
from bench.scenarios.catalog import Scenario
from bench.scenarios.deployments import Deployment
from bench.scenarios.evidence import collect
from bench.scenarios.judge import Footprint, Result, judge, violations
from bench.scenarios.looplag import LoopLag
from bench.scenarios.resources import snapshots, usage
from bench.scenarios.world import Options, World
from bench.standins.streams import GAP_S

IDLE_WINDOW_S = 2.0
WARM_UP_S = 2.0


class Series(TypedDict):
    """What a report plots; times are seconds since callers began to work."""

    events: list[tuple[float, str]]
    requests: list[tuple[float, float, str]]
    """Start, latency in milliseconds, outcome."""
    flow_ends: list[tuple[float, str]]
    upstream_work: dict[str, list[float]]
    evidence: list[str]


class RunOutput(NamedTuple):
    """A run's result, what must hold and did not, and its series."""

    result: Result
    violations: list[str]
    series: Series
    lag: LoopLag


class Job(NamedTuple):
    """What to run."""

    scenario: Scenario
    deployment: Deployment
    seed: int
    seconds: float
    is_baseline: bool = False
    is_relayed: bool = False
    logs: Path | None = None


async def execute(job: Job) -> RunOutput:
    """Run ``job`` and judge it; SIGTERM cancels the run and ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    scenario = job.scenario
    options = Options(
        deployment=job.deployment,
        seed=job.seed,
        is_baseline=job.is_baseline,
        is_relayed=(scenario.is_relayed or job.is_relayed) and not job.is_baseline,
        faults=scenario.faults,
    )
    with _directory(job.logs) as directory:
        world = World(options, Path(directory))
        try:
            return await _run(world, job)
        finally:
            await world.close()


def _directory(logs: Path | None) -> AbstractContextManager[str]:
    """Return where settings and logs go: a folder that stays, or a temporary one."""
    if logs is None:
        return tempfile.TemporaryDirectory(prefix="banyanline-bench-")
    logs.mkdir(parents=True, exist_ok=True)
    return nullcontext(str(logs.resolve()))


def run_job(job: Job) -> RunOutput:
    """Run ``job`` on an event loop of its own."""
    return asyncio.run(execute(job))


async def _run(world: World, job: Job) -> RunOutput:
    await world.start()
    footprint = await _measure_idle(world)
    world.load.start_streams()
    await asyncio.sleep(job.deployment.cold_start_s + WARM_UP_S)
    lag = LoopLag()
    lag.start()
    began = time.monotonic()
    world.load.start_requests()
    await job.scenario.act(world, job.seconds)
    seconds = time.monotonic() - began
    await world.load.stop_requests()
    await asyncio.sleep(GAP_S + 1.0)
    await world.load.stop_streams()
    lag.stop()
    if job.logs is not None:
        await write_pages(world.fleet.balancers, job.logs)
    at_end = usage({}, snapshots(world.fleet.balancers))
    footprint = footprint._replace(rss_mb=at_end.rss_mb)
    result = judge(world, job.scenario.name, seconds, footprint)
    found = violations(result, is_planned=job.scenario.is_planned)
    return RunOutput(result, found, _series(world, began), lag)


async def _measure_idle(world: World) -> Footprint:
    """Measure what the balancers use for control alone, before callers begin."""
    balancers = world.fleet.balancers
    before = snapshots(balancers)
    bytes_before = world.relay.relayed_bytes
    await asyncio.sleep(IDLE_WINDOW_S)
    idle = usage(before, snapshots(balancers))
    sent = world.relay.relayed_bytes - bytes_before
    rate = sent / IDLE_WINDOW_S / len(balancers) if world.options.is_relayed else None
    return Footprint(rate, idle.cpu_share, idle.rss_mb)


def _series(world: World, began: float) -> Series:
    return Series(
        events=[(round(event.at - began, 3), event.what) for event in world.chronicle.events],
        requests=[
            (
                round(record.started_at - began, 3),
                round(record.latency_s * 1000, 2),
                record.outcome.value,
            )
            for record in world.observations.requests
        ],
        flow_ends=[
            (round(flow.ended_at - began, 3), flow.end.value) for flow in world.observations.flows
        ],
        upstream_work={
            name: [round(at - began, 3) for at in upstream.counts.new_work]
            for name, upstream in world.upstreams.items()
        },
        evidence=collect(world, began),
    )


def write_output(output: RunOutput, path: Path) -> None:
    """Write the result as JSON, and the series beside it."""
    path.write_text(json.dumps(output.result, indent=1) + "\n")
    series_path(path).write_text(json.dumps(output.series) + "\n")


def series_path(path: Path) -> Path:
    """Return where the series of the result in ``path`` stand.

    >>> series_path(Path("steady.json")).name
    'steady.series.json'
    """
    return path.with_suffix(".series.json")


def format_table(columns: dict[str, Result]) -> str:
    """Return results side by side, one line a key."""
    titles = list(columns)
    lines = [f"{'':26}" + "".join(f"{title:>16}" for title in titles)]
    for key in Result.__annotations__:
        cells = [columns[title][key] for title in titles]  # type: ignore[literal-required]
        if key == "latency_ms":
            for part in cells[0]:
                row = "".join(f"{cell[part]:>16}" for cell in cells)
                lines.append(f"latency_ms {part:15}{row}")
        else:
            lines.append(f"{key:26}" + "".join(f"{_cell(cell):>16}" for cell in cells))
    return "\n".join(lines)


def format_lag(lag: LoopLag) -> str:
    """Return one line that tells how late the bench itself ran."""
    p99_ms, worst_ms = lag.p99_s * 1000, lag.worst_s * 1000
    return f"the bench's own loop was late by {p99_ms:.0f} ms at p99, {worst_ms:.0f} ms at worst"


def _cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return "-" if value is None else str(value)
