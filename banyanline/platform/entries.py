"""Decodes items of the platform's store: upstreams, the configuration and evacuations."""

from __future__ import annotations

import base64
import binascii
from typing import Literal, NamedTuple, TypeAlias

import msgspec

from banyanline.core.steering.model import (
    Change,
    DataCentreChanged,
    TableChanged,
    UpstreamChanged,
    UpstreamEntry,
    UpstreamRemoved,
)
from banyanline.core.steering.packet import NO_COOKIE
from banyanline.platform.configuration import read_configuration, to_routing_table
from banyanline.platform.host_settings import parse_endpoint

UPSTREAM_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
"""Followed by the name of a data centre, which is out of service while the key exists."""

_COOKIE_MODULUS = 1 << 32
_MAX_WIRE_ID = (1 << 64) - 1
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


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


_UPSTREAM_DECODER = msgspec.json.Decoder(_Upstream)


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
            return TableChanged(to_routing_table(read_configuration(value)), item.revision)
        entry = _to_upstream_entry(
            key.removeprefix(UPSTREAM_PREFIX), _UPSTREAM_DECODER.decode(value)
        )
    except (binascii.Error, msgspec.MsgspecError, ValueError, OSError, RecursionError) as error:
        return UnusableItem(key, str(error))
    return UpstreamChanged(entry, item.revision, item.created)


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
        sequence=document.sequence,
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
