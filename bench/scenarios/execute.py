"""Runs one scenario, evaluates it, and formats and writes its result."""

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
from bench.scenarios.environment import Environment, Options
from bench.scenarios.evaluation import Footprint, Result, evaluate, violations
from bench.scenarios.loop_lag import LoopLag
from bench.scenarios.resources import snapshots, usage
from bench.scenarios.violation_details import describe_violations
from bench.standins.streams import FLOW_TIMEOUT_S

IDLE_WINDOW_S = 2.0
WARM_UP_MARGIN_S = 2.0


class Series(TypedDict):
    """Time series for the plots; times are in seconds since the load started."""

    events: list[tuple[float, str]]
    requests: list[tuple[float, float, str]]
    """Start time, latency in milliseconds and outcome."""
    flow_ends: list[tuple[float, str]]
    upstream_work: dict[str, list[float]]
    evidence: list[str]


class RunOutput(NamedTuple):
    """The result of a run, its violated invariants, time series and event loop lag."""

    result: Result
    violations: list[str]
    series: Series
    lag: LoopLag


class Job(NamedTuple):
    """Parameters of one run."""

    scenario: Scenario
    deployment: Deployment
    seed: int
    seconds: float
    is_baseline: bool = False
    is_relayed: bool = False
    logs: Path | None = None


async def execute(job: Job) -> RunOutput:
    """Run ``job`` and evaluate it; SIGTERM cancels the run and ends its processes."""
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
        environment = Environment(options, Path(directory))
        try:
            return await _run(environment, job)
        finally:
            await environment.close()


def _directory(logs: Path | None) -> AbstractContextManager[str]:
    """Return the folder for settings and logs: ``logs``, or a temporary one if it is None."""
    if logs is None:
        return tempfile.TemporaryDirectory(prefix="banyanline-bench-")
    logs.mkdir(parents=True, exist_ok=True)
    return nullcontext(str(logs.resolve()))


def run_job(job: Job) -> RunOutput:
    """Run ``job`` in a new event loop."""
    return asyncio.run(execute(job))


async def _run(environment: Environment, job: Job) -> RunOutput:
    await environment.start()
    footprint = await _measure_idle(environment)
    environment.load.start_streams()
    await asyncio.sleep(job.deployment.cold_start_s + WARM_UP_MARGIN_S)
    lag = LoopLag()
    lag.start()
    load_started_at = time.monotonic()
    environment.load.start_requests()
    await job.scenario.run(environment, job.seconds)
    seconds = time.monotonic() - load_started_at
    await environment.load.stop_requests()
    await asyncio.sleep(FLOW_TIMEOUT_S + 1.0)
    await environment.load.stop_streams()
    lag.stop()
    if job.logs is not None:
        await write_pages(environment.fleet.balancers, job.logs)
    final_usage = usage({}, snapshots(environment.fleet.balancers))
    footprint = footprint._replace(rss_mb=final_usage.rss_mb)
    result = evaluate(environment, job.scenario.name, seconds, footprint)
    violation_list = violations(
        result, is_planned=job.scenario.is_planned, may_refuse=job.scenario.may_refuse
    )
    return RunOutput(result, violation_list, _series(environment, load_started_at), lag)


async def _measure_idle(environment: Environment) -> Footprint:
    """Measure the resource usage of idle balancers, before the load starts."""
    balancers = environment.fleet.balancers
    before = snapshots(balancers)
    bytes_before = environment.relay.relayed_bytes
    await asyncio.sleep(IDLE_WINDOW_S)
    idle = usage(before, snapshots(balancers))
    sent = environment.relay.relayed_bytes - bytes_before
    rate = sent / IDLE_WINDOW_S / len(balancers) if environment.options.is_relayed else None
    return Footprint(rate, idle.cpu_share, idle.rss_mb)


def _series(environment: Environment, load_started_at: float) -> Series:
    return Series(
        events=[
            (round(event.at - load_started_at, 3), event.description)
            for event in environment.timeline.events
        ],
        requests=[
            (
                round(record.started_at - load_started_at, 3),
                round(record.latency_s * 1000, 2),
                record.outcome.value,
            )
            for record in environment.observations.requests
        ],
        flow_ends=[
            (round(flow.ended_at - load_started_at, 3), flow.end.value)
            for flow in environment.observations.flows
        ],
        upstream_work={
            name: [round(at - load_started_at, 3) for at in upstream.counts.new_work_times]
            for name, upstream in environment.upstreams.items()
        },
        evidence=describe_violations(environment, load_started_at),
    )


def write_output(output: RunOutput, path: Path) -> None:
    """Write the result as JSON, and the time series in a file beside it."""
    path.write_text(json.dumps(output.result, indent=1) + "\n")
    series_path(path).write_text(json.dumps(output.series) + "\n")


def series_path(path: Path) -> Path:
    """Return the path of the time series that belong to the result in ``path``.

    >>> series_path(Path("steady.json")).name
    'steady.series.json'
    """
    return path.with_suffix(".series.json")


def format_table(columns: dict[str, Result]) -> str:
    """Return a text table with one row per key and one column per result."""
    titles = list(columns)
    lines = [f"{'':26}" + "".join(f"{title:>16}" for title in titles)]
    for key in Result.__annotations__:
        cells = [columns[title][key] for title in titles]  # type: ignore[literal-required]
        if key == "latency_ms":
            for part in cells[0]:
                row = "".join(f"{cell[part]:>16}" for cell in cells)
                lines.append(f"latency_ms {part:15}{row}")
        else:
            lines.append(f"{key:26}" + "".join(f"{_format_cell(cell):>16}" for cell in cells))
    return "\n".join(lines)


def format_lag(lag: LoopLag) -> str:
    """Return one line with the event loop lag of the bench process."""
    p99_ms, max_ms = lag.p99_s * 1000, lag.max_s * 1000
    return f"event loop lag of the bench: {p99_ms:.0f} ms at p99, {max_ms:.0f} ms at most"


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return "-" if value is None else str(value)
