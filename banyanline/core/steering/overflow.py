"""Decides which share of new flows overflows to upstreams in other data centres.

Local upstreams come first, as a host knows their whole load from the reports of the other
hosts. Flows overflow only while requests queue at local upstreams, and only to data centres
that respond faster.
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

OVERFLOW_WAIT_SHARE = 0.1
"""Share of a route's objective that requests may spend in local queues before flows overflow."""

OVERFLOW_IN_FLIGHT_PER_SLOT = 2.0
"""Local requests in flight per slot from which flows overflow, whatever the response times."""

REMOTE_RESPONSE_SHARE = 0.2
"""A data centre that responds within this share of a route's objective may take overflow."""

REMOTE_RESPONSE_RATIO = 0.8
"""A data centre whose response time is below this ratio to the local one may take overflow."""

MAX_OVERFLOW_SHARE = 0.5
"""Largest share of new flows that overflows."""

MIN_OVERFLOW_SHARE = 0.02
"""Smaller shares become 0, so that a share that is halved again and again ends."""

MAX_SHARE_INCREASE = 0.1
"""Largest increase of the share in one adjustment."""

SHARE_DECREASE_FACTOR = 0.5
"""Factor of the share in one adjustment while it decreases."""

DECREASE_BELOW_PRESSURE = 0.5
"""Pressure below which the share decreases; between this and 1 it stays."""

ADJUST_INTERVAL_S = 1.0
"""Minimum time between adjustments; reports arrive about once a second."""

SHARE_LIFETIME_S = 5.0
"""A share that was not adjusted for this long is out of date and starts again at 0."""


class DataCentreLoad(NamedTuple):
    """The load of a service's local upstreams, from all hosts of the data centre.

    ``response_s`` is the mean response time, or None without recent responses.
    """

    in_flight: float
    slots: int
    response_s: Seconds | None

    @property
    def per_slot(self) -> float:
        """Requests in flight per slot."""
        return self.in_flight / self.slots

    @property
    def service_time_s(self) -> Seconds:
        """The mean response time without the time in queues, 0 if it is unknown."""
        return (self.response_s or 0.0) - self.queue_time_s

    @property
    def queue_time_s(self) -> Seconds:
        """The mean time that requests spend in upstreams' queues (Little's law).

        >>> DataCentreLoad(8.0, 4, 0.1).queue_time_s
        0.05
        """
        if self.response_s is None or self.in_flight <= self.slots:
            return 0.0
        return self.response_s * (1.0 - self.slots / self.in_flight)


