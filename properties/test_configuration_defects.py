"""A damaged element of a configuration costs no more than its own route."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.core.steering.model import RoutingTable
from banyanline.platform.configuration import read_configuration, to_routing_table
from banyanline.platform.packets import service_address

FUZZ = settings(max_examples=400, deadline=None, derandomize=True)
ROUTES = 4
FIELDS = ("hostname", "prefix", "route_type", "timeout_ms", "aim_ms", "priority", "traffic_split")

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


def document() -> dict[str, Any]:
    routes = [
        {
            "name": f"r-{number}",
            "hostname": f"198.18.0.{number}",
            "prefix": "/443/",
            "route_type": ("safe", "unsafe", "download", "upload")[number],
            "timeout_ms": 1000,
            "aim_ms": 100,
            "priority": number,
            "traffic_split": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
        }
        for number in range(ROUTES)
    ]
    services = [{"name": name, "warmup_s": 2.0, "warmup_per_s": 3.0} for name in "ab"]
    limits = {"idle_timeout_ms": 15000}
    return {"version": 3, "routes": routes, "services": services, "limits": limits}


def read(value: dict[str, Any]) -> RoutingTable:
    return to_routing_table(read_configuration(json.dumps(value).encode()))


INTACT = read(document())
ADDRESSES = [service_address(f"198.18.0.{number}", 443) for number in range(ROUTES)]


def assert_others_are_served(table: RoutingTable, damaged: int) -> None:
    for number, address in enumerate(ADDRESSES):
        if number != damaged:
            assert table.routes[address] == INTACT.routes[address]
            assert table.routes[address].shares


@FUZZ
@given(st.integers(0, ROUTES - 1), json_values)
def test_a_route_replaced_by_anything(number: int, value: object) -> None:
    damaged = document()
    damaged["routes"][number] = value
    assert_others_are_served(read(damaged), number)


@FUZZ
@given(st.integers(0, ROUTES - 1), st.sampled_from(FIELDS), json_values)
def test_a_field_of_a_route_replaced_by_anything(number: int, field: str, value: object) -> None:
    damaged = document()
    damaged["routes"][number][field] = value
    table = read(damaged)
    assert table.is_complete or ADDRESSES[number] not in table.routes
    assert_others_are_served(table, number)


@FUZZ
@given(st.integers(0, ROUTES - 1), st.sampled_from(FIELDS), st.text(max_size=5), json_values)
def test_a_field_removed_and_an_unknown_one_added(
    number: int, field: str, name: str, value: object
) -> None:
    damaged = document()
    route = damaged["routes"][number]
    if name not in route:
        route[name] = value
    del route[field]
    assert_others_are_served(read(damaged), number)


@FUZZ
@given(
    st.integers(0, ROUTES - 1),
    st.integers(0, 1),
    st.sampled_from(("service", "weight")),
    json_values,
)
def test_a_share_with_anything_in_it(number: int, share: int, field: str, value: object) -> None:
    damaged = document()
    damaged["routes"][number]["traffic_split"][share][field] = value
    table = read(damaged)
    assert set(table.routes) == set(ADDRESSES)
    assert table.routes[ADDRESSES[number]].shares
    assert_others_are_served(table, number)


@FUZZ
@given(st.sampled_from(("services", "limits")), json_values)
def test_services_or_limits_replaced_by_anything(name: str, value: object) -> None:
    damaged = document()
    damaged[name] = value
    assert read(damaged).routes == INTACT.routes
