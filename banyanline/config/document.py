"""The schema of the JSON configuration document, as typed dictionaries."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

SCHEMA_VERSION = 1
MAX_DOCUMENT_BYTES = 1_000_000

ServiceProtocol = Literal["coap", "udp"]


class DataCentreDocument(TypedDict):
    """A data centre and its state."""

    name: str
    state: NotRequired[str]


class WindowDocument(TypedDict):
    """The patience during some hours of the local day, ``HH:MM`` to ``HH:MM``."""

    start: str
    end: str
    patience_s: float


class CallerGroupDocument(TypedDict):
    """A group of callers, given by their networks, and its patience."""

    name: str
    networks: list[str]
    time_zone: str
    default_patience_s: NotRequired[float]
    windows: NotRequired[list[WindowDocument]]


class ColdStartDocument(TypedDict, total=False):
    """The slow start of an upstream that has just started."""

    duration_s: float
    initial_slots: int
    initial_rate: float


class UpstreamDocument(TypedDict):
    """One upstream of a service."""

    name: str
    data_centre: str
    address: str
    state: NotRequired[str]
    slots: NotRequired[int]
    connections: NotRequired[int]


class ServiceDocument(TypedDict):
    """A service address and the upstreams behind it."""

    name: str
    address: str
    host_port: NotRequired[int]
    protocol: NotRequired[str]
    idle_timeout_s: NotRequired[float]
    health_path: NotRequired[str]
    cold_start: NotRequired[ColdStartDocument]
    upstreams: list[UpstreamDocument]


class ConfigurationDocument(TypedDict):
    """The whole configuration."""

    schema_version: int
    revision: int
    data_centres: list[DataCentreDocument]
    caller_groups: NotRequired[list[CallerGroupDocument]]
    services: list[ServiceDocument]
