"""The changes that :func:`banyanline.config.diff` finds, as typed values."""

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
    """A data centre is new."""

    name: DataCentreName
    state: DataCentreState


@dataclass(frozen=True)
class DataCentreRemoved:
    """A data centre is no longer named."""

    name: DataCentreName


@dataclass(frozen=True)
class DataCentreOut:
    """A data centre goes out of service."""

    name: DataCentreName
    upstreams: int


@dataclass(frozen=True)
class DataCentreIn:
    """A data centre returns to service."""

    name: DataCentreName
    upstreams: int


@dataclass(frozen=True)
class ServiceAdded:
    """A service is new."""

    name: ServiceName
    address: Endpoint
    upstreams: int


@dataclass(frozen=True)
class ServiceRemoved:
    """A service is gone."""

    name: ServiceName


@dataclass(frozen=True)
class ServiceChanged:
    """A field of a service has another value."""

    name: ServiceName
    field: str
    old: object
    new: object


@dataclass(frozen=True)
class UpstreamAdded:
    """A service has a new upstream."""

    service: ServiceName
    name: UpstreamName
    data_centre: DataCentreName
    endpoint: Endpoint


@dataclass(frozen=True)
class UpstreamLeaving:
    """An upstream gets no new work from now on."""

    service: ServiceName
    name: UpstreamName


@dataclass(frozen=True)
class UpstreamReturned:
    """An upstream that was leaving gets new work again."""

    service: ServiceName
    name: UpstreamName


@dataclass(frozen=True)
class UpstreamRemoved:
    """An upstream is gone; ``was_leaving`` tells whether it had time to end its flows."""

    service: ServiceName
    name: UpstreamName
    was_leaving: bool


@dataclass(frozen=True)
class UpstreamMoved:
    """An upstream has another address or data centre."""

    service: ServiceName
    name: UpstreamName
    field: str
    old: object
    new: object


@dataclass(frozen=True)
class LimitChanged:
    """An upstream has another number of slots or connections."""

    service: ServiceName
    name: UpstreamName
    limit: str
    old: int
    new: int


@dataclass(frozen=True)
class CallerGroupAdded:
    """A caller group is new."""

    name: GroupName
    networks: tuple[str, ...]


@dataclass(frozen=True)
class CallerGroupRemoved:
    """A caller group is gone."""

    name: GroupName


@dataclass(frozen=True)
class NetworkMoved:
    """A network joins the group (``joins``) or leaves it."""

    group: GroupName
    network: str
    joins: bool


@dataclass(frozen=True)
class TimeZoneChanged:
    """The hours of a group follow another time zone."""

    group: GroupName
    old: str
    new: str


@dataclass(frozen=True)
class PatienceChanged:
    """The patience of a group changes in some hours of its local day, in minutes.

    The hours may cross midnight; an end equal to the start means the whole day.
    """

    group: GroupName
    start_minute: int
    end_minute: int
    old_s: float
    new_s: float


Change: TypeAlias = (
    DataCentreAdded
    | DataCentreRemoved
    | DataCentreOut
    | DataCentreIn
    | ServiceAdded
    | ServiceRemoved
    | ServiceChanged
    | UpstreamAdded
    | UpstreamLeaving
    | UpstreamReturned
    | UpstreamRemoved
    | UpstreamMoved
    | LimitChanged
    | CallerGroupAdded
    | CallerGroupRemoved
    | NetworkMoved
    | TimeZoneChanged
    | PatienceChanged
)
