"""Names and small value types that all parts of the core share."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

HostName: TypeAlias = str
DataCentreName: TypeAlias = str
ServiceName: TypeAlias = str
UpstreamName: TypeAlias = str
GroupName: TypeAlias = str

Seconds: TypeAlias = float
"""A time of the monotonic clock, or a duration, in seconds."""


class Endpoint(NamedTuple):
    """An IP number with a UDP or TCP port.

    >>> str(Endpoint("192.0.2.7", 5683))
    '192.0.2.7:5683'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Protocol(StrEnum):
    """How a service's datagrams are read."""

    COAP = "coap"
    UDP = "udp"


class UpstreamState(StrEnum):
    """What the operators want of an upstream."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"


class DataCentreState(StrEnum):
    """What the operators want of a data centre."""

    IN_SERVICE = "in_service"
    OUT = "out"


class HostState(StrEnum):
    """What the platform's list says of a balancer host."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """A balancer host as the platform lists it or as its peers know it."""

    name: HostName
    data_centre: DataCentreName
    fabric_group: str
    address: str
    peer_port: int
    control_port: int
    state: HostState = HostState.LIVE

    @property
    def peer_endpoint(self) -> Endpoint:
        """Where the host takes datagrams of other balancers."""
        return Endpoint(self.address, self.peer_port)

    @property
    def control_endpoint(self) -> Endpoint:
        """Where the host takes gRPC calls of other balancers."""
        return Endpoint(self.address, self.control_port)
