"""Type aliases and small value types shared by all parts of the core."""

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
    """An IP address with a UDP or TCP port.

    >>> str(Endpoint("192.0.2.7", 5683))
    '192.0.2.7:5683'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Protocol(StrEnum):
    """How a service's datagrams are interpreted: as CoAP or as opaque UDP."""

    COAP = "coap"
    UDP = "udp"


class UpstreamState(StrEnum):
    """State of an upstream as configured by the operators."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"


class DataCentreState(StrEnum):
    """State of a data centre as configured by the operators."""

    IN_SERVICE = "in_service"
    OUT = "out"


class HostState(StrEnum):
    """State of a balancer host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """A balancer host, from the platform's list or learned from a peer."""

    name: HostName
    data_centre: DataCentreName
    fabric_group: str
    address: str
    peer_port: int
    control_port: int
    state: HostState = HostState.LIVE

    @property
    def peer_endpoint(self) -> Endpoint:
        """The endpoint that receives datagrams of other balancers."""
        return Endpoint(self.address, self.peer_port)

    @property
    def control_endpoint(self) -> Endpoint:
        """The endpoint that receives gRPC calls of other balancers."""
        return Endpoint(self.address, self.control_port)
