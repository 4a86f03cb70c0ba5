"""Reads the settings file that the platform writes for each host process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from banyanline.core.steering.model import Defect
from banyanline.core.types import DataCentreName, Endpoint, HostName
from banyanline.platform.documents import DocumentReader
from banyanline.platform.early_start import SETTINGS_PATH_VARIABLE

DEFAULT_HEARTBEAT_MS = 1200.0
DEFAULT_LINK_MBPS = 5.0
"""Assumed capacity of the host's link, in Mbit/s, if the settings don't contain it."""

_MAX_PORT = 65_535


class HostSettings(NamedTuple):
    """The name, addresses and time bounds of this host.

    ``packets``, ``readiness`` and ``control`` are the endpoints on which this host
    listens; ``store`` is the platform's. ``internal_ports`` are free for the project's
    own use. ``seeds`` are control endpoints of a few hosts and may be stale. Bounds are
    in seconds and apply to a host that has been healthy for ``contact_s``.
    ``change_bound_s`` is the shortest of the times within which the host must act on
    a change in the platform. ``link_mbps`` is the capacity of the host's link in each
    direction, in Mbit/s. ``defects`` are the optional fields that could not be read and
    have their defaults.
    """

    host: HostName
    data_centre: DataCentreName
    packets: Endpoint
    readiness: Endpoint
    control: Endpoint | None
    store: Endpoint
    seeds: tuple[Endpoint, ...]
    internal_ports: range
    stop_grace_s: float
    heartbeat_s: float
    max_flow_s: float
    contact_s: float
    change_bound_s: float
    link_mbps: float
    defects: tuple[Defect, ...] = ()


class HostSettingsError(NamedTuple):
    """Why a settings file cannot be used."""

    detail: str

    def __str__(self) -> str:
        """Return the reason as one line."""
        return self.detail


class _Listen(msgspec.Struct):
    datagram_address: str
    ready: str
    control: str | None = None


class _Bounds(msgspec.Struct):
    grace_s: float = 6.0
    max_flow_s: float = 60.0
    contact_ms: float = 4000.0
    drain_ms: float = 3000.0
    config_apply_ms: float = 3000.0
    evacuation_ms: float = 5000.0


class _Limits(msgspec.Struct):
    link_mbps: float = DEFAULT_LINK_MBPS


class _Store(msgspec.Struct):
    address: str


class _Document(msgspec.Struct):
    """The required fields of the settings file; unknown fields are ignored."""

    node_name: str
    zone: str
    listen: _Listen
    platform: _Store


class _OptionalFields(msgspec.Struct):
    """Fields of the settings file without which a host still serves."""

    seeds: list[Any] = []
    internal_port_range: tuple[int, int] = (0, 0)
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS
    bounds: Any = msgspec.field(default_factory=dict)
    limits: Any = msgspec.field(default_factory=dict)


def settings_path() -> Path | None:
    """Return the path in ``BANYANLINE_BOOT``, or None if the variable is unset or empty."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    return Path(path) if path else None


def read_settings(path: Path) -> HostSettings | HostSettingsError:
    """Read and validate the settings file at ``path``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return HostSettingsError(f"{path}: {error}")
    settings = parse_settings(text)
    if isinstance(settings, HostSettingsError):
        return HostSettingsError(f"{path}: {settings}")
    return settings


class SettingsFile:
    """Detects changes of the settings file, which may come with or without a SIGHUP."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._stamp = self._read_stamp()

    def has_changed(self) -> bool:
        """Whether the file was written since the last :meth:`read`."""
        stamp = self._read_stamp()
        return stamp is not None and stamp != self._stamp

    def read(self) -> HostSettings | HostSettingsError:
        """Read and validate the file, and remember its modification time and size."""
        self._stamp = self._read_stamp()
        return read_settings(self._path)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


