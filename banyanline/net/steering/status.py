"""JSON content of the admin pages of a host on the operators' platform.

This module is imported on the first request, as most hosts never receive one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NotRequired, TypedDict

from banyanline.core.steering.candidates import find_candidates
from banyanline.core.steering.peer_reports import NO_LOAD, PeerLoad
from banyanline.core.steering.report import report_flow, report_upstream
from banyanline.net.admin import parse_endpoint
from banyanline.platform.entries import CONFIGURATION_KEY
from banyanline.platform.packets import describe_endpoint, service_address

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyanline.core.steering.candidates import Candidate
    from banyanline.core.steering.model import RoutingTable
    from banyanline.core.steering.opening_window import OpeningWindow
    from banyanline.core.steering.report import FlowReport, UpstreamReport
    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Endpoint, Seconds


class UpstreamRow(TypedDict):
    """State of one upstream as seen by this host.

    Ages are in seconds, None if the event never happened. The totals are those of all hosts
    of the data centre that are heard, this one included.
    """

    upstream: str
    service: str
    data_centre: str
    standing: str
    open_flows: int
    under_way: int
    expected_ms: float | None
    response_age_s: float | None
    retransmission_age_s: float | None
    failed_check_age_s: float | None
    revision: int
    total_in_flight: NotRequired[float]
    total_open_flows: NotRequired[int]
    speed: NotRequired[float]
    """Speed relative to the upstreams of the same service and data centre; 1 if unknown."""
    window: NotRequired[float | None]
    """Openings per round trip from all hosts together; None if they are not paced."""


class DefectRow(TypedDict):
    """An element of the platform's data that this host cannot read, and its effect."""

    key: str
    path: str
    value: str
    effect: str


class SteeringStatus(TypedDict):
    """Content of ``/status``."""

    host: str
    data_centre: str
    state: str
    configuration_version: int
    platform_revision: int
    store_age_s: float | None
    routes: int
    flows: int
    data_centres_out: list[str]
    upstreams: list[UpstreamRow]
    unreadable: NotRequired[list[DefectRow]]
    """Not present on pages of earlier versions."""
    peers: NotRequired[int]
    """Number of other hosts whose reports are in use; not present on pages of earlier versions."""
    resets: dict[str, int]
    drops: dict[str, int]
    checks: dict[str, int]


class CandidateRow(TypedDict):
    """An upstream of a route, and why a new flow would not go there; None if it may."""

    upstream: str
    data_centre: str
    standing: str
    excluded: str | None
    total_in_flight: float
    total_open_flows: int
    speed: float
    window: float | None


class FlowExplanation(TypedDict):
    """Content of ``/why``: the state of a flow, and the upstream a new flow would get."""

    caller: str
    service: str
    route: str | None
    requests: str | None
    flow: str
    upstream: str | None
    tried: str | None
    standing: str | None
    seen_age_s: float | None
    new_flow: str
    candidates: NotRequired[list[CandidateRow]]
    """Not present on pages of earlier versions."""


def upstream_row(
    report: UpstreamReport,
    window: OpeningWindow | None = None,
    peers: PeerLoad = NO_LOAD,
    speed: float = 1.0,
) -> UpstreamRow:
    """Convert a report on an upstream to a row of the page; ``peers`` is other hosts' load."""
    upstream = report.upstream
    expected_s = report.expected_s
    return UpstreamRow(
        upstream=upstream.name,
        service=upstream.entry.service,
        data_centre=upstream.entry.data_centre,
        standing=report.availability.value,
        open_flows=upstream.open_flows,
        under_way=report.under_way,
        expected_ms=None if expected_s is None else round(expected_s * 1000.0, 1),
        response_age_s=report.response_age_s,
        retransmission_age_s=report.retransmission_age_s,
        failed_check_age_s=report.failed_check_age_s,
        revision=upstream.revision,
        total_in_flight=round(report.under_way + peers.in_flight, 3),
        total_open_flows=upstream.open_flows + peers.open_flows,
        speed=round(speed, 2),
        window=None if window is None else window.size,
    )


