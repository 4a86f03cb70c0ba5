"""Decodes items of the platform's store: upstreams, the configuration and evacuations."""

from __future__ import annotations

import base64
import binascii
from typing import Literal, NamedTuple, TypeAlias

import msgspec

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
from banyanline.core.steering.packet import NO_COOKIE, ServiceAddress
from banyanline.platform.host_settings import parse_endpoint
from banyanline.platform.packets import service_address

UPSTREAM_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
"""Followed by the name of a data centre, which is out of service while the key exists."""

_COOKIE_MODULUS = 1 << 32
_MAX_WIRE_ID = (1 << 64) - 1
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
}


class UnusableItem(NamedTuple):
    """An item of the store whose value cannot be decoded."""

    key: str
    detail: str


class UnrelatedItem(NamedTuple):
    """An item of the store under a key that is not used here."""

    key: str


DecodedItem: TypeAlias = Change | UnusableItem | UnrelatedItem


class StoreItem(msgspec.Struct, frozen=True):
    """An item or change event of the store.

    ``value`` is base64 text; ``created`` is the revision that created the key.
    """

    key: str
    revision: int
    value: str = ""
    created: int = 0
    deleted: bool = False


class _Upstream(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    born: int | None = None
    """Start time of this incarnation, in Unix milliseconds."""


class _Share(msgspec.Struct):
    service: str
    weight: float


class RouteDocument(msgspec.Struct):
    """A route in the operator's configuration document."""

    name: str
    hostname: str
    """An IPv4 address, not a name."""
    prefix: str
    """A port between slashes."""
    route_type: Literal["safe", "unsafe", "download"]
    timeout_ms: float = 0.0
    aim_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] = []


class _Service(msgspec.Struct):
    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = 60_000.0


class ConfigurationDocument(msgspec.Struct):
    """The operator's configuration document."""

    version: int
    routes: list[RouteDocument]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


_UPSTREAM_DECODER = msgspec.json.Decoder(_Upstream)
_CONFIGURATION_DECODER = msgspec.json.Decoder(ConfigurationDocument)


def decode_item(item: StoreItem) -> DecodedItem:
    """Decode an item or change event of the store.

    >>> decode_item(StoreItem("servers/i-7f3a91c2", 9, deleted=True))
    UpstreamRemoved(name='i-7f3a91c2', revision=9)
    """
    key = item.key
    if key.startswith(EVACUATION_PREFIX):
        return DataCentreChanged(
            key.removeprefix(EVACUATION_PREFIX), not item.deleted, item.revision
        )
    if key.startswith(UPSTREAM_PREFIX) and item.deleted:
        return UpstreamRemoved(key.removeprefix(UPSTREAM_PREFIX), item.revision)
    if key != CONFIGURATION_KEY and not key.startswith(UPSTREAM_PREFIX):
        return UnrelatedItem(key)
    if item.deleted:
        return UnusableItem(key, "deleted")
    try:
        value = base64.b64decode(item.value, validate=True)
        if key == CONFIGURATION_KEY:
            return TableChanged(_to_routing_table(read_configuration(value)), item.revision)
        entry = _to_upstream_entry(
            key.removeprefix(UPSTREAM_PREFIX), _UPSTREAM_DECODER.decode(value)
        )
    except (binascii.Error, msgspec.MsgspecError, ValueError, OSError, RecursionError) as error:
        return UnusableItem(key, str(error))
    return UpstreamChanged(entry, item.revision, item.created)


def read_configuration(data: bytes) -> ConfigurationDocument:
    """Decode the operator's document; raises msgspec.MsgspecError if a type is wrong."""
    return _CONFIGURATION_DECODER.decode(data)


def route_address(document: RouteDocument) -> ServiceAddress:
    """Return the service address of a route; raises OSError or ValueError if invalid."""
    return service_address(document.hostname, int(document.prefix.strip("/")))


def route_shares(document: RouteDocument) -> tuple[ServiceShare, ...]:
    """Return the weighted services of a route; empty if the document names none."""
    shares = tuple(ServiceShare(share.service, share.weight) for share in document.traffic_split)
    if not shares and document.service is not None:
        return (ServiceShare(document.service, 1.0),)
    return shares


def _to_upstream_entry(name: str, document: _Upstream) -> UpstreamEntry:
    wire_id = parse_wire_id(name)
    if document.slots < 1 or document.cold_remaining_ms < 0:
        raise ValueError("slots or cold_remaining_ms out of range")
    return UpstreamEntry(
        name=name,
        wire_id=wire_id,
        cookie=cookie_of(wire_id),
        service=document.service,
        endpoint=parse_endpoint("address", document.address),
        data_centre=document.zone,
        slots=document.slots,
        is_leaving=document.state == "draining",
        cold_for_s=document.cold_remaining_ms / 1000.0,
        incarnation=document.born,
    )


def parse_wire_id(name: str) -> int:
    """Return the number that prefixes packets to an upstream: the hex digits of its id.

    Raises ValueError if the id has no hex digits, is 0 or does not fit into 8 bytes.

    >>> hex(parse_wire_id("i-7f3a91c2"))
    '0x7f3a91c2'
    """
    digits = "".join(digit for digit in name.rpartition("-")[2] if digit in _HEX_DIGITS)
    wire_id = int(digits, 16)
    if not 0 < wire_id <= _MAX_WIRE_ID:
        raise ValueError(f"{name!r} has no non-zero hex number of at most 8 bytes")
    return wire_id


def cookie_of(wire_id: int) -> int:
    """Return the 32-bit cookie of an upstream, which is never ``NO_COOKIE``."""
    return (wire_id ^ wire_id >> 32) % _COOKIE_MODULUS or NO_COOKIE + 1


def _to_routing_table(document: ConfigurationDocument) -> RoutingTable:
    routes = [_to_route(route) for route in document.routes]
    return RoutingTable(
        version=document.version,
        routes={route.address: route for route in routes},
        cold_limits={
            service.name: ColdLimit(service.warmup_s, service.warmup_per_s)
            for service in document.services
        },
        idle_timeout_s=document.limits.idle_timeout_ms / 1000.0,
    )


def _to_route(document: RouteDocument) -> Route:
    return Route(
        name=document.name,
        address=route_address(document),
        kind=_ROUTE_KINDS[document.route_type],
        patience_s=document.timeout_ms / 1000.0,
        objective_s=document.aim_ms / 1000.0,
        priority=document.priority,
        shares=route_shares(document),
    )