def parse_settings(text: str) -> HostSettings | HostSettingsError:
    """Parse and validate the text of a settings file.

    An optional field that cannot be read gets its default and is recorded as a defect.

    >>> str(parse_settings("node_name = 7"))
    'expected `str`, got `int` - at `$.node_name`'
    """
    try:
        fields = tomllib.loads(text)
        document = msgspec.convert(fields, _Document)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, RecursionError) as error:
        detail = str(error)
        return HostSettingsError(detail[:1].lower() + detail[1:])
    try:
        return _to_host_settings(document, fields)
    except ValueError as error:
        return HostSettingsError(str(error))


def parse_endpoint(name: str, text: str) -> Endpoint:
    """Parse an ``ip:port`` from field ``name``; raise ValueError if it is not valid."""
    ip, _, port = text.rpartition(":")
    parts = ip.split(".")
    is_number = len(parts) == 4 and all(_is_number(part, 255) for part in parts)
    if not (is_number and _is_number(port, _MAX_PORT) and int(port) > 0):
        raise ValueError(
            f"{name}: {text[:64]!r} is not an IPv4 address and port, such as 10.1.0.10:80"
        )
    return Endpoint(ip, int(port))


def _is_number(text: str, maximum: int) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 5 and int(text) <= maximum


def _to_host_settings(document: _Document, fields: dict[str, Any]) -> HostSettings:
    listen = document.listen
    control = parse_endpoint("listen.control", listen.control) if listen.control else None
    reader = DocumentReader()
    optional = reader.convert("", fields, _OptionalFields) or _OptionalFields()
    bounds = _read_bounds(reader, optional.bounds)
    return HostSettings(
        host=document.node_name,
        data_centre=document.zone,
        packets=parse_endpoint("listen.datagram_address", listen.datagram_address),
        readiness=parse_endpoint("listen.ready", listen.ready),
        control=control,
        store=parse_endpoint("platform.address", document.platform.address),
        seeds=_read_seeds(reader, optional.seeds),
        internal_ports=_read_ports(reader, optional.internal_port_range),
        stop_grace_s=bounds.grace_s,
        heartbeat_s=reader.positive("heartbeat_ms", optional.heartbeat_ms, DEFAULT_HEARTBEAT_MS)
        / 1000.0,
        max_flow_s=bounds.max_flow_s,
        contact_s=bounds.contact_ms / 1000.0,
        change_bound_s=_change_bound_s(bounds),
        link_mbps=_read_link_mbps(reader, optional.limits),
        defects=reader.defects,
    )


def _read_bounds(reader: DocumentReader, fields: Any) -> _Bounds:
    bounds = reader.convert("bounds", fields, _Bounds) or _Bounds()
    for field in msgspec.structs.fields(_Bounds):
        value = getattr(bounds, field.name)
        setattr(bounds, field.name, reader.positive(f"bounds.{field.name}", value, field.default))
    return bounds


def _read_seeds(reader: DocumentReader, seeds: list[Any]) -> tuple[Endpoint, ...]:
    readable = []
    for idx, seed in enumerate(seeds):
        try:
            readable.append(parse_endpoint(f"seeds[{idx}]", str(seed)))
        except ValueError:
            reader.report(f"seeds[{idx}]", seed, "not an IPv4 address and port: left out")
    return tuple(readable)


def _read_ports(reader: DocumentReader, ports: tuple[int, int]) -> range:
    first, last = ports
    if 0 <= first <= last <= _MAX_PORT:
        return range(first, last + 1) if first else range(0)
    reader.report("internal_port_range", ports, "not a valid port range: ignored")
    return range(0)


def _read_link_mbps(reader: DocumentReader, fields: Any) -> float:
    limits = reader.convert("limits", fields, _Limits) or _Limits()
    return reader.positive("limits.link_mbps", limits.link_mbps, DEFAULT_LINK_MBPS)


def _change_bound_s(bounds: _Bounds) -> float:
    return min(bounds.drain_ms, bounds.config_apply_ms, bounds.evacuation_ms) / 1000.0
