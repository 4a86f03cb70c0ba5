"""The configuration of Gradski ured za javnu rasvjetu Split.

``banyanline-config print examples/split.py`` prints it in the form that the platform stores.
"""

from __future__ import annotations

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
    from collections.abc import Mapping, Sequence

    from banyanline.config import CallerGroupDocument, ConfigurationDocument, UpstreamDocument

TIME_ZONE = "Europe/Zagreb"
COAP_PORT = 5683
DATA_CENTRES = ("split-sjever", "split-centar", "split-jug")

UPSTREAMS: dict[str, dict[str, tuple[str, ...]]] = {
    "stup-napajanje": {
        "split-sjever": ("stup-napajanje-1", "stup-napajanje-4"),
        "split-centar": ("stup-napajanje-2", "stup-napajanje-5", "stup-napajanje-7"),
        "split-jug": ("stup-napajanje-3", "stup-napajanje-6"),
    },
    "raspored-izlaz": {
        "split-sjever": ("raspored-izlaz-1",),
        "split-centar": ("raspored-izlaz-2",),
        "split-jug": ("raspored-izlaz-3",),
    },
}
"""Upstream names by service and data centre."""

ADDRESSES: dict[str, str] = {
    "stup-napajanje": f"198.51.100.10:{COAP_PORT}",
    "raspored-izlaz": f"198.51.100.11:{COAP_PORT}",
    "stup-napajanje-1": f"203.0.113.11:{COAP_PORT}",
    "stup-napajanje-2": f"203.0.113.41:{COAP_PORT}",
    "stup-napajanje-3": f"203.0.113.71:{COAP_PORT}",
    "stup-napajanje-4": f"203.0.113.12:{COAP_PORT}",
    "stup-napajanje-5": f"203.0.113.42:{COAP_PORT}",
    "stup-napajanje-6": f"203.0.113.72:{COAP_PORT}",
    "stup-napajanje-7": f"203.0.113.43:{COAP_PORT}",
    "raspored-izlaz-1": f"203.0.113.21:{COAP_PORT}",
    "raspored-izlaz-2": f"203.0.113.51:{COAP_PORT}",
    "raspored-izlaz-3": f"203.0.113.81:{COAP_PORT}",
}
"""Endpoints of services and upstreams, by name."""

HOST_PORTS = {"stup-napajanje": 15683, "raspored-izlaz": 15684}

NETWORKS: dict[str, tuple[str, ...]] = {
    "lamp-post-controllers": ("10.20.0.0/16",),
    "festival-crews": ("10.21.0.0/20",),
    "council-duty-desk": ("10.22.0.0/24",),
}
"""Networks of callers, by caller group."""


def _upstreams(name: str, addresses: Mapping[str, str]) -> list[UpstreamDocument]:
    return [
        upstream(
            upstream_name, data_centre_name, addresses[upstream_name], slots=2, connections=2000
        )
        for data_centre_name, upstream_names in UPSTREAMS[name].items()
        for upstream_name in upstream_names
    ]


def _caller_groups(networks: Mapping[str, Sequence[str]]) -> list[CallerGroupDocument]:
    return [
        caller_group(
            "lamp-post-controllers",
            networks["lamp-post-controllers"],
            TIME_ZONE,
            default_patience_s=10.0,
            windows=[window("18:00", "23:00", 4.0), window("23:00", "06:00", 2.0)],
        ),
        caller_group(
            "festival-crews",
            networks["festival-crews"],
            TIME_ZONE,
            default_patience_s=30.0,
            windows=[window("17:00", "01:00", 5.0)],
        ),
        caller_group(
            "council-duty-desk",
            networks["council-duty-desk"],
            TIME_ZONE,
            default_patience_s=8.0,
            windows=[window("20:00", "07:00", 3.0)],
        ),
    ]


def configuration(
    revision: int = 1,
    addresses: Mapping[str, str] = ADDRESSES,
    networks: Mapping[str, Sequence[str]] = NETWORKS,
) -> ConfigurationDocument:
    """Return the configuration, by default with the addresses above."""
    return document(
        revision,
        data_centres=[data_centre(name) for name in DATA_CENTRES],
        caller_groups=_caller_groups(networks),
        services=[
            service(
                "stup-napajanje",
                addresses["stup-napajanje"],
                _upstreams("stup-napajanje", addresses),
                host_port=HOST_PORTS["stup-napajanje"],
                idle_timeout_s=600.0,
                cold_start=cold_start(10.0, initial_slots=1, initial_rate=5.0),
            ),
            service(
                "raspored-izlaz",
                addresses["raspored-izlaz"],
                _upstreams("raspored-izlaz", addresses),
                host_port=HOST_PORTS["raspored-izlaz"],
                idle_timeout_s=120.0,
                cold_start=cold_start(15.0, initial_slots=1, initial_rate=2.0),
            ),
        ],
    )
