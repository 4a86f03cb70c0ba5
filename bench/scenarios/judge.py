"""The judgement of a run, from what callers and upstreams saw."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple, TypedDict

from bench.scenarios.chronicle import Span
from bench.scenarios.observations import FlowEnd, FlowRecord, Outcome, RequestRecord

if TYPE_CHECKING:
    from bench.scenarios.world import World
    from bench.standins.upstream import Upstream

SETTLING_S = 3.0
"""How long after a change its effects may still be seen."""
REVERT_QUIET_S = 1.0
FAULT_AFTERMATH_S = 5.0
LEAST_WORK_FOR_IMBALANCE = 100
"""Services with less work in a run are left out of the imbalance."""
MILLISECONDS = 1000.0

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
)


class Latency(TypedDict):
    """Percentiles in milliseconds."""

    p50: float
    p95: float
    p99: float
    p999: float
    max: float
    refusal_p99: float


class Footprint(NamedTuple):
    """What a balancer uses; the first two while no caller is at work.

    The bytes are None when the balancers' traffic did not go through the relay.
    """

    control_bytes_per_node_s: float | None
    control_cpu_share: float
    rss_mb: float


class Result(TypedDict):
    """One line of the result table."""

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
    retry_amplification: float
    imbalance_max_over_mean: float
    latency_ms: Latency
    control_bytes_per_node_s: float | None
    control_cpu_share: float
    rss_mb: float


def violations(result: Result, *, is_planned: bool) -> list[str]:
    """Name what must always hold and did not.

    ``is_planned`` tells that the run held planned changes only, in which no flow may break.
    """
    found = [f"{key}={result[key]}" for key in ALWAYS_ZERO if result[key]]  # type: ignore[literal-required]
    if is_planned and result["flows_broken"]:
        found.append(f"flows_broken={result['flows_broken']}")
    return found


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the sorted ``values`` lie.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    >>> percentile([], 0.5)
    0.0
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def judge(world: World, scenario: str, seconds: float, footprint: Footprint) -> Result:
    """Return the result of a run that has ended."""
    requests = world.observations.requests
    flows = world.observations.flows
    upstreams = list(world.upstreams.values())
    counts = world.fabric.counts
    refused = [r for r in requests if r.outcome is Outcome.REFUSED]
    broken = [flow for flow in flows if flow.end is not FlowEnd.CLOSED]
    given_up = [flow for flow in broken if is_given_up(world, flow)]
    after_leaving = {u.spec.name: _late_work(world, u) for u in upstreams}
    return Result(
        scenario=scenario,
        seed=world.options.seed,
        deployment=world.options.deployment.name,
        seconds=round(seconds, 1),
        balancers=len(world.fleet.balancers),
        upstreams=len(upstreams),
        flows_open=len(flows),
        flows_broken=len(broken) - len(given_up),
        flows_given_up=len(given_up),
        packets=counts.to_balancers + counts.to_callers,
        misdelivered=world.observations.misdelivered
        + sum(upstream.counts.misdelivered for upstream in upstreams),
        requests=len(requests),
        answered=sum(r.outcome is Outcome.ANSWERED for r in requests),
        within_patience=sum(r.is_in_time for r in requests),
        refused_not_run=len(refused),
        refused_but_ran=sum(world.runs.has_run(r.key) for r in refused),
        outcome_unknown=sum(r.outcome is Outcome.UNKNOWN for r in requests),
        doubled=len(world.runs.doubled),
        wrong_or_partial=sum(r.outcome is Outcome.WRONG for r in requests),
        cold_overloads=sum(upstream.counts.cold_overloads for upstream in upstreams),
        packets_after_out=sum(_packets_after_out(world, u) for u in upstreams),
        work_after_leaving=sum(len(late) for late in after_leaving.values()),
        config_reverts=sum(_reverts(world, u) for u in upstreams),
        requests_cut_by_stop=sum(is_cut_by_stop(world, r) for r in requests),
        retry_amplification=round(world.runs.amplification, 4),
        imbalance_max_over_mean=round(_imbalance(world, upstreams), 3),
        latency_ms=_latency(requests),
        control_bytes_per_node_s=footprint.control_bytes_per_node_s,
        control_cpu_share=round(footprint.control_cpu_share, 4),
        rss_mb=round(footprint.rss_mb, 1),
    )


def is_given_up(world: World, flow: FlowRecord) -> bool:
    """Whether the flow's upstream went down or its data centre went out during it."""
    upstream = world.upstreams[flow.upstream]
    until = flow.ended_at + SETTLING_S
    if any(flow.opened_at <= at <= until for at in upstream.restarts):
        return True
    spans = world.chronicle.out_spans(upstream.spec.data_centre)
    return any(
        flow.opened_at <= began <= until and flow.ended_at <= ended + SETTLING_S
        for began, ended in spans
    )


