"""The single cases behind a judgement, to find their causes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.scenarios.judge import is_cut_by_stop, is_given_up
from bench.scenarios.observations import FlowEnd, Outcome

if TYPE_CHECKING:
    from bench.scenarios.world import World

MOST_LINES = 200


def collect(world: World, began: float) -> list[str]:
    """Return a line for each breach and broken flow; times are seconds since ``began``."""
    lines = [f"doubled {key}: {_runs(world, key, began)}" for key in world.runs.doubled]
    for flow in world.observations.flows:
        if flow.end is not FlowEnd.CLOSED and not is_given_up(world, flow):
            when = f"{flow.opened_at - began:.2f} to {flow.ended_at - began:.2f}"
            lines.append(f"broken flow: {flow.key} at {flow.upstream}, {when}, {flow.end.value}")
    for request in world.observations.requests:
        when = f"{request.started_at - began:.2f} to {request.finished_at - began:.2f}"
        what = f"{request.kind} {request.key} of {request.service}, {when}, {request.detail}"
        if request.outcome is Outcome.REFUSED and world.runs.has_run(request.key):
            lines.append(f"refused but ran: {what}; {_runs(world, request.key, began)}")
        if request.outcome is Outcome.WRONG:
            lines.append(f"wrong: {what}")
        if is_cut_by_stop(world, request):
            lines.append(f"cut by a stop: {what}, {request.outcome.value}")
    return lines[:MOST_LINES]


def _runs(world: World, key: str, began: float) -> str:
    return ", ".join(f"{run.upstream} at {run.at - began:.2f}" for run in world.runs.runs(key))
