"""A configuration at the design size: 340 service addresses and 3,300 upstreams.

``banyanline-config print examples/large.py`` prints it.
"""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from banyanline.config import (
    caller_group,
    cold_start,
    data_centre,
    document,
    service,
    upstream,
    window,
)

if TYPE_CHECKING:
    from banyanline.config import (
        CallerGroupDocument,
        ConfigurationDocument,
        ServiceDocument,
        UpstreamDocument,
    )

SERVICE_COUNT = 340
UPSTREAM_COUNT = 3_300
GROUP_COUNT = 20
COAP_PORT = 5683
FIRST_HOST_PORT = 20_000
FIRST_SERVICE_ADDRESS = ipaddress.IPv4Address("10.200.0.1")
FIRST_UPSTREAM_ADDRESS = ipaddress.IPv4Address("10.100.0.1")
TIME_ZONES = ("Europe/Zagreb", "Europe/Ljubljana")
DATA_CENTRES = (
    "south-sjever",
    "south-centar",
    "south-jug",
    "north-lj",
    "north-mb",
    "north-kp",
)


def _upstream(idx: int, service_count: int) -> UpstreamDocument:
    service_idx, number = idx % service_count, idx // service_count
    data_centre_name = DATA_CENTRES[number % len(DATA_CENTRES)]
    return upstream(
        f"service-{service_idx:03}-target-{number:02}",
        data_centre_name,
        f"{FIRST_UPSTREAM_ADDRESS + idx}:{COAP_PORT}",
    )


def _service(idx: int, service_count: int, upstream_count: int) -> ServiceDocument:
    return service(
        f"service-{idx:03}",
        f"{FIRST_SERVICE_ADDRESS + idx}:{COAP_PORT}",
        [_upstream(number, service_count) for number in range(idx, upstream_count, service_count)],
        host_port=FIRST_HOST_PORT + idx,
        cold_start=cold_start(10.0, initial_slots=1, initial_rate=5.0),
    )


def _caller_group(idx: int) -> CallerGroupDocument:
    return caller_group(
        f"group-{idx:02}",
        [f"10.{idx}.0.0/16"],
        TIME_ZONES[idx % len(TIME_ZONES)],
        default_patience_s=10.0,
        windows=[window("18:00", "23:00", 4.0), window("23:00", "06:00", 2.0)],
    )


def configuration(
    revision: int = 1, service_count: int = SERVICE_COUNT, upstream_count: int = UPSTREAM_COUNT
) -> ConfigurationDocument:
    """Return the configuration, by default at full size."""
    return document(
        revision,
        data_centres=[data_centre(name) for name in DATA_CENTRES],
        caller_groups=[_caller_group(idx) for idx in range(GROUP_COUNT)],
        services=[_service(idx, service_count, upstream_count) for idx in range(service_count)],
    )
