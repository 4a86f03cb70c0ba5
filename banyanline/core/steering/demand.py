"""Tracks the load of each service in this data centre, and the importance of its new flows."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.model import RouteKind
from banyanline.core.steering.overflow import total_in_flight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.steering.model import Route
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

LOAD_AVERAGE_WEIGHT = 0.3
"""Weight of the latest value, about one a second, in the moving averages of load and slots."""

LOSS_SLOTS_RATIO = 0.8
"""Ratio of slots to their moving average below which upstreams count as lost."""

OPENINGS_TIME_CONSTANT_S = 5.0
"""Time constant of the exponential decay of opening packets' weights."""

MIN_OPENINGS_SHARE = 0.05
"""An importance with a smaller share of the opening packets gets no upstreams reserved."""

_KINDS = (RouteKind.UPLOAD, RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)
"""Order of routes of one priority: requests that can't be repeated first, downloads last."""


class Importance(NamedTuple):
    """The importance of a route's flows; the lowest value is the most important."""

    priority: int
    kind: int


def importance_of(route: Route) -> Importance:
    """Return the importance of a route, by its priority and then its kind."""
    return Importance(route.priority, _KINDS.index(route.kind))


class _LoadAverage(NamedTuple):
    """Moving averages of a service's requests in flight and slots in this data centre."""

    in_flight: float = 0.0
    slots: float = 0.0

    def updated(self, latest: _LoadAverage) -> _LoadAverage:
        return _LoadAverage(
            self.in_flight + LOAD_AVERAGE_WEIGHT * (latest.in_flight - self.in_flight),
            self.slots + LOAD_AVERAGE_WEIGHT * (latest.slots - self.slots),
        )


class TopDemand(NamedTuple):
    """The most important flows of a service, and their share of its new flows."""

    importance: Importance
    share: float


class _OpeningCounts:
    """Counts of one service's opening packets by importance, with exponential decay."""

    __slots__ = ("counts", "updated_at")

    def __init__(self) -> None:
        self.counts: dict[Importance, float] = {}
        self.updated_at: Seconds = 0.0

    def add(self, importance: Importance, now: Seconds) -> None:
        weight = math.exp((self.updated_at - now) / OPENINGS_TIME_CONSTANT_S)
        self.updated_at = now
        self.counts = {each: count * weight for each, count in self.counts.items()}
        self.counts[importance] = self.counts.get(importance, 0.0) + 1.0


class Demand:
    """The average load of each service, and the importance of its new flows."""

    def __init__(self, data_centre: DataCentreName, peers: PeerReports) -> None:
        self._data_centre = data_centre
        self._peers = peers
        self._averages: dict[ServiceName, _LoadAverage] = {}
        self._openings: defaultdict[ServiceName, _OpeningCounts] = defaultdict(_OpeningCounts)

    def in_flight_before_loss(self, service: ServiceName, slots: int) -> float:
        """Return the average requests in flight if upstreams were lost lately, otherwise 0.

        ``slots`` is the number of slots available now in this data centre. The average of
        slots follows them, so that a loss counts for a few seconds only.
        """
        known = self._averages.get(service)
        return known.in_flight if known and slots < LOSS_SLOTS_RATIO * known.slots else 0.0

    def top(self, service: ServiceName) -> TopDemand | None:
        """Return the most important of several kinds of flows, or None if there is only one."""
        counts = self._openings[service].counts
        total = sum(counts.values())
        demands = sorted(
            TopDemand(each, count / total)
            for each, count in counts.items()
            if count >= MIN_OPENINGS_SHARE * total
        )
        return demands[0] if len(demands) > 1 else None

    def on_opening(self, route: Route, now: Seconds) -> None:
        """Record an opening packet."""
        importance = importance_of(route)
        for share in route.shares:
            if share.weight > 0:
                self._openings[share.service].add(importance, now)

    def update(self, upstreams: Iterable[Upstream], now: Seconds) -> None:
        """Add the present load to the averages; call this about once a second."""
        totals: defaultdict[ServiceName, _LoadAverage] = defaultdict(_LoadAverage)
        for upstream in upstreams:
            if upstream.entry.data_centre == self._data_centre:
                total = totals[upstream.entry.service]
                totals[upstream.entry.service] = _LoadAverage(
                    total.in_flight + total_in_flight(upstream, self._peers, now),
                    total.slots + upstream.entry.slots * upstream.accepts_flows,
                )
        self._averages = {
            service: self._averages.get(service, total).updated(total)
            for service, total in totals.items()
        }
