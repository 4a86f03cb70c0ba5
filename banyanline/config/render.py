"""Turns a configuration back into its JSON document."""

from __future__ import annotations

import msgspec

from banyanline.config.document import (
    SCHEMA_VERSION,
    CallerGroupDocument,
    ConfigurationDocument,
    DataCentreDocument,
    ServiceDocument,
    UpstreamDocument,
    WindowDocument,
)
from banyanline.config.rules import MINUTES_PER_HOUR
from banyanline.core.model import (
    CallerGroup,
    Configuration,
    DataCentre,
    PatienceWindow,
    Service,
    Upstream,
)


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


def _service_document(service: Service) -> ServiceDocument:
    return {
        "name": service.name,
        "address": str(service.address),
        "host_port": service.host_port,
        "protocol": service.protocol.value,
        "idle_timeout_s": service.idle_timeout_s,
        "health_path": service.health_path,
        "cold_start": {
            "duration_s": service.cold_start.duration_s,
            "initial_slots": service.cold_start.initial_slots,
            "initial_rate": service.cold_start.initial_rate,
        },
        "upstreams": [_upstream_document(upstream) for upstream in service.upstreams],
    }


def to_document(configuration: Configuration) -> ConfigurationDocument:
    """Return the document of a configuration, with every field present."""
    return {
        "schema_version": SCHEMA_VERSION,
        "revision": configuration.revision,
        "data_centres": [_data_centre_document(item) for item in configuration.data_centres],
        "caller_groups": [_caller_group_document(item) for item in configuration.caller_groups],
        "services": [_service_document(item) for item in configuration.services],
    }


def render_document(configuration: Configuration, indent: int = 0) -> bytes:
    """Return the JSON text of a configuration, in one line unless ``indent`` is set.

    :func:`banyanline.config.parse_document` reads it back to an equal value.
    """
    text = msgspec.json.encode(to_document(configuration))
    return msgspec.json.format(text, indent=indent) if indent else text
