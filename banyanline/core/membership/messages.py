"""Datagrams by which balancers probe each other and spread changes of membership."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from banyanline.core.types import Host, HostName


class MemberStatus(IntEnum):
    """What is held of a host. Of two claims with one incarnation the greater wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


class Place(msgspec.Struct, array_like=True, frozen=True):
    """Where a host is, for receivers that do not know it from the platform's list yet."""

    data_centre: str
    fabric_group: str
    address: str
    peer_port: int
    control_port: int


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One claim about a host.

    ``origin`` is the identity of the balancer whose own probe failed, so that
    independent suspicions can be told from one that was passed on.
    """

    name: HostName
    status: MemberStatus
    incarnation: int
    origin: int = 0
    place: Place | None = None


class Probe(msgspec.Struct, tag="probe", array_like=True, frozen=True):
    """Asks the receiver to acknowledge ``sequence``.

    ``digest`` is the same for two processes that hold the same hosts to be alive.
    """

    sender: HostName
    incarnation: int
    is_leaving: bool
    revision: int
    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    wants_state: bool = False
    wants_places: bool = False
    digest: int = 0


class ProbeAck(msgspec.Struct, tag="ack", array_like=True, frozen=True):
    """Answers a probe, or passes on that the target of a probe request answered.

    ``contacts`` says how long ago the sender knew other hosts of its fabric group
    to be in contact, as packed by :class:`~.contacts.ContactTable`.
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


def place_of(host: Host) -> Place:
    """Return where ``host`` is, in the form that datagrams carry."""
    return Place(
        host.data_centre, host.fabric_group, host.address, host.peer_port, host.control_port
    )


def host_at(name: HostName, place: Place) -> Host:
    """Return the host ``name`` at ``place``."""
    return Host(
        name,
        place.data_centre,
        place.fabric_group,
        place.address,
        place.peer_port,
        place.control_port,
    )
