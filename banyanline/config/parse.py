"""Validation of a configuration document and its conversion to the types of the core."""

from __future__ import annotations

import msgspec

from banyanline.config import rules
from banyanline.config.document import MAX_DOCUMENT_BYTES, SCHEMA_VERSION
from banyanline.config.errors import ConfigurationError, ConfigurationErrors, short_repr
from banyanline.config.reading import ErrorCollector, ObjectReader
from banyanline.core.model import (
    CallerGroup,
    ColdStart,
    Configuration,
    DataCentre,
    PatienceWindow,
    Service,
    Upstream,
)
from banyanline.core.types import DataCentreState, Endpoint, Protocol, UpstreamState

MINUTES_PER_DAY = 24 * rules.MINUTES_PER_HOUR

_COLD_START = ColdStart()
_GROUP_DEFAULTS = CallerGroup._field_defaults
_SERVICE_DEFAULTS = Service._field_defaults
_UPSTREAM_DEFAULTS = Upstream._field_defaults

_SCHEMA_VERSION = rules.integer(SCHEMA_VERSION, SCHEMA_VERSION)
_PROTOCOL = rules.choice(Protocol)
_DATA_CENTRE_STATE = rules.choice(DataCentreState)
_UPSTREAM_STATE = rules.choice(UpstreamState)


def _window_minutes(window: PatienceWindow) -> list[int]:
    """Return the minutes of the local day that the window covers."""
    length = (window.end_minute - window.start_minute) % MINUTES_PER_DAY
    return [(window.start_minute + offset) % MINUTES_PER_DAY for offset in range(length)]


