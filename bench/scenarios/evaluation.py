"""Evaluates a run: computes its metrics and checks its invariants.

The only inputs are the observations of callers and upstreams, not the balancers' own data.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple, TypedDict

from banyanline.core.error_responses import UnknownReason
from bench.scenarios.observations import FlowEnd, FlowRecord, Outcome, RequestRecord
from bench.scenarios.timeline import Interval

if TYPE_CHECKING:
    from bench.scenarios.environment import Environment
    from bench.standins.upstream import Upstream

SETTLING_S = 3.0
"""How long the effects of a change may still be observed after it."""
REVERT_GAP_S = 1.0
FAULT_RECOVERY_S = 5.0
MIN_REQUESTS_FOR_IMBALANCE = 100
"""Services with fewer requests and flows in a run are excluded from the imbalance."""
MS_PER_S = 1000.0

ALWAYS_ZERO = (
    "misdelivered",
    "refused_but_ran",
    "doubled",
    "wrong_or_partial",
    "cold_overloads",
    "packets_after_out",
    "work_after_leaving",
    "config_reverts",
    "requests_cut_by_stop",
    "not_served",
)


class Latency(TypedDict):
    """Latency percentiles in milliseconds; ``refusal_p99`` is that of refused requests."""

    p50: float
    p95: float
    p99: float
    p999: float
    max: float
    refusal_p99: float


class Footprint(NamedTuple):
    """Resource usage of a balancer; the first two fields are measured without load.

    ``control_bytes_per_node_s`` is None if the traffic between balancers was not relayed.
    """

    control_bytes_per_node_s: float | None
    control_cpu_share: float
    rss_mb: float


class Result(TypedDict):
    """The metrics of one run."""

    scenario: str
    seed: int
    deployment: str
    seconds: float
    balancers: int
    upstreams: int
    flows_open: int
    flows_broken: int
    flows_given_up: int
    packets: int
    misdelivered: int
    requests: int
    answered: int
    within_patience: int
    refused_not_run: int
    refused_but_ran: int
    outcome_unknown: int
    doubled: int
    wrong_or_partial: int
    cold_overloads: int
    packets_after_out: int
    work_after_leaving: int
    config_reverts: int
    requests_cut_by_stop: int
    not_served: int
    """Requests outside of faults that were neither answered in time nor refused."""
    retry_amplification: float
    imbalance_max_over_mean: float
    latency_ms: Latency
    control_bytes_per_node_s: float | None
    control_cpu_share: float
    rss_mb: float


def violations(result: Result, *, is_planned: bool, may_refuse: bool = False) -> list[str]:
    """Return the violated invariants as ``key=count``.

    ``is_planned`` means that the run made planned changes only, which must not break any flow.
    Then requests may be refused only if the run offers more than the capacity (``may_refuse``).
    """
    found = [f"{key}={result[key]}" for key in ALWAYS_ZERO if result[key]]  # type: ignore[literal-required]
    if is_planned and result["flows_broken"]:
        found.append(f"flows_broken={result['flows_broken']}")
    if is_planned and not may_refuse and result["refused_not_run"]:
        found.append(f"refused_not_run={result['refused_not_run']}")
    return found


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the sorted ``values`` lie; 0.0 if empty.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    >>> percentile([], 0.5)
    0.0
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(fraction * len(values)))]


def evaluate(
    environment: Environment, scenario: str, seconds: float, footprint: Footprint
) -> Result:
    """Return the result of a finished run."""
    requests = environment.observations.requests
    flows = environment.observations.flows
    upstreams = list(environment.upstreams.values())
    counts = environment.fabric.counts
    refused = [r for r in requests if r.outcome is Outcome.REFUSED]
    broken = [flow for flow in flows if flow.end is not FlowEnd.CLOSED]
    allowed_breaks = [flow for flow in broken if is_break_allowed(environment, flow)]
    after_leaving = {u.spec.name: _work_after_leaving(environment, u) for u in upstreams}
    return Result(
        scenario=scenario,
        seed=environment.options.seed,
        deployment=environment.options.deployment.name,
        seconds=round(seconds, 1),
        balancers=len(environment.fleet.balancers),
        upstreams=len(upstreams),
        flows_open=len(flows),
        flows_broken=len(broken) - len(allowed_breaks),
        flows_given_up=len(allowed_breaks),
        packets=counts.to_balancers + counts.to_callers,
        misdelivered=environment.observations.misdelivered
        + sum(upstream.counts.misdelivered for upstream in upstreams),
        requests=len(requests),
        answered=sum(r.outcome is Outcome.ANSWERED for r in requests),
        within_patience=sum(r.is_in_time for r in requests),
        refused_not_run=len(refused),
        refused_but_ran=sum(environment.executions.was_executed(r.key) for r in refused),
        outcome_unknown=sum(r.outcome is Outcome.UNKNOWN for r in requests),
        doubled=len(environment.executions.duplicated_keys),
        wrong_or_partial=sum(r.outcome is Outcome.WRONG for r in requests),
        cold_overloads=sum(upstream.counts.cold_overloads for upstream in upstreams),
        packets_after_out=sum(_packets_after_out(environment, u) for u in upstreams),
        work_after_leaving=sum(len(late) for late in after_leaving.values()),
        config_reverts=sum(_config_reverts(environment, u) for u in upstreams),
        requests_cut_by_stop=sum(is_interrupted_by_stop(environment, r) for r in requests),
        not_served=sum(is_unserved(environment, r) for r in requests),
        retry_amplification=round(environment.executions.amplification, 4),
        imbalance_max_over_mean=round(_imbalance(environment, upstreams), 3),
        latency_ms=_latency(requests),
        control_bytes_per_node_s=footprint.control_bytes_per_node_s,
        control_cpu_share=round(footprint.control_cpu_share, 4),
        rss_mb=round(footprint.rss_mb, 1),
    )


def is_break_allowed(environment: Environment, flow: FlowRecord) -> bool:
    """Whether the flow was allowed to break.

    That is so if its upstream restarted, or its data centre was taken out of service, while
    the flow was open or up to ``SETTLING_S`` after its end.
    """
    upstream = environment.upstreams[flow.upstream]
    until = flow.ended_at + SETTLING_S
    if any(flow.opened_at <= at <= until for at in upstream.restarts):
        return True
    intervals = environment.timeline.out_of_service_intervals(upstream.spec.data_centre)
    return any(
        flow.opened_at <= start <= until and flow.ended_at <= end + SETTLING_S
        for start, end in intervals
    )


def _packets_after_out(environment: Environment, upstream: Upstream) -> int:
    intervals = environment.timeline.out_of_service_intervals(upstream.spec.data_centre)
    return sum(
        start + SETTLING_S < at < end
        for at in upstream.counts.packet_times
        for start, end in intervals
    )


def _work_after_leaving(environment: Environment, upstream: Upstream) -> list[float]:
    left_at = environment.timeline.leaving_at.get(upstream.spec.name)
    if left_at is None:
        return []
    return [at for at in upstream.counts.new_work_times if at > left_at + SETTLING_S]


def _config_reverts(environment: Environment, upstream: Upstream) -> int:
    """Return 1 if a balancer reverted to an old configuration, else 0.

    A revert shows as new work at an upstream that was published as leaving, or whose data
    centre was taken out of service, more than ``SETTLING_S`` before, after a pause of more
    than ``REVERT_GAP_S`` in its new work.
    """
    intervals = environment.timeline.out_of_service_intervals(upstream.spec.data_centre)
    left_at = environment.timeline.leaving_at.get(upstream.spec.name)
    if left_at is not None:
        intervals.append(Interval(left_at))
    for start, end in intervals:
        work = [at for at in upstream.counts.new_work_times if start + SETTLING_S < at < end]
        before = [at for at in upstream.counts.new_work_times if start < at <= start + SETTLING_S]
        last = before[-1] if before else start
        if any(at - last > REVERT_GAP_S for at in work):
            return 1
    return 0


def is_interrupted_by_stop(environment: Environment, request: RequestRecord) -> bool:
    """Whether a graceful stop of a balancer explains why a request has no certain outcome.

    A request that was also open during a fault, or within ``FAULT_RECOVERY_S`` after one, is
    not attributed to the stop.
    """
    if request.outcome not in (Outcome.NO_ANSWER, Outcome.UNKNOWN):
        return False
    if _is_disturbed(environment, request):
        return False
    return any(
        request.started_at <= stop.ended_at and request.finished_at >= stop.signalled_at
        for stop in environment.fleet.stops
    )


def is_unserved(environment: Environment, request: RequestRecord) -> bool:
    """Whether a request got neither a response in time nor a refusal, though it should have.

    That is not owed during a fault, within ``FAULT_RECOVERY_S`` after one, or if operators
    took the data centre of its upstream out of service.
    """
    if request.is_in_time or request.outcome is Outcome.REFUSED:
        return False
    is_given_up = request.detail.endswith(UnknownReason.DATA_CENTRE_OUT)
    return not is_given_up and not _is_disturbed(environment, request)


def _is_disturbed(environment: Environment, request: RequestRecord) -> bool:
    return any(
        request.started_at <= end + FAULT_RECOVERY_S and request.finished_at >= start
        for start, end in environment.timeline.fault_intervals
    )


def _imbalance(environment: Environment, upstreams: list[Upstream]) -> float:
    """Return the ratio of the maximum to the mean load of upstreams, for the worst service.

    Upstreams that were not in service during the whole run are excluded.
    """
    loads: dict[str, list[int]] = defaultdict(list)
    for upstream in upstreams:
        spec = upstream.spec
        is_whole = (
            not upstream.restarts
            and not upstream.was_added_cold
            and spec.name not in environment.timeline.leaving_at
            and not environment.timeline.out_of_service_intervals(spec.data_centre)
        )
        if is_whole:
            loads[spec.service].append(len(upstream.counts.new_work_times))
    return max(
        (
            max(load) / (sum(load) / len(load))
            for load in loads.values()
            if sum(load) >= MIN_REQUESTS_FOR_IMBALANCE
        ),
        default=1.0,
    )


def _latency(requests: list[RequestRecord]) -> Latency:
    answered = sorted(r.latency_s * MS_PER_S for r in requests if r.outcome is Outcome.ANSWERED)
    refused = sorted(r.latency_s * MS_PER_S for r in requests if r.outcome is Outcome.REFUSED)
    return Latency(
        p50=round(percentile(answered, 0.5), 2),
        p95=round(percentile(answered, 0.95), 2),
        p99=round(percentile(answered, 0.99), 2),
        p999=round(percentile(answered, 0.999), 2),
        max=round(percentile(answered, 1.0), 2),
        refusal_p99=round(percentile(refused, 0.99), 2),
    )
