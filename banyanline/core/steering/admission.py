"""Decides which new flows are admitted while a service has too little room.

Flows stay open for many requests, so that refusing new flows relieves little. While there is
too little room, some upstreams are therefore reserved for the new flows of the most important
routes, whose requests then find short queues. Other flows share the rest, and new ones are
refused with a probability that follows the load there.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from banyanline.core.steering.demand import importance_of

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping, Sequence

    from banyanline.core.steering.demand import Demand, Importance
    from banyanline.core.steering.model import Route
    from banyanline.core.steering.overflow import DataCentreLoad, Overflow
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds, ServiceName, UpstreamName

FULL_PER_SLOT = 5.0
"""Requests in flight per slot from which an upstream's queue is taken to be full."""

SHORT_RATIO = 0.5
"""Load relative to what can be answered from which a service is short of room."""

REFUSE_RATIO = 0.6
TOP_REFUSE_RATIO = 0.8
"""Loads relative to what can be answered from which other and important flows are refused."""

REFUSE_RANGE = 0.4
"""Increase of that load over which the share of refused flows grows to its maximum."""

MAX_REFUSED_SHARE = 0.9
"""Largest share of the new flows that is refused, so that no route gets nothing."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of the upstreams that is reserved."""

UPDATE_INTERVAL_S = 1.0

CHANGED_INTERVAL_S = 0.2
"""The same after a change in the number of available upstreams."""

REFUSED_WEIGHT = 0.5
"""Weight of the latest share of refused flows while it grows; it falls at once."""

HOLD_S = 3.0
"""How long upstreams stay reserved after the last sign of too little room."""


class _ServiceState:
    """The room of one service.

    ``refused_share`` is that of the most important flows (True) and of others (False).
    """

    __slots__ = (
        "is_reserve_full",
        "refused_share",
        "reserved",
        "short_until",
        "top",
        "updated_at",
        "upstreams",
    )

    def __init__(self) -> None:
        self.top: Importance | None = None
        self.upstreams = 0
        self.updated_at = float("-inf")
        self.short_until = float("-inf")
        self.reserved: Collection[UpstreamName] = frozenset()
        self.is_reserve_full = False
        self.refused_share: dict[bool, float] = {True: 0.0, False: 0.0}


class Admission:
    """Reserves upstreams and refuses flows of each service that is short of room."""

    def __init__(self, rng: random.Random, overflow: Overflow, demand: Demand) -> None:
        self._rng = rng
        self._overflow = overflow
        self._demand = demand
        self._states: dict[ServiceName, _ServiceState] = {}

    def shortages(self, now: Seconds) -> Mapping[ServiceName, int]:
        """Return the services that are short of room, and how many upstreams are reserved."""
        return {
            service: len(state.reserved)
            for service, state in self._states.items()
            if now < state.short_until
        }

    def update(self, upstreams: Sequence[Upstream], route: Route, now: Seconds) -> None:
        """Compare the load of a service's available upstreams with what they can answer."""
        service = upstreams[0].entry.service
        state = self._states.setdefault(service, _ServiceState())
        here = self._overflow.here(upstreams)
        is_changed = len(here) != state.upstreams
        interval_s = CHANGED_INTERVAL_S if is_changed else UPDATE_INTERVAL_S
        if not here or now - state.updated_at < interval_s:
            return
        state.updated_at = now
        state.upstreams = len(here)
        load = self._overflow.load(here, now)
        limit = _answerable_per_slot(load, route.patience_s)
        lost = self._demand.in_flight_before_loss(service, load.slots)
        demanded = max(self._lower_load(here, now), lost / load.slots)
        short_per_slot = SHORT_RATIO * limit
        has_room_elsewhere = self._overflow.elsewhere(upstreams, short_per_slot * load.work_s)
        is_short = demanded >= short_per_slot and not has_room_elsewhere
        if is_short:
            state.short_until = now + HOLD_S
        state.top = None
        state.reserved = frozenset()
        if now < state.short_until:
            self._reserve(state, here, demanded)
        self._set_refused_shares(state, here, limit if is_short else float("inf"), now)

    def select(
        self, upstreams: Sequence[Upstream], route: Route, now: Seconds
    ) -> Sequence[Upstream]:
        """Return the upstreams that a flow of the route may use."""
        state = self._states.get(upstreams[0].entry.service)
        if state is None or now >= state.short_until or not state.reserved:
            return upstreams
        is_top = _is_top(state, route)
        if is_top and state.is_reserve_full:
            return upstreams
        return [each for each in upstreams if (each.name in state.reserved) is is_top] or upstreams

    def admits(self, route: Route, upstream: Upstream, now: Seconds) -> bool:
        """Whether a new flow of the route is admitted to the upstream chosen for it."""
        state = self._states.get(upstream.entry.service)
        if state is None or now >= state.short_until:
            return True
        return self._rng.random() >= state.refused_share[_is_top(state, route)]

    def _reserve(self, state: _ServiceState, here: Sequence[Upstream], demanded: float) -> None:
        """Reserve upstreams for the most important flows, in an order that all hosts agree on.

        ``demanded`` is the load per slot from all flows.
        """
        top = self._demand.top(here[0].entry.service)
        if top is None:
            return
        share = min(top.share * demanded, MAX_RESERVED_SHARE)
        count = min(max(round(share * len(here)), 1), int(MAX_RESERVED_SHARE * len(here)))
        ordered = sorted((upstream.name for upstream in here), key=_reservation_order)
        state.top = top.importance
        state.reserved = frozenset(ordered[:count])

    def _set_refused_shares(
        self, state: _ServiceState, here: Sequence[Upstream], limit: float, now: Seconds
    ) -> None:
        reserved = [upstream for upstream in here if upstream.name in state.reserved]
        others = [upstream for upstream in here if upstream.name not in state.reserved]
        others_load = self._lower_load(others, now)
        top_load = self._lower_load(reserved, now) if reserved else others_load
        state.is_reserve_full = top_load > others_load
        for is_top, load, start in (
            (True, top_load / limit, TOP_REFUSE_RATIO),
            (False, others_load / limit, REFUSE_RATIO),
        ):
            share = min(max((load - start) / REFUSE_RANGE, 0.0), MAX_REFUSED_SHARE)
            known = state.refused_share[is_top]
            state.refused_share[is_top] = min(share, known + REFUSED_WEIGHT * (share - known))

    def _lower_load(self, here: Sequence[Upstream], now: Seconds) -> float:
        """Return the load per slot below which a quarter of the upstreams are.

        While these have room, flows can go there.
        """
        loads = sorted(self._overflow.load((upstream,), now).per_slot for upstream in here)
        return loads[len(loads) // 4]


def _is_top(state: _ServiceState, route: Route) -> bool:
    return state.top is None or importance_of(route) <= state.top


def _answerable_per_slot(load: DataCentreLoad, patience_s: Seconds) -> float:
    """Return the load per slot up to which requests are answered, within the patience.

    A patience of 0 is unknown.

    >>> from banyanline.core.steering.overflow import DataCentreLoad
    >>> round(_answerable_per_slot(DataCentreLoad(16.0, 4, 0.4), 0.3), 3)
    3.0
    """
    if not load.work_s or patience_s <= 0.0:
        return FULL_PER_SLOT
    return min(FULL_PER_SLOT, max(1.0, patience_s / load.work_s))


def _reservation_order(name: UpstreamName) -> tuple[int, UpstreamName]:
    return zlib.crc32(name.encode()), name
