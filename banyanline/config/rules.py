"""Validation rules for single values of the configuration document."""

from __future__ import annotations

import ipaddress
import math
import re
import zoneinfo
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

from banyanline.core.types import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import StrEnum

T = TypeVar("T")
EnumT = TypeVar("EnumT", bound="StrEnum")

MAX_REVISION = 2**53 - 1
"""The largest integer on whose exact value JSON parsers agree (RFC 8259, section 6)."""

MAX_PATIENCE_S = 45.0
"""MAX_TRANSMIT_SPAN of CoAP (RFC 7252, section 4.8.2)."""

MAX_PORT = 65535
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_RATE = 1_000_000.0
MAX_COLD_START_S = 3_600.0
MAX_IDLE_TIMEOUT_S = 86_400.0
MINUTES_PER_HOUR = 60

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_UNICAST_FIRST_OCTET = r"(?:22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)"
_ENDPOINT = re.compile(rf"({_UNICAST_FIRST_OCTET}(?:\.{_OCTET}){{3}}):([1-9][0-9]{{0,4}})")
_CLOCK_TIME = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])")
_HEALTH_PATH = re.compile(r"[A-Za-z0-9._~-]{1,64}(?:/[A-Za-z0-9._~-]{1,64}){0,7}")


class Rule(NamedTuple, Generic[T]):
    """A validation rule for one value.

    ``accepted`` describes the valid values for error messages. ``read`` returns the
    typed value, or None if the value is invalid; ``placeholder`` is then used in its
    place while the rest of the document is checked.
    """

    accepted: str
    read: Callable[[object], T | None]
    placeholder: T


def _read_name(value: object) -> str | None:
    return value if isinstance(value, str) and _NAME.fullmatch(value) else None


NAME = Rule(
    "a name of at most 63 letters, digits, '.', '_' or '-' that starts with a letter or digit",
    _read_name,
    "",
)


def integer(low: int, high: int) -> Rule[int]:
    """Accept integers from ``low`` to ``high``."""

    def read(value: object) -> int | None:
        if isinstance(value, bool) or not isinstance(value, int):
            return None
        return value if low <= value <= high else None

    return Rule(f"a whole number from {low} to {high}", read, low)


def number(low: float, high: float, *, low_included: bool = True) -> Rule[float]:
    """Accept finite numbers from ``low``, unless it is excluded, to ``high``."""

    def read(value: object) -> float | None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return None
        if not math.isfinite(value) or not low <= value <= high:
            return None
        return float(value) if low_included or value > low else None

    start = f"from {low:g}" if low_included else f"above {low:g}"
    separator = "to" if low_included else "and at most"
    return Rule(f"a number {start} {separator} {high:g}", read, high)


def choice(members: type[EnumT]) -> Rule[EnumT]:
    """Accept the values of a string enumeration."""
    by_value = {member.value: member for member in members}

    def read(value: object) -> EnumT | None:
        return by_value.get(value) if isinstance(value, str) else None

    accepted = " or ".join(repr(text) for text in by_value)
    return Rule(accepted, read, next(iter(by_value.values())))


def _read_endpoint(value: object) -> Endpoint | None:
    match = _ENDPOINT.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        return None
    port = int(match[2])
    return Endpoint(match[1], port) if port <= MAX_PORT else None


ENDPOINT = Rule(
    "a unicast IPv4 address and a port such as '192.0.2.1:5683'",
    _read_endpoint,
    Endpoint("0.0.0.0", 0),
)


def _read_network(value: object) -> str | None:
    if not isinstance(value, str) or "/" not in value:
        return None
    try:
        return str(ipaddress.IPv4Network(value, strict=True))
    except ValueError:
        return None


NETWORK = Rule("an IPv4 network such as '192.0.2.0/24', without host bits set", _read_network, "")


def _read_time_zone(value: object) -> str | None:
    if not isinstance(value, str) or not value.isascii():
        return None
    try:
        zoneinfo.ZoneInfo(value)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None
    return value


TIME_ZONE = Rule("a time zone of the IANA database such as 'Europe/Zagreb'", _read_time_zone, "UTC")


def _read_clock_time(value: object) -> int | None:
    match = _CLOCK_TIME.fullmatch(value) if isinstance(value, str) else None
    return int(match[1]) * MINUTES_PER_HOUR + int(match[2]) if match else None


CLOCK_TIME = Rule("a time of day from '00:00' to '23:59'", _read_clock_time, 0)


def _read_health_path(value: object) -> str | None:
    return value if isinstance(value, str) and _HEALTH_PATH.fullmatch(value) else None


HEALTH_PATH = Rule(
    "1 to 8 path segments such as 'status/health', without a leading '/'", _read_health_path, ""
)

REVISION = integer(1, MAX_REVISION)
PORT = integer(1, MAX_PORT)
SLOTS = integer(1, MAX_SLOTS)
CONNECTIONS = integer(1, MAX_CONNECTIONS)
RATE = number(0, MAX_RATE, low_included=False)
COLD_START_S = number(0, MAX_COLD_START_S)
IDLE_TIMEOUT_S = number(1, MAX_IDLE_TIMEOUT_S)
PATIENCE_S = number(0, MAX_PATIENCE_S, low_included=False)
