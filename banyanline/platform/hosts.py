"""The platform's list of live and leaving hosts."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from banyanline.core.types import Host, HostState


class HostsError(NamedTuple):
    """A list of hosts that cannot be read."""

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
    """Return the hosts in the JSON list ``data``.

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
