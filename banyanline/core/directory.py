"""An index over one accepted configuration."""

from __future__ import annotations

from banyanline.core.model import Configuration, Service, Upstream
from banyanline.core.types import Protocol, Seconds, ServiceName, UpstreamName, UpstreamState


class Directory:
    """Services and upstreams by name, as one configuration has them."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._services = {service.name: service for service in configuration.services}
        self._upstreams = {
            upstream.name: upstream
            for service in configuration.services
            for upstream in service.upstreams
        }
        in_service = {
            data_centre.name
            for data_centre in configuration.data_centres
            if configuration.is_data_centre_in_service(data_centre.name)
        }
        self._reachable = {
            name: upstream
            for name, upstream in self._upstreams.items()
            if upstream.data_centre in in_service
        }
        self._open = {
            service.name: tuple(
                upstream
                for upstream in service.upstreams
                if upstream.name in self._reachable and upstream.state is UpstreamState.IN_SERVICE
            )
            for service in configuration.services
        }

    @property
    def configuration(self) -> Configuration:
        """The configuration that is indexed."""
        return self._configuration

    @property
    def revision(self) -> int:
        """The configuration's revision."""
        return self._configuration.revision

    @property
    def services(self) -> dict[ServiceName, Service]:
        """All services by name."""
        return self._services

    @property
    def reachable(self) -> dict[UpstreamName, Upstream]:
        """Upstreams to which packets may go: those whose data centre is in service."""
        return self._reachable

    @property
    def shortest_idle_timeout_s(self) -> Seconds:
        """The shortest of these times over all services of opaque flows."""
        times = (
            service.idle_timeout_s
            for service in self._services.values()
            if service.protocol is Protocol.UDP
        )
        return min(times, default=float("inf"))

    def service(self, name: ServiceName) -> Service | None:
        """Return a service."""
        return self._services.get(name)

    def upstream(self, name: UpstreamName) -> Upstream | None:
        """Return an upstream, in service or not."""
        return self._upstreams.get(name)

    def idle_timeout_s(self, service: ServiceName) -> Seconds:
        """Return how long a flow of a service stays open without traffic.

        A service that is not configured has no limit of its own.
        """
        configured = self._services.get(service)
        return configured.idle_timeout_s if configured is not None else float("inf")

    def has_closed_upstreams(self, service: ServiceName) -> bool:
        """Whether the data centre of one of the service's upstreams is out of service."""
        configured = self._services.get(service)
        return configured is not None and any(
            upstream.name not in self._reachable for upstream in configured.upstreams
        )

    def open_upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may take new work."""
        return self._open.get(service, ())
