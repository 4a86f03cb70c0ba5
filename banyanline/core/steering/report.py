"""Reports on upstreams and flows as one host sees them, with the evidence and its age."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.outcomes import ResetReason

if TYPE_CHECKING:
    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.flows import Flow
    from banyanline.core.steering.model import Route
    from banyanline.core.steering.packet import FlowId, ServiceAddress
    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream, UpstreamAvailability
    from banyanline.core.types import Seconds


class UpstreamReport(NamedTuple):
    """The state of one upstream as this host sees it; an unknown time is None."""

    upstream: Upstream
    availability: UpstreamAvailability
    under_way: int
    expected_s: Seconds | None
    response_age_s: Seconds | None
    retransmission_age_s: Seconds | None
    failed_check_age_s: Seconds | None


class FlowReport(NamedTuple):
    """The state of one flow, and the upstream that a new flow to the same address would get.

    ``refusal`` is the reason why a new flow would be refused, or None.
    """

    route: Route | None
    flow: Flow | None
    seen_age_s: Seconds | None
    next_upstream: Upstream | None
    refusal: ResetReason | None


def report_upstream(catalog: Catalog, upstream: Upstream, now: Seconds) -> UpstreamReport:
    """Return the state of an upstream as this host sees it, with the evidence."""
    detection = upstream.failure_detector.report(now)
    return UpstreamReport(
        upstream,
        catalog.availability(upstream, now),
        upstream.responses.under_way(now),
        upstream.responses.expected_s(now),
        _finite_or_none(detection.response_age_s),
        _finite_or_none(detection.retransmission_age_s),
        _finite_or_none(detection.failed_check_age_s),
    )


def report_flow(
    steering: Steering, flow_id: FlowId, address: ServiceAddress, now: Seconds
) -> FlowReport:
    """Return the state of a flow, without changing it.

    The choice for a new flow may begin a window of a paced upstream, or draw from the random
    source, as a choice for an opening packet does.
    """
    flow = steering.flows.get(flow_id)
    route = steering.catalog.route(address)
    seen_age_s = None if flow is None else round(now - flow.seen_at, 3)
    if route is None:
        return FlowReport(None, flow, seen_age_s, None, ResetReason.NO_ROUTE)
    chosen = steering.choose(route, (), now)
    refusal = None if chosen is not None else steering.refusal_reason(route)
    return FlowReport(route, flow, seen_age_s, chosen, refusal)


def _finite_or_none(age_s: Seconds) -> Seconds | None:
    return age_s if math.isfinite(age_s) else None
