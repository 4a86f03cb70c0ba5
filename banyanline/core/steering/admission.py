"""Admission control: which new flows are admitted during a shortage of a service's capacity.

Flows stay open for many requests, so refusing new flows alone lowers the load too slowly.
During a shortage some upstreams are therefore reserved for new flows of the most important
routes, whose requests then find short queues. Other flows share the remaining upstreams, and
new ones are refused with a probability that grows with the load there.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.demand import importance_of

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from banyanline.core.steering.demand import Demand, Importance
    from banyanline.core.steering.model import Route
    from banyanline.core.steering.overflow import DataCentreLoad, Overflow
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds, ServiceName, UpstreamName

QUEUE_FULL_IN_FLIGHT_PER_SLOT = 5.0
"""Requests in flight per slot at which an upstream's queue counts as full.

One request is running, and four are queued.
"""

SHORTAGE_LOAD_RATIO = 0.5
"""Share of the maximum load from which a service has a shortage of capacity."""

REFUSAL_LOAD_RATIO = 0.6
"""Share of the maximum load from which new flows are refused."""

TOP_REFUSAL_LOAD_RATIO = 0.8
"""Share of the maximum load from which the most important new flows are refused."""

REFUSAL_LOAD_RANGE = 0.4
"""The refused share of flows grows from 0 to 1 over this increase of the load ratio."""

MAX_REFUSED_SHARE = 0.9
"""Largest share of new flows that is refused, so that no route is refused altogether."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of the local upstreams that is reserved."""

UPDATE_INTERVAL_S = 1.0
"""Minimum time between updates; reports arrive about once a second."""

UPDATE_INTERVAL_AFTER_CHANGE_S = 0.2
"""Minimum time between updates if the number of available upstreams has changed."""

REFUSED_SHARE_WEIGHT = 0.5
"""Weight of the latest refused share in its moving average while it grows.

A lower share is used at once, so that no flow is refused after the shortage.
"""

SHORTAGE_HOLD_S = 3.0
"""How long upstreams stay reserved after the latest update that found a shortage."""


class _ServiceAdmission:
    """The state of admission for one service.

    ``top`` is the importance of the flows with reserved upstreams, or None without any.
    ``upstreams`` is the number of available local upstreams at the latest update.
    ``refused_share`` has the refused share of the most important flows under True, and of
    the others under False.
    """

    __slots__ = (
        "is_reserve_fuller",
        "refused_share",
        "reserved",
        "shortage_until",
        "top",
        "updated_at",
        "upstreams",
    )

    def __init__(self) -> None:
        self.top: Importance | None = None
        self.upstreams = 0
        self.updated_at = float("-inf")
        self.shortage_until = float("-inf")
        self.reserved: Collection[UpstreamName] = frozenset()
        self.is_reserve_fuller = False
        self.refused_share: dict[bool, float] = {True: 0.0, False: 0.0}


class _StateKey(NamedTuple):
    """A service, and the patience of the routes for which its capacity is judged."""

    service: ServiceName
    patience_s: Seconds