def steering_status(
    steering: Steering,
    *,
    host: str,
    data_centre: str,
    state: str,
    store_age_s: Seconds | None,
    unusable_items: Mapping[str, str],
    now: Seconds,
) -> SteeringStatus:
    """Return the state of a host for ``/status``."""
    catalog = steering.catalog
    counters = steering.counters
    upstreams = sorted(catalog.upstreams, key=lambda each: (each.entry.service, each.name))
    return SteeringStatus(
        host=host,
        data_centre=data_centre,
        state=state,
        configuration_version=catalog.version,
        platform_revision=catalog.revision,
        store_age_s=None if store_age_s is None else round(store_age_s, 3),
        routes=len(catalog.table.routes) if catalog.table else 0,
        flows=len(steering.flows),
        data_centres_out=sorted(catalog.data_centres_out),
        upstreams=[
            upstream_row(
                report_upstream(catalog, each, now),
                steering.pace.windows.get(each),
                steering.peers.load(each.name),
                steering.peer_placement.responses.speed(each.name),
            )
            for each in upstreams
        ],
        unreadable=_defect_rows(catalog.table, unusable_items),
        peers=len(steering.peers.hosts),
        resets={reason.value: count for reason, count in counters.resets.items()},
        drops={reason.value: count for reason, count in counters.drops.items()},
        checks={result.value: count for result, count in counters.checks.items()},
    )


def _defect_rows(table: RoutingTable | None, unusable_items: Mapping[str, str]) -> list[DefectRow]:
    rows = [
        DefectRow(key=key, path="", value="", effect=why) for key, why in unusable_items.items()
    ]
    for defect in table.defects if table else ():
        rows.append(
            DefectRow(
                key=CONFIGURATION_KEY, path=defect.path, value=defect.value, effect=defect.effect
            )
        )
    return rows


def explain_flow(
    steering: Steering, caller: Endpoint, service: str, now: Seconds
) -> FlowExplanation | None:
    """Return the state of the flow from ``caller`` to ``service``, an ``ip:port``.

    Returns None for an address that a packet cannot carry.
    """
    endpoint = parse_endpoint(service)
    if endpoint is None:
        return None
    try:
        source = service_address(*caller)
        address = service_address(*endpoint)
    except (OSError, ValueError):
        return None
    report = report_flow(steering, source + address, address, now)
    return _explanation(steering, report, describe_endpoint(source), service, now)


def _explanation(
    steering: Steering, report: FlowReport, caller: str, service: str, now: Seconds
) -> FlowExplanation:
    flow, route = report.flow, report.route
    standing = None if flow is None else steering.catalog.availability(flow.upstream, now).value
    return FlowExplanation(
        caller=caller,
        service=service,
        route=route.name if route else None,
        requests=route.kind.value if route else None,
        flow=_flow_state(report),
        upstream=flow.upstream.name if flow else None,
        tried=", ".join(each.name for each in flow.tried) if flow else None,
        standing=standing,
        seen_age_s=report.seen_age_s,
        new_flow=report.next_upstream.name
        if report.next_upstream
        else f"refused: {report.refusal}",
        candidates=[_candidate_row(each) for each in find_candidates(steering, route, now)]
        if route
        else [],
    )


def _candidate_row(candidate: Candidate) -> CandidateRow:
    return CandidateRow(
        upstream=candidate.upstream.name,
        data_centre=candidate.upstream.entry.data_centre,
        standing=candidate.availability.value,
        excluded=candidate.exclusion.value if candidate.exclusion else None,
        total_in_flight=round(candidate.in_flight, 3),
        total_open_flows=candidate.open_flows,
        speed=round(candidate.speed, 2),
        window=candidate.window,
    )


def _flow_state(report: FlowReport) -> str:
    if report.flow is None:
        return "not seen here"
    return "open" if report.flow.is_open else "opening"
