"""Explains, for each upstream of a route, why a new flow would or would not go there now.

Nothing is sent, recorded or drawn at random: the explanation reads what the decisions of
:class:`~banyanline.core.steering.steering.Steering` read, and changes none of it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.placement import availability_rank

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from banyanline.core.steering.model import Route
    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream, UpstreamAvailability
    from banyanline.core.types import Seconds


class Exclusion(StrEnum):
    """Why a new flow would not go to an upstream."""

    LEAVING = "leaving"
    DATA_CENTRE_OUT = "data_centre_out"
    SHARED_COOKIE = "shared_cookie"
    """Another upstream, created earlier, has the same cookie."""
    COLD_LIMIT = "cold_limit"
    LESS_AVAILABLE = "less_available"
    """Others have not failed a check, are not cold, or are not suspect."""


class Candidate(NamedTuple):
    """An upstream of a route, as it would be considered for a new flow.

    ``in_flight`` and ``open_flows`` are the load from all hosts that report, this one included.
    ``window`` is the number of openings per round trip if they are paced, else None.
    """

    upstream: Upstream
    availability: UpstreamAvailability
    exclusion: Exclusion | None
    in_flight: float
    open_flows: int
    speed: float
    window: float | None


def find_candidates(steering: Steering, route: Route, now: Seconds) -> list[Candidate]:
    """Return all upstreams of a route's services, those that a flow may go to first."""
    candidates = [
        candidate
        for share in route.shares
        if share.weight > 0
        for candidate in _of_service(
            steering, steering.catalog.upstreams.of_service(share.service), now
        )
    ]
    return sorted(
        candidates,
        key=lambda each: (each.exclusion is not None, each.in_flight, each.upstream.name),
    )


def _of_service(
    steering: Steering, upstreams: Sequence[Upstream], now: Seconds
) -> Iterable[Candidate]:
    excluded = {each: _exclusion(steering, each, now) for each in upstreams}
    windows = steering.pace.windows
    ranks = {
        each: availability_rank(each, now, windows)
        for each, exclusion in excluded.items()
        if exclusion is None
    }
    best = min(ranks.values(), default=None)
    for upstream in upstreams:
        exclusion = excluded[upstream]
        if exclusion is None and ranks[upstream] != best:
            exclusion = Exclusion.LESS_AVAILABLE
        yield _candidate(steering, upstream, exclusion, now)


def _exclusion(steering: Steering, upstream: Upstream, now: Seconds) -> Exclusion | None:
    """Return why an upstream cannot be considered, whatever the state of the others."""
    catalog = steering.catalog
    if not upstream.accepts_flows:
        return Exclusion.LEAVING
    if upstream.entry.data_centre in catalog.data_centres_out:
        return Exclusion.DATA_CENTRE_OUT
    if not catalog.upstreams.owns_cookie(upstream):
        return Exclusion.SHARED_COOKIE
    next_opening_at = upstream.next_cold_opening_at
    is_limited = upstream.is_cold(now) and catalog.cold_rate(upstream.entry.service) > 0.0
    if is_limited and next_opening_at is not None and now < next_opening_at:
        return Exclusion.COLD_LIMIT
    return None


def _candidate(
    steering: Steering, upstream: Upstream, exclusion: Exclusion | None, now: Seconds
) -> Candidate:
    peers = steering.peers.load(upstream.name)
    window = steering.pace.windows.get(upstream)
    return Candidate(
        upstream,
        steering.catalog.availability(upstream, now),
        exclusion,
        upstream.responses.under_way(now) + upstream.pending_opens + peers.in_flight,
        upstream.open_flows + peers.open_flows,
        steering.peer_placement.responses.speed(upstream.name),
        None if window is None else window.size,
    )
