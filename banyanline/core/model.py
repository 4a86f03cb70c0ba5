"""The configuration as the core reads it: immutable, checked, with one revision.

``banyanline.config`` builds these values from the operators' JSON document. The
core never changes one; a new revision is a new :class:`Configuration`.
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
    """The ramp of an upstream that has just started.

    The upstream bears ``initial_slots`` concurrent requests (at least 1) and
    ``initial_rate`` requests a second at first; both grow linearly to the full
    value over ``duration_s``.
    """

    duration_s: float = 10.0
    initial_slots: int = 1
    initial_rate: float = 5.0


class Upstream(NamedTuple):
    """One target of a service."""

    name: UpstreamName
    service: ServiceName
    data_centre: DataCentreName
    endpoint: Endpoint
    state: UpstreamState = UpstreamState.IN_SERVICE
    slots: int = 2
    connections: int = 2000


class Service(NamedTuple):
    """A service address and the upstreams behind it.

    ``address`` is where callers send to. ``host_port`` is the port at which a
    balancer host takes the service's datagrams if the fabric rewrites the
    destination address to the host's own.
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
    """Patience from ``start_minute`` to ``end_minute`` of the local day, in minutes.

    The start belongs to the window and the end does not. A window whose end is
    less than its start crosses midnight.
    """

    start_minute: int
    end_minute: int
    patience_s: float


class CallerGroup(NamedTuple):
    """Callers, by network, whose patience follows one local day."""

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
    """One accepted configuration. A greater ``revision`` replaces a lesser one."""

    revision: int
    data_centres: tuple[DataCentre, ...]
    caller_groups: tuple[CallerGroup, ...]
    services: tuple[Service, ...]

    def is_data_centre_in_service(self, name: DataCentreName) -> bool:
        """Whether packets may go to upstreams in the data centre ``name``."""
        return any(
            data_centre.name == name and data_centre.state is DataCentreState.IN_SERVICE
            for data_centre in self.data_centres
        )
