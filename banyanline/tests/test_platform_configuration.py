"""Pattern: a configuration with an element that this version cannot read."""

from __future__ import annotations

import json
from typing import Any

import pytest

from banyanline.core.steering.model import ColdLimit, RouteKind, RoutingTable, ServiceShare
from banyanline.core.steering.outcomes import Forward, Reset, ResetReason
from banyanline.platform.configuration import (
    CAUTIOUS_COLD_RATE,
    read_configuration,
    to_routing_table,
)
from banyanline.platform.documents import MAX_DEFECTS
from banyanline.platform.packets import service_address
from banyanline.tests.steering import ORDERS, SHEETS, Host, entry, opening, packet, route, table

FIRST = service_address("198.18.0.1", 8443)
SECOND = service_address("198.18.0.2", 8080)
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "hostname": "198.18.0.1",
    "prefix": "/8443/",
    "route_type": "safe",
    "timeout_ms": 1200,
    "aim_ms": 120,
    "priority": 2,
    "service": "orders",
}
OTHER_ROUTE = ROUTE | {"name": "r-2", "hostname": "198.18.0.2", "prefix": "/8080/"}
SERVICES = [{"name": name, "warmup_s": 2.0, "warmup_per_s": 3.5} for name in ("orders", "sheets")]
LIMIT = ColdLimit(2.0, 3.5)


def read(first: Any = ROUTE, **fields: Any) -> RoutingTable:
    """Return the table of a document with ``first`` and another route, and other fields."""
    document = {
        "version": 7,
        "routes": [first, OTHER_ROUTE],
        "services": SERVICES,
        "limits": {"idle_timeout_ms": 15_000},
    }
    return to_routing_table(read_configuration(json.dumps(document | fields).encode()))


def split(*weights: object) -> dict[str, Any]:
    """Return a route with one service for each weight."""
    names = ("orders", "sheets")
    shares = [
        {"service": name, "weight": weight} for name, weight in zip(names, weights, strict=True)
    ]
    return ROUTE | {"service": None, "traffic_split": shares}


@pytest.mark.parametrize(
    ("route_type", "kind", "paths"),
    [
        ("safe", RouteKind.IDEMPOTENT, []),
        ("unsafe", RouteKind.NON_IDEMPOTENT, []),
        ("download", RouteKind.DOWNLOAD, []),
        ("upload", RouteKind.UPLOAD, []),
        ("stream", RouteKind.NON_IDEMPOTENT, ["routes[0].route_type"]),
        (7, RouteKind.NON_IDEMPOTENT, ["routes[0].route_type", "routes[0].route_type"]),
    ],
)
def test_an_unknown_route_type_is_treated_as_non_idempotent(route_type, kind, paths):
    table = read(ROUTE | {"route_type": route_type})
    assert table.routes[FIRST].kind is kind
    assert [defect.path for defect in table.defects] == paths
    assert table.is_complete


@pytest.mark.parametrize(
    ("first", "path"),
    [
        pytest.param(ROUTE | {"hostname": "a name"}, "routes[0]", id="hostname"),
        pytest.param(ROUTE | {"hostname": None}, "routes[0].hostname", id="no hostname"),
        pytest.param(ROUTE | {"prefix": "/a/"}, "routes[0]", id="port"),
        pytest.param(ROUTE | {"prefix": "/70000/"}, "routes[0]", id="large port"),
        pytest.param("r-1", "routes[0]", id="text"),
        pytest.param(None, "routes[0]", id="null"),
    ],
)
def test_a_route_without_a_readable_address_is_left_out_and_the_others_are_served(first, path):
    table = read(first)
    assert list(table.routes) == [SECOND]
    assert table.defects[0].path == path
    assert not table.is_complete


@pytest.mark.parametrize(
    ("first", "expected"),
    [
        pytest.param(split(90, 10), [("orders", 90.0), ("sheets", 10.0)], id="all readable"),
        pytest.param(split("90", 10), [("sheets", 10.0)], id="weight as text"),
        pytest.param(split(-1, 10), [("sheets", 10.0)], id="negative weight"),
        pytest.param(split(None, None), [("orders", 1.0), ("sheets", 1.0)], id="no weights"),
        pytest.param(split("90", 0), [("orders", 1.0)], id="only weight as text"),
        pytest.param(ROUTE | {"traffic_split": {"by": "zone"}}, [("orders", 1.0)], id="by rule"),
        pytest.param(ROUTE | {"traffic_split": ["orders"]}, [("orders", 1.0)], id="names"),
        pytest.param(
            ROUTE | {"service": None, "traffic_split": {"by": "zone"}}, [], id="by rule only"
        ),
    ],
)
def test_a_split_is_served_by_its_readable_services(first, expected):
    shares = read(first).routes[FIRST].shares
    assert shares == tuple(ServiceShare(service, weight) for service, weight in expected)


@pytest.mark.parametrize(
    ("services", "expected"),
    [
        pytest.param(SERVICES, {"orders": LIMIT, "sheets": LIMIT}, id="readable"),
        pytest.param(
            [SERVICES[0] | {"warmup_per_s": "slow"}, SERVICES[1]],
            {"orders": ColdLimit(2.0, CAUTIOUS_COLD_RATE), "sheets": LIMIT},
            id="rate as text",
        ),
        pytest.param(
            [{"name": 7}, SERVICES[1]],
            {"orders": ColdLimit(0.0, CAUTIOUS_COLD_RATE), "sheets": LIMIT},
            id="name as number",
        ),
        pytest.param("x", {"orders": ColdLimit(0.0, CAUTIOUS_COLD_RATE)}, id="services as text"),
    ],
)
def test_cold_upstreams_of_an_unreadable_service_get_few_flows(services, expected):
    table = read(services=services)
    assert table.cold_limits == expected
    assert set(table.routes) == {FIRST, SECOND}


@pytest.mark.parametrize("limits", [None, {"idle_timeout_ms": "x"}, {"idle_timeout_ms": 0}, []])
def test_an_unreadable_limit_has_its_default(limits):
    table = read(limits=limits)
    assert table.idle_timeout_s == 60.0
    assert len(table.routes) == 2
    assert table.defects


def test_the_number_of_recorded_defects_is_limited():
    assert len(read(routes=["x"] * 1000).defects) == MAX_DEFECTS


def test_open_flows_survive_a_table_whose_routes_cannot_all_be_read():
    """The route of an open flow may be the unreadable one: nothing says that it was removed."""
    host = Host(entry())
    upstream = host.open()
    host.configure(table(2, [route(SHEETS, ("sheets",))])._replace(is_complete=False))
    assert isinstance(host.send(packet(cookie=host.cookie(upstream), data=10)), Forward)
    assert host.send(opening(2)) == Reset(ResetReason.NO_ROUTE)
    host.configure(table(3, [route(ORDERS)]))
    host.configure(table(4, [route(SHEETS, ("sheets",))]))
    assert host.send(packet(cookie=host.cookie(upstream))) == Reset(ResetReason.ROUTE_REMOVED)
