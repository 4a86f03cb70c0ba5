"""Encoding of configuration updates between balancers, as named parts.

A part is one data centre, one caller group or one service, encoded as MessagePack.
A :class:`Delta` contains only the parts that changed, so that its size depends on the
change and not on the whole configuration. The digest covers all parts of the
resulting revision, so that a receiver can verify that it holds the same configuration
as the sender.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias, TypeVar

import msgspec

from banyanline.core.model import CallerGroup, Configuration, DataCentre, Service

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

DIGEST_BYTES = 16

_LENGTH_BYTES = 4


class PartKind(StrEnum):
    """The kind of item that a part contains."""

    DATA_CENTRE = "d"
    CALLER_GROUP = "g"
    SERVICE = "s"


class PartKey(NamedTuple):
    """The kind and name of a part; unique within a configuration."""

    kind: PartKind
    name: str


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One data centre, caller group or service, encoded as MessagePack."""

    key: PartKey
    body: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The parts in which ``revision`` differs from ``base_revision``."""

    base_revision: int
    revision: int
    digest: bytes
    changed: tuple[Part, ...]
    removed: tuple[PartKey, ...]


class FullDocument(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """All parts of ``revision``."""

    revision: int
    digest: bytes
    parts: tuple[Part, ...]


class NoUpdate(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """The receiver already holds the sender's revision or a later one."""

    revision: int


ConfigurationUpdate: TypeAlias = Delta | FullDocument | NoUpdate
"""The reply to a balancer that requests changes since its own revision."""

_Item: TypeAlias = DataCentre | CallerGroup | Service
_ItemT = TypeVar("_ItemT", DataCentre, CallerGroup, Service)

_ENCODER = msgspec.msgpack.Encoder()
_DATA_CENTRE_DECODER = msgspec.msgpack.Decoder(DataCentre)
_CALLER_GROUP_DECODER = msgspec.msgpack.Decoder(CallerGroup)
_SERVICE_DECODER = msgspec.msgpack.Decoder(Service)


def _encode(kind: PartKind, items: Iterable[_Item]) -> dict[PartKey, Part]:
    keys = {PartKey(kind, item.name): item for item in items}
    return {key: Part(key, _ENCODER.encode(item)) for key, item in keys.items()}


def split_parts(configuration: Configuration) -> dict[PartKey, Part]:
    """Return the parts of a configuration by key."""
    return {
        **_encode(PartKind.DATA_CENTRE, configuration.data_centres),
        **_encode(PartKind.CALLER_GROUP, configuration.caller_groups),
        **_encode(PartKind.SERVICE, configuration.services),
    }


def digest_of(revision: int, parts: Mapping[PartKey, Part]) -> bytes:
    """Return the digest of a revision, independent of the order of its parts."""
    digest = hashlib.blake2b(str(revision).encode(), digest_size=DIGEST_BYTES)
    for key in sorted(parts):
        head = f"{key.kind}{key.name}".encode()
        body = parts[key].body
        digest.update(len(head).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(head)
        digest.update(len(body).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(body)
    return digest.digest()


def _join(
    kind: PartKind,
    known: tuple[_ItemT, ...],
    changed: Mapping[PartKey, Part],
    removed: Iterable[PartKey],
    decoder: msgspec.msgpack.Decoder[_ItemT],
) -> tuple[_ItemT, ...]:
    by_name = {item.name: item for item in known}
    for key in removed:
        if key.kind is kind:
            by_name.pop(key.name, None)
    for key, part in changed.items():
        if key.kind is kind:
            item = decoder.decode(part.body)
            if item.name != key.name:
                raise msgspec.ValidationError(f"part {key.name!r} contains item {item.name!r}")
            by_name[key.name] = item
    return tuple(by_name[name] for name in sorted(by_name))


def join_parts(
    revision: int,
    known: Configuration,
    changed: Mapping[PartKey, Part],
    removed: Iterable[PartKey] = (),
) -> Configuration:
    """Return ``known`` with the given changes applied, each kind sorted by name.

    Raises :class:`msgspec.DecodeError` if a part cannot be decoded as an item of its
    kind, or if that item has another name.
    """
    removed = tuple(removed)
    return Configuration(
        revision=revision,
        data_centres=_join(
            PartKind.DATA_CENTRE, known.data_centres, changed, removed, _DATA_CENTRE_DECODER
        ),
        caller_groups=_join(
            PartKind.CALLER_GROUP, known.caller_groups, changed, removed, _CALLER_GROUP_DECODER
        ),
        services=_join(PartKind.SERVICE, known.services, changed, removed, _SERVICE_DECODER),
    )
