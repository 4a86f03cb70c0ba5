"""The configuration document of a run and the changes that operators make to it."""

from __future__ import annotations

from banyanline import config
from banyanline.core.model import Configuration
from bench.network.addresses import AddressPlan
from bench.scenarios.deployments import (
    CONNECTIONS_PER_UPSTREAM,
    Deployment,
    ServiceSpec,
    cold_start_ramp,
    service_routes,
)
from bench.standins.upstream import UpstreamSpec

IDLE_TIMEOUT_S = 300.0


class InvalidDocumentError(Exception):
    """The generated document was rejected by the validation of ``banyanline.config``."""


class ConfigurationDocument:
    """The document specified in ``docs/design/protocols.md``; each change raises its revision."""

    def __init__(
        self, deployment: Deployment, plan: AddressPlan, specs: list[UpstreamSpec]
    ) -> None:
        self._revision = 1
        self._deployment = deployment
        self._plan = plan
        self._upstreams = {spec.name: spec for spec in specs}
        self._leaving: set[str] = set()
        self._out_of_service: set[str] = set()

    @property
    def revision(self) -> int:
        """The current revision."""
        return self._revision

    @property
    def leaving(self) -> frozenset[str]:
        """Names of upstreams that are leaving."""
        return frozenset(self._leaving)

    @property
    def out_of_service(self) -> frozenset[str]:
        """Names of data centres that are out of service."""
        return frozenset(self._out_of_service)

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream, or put a leaving one back in service."""
        self._revision += 1
        self._upstreams[spec.name] = spec
        self._leaving.discard(spec.name)

    def mark_leaving(self, name: str) -> None:
        """Mark an upstream as leaving."""
        self._revision += 1
        self._leaving.add(name)

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream from the document."""
        self._revision += 1
        self._leaving.discard(name)
        del self._upstreams[name]

    def take_out_of_service(self, data_centre: str) -> None:
        """Take a data centre out of service."""
        self._revision += 1
        self._out_of_service.add(data_centre)

    def return_to_service(self, data_centre: str) -> None:
        """Return a data centre to service."""
        self._revision += 1
        self._out_of_service.discard(data_centre)

    def bump_revision(self) -> None:
        """Raise the revision without any other change."""
        self._revision += 1

    def encode(self) -> bytes:
        """Return the JSON document; raise InvalidDocumentError if validation rejects it."""
        deployment = self._deployment
        network = self._plan.caller_network
        group = config.caller_group(
            deployment.caller_group, [network], deployment.time_zone, deployment.patience_s
        )
        document = config.document(
            self._revision,
            [
                config.data_centre(name, out=name in self._out_of_service)
                for name in deployment.data_centres
            ],
            [self._service(service) for service in deployment.services],
            [group],
        )
        checked = config.check_document(document)
        if not isinstance(checked, Configuration):
            raise InvalidDocumentError(str(checked))
        return config.render_document(checked)

    def _service(self, service: ServiceSpec) -> config.ServiceDocument:
        routes = {route.name: route for route in service_routes(self._deployment, self._plan)}
        route = routes[service.name]
        ramp = cold_start_ramp(self._deployment)
        return config.service(
            service.name,
            f"{route.address[0]}:{route.address[1]}",
            [
                self._upstream(spec)
                for spec in self._upstreams.values()
                if spec.service == service.name
            ],
            protocol="udp" if service.protocol == "udp" else "coap",
            host_port=route.host_port,
            idle_timeout_s=IDLE_TIMEOUT_S,
            cold_start=config.cold_start(ramp.duration_s, ramp.initial_slots, ramp.initial_rate),
        )

    def _upstream(self, spec: UpstreamSpec) -> config.UpstreamDocument:
        return config.upstream(
            spec.name,
            spec.data_centre,
            f"{spec.address[0]}:{spec.address[1]}",
            slots=spec.slots,
            connections=CONNECTIONS_PER_UPSTREAM,
            leaving=spec.name in self._leaving,
        )
