"""Details of each violation of a run, for debugging."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.scenarios.evaluation import (
    is_break_allowed,
    is_interrupted_by_stop,
    is_unserved,
)
from bench.scenarios.observations import FlowEnd, Outcome

if TYPE_CHECKING:
    from bench.scenarios.environment import Environment

MAX_EVIDENCE_LINES = 200


def describe_violations(environment: Environment, start: float) -> list[str]:
    """Return one line per violation or broken flow; times are in seconds since ``start``."""
    lines = [
        f"doubled {key}: {_executions(environment, key, start)}"
        for key in environment.executions.duplicated_keys
    ]
    for flow in environment.observations.flows:
        if flow.end is not FlowEnd.CLOSED and not is_break_allowed(environment, flow):
            when = f"{flow.opened_at - start:.2f} to {flow.ended_at - start:.2f}"
            lines.append(f"broken flow: {flow.key} at {flow.upstream}, {when}, {flow.end.value}")
    for request in environment.observations.requests:
        when = f"{request.started_at - start:.2f} to {request.finished_at - start:.2f}"
        description = f"{request.kind} {request.key} of {request.service}, {when}, {request.detail}"
        if request.outcome is Outcome.REFUSED and environment.executions.was_executed(request.key):
            lines.append(
                f"refused but ran: {description}; {_executions(environment, request.key, start)}"
            )
        if request.outcome is Outcome.WRONG:
            lines.append(f"wrong: {description}")
        if is_interrupted_by_stop(environment, request):
            lines.append(f"cut by a stop: {description}, {request.outcome.value}")
        elif is_unserved(environment, request) and request.outcome is not Outcome.WRONG:
            lines.append(f"not served: {description}, {request.outcome.value}")
    return lines[:MAX_EVIDENCE_LINES]


def _executions(environment: Environment, key: str, start: float) -> str:
    return ", ".join(
        f"{execution.upstream} at {execution.at - start:.2f}"
        for execution in environment.executions.executions(key)
    )