def _packets_after_out(world: World, upstream: Upstream) -> int:
    spans = world.chronicle.out_spans(upstream.spec.data_centre)
    return sum(
        began + SETTLING_S < at < ended for at in upstream.counts.packets for began, ended in spans
    )


def _late_work(world: World, upstream: Upstream) -> list[float]:
    left_at = world.chronicle.leaving_at.get(upstream.spec.name)
    if left_at is None:
        return []
    return [at for at in upstream.counts.new_work if at > left_at + SETTLING_S]


def _reverts(world: World, upstream: Upstream) -> int:
    """Return 1 if work came again after a removal had been in force for a while."""
    spans = world.chronicle.out_spans(upstream.spec.data_centre)
    left_at = world.chronicle.leaving_at.get(upstream.spec.name)
    if left_at is not None:
        spans.append(Span(left_at))
    for began, ended in spans:
        work = [at for at in upstream.counts.new_work if began + SETTLING_S < at < ended]
        before = [at for at in upstream.counts.new_work if began < at <= began + SETTLING_S]
        last = before[-1] if before else began
        if any(at - last > REVERT_QUIET_S for at in work):
            return 1
    return 0


def is_cut_by_stop(world: World, request: RequestRecord) -> bool:
    """Whether a request got no certain outcome and was open while a balancer stopped.

    One that was also open during a fault, or shortly after it, is not laid to the stop.
    """
    if request.outcome not in (Outcome.NO_ANSWER, Outcome.UNKNOWN):
        return False
    if any(
        request.started_at <= ended + FAULT_AFTERMATH_S and request.finished_at >= began
        for began, ended in world.chronicle.faults
    ):
        return False
    return any(
        request.started_at <= stop.ended_at and request.finished_at >= stop.signalled_at
        for stop in world.fleet.stops
    )


def _imbalance(world: World, upstreams: list[Upstream]) -> float:
    """Return the largest load over the mean, of the worst service.

    Upstreams that were not in service through the whole run are left out.
    """
    loads: dict[str, list[int]] = defaultdict(list)
    for upstream in upstreams:
        spec = upstream.spec
        is_whole = (
            not upstream.restarts
            and not upstream.is_late_comer
            and spec.name not in world.chronicle.leaving_at
            and not world.chronicle.out_spans(spec.data_centre)
        )
        if is_whole:
            loads[spec.service].append(len(upstream.counts.new_work))
    return max(
        (
            max(load) / (sum(load) / len(load))
            for load in loads.values()
            if sum(load) >= LEAST_WORK_FOR_IMBALANCE
        ),
        default=1.0,
    )


def _latency(requests: list[RequestRecord]) -> Latency:
    answered = sorted(r.latency_s * MILLISECONDS for r in requests if r.outcome is Outcome.ANSWERED)
    refused = sorted(r.latency_s * MILLISECONDS for r in requests if r.outcome is Outcome.REFUSED)
    return Latency(
        p50=round(percentile(answered, 0.5), 2),
        p95=round(percentile(answered, 0.95), 2),
        p99=round(percentile(answered, 0.99), 2),
        p999=round(percentile(answered, 0.999), 2),
        max=round(percentile(answered, 1.0), 2),
        refusal_p99=round(percentile(refused, 0.99), 2),
    )
