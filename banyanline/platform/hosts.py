"""Decodes the platform's list of live and leaving hosts."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from banyanline.core.types import Host, HostState


class HostsError(NamedTuple):
    """Why a list of hosts cannot be decoded."""

    detail: str


class _HostDocument(msgspec.Struct, frozen=True):
    """One host in the platform's list."""

    name: str
    data_centre: str
    fabric_group: str
    address: str
    peer_port: int
    control_port: int
    state: HostState = HostState.LIVE


_DECODER = msgspec.json.Decoder(tuple[_HostDocument, ...])


def parse_hosts(data: bytes) -> tuple[Host, ...] | HostsError:
    """Decode the JSON list of hosts in ``data``.

    >>> parse_hosts(b"[]")
    ()
    """
    try:
        documents = _DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        return HostsError(str(error))
    return tuple(
        Host(
            document.name,
            document.data_centre,
            document.fabric_group,
            document.address,
            document.peer_port,
            document.control_port,
            document.state,
        )
        for document in documents
    )
