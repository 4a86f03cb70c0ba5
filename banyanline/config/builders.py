"""Functions with which operators build a configuration document.

Each returns one part of the document and checks nothing. Validation happens when the
whole document is passed to :func:`banyanline.config.check_document`, which reports all
errors at once, each with its path.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.config.document import (
    SCHEMA_VERSION,
    CallerGroupDocument,
    ColdStartDocument,
    ConfigurationDocument,
    DataCentreDocument,
    ServiceDocument,
    ServiceProtocol,
    UpstreamDocument,
    WindowDocument,
)
from banyanline.core.types import DataCentreState, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable


def data_centre(name: str, *, out: bool = False) -> DataCentreDocument:
    """Return a data centre; with ``out`` its upstreams get no packets."""
    state = DataCentreState.OUT if out else DataCentreState.IN_SERVICE
    return {"name": name, "state": state.value}


def window(start: str, end: str, patience_s: float) -> WindowDocument:
    """Return a patience window: hours of the local day, such as 22:00 to 06:00.

    ``start`` is inclusive and ``end`` is exclusive. A window may cross midnight.
    """
    return {"start": start, "end": end, "patience_s": patience_s}


def caller_group(
    name: str,
    networks: Iterable[str],
    time_zone: str,
    default_patience_s: float,
    windows: Iterable[WindowDocument] = (),
) -> CallerGroupDocument:
    """Return the group of the callers in ``networks``, with their patience by local time.

    ``default_patience_s`` applies outside all windows. A caller whose address matches
    networks of several groups belongs to the group with the longest matching prefix.
    """
    return {
        "name": name,
        "networks": list(networks),
        "time_zone": time_zone,
        "default_patience_s": default_patience_s,
        "windows": list(windows),
    }


def cold_start(duration_s: float, initial_slots: int, initial_rate: float) -> ColdStartDocument:
    """Return the slow start of an upstream that has just started.

    The limits start at ``initial_slots`` concurrent requests and ``initial_rate``
    requests per second, and ramp up to the full values over ``duration_s``.
    """
    return {
        "duration_s": duration_s,
        "initial_slots": initial_slots,
        "initial_rate": initial_rate,
    }


def upstream(
    name: str,
    data_centre: str,
    address: str,
    *,
    slots: int = 2,
    connections: int = 2000,
    leaving: bool = False,
) -> UpstreamDocument:
    """Return one upstream of a service; with ``leaving`` it gets no new requests or flows."""
    state = UpstreamState.LEAVING if leaving else UpstreamState.IN_SERVICE
    return {
        "name": name,
        "data_centre": data_centre,
        "address": address,
        "state": state.value,
        "slots": slots,
        "connections": connections,
    }


def service(
    name: str,
    address: str,
    upstreams: Iterable[UpstreamDocument],
    *,
    protocol: ServiceProtocol = "coap",
    host_port: int | None = None,
    idle_timeout_s: float = 300.0,
    health_path: str = "health",
    cold_start: ColdStartDocument | None = None,
) -> ServiceDocument:
    """Return a service at ``address`` and its upstreams.

    ``host_port`` defaults to the port of ``address``. A flow without a packet for
    ``idle_timeout_s`` is removed.
    """
    entry: ServiceDocument = {
        "name": name,
        "address": address,
        "protocol": protocol,
        "idle_timeout_s": idle_timeout_s,
        "health_path": health_path,
        "upstreams": list(upstreams),
    }
    if host_port is not None:
        entry["host_port"] = host_port
    if cold_start is not None:
        entry["cold_start"] = cold_start
    return entry


def document(
    revision: int,
    data_centres: Iterable[DataCentreDocument],
    services: Iterable[ServiceDocument],
    caller_groups: Iterable[CallerGroupDocument] = (),
) -> ConfigurationDocument:
    """Return the whole configuration; a higher ``revision`` replaces a lower one.

    >>> from banyanline.config import check_document
    >>> orders = service(
    ...     "orders", "198.51.100.1:5683", [upstream("orders-1", "north", "203.0.113.1:5683")]
    ... )
    >>> check_document(document(12, [data_centre("north")], [orders])).services[0].host_port
    5683
    """
    return {
        "schema_version": SCHEMA_VERSION,
        "revision": revision,
        "data_centres": list(data_centres),
        "caller_groups": list(caller_groups),
        "services": list(services),
    }
