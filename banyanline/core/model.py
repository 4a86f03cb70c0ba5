"""The configuration model of the core: immutable, validated, with a revision number.

``banyanline.config`` builds these values from the operators' JSON document. The
core never modifies them; a new revision is a new :class:`Configuration`.
"""

from __future__ import annotations

from typing import NamedTuple

from banyanline.core.types import (
    DataCentreName,
    DataCentreState,
    Endpoint,
    GroupName,
    Protocol,
    ServiceName,
    UpstreamName,
    UpstreamState,
)


class ColdStart(NamedTuple):
    """Slow start: the load ramp of an upstream that has just started.

    The upstream initially gets ``initial_slots`` concurrent requests (at least 1) and
    ``initial_rate`` requests per second. Both limits grow linearly to their full
    values over ``duration_s``.
    """

    duration_s: float = 10.0
    initial_slots: int = 1
    initial_rate: float = 5.0


class Upstream(NamedTuple):
    """One backend instance of a service."""

    name: UpstreamName
    service: ServiceName
    data_centre: DataCentreName
    endpoint: Endpoint
    state: UpstreamState = UpstreamState.IN_SERVICE
    slots: int = 2
    connections: int = 2000


class Service(NamedTuple):
    """A service address and the upstreams behind it.

    Callers send to ``address``. ``host_port`` is the port on which a balancer host
    receives the service's datagrams if the fabric rewrites the destination address
    to the host's own address.
    """

    name: ServiceName
    address: Endpoint
    host_port: int
    protocol: Protocol
    upstreams: tuple[Upstream, ...]
    cold_start: ColdStart = ColdStart()
    idle_timeout_s: float = 300.0
    health_path: str = "health"


class PatienceWindow(NamedTuple):
    """How long callers wait for a response between two minutes of the local day.

    The window includes ``start_minute`` and excludes ``end_minute``. A window whose end
    is less than its start crosses midnight.
    """

    start_minute: int
    end_minute: int
    patience_s: float


class CallerGroup(NamedTuple):
    """Callers, selected by network, that share a time zone and patience windows."""

    name: GroupName
    networks: tuple[str, ...]
    time_zone: str
    windows: tuple[PatienceWindow, ...]
    default_patience_s: float = 5.0


class DataCentre(NamedTuple):
    """A data centre and whether it is in service."""

    name: DataCentreName
    state: DataCentreState = DataCentreState.IN_SERVICE


class Configuration(NamedTuple):
    """One accepted configuration; a higher ``revision`` replaces a lower one."""

    revision: int
    data_centres: tuple[DataCentre, ...]
    caller_groups: tuple[CallerGroup, ...]
    services: tuple[Service, ...]

    def is_data_centre_in_service(self, name: DataCentreName) -> bool:
        """Whether upstreams in the data centre ``name`` may receive packets."""
        return any(
            data_centre.name == name and data_centre.state is DataCentreState.IN_SERVICE
            for data_centre in self.data_centres
        )
