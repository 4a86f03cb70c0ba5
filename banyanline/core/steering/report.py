"""What a host believes of upstreams and flows, with evidence and age, as typed rows."""

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
    from banyanline.core.steering.upstreams import Upstream, UpstreamStanding
    from banyanline.core.types import Seconds


class UpstreamReport(NamedTuple):
    """How this host regards one upstream; a time that is not known is None."""

    upstream: Upstream
    standing: UpstreamStanding
    under_way: int
    expected_s: Seconds | None
    sign_age_s: Seconds | None
    doubt_age_s: Seconds | None
    failed_check_age_s: Seconds | None


class FlowReport(NamedTuple):
    """What this host knows of one flow, and where a new one to the same address would go.

    ``refusal`` says why a new flow would be refused, if it would.
    """

    route: Route | None
    flow: Flow | None
    seen_age_s: Seconds | None
    next_upstream: Upstream | None
    refusal: ResetReason | None


def report_upstream(catalog: Catalog, upstream: Upstream, now: Seconds) -> UpstreamReport:
    """Return how a host regards an upstream, and from which evidence."""
    silence = upstream.silence.report(now)
    return UpstreamReport(
        upstream,
        catalog.standing(upstream, now),
        upstream.responses.under_way(now),
        upstream.responses.expected_s(now),
        _known(silence.sign_age_s),
        _known(silence.doubt_age_s),
        _known(silence.failed_check_age_s),
    )


def report_flow(
    steering: Steering, flow_id: FlowId, address: ServiceAddress, now: Seconds
) -> FlowReport:
    """Return what a host knows of a flow; nothing is changed by asking."""
    flow = steering.flows.get(flow_id)
    route = steering.catalog.route(address)
    seen_age_s = None if flow is None else round(now - flow.seen_at, 3)
    if route is None:
        return FlowReport(None, flow, seen_age_s, None, ResetReason.NO_ROUTE)
    chosen = steering.choose(route, (), now)
    refusal = None if chosen is not None else steering.refusal(route)
    return FlowReport(route, flow, seen_age_s, chosen, refusal)


def _known(age_s: Seconds) -> Seconds | None:
    return age_s if math.isfinite(age_s) else None
