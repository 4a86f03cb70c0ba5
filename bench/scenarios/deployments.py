"""The two users' deployments at their present sizes, on loopback addresses."""

from __future__ import annotations

from typing import NamedTuple

from bench.network.addresses import FIRST_HOST_PORT, SERVICE_PORT, UPSTREAM_PORT, AddressPlan
from bench.network.fabric import ServiceRoute
from bench.standins.capacity import Ramp
from bench.standins.upstream import UpstreamSpec

SLOTS_PER_UPSTREAM = 2
CONNECTIONS_PER_UPSTREAM = 2000
SERVICE_TIME_S = 0.03


class ServiceSpec(NamedTuple):
    """A service, its number of upstreams and its load."""

    name: str
    upstreams: int
    request_kinds: tuple[str, ...]
    """Kinds of request, each with an equal share of the load: ``post``, ``get``, ``sheet``."""
    streams: int = 0
    protocol: str = "coap"


class Deployment(NamedTuple):
    """The topology and load of one user's deployment; delays are one-way."""

    name: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    caller_group: str
    time_zone: str
    caller_delay_s: float
    balancers_per_data_centre: int = 2
    patience_s: float = 5.0
    cold_start_s: float = 5.0


SPLIT = Deployment(
    name="split",
    data_centres=("split-sjever", "split-centar", "split-jug"),
    services=(
        ServiceSpec("stup-napajanje", 7, ("post", "get"), streams=60),
        ServiceSpec("raspored-izlaz", 3, ("sheet",)),
        ServiceSpec("stup-javljanje", 3, (), streams=12, protocol="udp"),
    ),
    caller_group="lamp-posts",
    time_zone="Europe/Zagreb",
    caller_delay_s=0.003,
)
SLOVENIA = Deployment(
    name="slovenia",
    data_centres=("si-lj", "si-mb", "si-kp"),
    services=(
        ServiceSpec("meter", 7, ("post", "get"), streams=60),
        ServiceSpec("porocila", 3, ("sheet",)),
        ServiceSpec("zanka-javljanje", 3, (), streams=12, protocol="udp"),
    ),
    caller_group="installers",
    time_zone="Europe/Ljubljana",
    caller_delay_s=0.001,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (SPLIT, SLOVENIA)}


def cold_start_ramp(deployment: Deployment) -> Ramp:
    """Return the slow-start ramp of the deployment's upstreams."""
    return Ramp(
        duration_s=deployment.cold_start_s,
        full_slots=SLOTS_PER_UPSTREAM,
        full_rate=SLOTS_PER_UPSTREAM / SERVICE_TIME_S,
    )


def service_routes(deployment: Deployment, plan: AddressPlan) -> tuple[ServiceRoute, ...]:
    """Return the address and host port of each service."""
    return tuple(
        ServiceRoute(service.name, (plan.service(idx), SERVICE_PORT), FIRST_HOST_PORT + idx)
        for idx, service in enumerate(deployment.services)
    )


def upstream_specs(deployment: Deployment, plan: AddressPlan) -> list[UpstreamSpec]:
    """Return all upstreams; those of a service are spread round-robin over the data centres."""
    specs: list[UpstreamSpec] = []
    for service in deployment.services:
        first = len(specs)
        specs.extend(
            upstream_spec(deployment, plan, service.name, idx, first + idx)
            for idx in range(service.upstreams)
        )
    return specs


def upstream_spec(
    deployment: Deployment, plan: AddressPlan, service: str, idx: int, address_idx: int
) -> UpstreamSpec:
    """Return the upstream with the zero-based index ``idx`` in ``service``."""
    return UpstreamSpec(
        name=f"{service}-{idx + 1}",
        service=service,
        data_centre=deployment.data_centres[idx % len(deployment.data_centres)],
        address=(plan.upstream(address_idx), UPSTREAM_PORT),
        slots=SLOTS_PER_UPSTREAM,
        service_time_s=SERVICE_TIME_S,
        ramp=cold_start_ramp(deployment),
    )


def service_capacity(service: ServiceSpec) -> float:
    """Return the capacity of all upstreams of ``service`` when warm, in requests per second."""
    return service.upstreams * SLOTS_PER_UPSTREAM / SERVICE_TIME_S
