"""Lookup index over one accepted configuration."""

from __future__ import annotations

from banyanline.core.model import Configuration, Service, Upstream
from banyanline.core.types import Protocol, Seconds, ServiceName, UpstreamName, UpstreamState


class Directory:
    """Services and upstreams of one configuration, indexed by name and state."""

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
        self._unreachable = {
            name: upstream
            for name, upstream in self._upstreams.items()
            if name not in self._reachable
        }
        self._available = {
            service.name: tuple(
                upstream
                for upstream in service.upstreams
                if upstream.name in self._reachable and upstream.state is UpstreamState.IN_SERVICE
            )
            for service in configuration.services
        }

    @property
    def configuration(self) -> Configuration:
        """The indexed configuration."""
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
        """Upstreams that may receive packets: those whose data centre is in service."""
        return self._reachable

    @property
    def unreachable(self) -> dict[UpstreamName, Upstream]:
        """Upstreams in data centres that are out of service."""
        return self._unreachable

    @property
    def shortest_idle_timeout_s(self) -> Seconds:
        """The shortest idle timeout of all UDP services, infinite if there is none."""
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
        """Return the idle timeout of a service's flows, infinite if it is not configured."""
        configured = self._services.get(service)
        return configured.idle_timeout_s if configured is not None else float("inf")

    def unreachable_upstreams(self, service: ServiceName) -> list[UpstreamName]:
        """Return the service's upstreams in data centres that are out of service."""
        return [name for name, upstream in self._unreachable.items() if upstream.service == service]

    def available_upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept new work.

        These are the reachable ones that are not leaving.
        """
        return self._available.get(service, ())
