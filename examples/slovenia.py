"""The configuration of Zvočna Zanka Programska d.o.o. for installers across Slovenia.

``banyanline-config print examples/slovenia.py`` prints it in the form that the platform stores.
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

TIME_ZONE = "Europe/Ljubljana"
COAP_PORT = 5683
DATA_CENTRES = ("si-lj", "si-mb", "si-kp")

UPSTREAMS: dict[str, dict[str, tuple[str, ...]]] = {
    "meter": {
        "si-lj": ("meter-1", "meter-4", "meter-7"),
        "si-mb": ("meter-2", "meter-5"),
        "si-kp": ("meter-3", "meter-6"),
    },
    "porocila": {
        "si-lj": ("porocila-1",),
        "si-mb": ("porocila-2",),
        "si-kp": ("porocila-3",),
    },
}
"""Upstream names by service and data centre."""

ADDRESSES: dict[str, str] = {
    "meter": f"198.51.100.20:{COAP_PORT}",
    "porocila": f"198.51.100.21:{COAP_PORT}",
    "meter-1": f"203.0.113.101:{COAP_PORT}",
    "meter-2": f"203.0.113.131:{COAP_PORT}",
    "meter-3": f"203.0.113.161:{COAP_PORT}",
    "meter-4": f"203.0.113.102:{COAP_PORT}",
    "meter-5": f"203.0.113.132:{COAP_PORT}",
    "meter-6": f"203.0.113.162:{COAP_PORT}",
    "meter-7": f"203.0.113.103:{COAP_PORT}",
    "porocila-1": f"203.0.113.111:{COAP_PORT}",
    "porocila-2": f"203.0.113.141:{COAP_PORT}",
    "porocila-3": f"203.0.113.171:{COAP_PORT}",
}
"""Endpoints of services and upstreams, by name."""

HOST_PORTS = {"meter": 15683, "porocila": 15684}

NETWORKS: dict[str, tuple[str, ...]] = {
    "installers-on-site": ("10.40.0.0/16",),
    "office": ("10.41.0.0/24",),
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
            "installers-on-site",
            networks["installers-on-site"],
            TIME_ZONE,
            default_patience_s=8.0,
            windows=[window("07:00", "16:00", 3.0), window("16:00", "20:00", 2.0)],
        ),
        caller_group(
            "office",
            networks["office"],
            TIME_ZONE,
            default_patience_s=30.0,
            windows=[window("08:00", "16:00", 15.0)],
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
                "meter",
                addresses["meter"],
                _upstreams("meter", addresses),
                host_port=HOST_PORTS["meter"],
                idle_timeout_s=300.0,
                cold_start=cold_start(10.0, initial_slots=1, initial_rate=5.0),
            ),
            service(
                "porocila",
                addresses["porocila"],
                _upstreams("porocila", addresses),
                host_port=HOST_PORTS["porocila"],
                idle_timeout_s=120.0,
                cold_start=cold_start(15.0, initial_slots=1, initial_rate=2.0),
            ),
        ],
    )
