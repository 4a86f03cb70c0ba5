"""Messages that balancers exchange to probe each other and to disseminate membership changes."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from banyanline.core.types import Host, HostName


class MemberStatus(IntEnum):
    """Status of a host. Among claims with the same incarnation the highest value wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class HostLocation(msgspec.Struct, array_like=True, frozen=True):
    """Location of a host, for receivers that do not have it in their platform list yet."""

    data_centre: str
    fabric_group: str
    address: str
    peer_port: int
    control_port: int


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A claim about the status of a host.

    ``origin`` is the hash of the name of the balancer whose own probe failed. It
    distinguishes independent suspicions from relayed copies of the same one.
    """

    name: HostName
    status: MemberStatus
    incarnation: int
    origin: int = 0
    location: HostLocation | None = None


class Probe(msgspec.Struct, tag="probe", array_like=True, frozen=True):
    """Asks the receiver to acknowledge ``sequence``.

    ``digest`` is equal in two processes that consider the same hosts alive.
    """

    sender: HostName
    incarnation: int
    is_leaving: bool
    revision: int
    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    wants_state: bool = False
    wants_locations: bool = False
    digest: int = 0


class ProbeAck(msgspec.Struct, tag="ack", array_like=True, frozen=True):
    """Acknowledges a probe, or relays the acknowledgement of a probe request's target.

    ``contacts`` holds the ages of the sender's latest contacts with other hosts of its
    fabric group, as packed by :class:`~.contacts.ContactTable`.
    """

    sender: HostName
    incarnation: int
    is_leaving: bool
    revision: int
    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    contacts: bytes = b""
    digest: int = 0


class ProbeRequest(msgspec.Struct, tag="ask", array_like=True, frozen=True):
    """Asks the receiver to probe ``target`` on the sender's behalf."""

    sender: HostName
    incarnation: int
    is_leaving: bool
    revision: int
    sequence: int
    target: HostName
    updates: tuple[MemberUpdate, ...] = ()


MembershipMessage: TypeAlias = Probe | ProbeAck | ProbeRequest


def location_of(host: Host) -> HostLocation:
    """Return the location of ``host`` in its wire format."""
    return HostLocation(
        host.data_centre, host.fabric_group, host.address, host.peer_port, host.control_port
    )


def host_from_location(name: HostName, location: HostLocation) -> Host:
    """Return the host ``name`` at ``location``."""
    return Host(
        name,
        location.data_centre,
        location.fabric_group,
        location.address,
        location.peer_port,
        location.control_port,
    )
