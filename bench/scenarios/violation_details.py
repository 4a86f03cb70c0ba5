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
    from bench.scenarios.observations import RequestRecord

MAX_EVIDENCE_LINES = 200


def describe_violations(environment: Environment, start: float) -> list[str]:
    """Return one line per violation or broken flow; times are in seconds since ``start``.

    Broken promises come first, as there may be many requests that were only not served.
    """
    lines = [
        f"doubled {key}: {_executions(environment, key, start)}"
        for key in environment.executions.duplicated_keys
    ]
    unserved = []
    for request in environment.observations.requests:
        description = _describe(request, start)
        if request.outcome is Outcome.REFUSED and environment.executions.was_executed(request.key):
            executions = _executions(environment, request.key, start)
            lines.append(f"refused but ran: {description}; {executions}")
        if request.outcome is Outcome.WRONG:
            lines.append(f"wrong: {description}")
        elif is_interrupted_by_stop(environment, request):
            unserved.append(f"cut by a stop: {description}, {request.outcome.value}")
        elif is_unserved(environment, request):
            unserved.append(f"not served: {description}, {request.outcome.value}")
    for flow in environment.observations.flows:
        if flow.end is not FlowEnd.CLOSED and not is_break_allowed(environment, flow):
            when = f"{flow.opened_at - start:.2f} to {flow.ended_at - start:.2f}"
            lines.append(f"broken flow: {flow.key} at {flow.upstream}, {when}, {flow.end.value}")
    return (lines + unserved)[:MAX_EVIDENCE_LINES]


def _describe(request: RequestRecord, start: float) -> str:
    when = f"{request.started_at - start:.2f} to {request.finished_at - start:.2f}"
    return f"{request.kind} {request.key} of {request.service}, {when}, {request.detail}"


def _executions(environment: Environment, key: str, start: float) -> str:
    return ", ".join(
        f"{execution.upstream} at {execution.at - start:.2f}"
        for execution in environment.executions.executions(key)
    )
