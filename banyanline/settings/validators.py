"""Validators that check the text of an option and parse it to a typed value."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.types import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable
    from enum import StrEnum

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_INTEGER = re.compile(r"[+-]?[0-9]{1,18}")
_NUMBER = re.compile(r"[+-]?[0-9]{1,18}(?:\.[0-9]{1,18})?")
_MAX_PORT = 65535


class Validator(NamedTuple):
    """A parser of option values, and a description of the accepted values.

    ``parse`` returns the typed value of a text, or None if the text is invalid.
    """

    accepted: str
    parse: Callable[[str], object | None]


def _parse_integer(text: str, low: int, high: int) -> int | None:
    if not _INTEGER.fullmatch(text):
        return None
    value = int(text)
    return value if low <= value <= high else None


def integer(low: int, high: int) -> Validator:
    """Accept integers from ``low`` to ``high``.

    >>> integer(1, 9).parse("7"), integer(1, 9).parse("10")
    (7, None)
    """
    return Validator(
        f"a whole number from {low} to {high}", lambda text: _parse_integer(text, low, high)
    )


def _parse_number(text: str, low: float, high: float) -> float | None:
    if not _NUMBER.fullmatch(text):
        return None
    value = float(text)
    return value if low <= value <= high else None


def number(low: float, high: float) -> Validator:
    """Accept numbers from ``low`` to ``high``.

    >>> number(0, 1).parse("0.25"), number(0, 1).parse("nan")
    (0.25, None)
    """
    return Validator(
        f"a number from {low:g} to {high:g}", lambda text: _parse_number(text, low, high)
    )


def port() -> Validator:
    """Accept port numbers."""
    return integer(1, _MAX_PORT)


def _parse_name(text: str) -> str | None:
    return text if _NAME.fullmatch(text) else None


def name() -> Validator:
    """Accept names of hosts, data centres and fabric groups."""
    return Validator("a name of at most 63 letters, digits, '.', '_' or '-'", _parse_name)


def _parse_text(text: str) -> str | None:
    return text if text and text.isprintable() else None


def text(accepted: str) -> Validator:
    """Accept any non-empty printable text; ``accepted`` describes it in errors."""
    return Validator(accepted, _parse_text)


def _parse_address(text: str) -> str | None:
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError:
        return None


def _parse_unicast(text: str) -> str | None:
    ip = _parse_address(text)
    if ip is None:
        return None
    parsed = ipaddress.IPv4Address(ip)
    return None if parsed.is_unspecified or parsed.is_multicast else ip


def address() -> Validator:
    """Accept IPv4 addresses that can be the destination of a unicast datagram."""
    return Validator("a unicast IPv4 address such as 192.0.2.1", _parse_unicast)


def optional_address() -> Validator:
    """Accept IPv4 addresses, including 0.0.0.0, and the empty text."""
    return Validator(
        "an IPv4 address such as 192.0.2.1, or empty",
        lambda text: _parse_address(text) if text else "",
    )


def _parse_endpoint(text: str) -> Endpoint | None:
    ip_text, colon, port_text = text.partition(":")
    ip = _parse_unicast(ip_text)
    port_number = _parse_integer(port_text, 1, _MAX_PORT)
    if not colon or ip is None or port_number is None:
        return None
    return Endpoint(ip, port_number)


def _parse_endpoints(text: str) -> tuple[Endpoint, ...] | None:
    parsed = [_parse_endpoint(part.strip()) for part in text.split(",")]
    endpoints = tuple(endpoint for endpoint in parsed if endpoint is not None)
    return endpoints if len(endpoints) == len(parsed) else None


def endpoints() -> Validator:
    """Accept one or more endpoints, separated by commas.

    >>> endpoints().parse("192.0.2.1:8500, 192.0.2.2:8500")
    (Endpoint(ip='192.0.2.1', port=8500), Endpoint(ip='192.0.2.2', port=8500))
    """
    return Validator("ip:port endpoints, separated by commas", _parse_endpoints)


def choice(members: type[StrEnum]) -> Validator:
    """Accept the values of a string enumeration."""
    by_value = {member.value: member for member in members}
    return Validator("one of " + ", ".join(by_value), by_value.get)


def one_of(*values: str) -> Validator:
    """Accept one of ``values``."""
    by_value = {value: value for value in values}
    return Validator("one of " + ", ".join(values), by_value.get)
