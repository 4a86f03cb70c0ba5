"""Immutable, validated routes, services and upstreams, and the changes to them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from banyanline.core.steering.packet import Cookie, ServiceAddress
from banyanline.core.types import DataCentreName, Endpoint, Seconds, ServiceName, UpstreamName

Revision: TypeAlias = int
"""Revision of the platform's store, which increases with each change; 0 means none.

It is only comparable within one era of the store.
"""

StoreEra: TypeAlias = int
"""Number of times that the store was restored from an older copy; 0 means unknown."""


class RouteKind(StrEnum):
    """The kind of requests that a route carries.

    >>> RouteKind.UPLOAD.is_idempotent
    False
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
    """Idempotent requests with large responses."""
    UPLOAD = "upload"
    """Non-idempotent requests with large bodies."""

    @property
    def is_idempotent(self) -> bool:
        """Whether a caller may repeat a request whose outcome it does not know."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD)


class ServiceShare(NamedTuple):
    """A service of a route, and its relative weight among the route's services."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """The services that get the new flows to one service address.

    ``patience_s`` is how long a caller waits for a response and ``objective_s`` the
    target response time. A ``priority`` of 0 is the highest.
    """

    name: str
    address: ServiceAddress
    kind: RouteKind
    patience_s: Seconds
    objective_s: Seconds
    priority: int
    shares: tuple[ServiceShare, ...]


class ColdLimit(NamedTuple):
    """Limit on an upstream's new flows per second for ``duration_s`` after its start.

    A ``rate`` of 0 means no limit.
    """

    duration_s: Seconds
    rate: float


class Defect(NamedTuple):
    """An element of a configuration document that could not be read as written.

    ``path`` locates it in the document, ``value`` is what was found, abbreviated, and
    ``effect`` says why it could not be read or what is done instead.
    """

    path: str
    value: str
    effect: str


class RoutingTable(NamedTuple):
    """One accepted configuration; a higher ``version`` replaces a lower one.

    ``is_complete`` is False if the document has routes that could not be read.
    """

    version: int
    routes: Mapping[ServiceAddress, Route]
    cold_limits: Mapping[ServiceName, ColdLimit]
    idle_timeout_s: Seconds
    defects: tuple[Defect, ...] = ()
    is_complete: bool = True


class UpstreamEntry(NamedTuple):
    """An upstream's registration entry in the platform's store.

    ``wire_id`` is prepended to each packet sent to the upstream and ``cookie`` identifies
    it in its callers' packets. ``cold_for_s`` is how much longer it stays cold.
    ``incarnation`` increases with each start under one name; it is None if the upstream
    does not publish it. ``sequence`` increases with each write of an incarnation.
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
    sequence: int = 0


class UpstreamChanged(NamedTuple):
    """An upstream's entry was written at ``revision``, and first at ``created``."""

    entry: UpstreamEntry
    revision: Revision
    created: Revision


class UpstreamRemoved(NamedTuple):
    """An upstream no longer has a usable entry."""

    name: UpstreamName
    revision: Revision


class TableChanged(NamedTuple):
    """A configuration came into force."""

    table: RoutingTable
    revision: Revision


class DataCentreChanged(NamedTuple):
    """Operators took a data centre out of service, or put it back."""

    data_centre: DataCentreName
    is_out: bool
    revision: Revision


Change: TypeAlias = UpstreamChanged | UpstreamRemoved | TableChanged | DataCentreChanged


class KnownUpstream(NamedTuple):
    """An upstream as a host reports it to a peer; ``has_entry`` is False after a removal."""

    entry: UpstreamEntry
    revision: Revision
    created: Revision
    has_entry: bool


class FleetView(NamedTuple):
    """The state of the platform that one host sends to another: all changes up to ``revision``.

    Revisions are those of the store's ``era``; 0 marks what is only known from an earlier era.
    ``age_s`` is the time since the sender's knowledge of the store was current. ``table``
    is None if it has not changed or is too large to send; ``table_version`` shows which.
    ``data_centre`` is that of the sender, and ``polling_hosts`` the number of hosts that poll it,
    itself included; 0 means that this number is unknown.
    """

    revision: Revision
    age_s: Seconds
    table_version: int
    table: RoutingTable | None
    upstreams: tuple[KnownUpstream, ...]
    data_centres: tuple[DataCentreChanged, ...]
    data_centre: DataCentreName = ""
    polling_hosts: int = 0
    era: StoreEra = 0
