"""The two deployments at today's sizes, on loopback addresses."""

from __future__ import annotations

from typing import NamedTuple

from bench.network.addresses import FIRST_HOST_PORT, SERVICE_PORT, UPSTREAM_PORT, AddressPlan
from bench.network.fabric import ServiceRoute
from bench.standins.capacity import Ramp
from bench.standins.upstream import UpstreamSpec

SLOTS = 2
CONNECTIONS = 2000
SERVICE_TIME_S = 0.03


class ServiceSize(NamedTuple):
    """A service with its number of upstreams and what callers ask of it."""

    name: str
    upstreams: int
    kinds: tuple[str, ...]
    """Request kinds with equal shares of the load: ``post``, ``get``, ``sheet``."""
    streams: int = 0
    protocol: str = "coap"


class Deployment(NamedTuple):
    """The shape of one user's deployment; delays are one way, in seconds."""

    name: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceSize, ...]
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
        ServiceSize("stup-napajanje", 7, ("post", "get"), streams=60),
        ServiceSize("raspored-izlaz", 3, ("sheet",)),
        ServiceSize("stup-javljanje", 3, (), streams=12, protocol="udp"),
    ),
    caller_group="lamp-posts",
    time_zone="Europe/Zagreb",
    caller_delay_s=0.003,
)
SLOVENIA = Deployment(
    name="slovenia",
    data_centres=("si-lj", "si-mb", "si-kp"),
    services=(
        ServiceSize("meter", 7, ("post", "get"), streams=60),
        ServiceSize("porocila", 3, ("sheet",)),
        ServiceSize("zanka-javljanje", 3, (), streams=12, protocol="udp"),
    ),
    caller_group="installers",
    time_zone="Europe/Ljubljana",
    caller_delay_s=0.001,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (SPLIT, SLOVENIA)}


def ramp_of(deployment: Deployment) -> Ramp:
    """Return the cold start of the deployment's upstreams."""
    return Ramp(
        duration_s=deployment.cold_start_s,
        full_slots=SLOTS,
        full_rate=SLOTS / SERVICE_TIME_S,
    )


def service_routes(deployment: Deployment, plan: AddressPlan) -> tuple[ServiceRoute, ...]:
    """Return the service addresses and host ports of the run."""
    return tuple(
        ServiceRoute(service.name, (plan.service(idx), SERVICE_PORT), FIRST_HOST_PORT + idx)
        for idx, service in enumerate(deployment.services)
    )


def upstream_specs(deployment: Deployment, plan: AddressPlan) -> list[UpstreamSpec]:
    """Return the upstreams, spread over the data centres in turn."""
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
    """Return the upstream number ``idx`` of ``service``."""
    return UpstreamSpec(
        name=f"{service}-{idx + 1}",
        service=service,
        data_centre=deployment.data_centres[idx % len(deployment.data_centres)],
        address=(plan.upstream(address_idx), UPSTREAM_PORT),
        slots=SLOTS,
        service_time_s=SERVICE_TIME_S,
        ramp=ramp_of(deployment),
    )


def full_rate(service: ServiceSize) -> float:
    """Return the requests a second that all upstreams of ``service`` bear when warm."""
    return service.upstreams * SLOTS / SERVICE_TIME_S
