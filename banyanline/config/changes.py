"""Typed changes between two configurations, as returned by :func:`banyanline.config.diff`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from banyanline.core.types import (
        DataCentreName,
        DataCentreState,
        Endpoint,
        GroupName,
        ServiceName,
        UpstreamName,
    )


@dataclass(frozen=True)
class DataCentreAdded:
    """A data centre was added."""

    name: DataCentreName
    state: DataCentreState


@dataclass(frozen=True)
class DataCentreRemoved:
    """A data centre was removed."""

    name: DataCentreName


@dataclass(frozen=True)
class DataCentreTakenOut:
    """A data centre was taken out of service; ``upstreams`` counts those in it."""

    name: DataCentreName
    upstreams: int


@dataclass(frozen=True)
class DataCentreReturned:
    """A data centre was returned to service; ``upstreams`` counts those in it."""

    name: DataCentreName
    upstreams: int


@dataclass(frozen=True)
class ServiceAdded:
    """A service was added; ``upstreams`` counts its upstreams."""

    name: ServiceName
    address: Endpoint
    upstreams: int


@dataclass(frozen=True)
class ServiceRemoved:
    """A service was removed."""

    name: ServiceName


@dataclass(frozen=True)
class ServiceChanged:
    """A field of a service changed."""

    name: ServiceName
    field: str
    old: object
    new: object


@dataclass(frozen=True)
class UpstreamAdded:
    """An upstream was added to a service."""

    service: ServiceName
    name: UpstreamName
    data_centre: DataCentreName
    endpoint: Endpoint


@dataclass(frozen=True)
class UpstreamLeaving:
    """An upstream was set to leaving: it gets no new requests or flows."""

    service: ServiceName
    name: UpstreamName


@dataclass(frozen=True)
class UpstreamReturned:
    """An upstream that was leaving is back in service and gets new requests and flows."""

    service: ServiceName
    name: UpstreamName


@dataclass(frozen=True)
class UpstreamRemoved:
    """An upstream was removed; ``was_leaving`` tells whether it could drain its flows first."""

    service: ServiceName
    name: UpstreamName
    was_leaving: bool


@dataclass(frozen=True)
class UpstreamLocationChanged:
    """The address or the data centre of an upstream changed."""

    service: ServiceName
    name: UpstreamName
    field: str
    old: object
    new: object


@dataclass(frozen=True)
class LimitChanged:
    """The number of slots or connections of an upstream changed."""

    service: ServiceName
    name: UpstreamName
    limit: str
    old: int
    new: int


@dataclass(frozen=True)
class CallerGroupAdded:
    """A caller group was added."""

    name: GroupName
    networks: tuple[str, ...]


@dataclass(frozen=True)
class CallerGroupRemoved:
    """A caller group was removed."""

    name: GroupName


@dataclass(frozen=True)
class GroupNetworkChanged:
    """A network was added to a caller group (``is_added``) or removed from it."""

    group: GroupName
    network: str
    is_added: bool


@dataclass(frozen=True)
class TimeZoneChanged:
    """The time zone of a caller group changed."""

    group: GroupName
    old: str
    new: str


@dataclass(frozen=True)
class PatienceChanged:
    """The patience of a caller group changed during part of its local day.

    ``start_minute`` and ``end_minute`` are minutes of the day. The period may cross
    midnight; an end equal to the start means the whole day.
    """

    group: GroupName
    start_minute: int
    end_minute: int
    old_s: float
    new_s: float


Change: TypeAlias = (
    DataCentreAdded
    | DataCentreRemoved
    | DataCentreTakenOut
    | DataCentreReturned
    | ServiceAdded
    | ServiceRemoved
    | ServiceChanged
    | UpstreamAdded
    | UpstreamLeaving
    | UpstreamReturned
    | UpstreamRemoved
    | UpstreamLocationChanged
    | LimitChanged
    | CallerGroupAdded
    | CallerGroupRemoved
    | GroupNetworkChanged
    | TimeZoneChanged
    | PatienceChanged
)
