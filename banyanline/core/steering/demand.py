"""Tracks how much each service is used in the own data centre, and by which routes."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.model import RouteKind
from banyanline.core.steering.overflow import in_flight_from_all

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.steering.model import Route
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

LATEST_WEIGHT = 0.3
"""Weight of the latest requests in flight and slots in their moving averages."""

LOST_RATIO = 0.8
"""Slots relative to the usual number below which upstreams were lost."""

OPENINGS_MEMORY_S = 5.0
"""Time in which the weight of an opening packet falls to a third."""

MIN_DEMAND_SHARE = 0.05
"""Smallest share of the new flows that counts as a demand of its own."""

_KINDS = (RouteKind.UPLOAD, RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
"""Kinds of the same priority: requests that cannot be repeated first, large responses last."""


class Importance(NamedTuple):
    """The importance of a route's flows; the lowest comes first."""

    priority: int
    kind: int


def importance_of(route: Route) -> Importance:
    """Return the importance of a route, by its priority and then its kind."""
    return Importance(route.priority, _KINDS.index(route.kind))


class _Usual(NamedTuple):
    """Moving averages of the requests in flight at a service, and of its slots."""

    in_flight: float = 0.0
    slots: float = 0.0

    def moved_to(self, latest: _Usual) -> _Usual:
        return _Usual(
            self.in_flight + LATEST_WEIGHT * (latest.in_flight - self.in_flight),
            self.slots + LATEST_WEIGHT * (latest.slots - self.slots),
        )


class TopDemand(NamedTuple):
    """The most important flows of a service, and their share of its new flows."""

    importance: Importance
    share: float


class _Openings:
    """Opening packets of one service by importance; old ones lose their weight."""

    __slots__ = ("counts", "updated_at")

    def __init__(self) -> None:
        self.counts: dict[Importance, float] = {}
        self.updated_at: Seconds = 0.0

    def add(self, importance: Importance, now: Seconds) -> None:
        weight = math.exp((self.updated_at - now) / OPENINGS_MEMORY_S)
        self.updated_at = now
        self.counts = {each: count * weight for each, count in self.counts.items()}
        self.counts[importance] = self.counts.get(importance, 0.0) + 1.0


class Demand:
    """The requests in flight of each service, and the importance of its new flows."""

    def __init__(self, data_centre: DataCentreName, peers: PeerReports) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._usual: dict[ServiceName, _Usual] = {}
        self._openings: defaultdict[ServiceName, _Openings] = defaultdict(_Openings)

    def in_flight_before_loss(self, service: ServiceName, slots: int) -> float:
        """Return the requests in flight before upstreams were lost, 0 if ``slots`` is as usual.

        Both are of the own data centre. The loss is remembered for some seconds.
        """
        known = self._usual.get(service)
        return known.in_flight if known and slots < LOST_RATIO * known.slots else 0.0

    def top(self, service: ServiceName) -> TopDemand | None:
        """Return the most important of several demands, or None if there is only one."""
        counts = self._openings[service].counts
        total = sum(counts.values())
        found = sorted(
            TopDemand(each, count / total)
            for each, count in counts.items()
            if count >= MIN_DEMAND_SHARE * total
        )
        return found[0] if len(found) > 1 else None

    def on_opening(self, route: Route, now: Seconds) -> None:
        """Record an opening packet."""
        importance = importance_of(route)
        for share in route.shares:
            if share.weight > 0:
                self._openings[share.service].add(importance, now)

    def update(self, upstreams: Iterable[Upstream], now: Seconds) -> None:
        """Add the present requests in flight; call this about once a second."""
        totals: defaultdict[ServiceName, _Usual] = defaultdict(_Usual)
        for upstream in upstreams:
            if upstream.entry.data_centre == self._data_centre:
                total = totals[upstream.entry.service]
                totals[upstream.entry.service] = _Usual(
                    total.in_flight + in_flight_from_all(upstream, self._peers, now),
                    total.slots + upstream.entry.slots * upstream.accepts_flows,
                )
        self._usual = {
            service: self._usual.get(service, total).moved_to(total)
            for service, total in totals.items()
        }
