"""Builders of packets, entries and configurations for the tests of steering."""

from __future__ import annotations

import random
from typing import Any

from banyanline.core.steering.catalog import Catalog
from banyanline.core.steering.model import (
    Change,
    ColdLimit,
    DataCentreChanged,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
    TableChanged,
    UpstreamChanged,
    UpstreamEntry,
    UpstreamRemoved,
)
from banyanline.core.steering.outcomes import Forward, Outcome
from banyanline.core.steering.packet import NO_COOKIE, CallerPacket
from banyanline.core.steering.steering import Steering
from banyanline.core.steering.upstreams import Upstream
from banyanline.core.types import Endpoint

HERE = "split-jug"
THERE = "split-centar"
ORDERS = b"orders"
SHEETS = b"sheets"
CALLER_SEQ = 1000


def entry(
    name: str = "orders-1", *, service: str = "orders", data_centre: str = HERE, **fields: Any
) -> UpstreamEntry:
    number = sum(name.encode()) * 7919 + len(name)
    known: dict[str, Any] = {
        "wire_id": number,
        "cookie": number,
        "endpoint": Endpoint("192.0.2.1", 1 + number % 60_000),
        "slots": 2,
        "is_leaving": False,
        "cold_for_s": 0.0,
        "incarnation": 1,
    }
    return UpstreamEntry(name=name, service=service, data_centre=data_centre, **(known | fields))


def route(
    address: bytes = ORDERS,
    services: tuple[str, ...] = ("orders",),
    kind: RouteKind = RouteKind.IDEMPOTENT,
) -> Route:
    shares = tuple(ServiceShare(service, 1.0) for service in services)
    return Route(address.decode("latin-1"), address, kind, 1.2, 0.12, 1, shares)


def table(
    version: int = 1, routes: list[Route] | None = None, cold_rate: float = 0.0
) -> RoutingTable:
    routes = [route(), route(SHEETS, ("sheets",))] if routes is None else routes
    limits = {name: ColdLimit(2.0, cold_rate) for name in ("orders", "sheets")}
    return RoutingTable(version, {route.address: route for route in routes}, limits, 15.0)


def packet(
    flow: int = 1,
    *,
    to: bytes = ORDERS,
    seq: int = CALLER_SEQ + 1,
    ack: int = 500,
    cookie: int = NO_COOKIE,
    data: int = 0,
    ends: bool = False,
) -> CallerPacket:
    return CallerPacket(flow_id(flow, to), to, False, ends, data, seq, ack, cookie)


def opening(flow: int = 1, *, to: bytes = ORDERS, copy: int = 0) -> CallerPacket:
    return CallerPacket(flow_id(flow, to), to, True, False, 0, CALLER_SEQ, copy, NO_COOKIE)


def flow_id(flow: int, to: bytes = ORDERS) -> bytes:
    return flow.to_bytes(6, "big") + to


class Host:
    """Drives the steering of one host with a simulated clock and simulated store revisions."""

    def __init__(
        self,
        *entries: UpstreamEntry,
        data_centre: str = HERE,
        seed: int = 1,
        configured: bool = True,
    ) -> None:
        self.now = 100.0
        self.revision = 0
        self.catalog = Catalog()
        self.steering = Steering(self.catalog, data_centre, random.Random(seed))
        if configured:
            self.configure(table())
        for each in entries:
            self.put(each)

    def put(self, upstream: UpstreamEntry) -> bool:
        self.revision += 1
        return self._apply(UpstreamChanged(upstream, self.revision, self.revision))

    def remove(self, name: str) -> bool:
        self.revision += 1
        return self._apply(UpstreamRemoved(name, self.revision))

    def configure(self, configuration: RoutingTable) -> bool:
        self.revision += 1
        return self._apply(TableChanged(configuration, self.revision))

    def take_out(self, data_centre: str = HERE, *, is_out: bool = True) -> bool:
        self.revision += 1
        return self._apply(DataCentreChanged(data_centre, is_out, self.revision))

    def _apply(self, change: Change) -> bool:
        is_new = self.catalog.on_change(change, self.now)
        self.catalog.advance_revision(self.revision)
        return is_new

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.steering.on_tick(self.now)

    def send(self, sent: CallerPacket) -> Outcome:
        """Return the outcome for a packet."""
        return self.steering.on_packet(sent, self.now)

    def place(self, flow: int = 1, *, to: bytes = ORDERS, copy: int = 0) -> str:
        """Return the name of the upstream that an opening packet goes to."""
        outcome = self.send(opening(flow, to=to, copy=copy))
        assert isinstance(outcome, Forward), outcome
        return outcome.upstream.name

    def open(self, flow: int = 1, *, to: bytes = ORDERS) -> str:
        """Open a flow whose upstream answers; return the upstream's name."""
        name = self.place(flow, to=to)
        self.send(packet(flow, to=to, cookie=self.cookie(name)))
        return name

    def upstream(self, name: str) -> Upstream:
        """Return what the host knows of an upstream."""
        upstream = self.catalog.upstreams.get(name)
        assert upstream is not None
        return upstream

    def cookie(self, name: str) -> int:
        """Return the cookie of an upstream."""
        return self.upstream(name).entry.cookie
