"""Rendering of a configuration as its JSON document."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import msgspec

from banyanline.config.document import (
    SCHEMA_VERSION,
    CallerGroupDocument,
    ColdStartDocument,
    ConfigurationDocument,
    DataCentreDocument,
    ServiceDocument,
    UpstreamDocument,
    WindowDocument,
)
from banyanline.config.rules import MINUTES_PER_HOUR
from banyanline.core.model import (
    CallerGroup,
    ColdStart,
    Configuration,
    DataCentre,
    PatienceWindow,
    Service,
    Upstream,
)
from banyanline.core.types import Protocol, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Mapping


def clock_time(minute: int) -> str:
    """Return a minute of the day as ``HH:MM``.

    >>> clock_time(22 * 60 + 5)
    '22:05'
    """
    hour, minute_of_hour = divmod(minute, MINUTES_PER_HOUR)
    return f"{hour:02}:{minute_of_hour:02}"


def _data_centre_document(data_centre: DataCentre) -> DataCentreDocument:
    return {"name": data_centre.name, "state": data_centre.state.value}


def _window_document(window: PatienceWindow) -> WindowDocument:
    return {
        "start": clock_time(window.start_minute),
        "end": clock_time(window.end_minute),
        "patience_s": window.patience_s,
    }


def _caller_group_document(group: CallerGroup) -> CallerGroupDocument:
    return {
        "name": group.name,
        "networks": list(group.networks),
        "time_zone": group.time_zone,
        "default_patience_s": group.default_patience_s,
        "windows": [_window_document(window) for window in group.windows],
    }


def _upstream_document(upstream: Upstream) -> UpstreamDocument:
    return {
        "name": upstream.name,
        "data_centre": upstream.data_centre,
        "address": str(upstream.endpoint),
        "state": upstream.state.value,
        "slots": upstream.slots,
        "connections": upstream.connections,
    }


def _cold_start_document(cold_start: ColdStart) -> ColdStartDocument:
    return {
        "duration_s": cold_start.duration_s,
        "initial_slots": cold_start.initial_slots,
        "initial_rate": cold_start.initial_rate,
    }


def _service_document(service: Service) -> ServiceDocument:
    return {
        "name": service.name,
        "address": str(service.address),
        "host_port": service.host_port,
        "protocol": service.protocol.value,
        "idle_timeout_s": service.idle_timeout_s,
        "health_path": service.health_path,
        "cold_start": _cold_start_document(service.cold_start),
        "upstreams": [_upstream_document(upstream) for upstream in service.upstreams],
    }


def to_document(configuration: Configuration) -> ConfigurationDocument:
    """Return the document of a configuration, with all fields present."""
    return {
        "schema_version": SCHEMA_VERSION,
        "revision": configuration.revision,
        "data_centres": [_data_centre_document(item) for item in configuration.data_centres],
        "caller_groups": [_caller_group_document(item) for item in configuration.caller_groups],
        "services": [_service_document(item) for item in configuration.services],
    }


_UPSTREAM_DEFAULTS = {
    "state": UpstreamState.IN_SERVICE.value,
    "slots": Upstream._field_defaults["slots"],
    "connections": Upstream._field_defaults["connections"],
}
_SERVICE_DEFAULTS = {
    "protocol": Protocol.COAP.value,
    "idle_timeout_s": Service._field_defaults["idle_timeout_s"],
    "health_path": Service._field_defaults["health_path"],
    "cold_start": _cold_start_document(ColdStart()),
}


def _without_defaults(
    entry: Mapping[str, object], defaults: Mapping[str, object]
) -> dict[str, object]:
    return {
        key: value for key, value in entry.items() if key not in defaults or defaults[key] != value
    }


def _compact_service(service: Service) -> dict[str, object]:
    upstreams = [
        _without_defaults(
            cast("dict[str, object]", _upstream_document(upstream)), _UPSTREAM_DEFAULTS
        )
        for upstream in service.upstreams
    ]
    entry = cast("dict[str, object]", _service_document(service))
    return _without_defaults({**entry, "upstreams": upstreams}, _SERVICE_DEFAULTS)


def render_document(configuration: Configuration, indent: int = 0) -> bytes:
    """Return the JSON text of a configuration.

    With an ``indent`` the text is pretty-printed and complete. Without one it is a
    single line without the fields of services and upstreams that have their default,
    because each balancer that watches the platform reads the whole text at each change.
    The defaults are part of the schema version. :func:`banyanline.config.parse_document`
    parses either form to an equal configuration.
    """
    document = to_document(configuration)
    if indent:
        return msgspec.json.format(msgspec.json.encode(document), indent=indent)
    services = [_compact_service(service) for service in configuration.services]
    return msgspec.json.encode({**document, "services": services})