class _DocumentReader:
    """Reads the parts of one document and checks the references between them."""

    def __init__(self, collector: ErrorCollector) -> None:
        self._collector = collector
        self._data_centres: set[str] = set()

    def configuration(self, reader: ObjectReader) -> Configuration:
        """Read the whole document."""
        reader.value("schema_version", _SCHEMA_VERSION)
        revision = reader.value("revision", rules.REVISION)
        data_centres = reader.objects("data_centres", self._data_centre, minimum=1)
        self._data_centres = {item.name for item in data_centres if item.name}
        caller_groups = reader.objects("caller_groups", self._caller_group)
        services = reader.objects("services", self._service)
        reader.reject_unknown_keys()
        return Configuration(revision, tuple(data_centres), tuple(caller_groups), tuple(services))

    def _data_centre(self, reader: ObjectReader) -> DataCentre:
        return DataCentre(
            name=reader.unique("name", rules.NAME, "data centre name"),
            state=reader.value("state", _DATA_CENTRE_STATE, DataCentreState.IN_SERVICE),
        )

    def _caller_group(self, reader: ObjectReader) -> CallerGroup:
        return CallerGroup(
            name=reader.unique("name", rules.NAME, "caller group name"),
            networks=self._networks(reader),
            time_zone=reader.value("time_zone", rules.TIME_ZONE),
            windows=self._windows(reader),
            default_patience_s=reader.value(
                "default_patience_s", rules.PATIENCE_S, _GROUP_DEFAULTS["default_patience_s"]
            ),
        )

    def _networks(self, reader: ObjectReader) -> tuple[str, ...]:
        networks = []
        for path, item in reader.items("networks", minimum=1):
            network = rules.NETWORK.read(item)
            if network is None:
                self._collector.add(path, short_repr(item), rules.NETWORK.accepted)
                continue
            self._collector.require_unique("network", network, path)
            networks.append(network)
        return tuple(networks)

    def _windows(self, reader: ObjectReader) -> tuple[PatienceWindow, ...]:
        path_by_minute: dict[int, str] = {}

        def read_window(window_reader: ObjectReader) -> PatienceWindow:
            window = self._window(window_reader)
            path = window_reader.path
            for minute in _window_minutes(window):
                first_path = path_by_minute.setdefault(minute, path)
                if first_path != path:
                    got = f"hours that {first_path} also covers"
                    self._collector.add(path, got, "windows that do not overlap")
                    break
            return window

        return tuple(reader.objects("windows", read_window))

    def _window(self, reader: ObjectReader) -> PatienceWindow:
        error_count = len(self._collector.errors)
        start = reader.value("start", rules.CLOCK_TIME)
        end = reader.value("end", rules.CLOCK_TIME)
        if len(self._collector.errors) > error_count:
            # An empty window, so that an invalid time causes no further error for an overlap.
            end = start
        elif start == end:
            self._collector.add(reader.path_of("end"), "the same time as start", "another time")
        return PatienceWindow(start, end, reader.value("patience_s", rules.PATIENCE_S))

    def _service(self, reader: ObjectReader) -> Service:
        name = reader.unique("name", rules.NAME, "service name")
        address = reader.unique("address", rules.ENDPOINT, "address")
        return Service(
            name=name,
            address=address,
            host_port=self._host_port(reader, address),
            protocol=reader.value("protocol", _PROTOCOL, Protocol.COAP),
            upstreams=tuple(
                reader.objects("upstreams", lambda item: self._upstream(item, name), minimum=1)
            ),
            cold_start=self._cold_start(reader.object_reader("cold_start")),
            idle_timeout_s=reader.value(
                "idle_timeout_s", rules.IDLE_TIMEOUT_S, _SERVICE_DEFAULTS["idle_timeout_s"]
            ),
            health_path=reader.value(
                "health_path", rules.HEALTH_PATH, _SERVICE_DEFAULTS["health_path"]
            ),
        )

    def _host_port(self, reader: ObjectReader, address: Endpoint) -> int:
        if address == rules.ENDPOINT.placeholder:
            # The address is invalid, so its port cannot be the default.
            return reader.value("host_port", rules.PORT, rules.MAX_PORT)
        return reader.unique("host_port", rules.PORT, "host_port", address.port)

    def _cold_start(self, reader: ObjectReader) -> ColdStart:
        cold_start = ColdStart(
            duration_s=reader.value("duration_s", rules.COLD_START_S, _COLD_START.duration_s),
            initial_slots=reader.value("initial_slots", rules.SLOTS, _COLD_START.initial_slots),
            initial_rate=reader.value("initial_rate", rules.RATE, _COLD_START.initial_rate),
        )
        reader.reject_unknown_keys()
        return cold_start

    def _upstream(self, reader: ObjectReader, service: str) -> Upstream:
        upstream = Upstream(
            name=reader.unique("name", rules.NAME, "upstream name"),
            service=service,
            data_centre=reader.value("data_centre", rules.NAME),
            endpoint=reader.unique("address", rules.ENDPOINT, "address"),
            state=reader.value("state", _UPSTREAM_STATE, UpstreamState.IN_SERVICE),
            slots=reader.value("slots", rules.SLOTS, _UPSTREAM_DEFAULTS["slots"]),
            connections=reader.value(
                "connections", rules.CONNECTIONS, _UPSTREAM_DEFAULTS["connections"]
            ),
        )
        self._check_data_centre(reader, upstream.data_centre)
        return upstream

    def _check_data_centre(self, reader: ObjectReader, name: str) -> None:
        if name and self._data_centres and name not in self._data_centres:
            known = ", ".join(sorted(self._data_centres))
            accepted = f"one of the data centres {known}"
            self._collector.add(reader.path_of("data_centre"), short_repr(name), accepted)


def check_document(document: object) -> Configuration | ConfigurationErrors:
    """Return the configuration in a decoded document, or all its errors."""
    collector = ErrorCollector()
    configuration = _DocumentReader(collector).configuration(ObjectReader(collector, "", document))
    return ConfigurationErrors(collector.errors) if collector.errors else configuration


def _document_error(got: str, accepted: str) -> ConfigurationErrors:
    return ConfigurationErrors((ConfigurationError("", got, accepted),))


def parse_document(data: bytes) -> Configuration | ConfigurationErrors:
    """Return the configuration in the JSON text ``data``, or all its errors.

    Never raises. A text longer than ``MAX_DOCUMENT_BYTES`` is rejected undecoded.

    >>> print(parse_document(b'{"schema_version": 1, "revision": 0, "data_centres": []}'))
    revision: got 0, accepted: a whole number from 1 to 9007199254740991
    data_centres: got [], accepted: a list of at least 1
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _document_error(f"{len(data)} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes")
    try:
        document: object = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _document_error(f"bytes that are not JSON ({error})", "a JSON object")
    return check_document(document)