class Admission:
    """Reserves upstreams and refuses new flows of each service with a shortage."""

    def __init__(self, rng: random.Random, overflow: Overflow, demand: Demand) -> None:
        self._rng = rng
        self._overflow = overflow
        self._demand = demand
        self._states: dict[_StateKey, _ServiceAdmission] = {}

    def shortages(self, now: Seconds) -> Mapping[ServiceName, int]:
        """Return the number of reserved upstreams of each service with a shortage."""
        shortages: dict[ServiceName, int] = {}
        for key, state in self._states.items():
            if now < state.shortage_until:
                reserved = len(state.reserved)
                shortages[key.service] = max(reserved, shortages.get(key.service, 0))
        return shortages

    def update(self, upstreams: Sequence[Upstream], route: Route, now: Seconds) -> None:
        """Update the state of a service from the load of its available upstreams."""
        service = upstreams[0].entry.service
        state = self._states.setdefault(_state_key(upstreams[0], route), _ServiceAdmission())
        local = self._overflow.local(upstreams)
        is_changed = len(local) != state.upstreams
        interval_s = UPDATE_INTERVAL_AFTER_CHANGE_S if is_changed else UPDATE_INTERVAL_S
        if not local or now - state.updated_at < interval_s:
            return
        state.updated_at = now
        state.upstreams = len(local)
        load = self._overflow.load(local, now)
        max_per_slot = _max_in_flight_per_slot(load, route.patience_s)
        before_loss = self._demand.in_flight_before_loss(service, load.slots)
        demand_per_slot = max(self._lower_quartile_load(local, now), before_loss / load.slots)
        shortage_per_slot = SHORTAGE_LOAD_RATIO * max_per_slot
        has_remote_capacity = self._overflow.remote(
            upstreams, shortage_per_slot * load.service_time_s
        )
        is_short = demand_per_slot >= shortage_per_slot and not has_remote_capacity
        if is_short:
            state.shortage_until = now + SHORTAGE_HOLD_S
        state.top = None
        state.reserved = frozenset()
        if now < state.shortage_until:
            self._reserve(state, local, demand_per_slot)
        self._set_refused_shares(state, local, max_per_slot if is_short else float("inf"), now)

    def select(
        self, upstreams: Sequence[Upstream], route: Route, now: Seconds
    ) -> Sequence[Upstream]:
        """Return the upstreams that a new flow of the route may use.

        The most important flows use all if the reserved upstreams are fuller than the others.
        """
        state = self._states.get(_state_key(upstreams[0], route))
        if state is None or now >= state.shortage_until or not state.reserved:
            return upstreams
        is_top = _is_top(state, route)
        if is_top and state.is_reserve_fuller:
            return upstreams
        return [each for each in upstreams if (each.name in state.reserved) is is_top] or upstreams

    def admits(self, route: Route, upstream: Upstream, now: Seconds) -> bool:
        """Whether a new flow of the route is admitted to the upstream chosen for it."""
        state = self._states.get(_state_key(upstream, route))
        if state is None or now >= state.shortage_until:
            return True
        return self._rng.random() >= state.refused_share[_is_top(state, route)]

    def _reserve(
        self, state: _ServiceAdmission, local: Sequence[Upstream], demand_per_slot: float
    ) -> None:
        """Reserve upstreams for the most important flows, in the same order on all hosts.

        ``demand_per_slot`` is the number of requests in flight per slot, of all flows.
        """
        top = self._demand.top(local[0].entry.service)
        if top is None:
            return
        share = min(top.share * demand_per_slot, MAX_RESERVED_SHARE)
        count = min(max(round(share * len(local)), 1), int(MAX_RESERVED_SHARE * len(local)))
        ordered = sorted((upstream.name for upstream in local), key=_reservation_key)
        state.top = top.importance
        state.reserved = frozenset(ordered[:count])

    def _set_refused_shares(
        self, state: _ServiceAdmission, local: Sequence[Upstream], max_per_slot: float, now: Seconds
    ) -> None:
        reserved = [upstream for upstream in local if upstream.name in state.reserved]
        others = [upstream for upstream in local if upstream.name not in state.reserved]
        others_load = self._lower_quartile_load(others, now)
        top_load = self._lower_quartile_load(reserved, now) if reserved else others_load
        state.is_reserve_fuller = top_load > others_load
        for is_top, load, start in (
            (True, top_load / max_per_slot, TOP_REFUSAL_LOAD_RATIO),
            (False, others_load / max_per_slot, REFUSAL_LOAD_RATIO),
        ):
            share = min(max((load - start) / REFUSAL_LOAD_RANGE, 0.0), MAX_REFUSED_SHARE)
            previous = state.refused_share[is_top]
            state.refused_share[is_top] = min(
                share, previous + REFUSED_SHARE_WEIGHT * (share - previous)
            )

    def _lower_quartile_load(self, local: Sequence[Upstream], now: Seconds) -> float:
        """Return the lower quartile of the upstreams' requests in flight per slot.

        New flows can go to the least loaded quarter until this is too high.
        """
        loads = sorted(self._overflow.load((upstream,), now).per_slot for upstream in local)
        return loads[len(loads) // 4]


def _state_key(upstream: Upstream, route: Route) -> _StateKey:
    return _StateKey(upstream.entry.service, route.patience_s)


def _is_top(state: _ServiceAdmission, route: Route) -> bool:
    return state.top is None or importance_of(route) <= state.top


def _max_in_flight_per_slot(load: DataCentreLoad, patience_s: Seconds) -> float:
    """Return the requests in flight per slot up to which requests are answered in time.

    The limit is the upstreams' queues or the patience; a patience of 0 is unknown.

    >>> from banyanline.core.steering.overflow import DataCentreLoad
    >>> round(_max_in_flight_per_slot(DataCentreLoad(16.0, 4, 0.4), 0.3), 3)
    3.0
    """
    if not load.service_time_s or patience_s <= 0.0:
        return QUEUE_FULL_IN_FLIGHT_PER_SLOT
    return min(QUEUE_FULL_IN_FLIGHT_PER_SLOT, max(1.0, patience_s / load.service_time_s))


def _reservation_key(name: UpstreamName) -> tuple[int, UpstreamName]:
    return zlib.crc32(name.encode()), name
