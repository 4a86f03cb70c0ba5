"""Builders of packets, entries and configurations for the tests of steering."""

from __future__ import annotations

import random

from banyanline.core.steering.model import (
    ColdLimit,
    DataCentreOut,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
    TableChanged,
    UpstreamChanged,
    UpstreamEntry,
    UpstreamRemoved,
)
from banyanline.core.steering.outcomes import Forward
from banyanline.core.steering.packet import NO_COOKIE, CallerPacket
from banyanline.core.steering.steering import Steering
from banyanline.core.types import Endpoint

HERE = "split-jug"
THERE = "split-centar"
ORDERS = b"orders"
SHEETS = b"sheets"
CALLER_SEQ = 1000


def entry(name="orders-1", *, service="orders", data_centre=HERE, **fields):
    number = sum(name.encode()) * 7919 + len(name)
    known = {
        "wire_id": number,
        "cookie": number,
        "endpoint": Endpoint("192.0.2.1", 1 + number % 60_000),
        "slots": 2,
        "is_leaving": False,
        "cold_for_s": 0.0,
        "incarnation": 1,
    }
    return UpstreamEntry(name=name, service=service, data_centre=data_centre, **(known | fields))


def route(address=ORDERS, services=("orders",), kind=RouteKind.IDEMPOTENT):
    shares = tuple(ServiceShare(service, 1.0) for service in services)
    return Route(address.decode(), address, kind, 1.2, 0.12, 1, shares)


def table(version=1, routes=None, cold_rate=0.0):
    routes = (route(), route(SHEETS, ("sheets",))) if routes is None else routes
    limits = {name: ColdLimit(2.0, cold_rate) for name in ("orders", "sheets")}
    return RoutingTable(version, {route.address: route for route in routes}, limits, 15.0)


def packet(flow=1, *, to=ORDERS, seq=CALLER_SEQ + 1, ack=500, cookie=NO_COOKIE, data=0, ends=False):
    return CallerPacket(flow_id(flow, to), to, False, ends, data, seq, ack, cookie)


def opening(flow=1, *, to=ORDERS, copy=0):
    return CallerPacket(flow_id(flow, to), to, True, False, 0, CALLER_SEQ, copy, NO_COOKIE)


def flow_id(flow, to=ORDERS):
    return flow.to_bytes(6, "big") + to


class Host:
    """A host's decisions with a clock and the revisions of a store."""

    def __init__(self, *entries, data_centre=HERE, seed=1, configured=True):
        self.now = 100.0
        self.revision = 0
        self.steering = Steering(data_centre, random.Random(seed))
        if configured:
            self.configure(table())
        for each in entries:
            self.put(each)

    def put(self, upstream):
        self.revision += 1
        return self.steering.on_change(
            UpstreamChanged(upstream, self.revision, self.revision), self.now
        )

    def remove(self, name):
        self.revision += 1
        return self.steering.on_change(UpstreamRemoved(name, self.revision), self.now)

    def configure(self, configuration):
        self.revision += 1
        return self.steering.on_change(TableChanged(configuration, self.revision), self.now)

    def take_out(self, data_centre=HERE, *, is_out=True):
        self.revision += 1
        return self.steering.on_change(DataCentreOut(data_centre, is_out, self.revision), self.now)

    def wait(self, seconds):
        self.now += seconds
        self.steering.on_tick(self.now)

    def send(self, sent):
        """Return what becomes of a packet."""
        return self.steering.on_packet(sent, self.now)

    def place(self, flow=1, *, to=ORDERS, copy=0):
        """Return the name of the upstream that an opening packet goes to."""
        outcome = self.send(opening(flow, to=to, copy=copy))
        assert isinstance(outcome, Forward), outcome
        return outcome.upstream.name

    def open(self, flow=1, *, to=ORDERS):
        """Open a flow whose upstream answers; return the upstream's name."""
        name = self.place(flow, to=to)
        upstream = self.steering.upstreams.get(name)
        self.send(packet(flow, to=to, cookie=upstream.entry.cookie))
        return name
