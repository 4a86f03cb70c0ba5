"""Decides which share of the new flows goes to upstreams in other data centres.

Each data centre serves its own callers first: its hosts know the whole load of its
upstreams. Others send flows there only while their own callers wait, and only as long as
these flows are answered sooner there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.peer_responses import PeerResponses
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

WAIT_SHARE = 0.1
"""Share of a route's objective that a request may wait here before flows go elsewhere."""

CROWDED_PER_SLOT = 2.0
"""Requests in flight per slot from which flows go elsewhere, whatever the response times."""

ROOM_SHARE = 0.2
"""Share of a route's objective within which another data centre has room."""

ROOM_RATIO = 0.8
"""Ratio of the response times there and here below which another data centre has room."""

MAX_SHARE = 0.5
"""Largest share of the new flows that goes elsewhere."""

MAX_STEP = 0.1
MIN_SHARE = 0.02
DECREASE = 0.5

CALM_PRESSURE = 0.5
"""Load or wait, relative to the bounds above, below which flows return."""

ADJUST_INTERVAL_S = 1.0
FORGET_AFTER_S = 5.0


class DataCentreLoad(NamedTuple):
    """The load of a service in the own data centre, from all its hosts.

    ``response_s`` is the mean response time, or None if there was no response lately.
    """

    in_flight: float
    slots: int
    response_s: Seconds | None

    @property
    def per_slot(self) -> float:
        """Requests in flight per slot."""
        return self.in_flight / self.slots

    @property
    def work_s(self) -> Seconds:
        """The response time without the time in queues, 0 if it is unknown."""
        return (self.response_s or 0.0) - self.wait_s

    @property
    def wait_s(self) -> Seconds:
        """The part of the response time that requests spend in queues (Little's law).

        >>> DataCentreLoad(8.0, 4, 0.1).wait_s
        0.05
        """
        if self.response_s is None or self.in_flight <= self.slots:
            return 0.0
        return self.response_s * (1.0 - self.slots / self.in_flight)


class _Share:
    """The share of one route's flows that goes elsewhere."""

    __slots__ = ("adjusted_at", "is_crowded", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.is_crowded = False
        self.adjusted_at = float("-inf")

    def adjust(self, factor: float, step: float, now: Seconds) -> None:
        """Change the share to ``factor`` times its value plus ``step``."""
        if now - self.adjusted_at >= FORGET_AFTER_S:
            self.value = 0.0
        self.adjusted_at = now
        value = min(self.value * factor + step, MAX_SHARE)
        self.value = value if value >= MIN_SHARE else 0.0


class Overflow:
    """Selects the data centres for new flows.

    The share is adjusted step by step, as reports are old and all hosts adjust at once.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        rng: random.Random,
        peers: PeerReports,
        responses: PeerResponses,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._peers = peers
        self._responses = responses
        self._shares: dict[tuple[ServiceName, Seconds], _Share] = {}

    def select(
        self, upstreams: Sequence[Upstream], objective_s: Seconds, now: Seconds
    ) -> Sequence[Upstream]:
        """Return the upstreams of one service, here or elsewhere, for a flow of a route."""
        here = self.here(upstreams)
        if not here or len(here) == len(upstreams):
            return upstreams
        service = here[0].entry.service
        share = self._shares.setdefault((service, objective_s), _Share())
        if now - share.adjusted_at >= ADJUST_INTERVAL_S:
            self._adjust(share, upstreams, objective_s, now)
        if self._rng.random() >= share.value:
            return here
        bound_s = _room_bound_s(self.load(here, now), objective_s)
        return self.elsewhere(upstreams, bound_s) or self.elsewhere(upstreams, float("inf"))

    def here(self, upstreams: Sequence[Upstream]) -> list[Upstream]:
        """Return the upstreams in the own data centre."""
        return [each for each in upstreams if each.entry.data_centre == self._data_centre]

    def load(self, here: Sequence[Upstream], now: Seconds) -> DataCentreLoad:
        """Return the load of upstreams of one service in the own data centre."""
        in_flight = sum(in_flight_from_all(each, self._peers, now) for each in here)
        slots = sum(upstream.entry.slots for upstream in here)
        response_s = self._responses.mean_s(here[0].entry.service, self._data_centre)
        return DataCentreLoad(in_flight, slots, response_s)

    def elsewhere(self, upstreams: Sequence[Upstream], bound_s: Seconds) -> list[Upstream]:
        """Return those in other data centres whose mean response time is below a bound.

        Data centres without a known response time are included.
        """
        has_room = {self._data_centre: False}
        found = []
        for upstream in upstreams:
            data_centre = upstream.entry.data_centre
            if data_centre not in has_room:
                response_s = self._responses.mean_s(upstream.entry.service, data_centre)
                has_room[data_centre] = response_s is None or response_s < bound_s
            if has_room[data_centre]:
                found.append(upstream)
        return found

    def _adjust(
        self, share: _Share, upstreams: Sequence[Upstream], objective_s: Seconds, now: Seconds
    ) -> None:
        """Increase the share while there is a wait here, and decrease it without one.

        In between the share stays, so that it settles. The wait must last, as it may be due
        to flows from elsewhere, which return when they find no room.
        """
        load = self.load(self.here(upstreams), now)
        was_crowded = share.is_crowded
        pressure = _pressure(load, objective_s)
        share.is_crowded = pressure >= 1.0
        if pressure < CALM_PRESSURE:
            share.adjust(DECREASE, 0.0, now)
        elif not (share.is_crowded and was_crowded):
            share.adjust(1.0, 0.0, now)
        elif self.elsewhere(upstreams, _room_bound_s(load, objective_s)):
            share.adjust(1.0, MAX_STEP * min(pressure - 1.0, 1.0), now)
        else:
            share.adjust(DECREASE, 0.0, now)


def _pressure(load: DataCentreLoad, objective_s: Seconds) -> float:
    """Return the load or the wait relative to its bound; an objective of 0 is unknown."""
    crowding = load.per_slot / CROWDED_PER_SLOT
    if objective_s <= 0.0:
        return crowding
    return max(crowding, load.wait_s / (WAIT_SHARE * objective_s))


def _room_bound_s(load: DataCentreLoad, objective_s: Seconds) -> Seconds:
    """Return the response time below which another data centre has room."""
    return max(ROOM_RATIO * (load.response_s or 0.0), ROOM_SHARE * objective_s)


def in_flight_from_all(upstream: Upstream, peers: PeerReports, now: Seconds) -> float:
    """Return an upstream's requests in flight from all hosts of the own data centre."""
    own = upstream.responses.under_way(now) + upstream.pending_opens
    return own + peers.load(upstream.name).in_flight
