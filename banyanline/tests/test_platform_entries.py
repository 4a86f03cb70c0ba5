from __future__ import annotations

import base64
import json
from typing import Any

import pytest

from banyanline.core.steering.model import (
    ColdLimit,
    DataCentreChanged,
    RouteKind,
    ServiceShare,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.types import Endpoint
from banyanline.platform.entries import (
    StoreItem,
    UnrelatedItem,
    UnusableItem,
    cookie_of,
    decode_item,
    parse_wire_id,
)
from banyanline.platform.packets import service_address

UPSTREAM: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "split-sjever",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ROUTES: list[dict[str, Any]] = [
    {
        "name": "r-1",
        "hostname": "198.18.0.1",
        "prefix": "/8443/",
        "route_type": "safe",
        "timeout_ms": 1200,
        "aim_ms": 120,
        "priority": 2,
        "traffic_split": [
            {"service": "huvo11a", "weight": 90},
            {"service": "wuno96b", "weight": 10},
        ],
        "max_attempts": 2,
    },
    {
        "name": "r-2",
        "hostname": "198.18.0.2",
        "prefix": "/8080/",
        "route_type": "unsafe",
        "timeout_ms": 1500,
        "aim_ms": 150,
        "priority": 1,
        "service": "huvo11a",
    },
]
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": ROUTES,
    "services": [{"name": "huvo11a", "warmup_s": 2.0, "warmup_per_s": 3.5, "tls": False}],
    "limits": {"idle_timeout_ms": 15000, "max_body_bytes": 1},
}


def item(value: Any, key: str = "servers/i-7f3a91c2") -> StoreItem:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreItem(key, 9, base64.b64encode(data).decode(), 3)


def test_an_upstream_is_decoded():
    change = decode_item(item(UPSTREAM))
    assert isinstance(change, UpstreamChanged)
    assert (change.revision, change.created) == (9, 3)
    entry = change.entry
    assert entry.name == "i-7f3a91c2"
    assert entry.wire_id == 0x7F3A91C2
    assert entry.service == "huvo11a"
    assert entry.endpoint == Endpoint("10.128.0.9", 8080)
    assert entry.data_centre == "split-sjever"
    assert (entry.slots, entry.is_leaving, entry.cold_for_s) == (2, False, 1.5)
    assert entry.incarnation == 1_700_000_000_000


def test_a_draining_upstream_is_decoded_as_leaving():
    change = decode_item(item(UPSTREAM | {"state": "draining"}))
    assert isinstance(change, UpstreamChanged)
    assert change.entry.is_leaving


def without(field: str) -> dict[str, Any]:
    return {name: value for name, value in UPSTREAM.items() if name != field}


@pytest.mark.parametrize(
    "value",
    [
        *(pytest.param(without(name), id=f"no {name}") for name in UPSTREAM if name != "born"),
        pytest.param(UPSTREAM | {"slots": "2"}, id="slots as text"),
        pytest.param(UPSTREAM | {"slots": 0}, id="no slots"),
        pytest.param(UPSTREAM | {"state": "asleep"}, id="unknown state"),
        pytest.param(UPSTREAM | {"address": "10.128.0.9"}, id="address without port"),
        pytest.param(UPSTREAM | {"address": 7}, id="address as number"),
        pytest.param(UPSTREAM | {"cold_remaining_ms": None}, id="no time"),
        pytest.param(UPSTREAM | {"cold_remaining_ms": -1}, id="negative time"),
        pytest.param(UPSTREAM | {"born": 1.5}, id="start between milliseconds"),
        pytest.param([], id="a list"),
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\x00", id="no text"),
        pytest.param(b"[" * 100_000, id="deeply nested"),
    ],
)
def test_malformed_upstream_values_are_unusable(value):
    assert isinstance(decode_item(item(value)), UnusableItem)


def test_a_value_that_is_not_base64_is_unusable():
    assert isinstance(decode_item(StoreItem("servers/i-1", 1, "%%%")), UnusableItem)


@pytest.mark.parametrize("name", ["", "i-", "i-xyz", "i-0", "i-" + "f" * 17])
def test_a_name_without_a_valid_8_byte_hex_number_is_unusable(name):
    assert isinstance(decode_item(item(UPSTREAM, f"servers/{name}")), UnusableItem)


def test_the_configuration_is_decoded():
    change = decode_item(item(CONFIGURATION, "op/config"))
    assert isinstance(change, TableChanged)
    table = change.table
    assert (table.version, table.idle_timeout_s) == (7, 15.0)
    assert table.cold_limits == {"huvo11a": ColdLimit(2.0, 3.5)}
    first = table.routes[service_address("198.18.0.1", 8443)]
    assert first.shares == (ServiceShare("huvo11a", 90.0), ServiceShare("wuno96b", 10.0))
    assert (first.kind, first.patience_s, first.objective_s) == (RouteKind.IDEMPOTENT, 1.2, 0.12)
    second = table.routes[service_address("198.18.0.2", 8080)]
    assert second.shares == (ServiceShare("huvo11a", 1.0),)
    assert second.kind is RouteKind.NON_IDEMPOTENT


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"version": "7"}, id="version as text"),
        pytest.param({"version": None}, id="no version"),
        pytest.param({"routes": {}}, id="routes as object"),
    ],
)
def test_a_configuration_without_a_version_or_routes_is_unusable(change):
    assert isinstance(decode_item(item(CONFIGURATION | change, "op/config")), UnusableItem)


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        pytest.param(
            StoreItem("op/evacuate/split-jug", 5, "e30="),
            DataCentreChanged("split-jug", True, 5),
            id="out",
        ),
        pytest.param(
            StoreItem("op/evacuate/split-jug", 6, deleted=True),
            DataCentreChanged("split-jug", False, 6),
            id="back",
        ),
        pytest.param(
            StoreItem("servers/i-1", 7, deleted=True), UpstreamRemoved("i-1", 7), id="removed"
        ),
        pytest.param(StoreItem("other/key", 8, "e30="), UnrelatedItem("other/key"), id="unrelated"),
        pytest.param(
            StoreItem("op/config", 9, deleted=True),
            UnusableItem("op/config", "deleted"),
            id="configuration deleted",
        ),
    ],
)
def test_deletions_evacuations_and_unrelated_keys(event, expected):
    assert decode_item(event) == expected


@pytest.mark.parametrize(
    ("name", "expected"),
    [("i-7f3a91c2", 0x7F3A91C2), ("i-ebe2d05d45", 0xEBE2D05D45), ("i-FF", 255)],
)
def test_wire_id_of_an_upstream(name, expected):
    assert parse_wire_id(name) == expected


@pytest.mark.parametrize(
    "wire_id", [1, 0xFFFFFFFF, 1 << 32, 0xEBE2D05D45, (1 << 64) - 1, (1 << 32) + 1]
)
def test_a_cookie_has_32_bits_and_is_never_0(wire_id):
    assert 0 < cookie_of(wire_id) < 1 << 32
