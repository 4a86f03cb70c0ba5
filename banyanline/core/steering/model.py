"""Routes, services and upstreams as steering reads them: immutable and checked."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from banyanline.core.steering.packet import Cookie, ServiceAddress
from banyanline.core.types import DataCentreName, Endpoint, Seconds, ServiceName, UpstreamName

Revision: TypeAlias = int
"""A number of the platform's store that grows with each change; 0 stands for none."""


class RouteKind(StrEnum):
    """What a caller may do with a request whose outcome it does not know."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class ServiceShare(NamedTuple):
    """A service of a route, and its weight among the route's services."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """Where the new flows of one service address go.

    ``patience_s`` is how long a caller waits for an answer and ``objective_s`` the
    time within which it should have it. A ``priority`` of 0 is the highest.
    """

    name: str
    address: ServiceAddress
    kind: RouteKind
    patience_s: Seconds
    objective_s: Seconds
    priority: int
    shares: tuple[ServiceShare, ...]


class ColdLimit(NamedTuple):
    """The new flows a second that an upstream bears for ``duration_s`` after its start.

    A rate of 0 stands for no limit.
    """

    duration_s: Seconds
    rate: float


class RoutingTable(NamedTuple):
    """One accepted configuration; a greater ``version`` replaces a lesser one."""

    version: int
    routes: Mapping[ServiceAddress, Route]
    cold_limits: Mapping[ServiceName, ColdLimit]
    idle_timeout_s: Seconds


class UpstreamEntry(NamedTuple):
    """What an upstream says of itself.

    ``wire_id`` goes before each packet for it and ``cookie`` names it in packets of
    its callers. ``cold_for_s`` is how much longer it stays cold. ``incarnation``
    differs between two starts under one name; it is None where the upstream does
    not say it.
    """

    name: UpstreamName
    wire_id: int
    cookie: Cookie
    service: ServiceName
    endpoint: Endpoint
    data_centre: DataCentreName
    slots: int
    is_leaving: bool
    cold_for_s: Seconds
    incarnation: int | None


class UpstreamChanged(NamedTuple):
    """An upstream's entry was written at ``revision``; ``created`` is its first writing."""

    entry: UpstreamEntry
    revision: Revision
    created: Revision


class UpstreamRemoved(NamedTuple):
    """An upstream has no usable entry any more."""

    name: UpstreamName
    revision: Revision


class TableChanged(NamedTuple):
    """A configuration was put in force."""

    table: RoutingTable
    revision: Revision


class DataCentreOut(NamedTuple):
    """Operators take a data centre out of service, or back in."""

    data_centre: DataCentreName
    is_out: bool
    revision: Revision


Change: TypeAlias = UpstreamChanged | UpstreamRemoved | TableChanged | DataCentreOut


class KnownUpstream(NamedTuple):
    """What a host knows of an upstream; ``has_entry`` is False if its entry went."""

    entry: UpstreamEntry
    revision: Revision
    created: Revision
    has_entry: bool


class FleetView(NamedTuple):
    """What one host tells another of the platform: all that changed up to ``revision``.

    ``age_s`` is the time since the teller heard of the store. ``table`` is None if it
    has not changed, or is too large to tell; ``table_version`` shows which.
    ``data_centre`` is the teller's, and ``askers`` the number of hosts that ask it,
    with itself; 0 stands for a number that is not known.
    """

    revision: Revision
    age_s: Seconds
    table_version: int
    table: RoutingTable | None
    upstreams: tuple[KnownUpstream, ...]
    data_centres: tuple[DataCentreOut, ...]
    data_centre: DataCentreName = ""
    askers: int = 0