class _OverflowShare:
    """The share of new flows that overflows, for routes of one service and objective."""

    __slots__ = ("adjusted_at", "is_overloaded", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.is_overloaded = False
        self.adjusted_at = float("-inf")

    def adjust(self, factor: float, step: float, now: Seconds) -> None:
        """Set the share to ``factor`` times its value plus ``step``, within its limits."""
        if now - self.adjusted_at >= SHARE_LIFETIME_S:
            self.value = 0.0
        self.adjusted_at = now
        value = min(self.value * factor + step, MAX_OVERFLOW_SHARE)
        self.value = value if value >= MIN_OVERFLOW_SHARE else 0.0


class Overflow:
    """Selects local or remote upstreams for each new flow.

    The share is adjusted in small steps: reports are up to two seconds old, and all hosts of
    the data centre adjust at the same time.
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
        self._shares: dict[tuple[ServiceName, Seconds], _OverflowShare] = {}

    def select(
        self, upstreams: Sequence[Upstream], objective_s: Seconds, now: Seconds
    ) -> Sequence[Upstream]:
        """Return the local or the remote ones of a service's upstreams, for one new flow."""
        local = self.local(upstreams)
        if not local or len(local) == len(upstreams):
            return upstreams
        service = local[0].entry.service
        share = self._shares.setdefault((service, objective_s), _OverflowShare())
        if now - share.adjusted_at >= ADJUST_INTERVAL_S:
            self._adjust(share, upstreams, objective_s, now)
        if self._rng.random() >= share.value:
            return local
        max_response_s = _max_remote_response_s(self.load(local, now), objective_s)
        return self.remote(upstreams, max_response_s) or self.remote(upstreams, float("inf"))

    def local(self, upstreams: Sequence[Upstream]) -> list[Upstream]:
        """Return the upstreams in this host's data centre."""
        return [each for each in upstreams if each.entry.data_centre == self._data_centre]

    def load(self, local: Sequence[Upstream], now: Seconds) -> DataCentreLoad:
        """Return the load of local upstreams of one service."""
        in_flight = sum(total_in_flight(each, self._peers, now) for each in local)
        slots = sum(upstream.entry.slots for upstream in local)
        response_s = self._responses.mean_s(local[0].entry.service, self._data_centre)
        return DataCentreLoad(in_flight, slots, response_s)

    def remote(self, upstreams: Sequence[Upstream], max_response_s: Seconds) -> list[Upstream]:
        """Return the upstreams of other data centres that respond in less than a time limit.

        Data centres whose mean response time is unknown are included, so that flows show it.
        """
        is_fast_enough = {self._data_centre: False}
        found = []
        for upstream in upstreams:
            data_centre = upstream.entry.data_centre
            if data_centre not in is_fast_enough:
                response_s = self._responses.mean_s(upstream.entry.service, data_centre)
                is_fast_enough[data_centre] = response_s is None or response_s < max_response_s
            if is_fast_enough[data_centre]:
                found.append(upstream)
        return found

    def _adjust(
        self,
        share: _OverflowShare,
        upstreams: Sequence[Upstream],
        objective_s: Seconds,
        now: Seconds,
    ) -> None:
        """Increase the share under high pressure, and decrease it under low pressure.

        In between it stays, so that it doesn't oscillate. It increases only if the pressure
        was high at the previous adjustment too: overflow from other data centres may have
        caused it, and ends without this host's part.
        """
        load = self.load(self.local(upstreams), now)
        was_overloaded = share.is_overloaded
        pressure = _pressure(load, objective_s)
        share.is_overloaded = pressure >= 1.0
        if pressure < DECREASE_BELOW_PRESSURE:
            share.adjust(SHARE_DECREASE_FACTOR, 0.0, now)
        elif not (share.is_overloaded and was_overloaded):
            share.adjust(1.0, 0.0, now)
        elif self.remote(upstreams, _max_remote_response_s(load, objective_s)):
            increase = MAX_SHARE_INCREASE * min(pressure - 1.0, 1.0)
            share.adjust(1.0, max(MIN_OVERFLOW_SHARE, increase), now)
        else:
            share.adjust(SHARE_DECREASE_FACTOR, 0.0, now)


def _pressure(load: DataCentreLoad, objective_s: Seconds) -> float:
    """Return the load or the queueing time relative to its limit, whichever is higher.

    An objective of 0 is unknown: then the load alone counts.
    """
    load_ratio = load.per_slot / OVERFLOW_IN_FLIGHT_PER_SLOT
    if objective_s <= 0.0:
        return load_ratio
    return max(load_ratio, load.queue_time_s / (OVERFLOW_WAIT_SHARE * objective_s))


def _max_remote_response_s(load: DataCentreLoad, objective_s: Seconds) -> Seconds:
    """Return the response time below which another data centre may take overflow."""
    return max(
        REMOTE_RESPONSE_RATIO * (load.response_s or 0.0), REMOTE_RESPONSE_SHARE * objective_s
    )


def total_in_flight(upstream: Upstream, peers: PeerReports, now: Seconds) -> float:
    """Return an upstream's requests in flight from all hosts of this data centre."""
    own = upstream.responses.under_way(now) + upstream.pending_opens
    return own + peers.load(upstream.name).in_flight
