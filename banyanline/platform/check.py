"""Checks a configuration of the operators' platform before it is written to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from banyanline.platform.entries import read_configuration, route_address, route_shares

if TYPE_CHECKING:
    from collections.abc import Iterator

    from banyanline.core.steering.packet import ServiceAddress
    from banyanline.platform.entries import ConfigurationDocument, RouteDocument


class CheckedConfiguration(NamedTuple):
    """What a check found; without ``problems`` hosts take the configuration.

    Each problem names the place, the value got and what is accepted.
    """

    version: int
    routes: int
    services: int
    problems: tuple[str, ...]


def is_platform_configuration(document: object) -> bool:
    """Whether a JSON document is one of the platform's, and not of the project's own interface.

    >>> is_platform_configuration({"version": 7, "routes": [], "services": []})
    True
    """
    return isinstance(document, dict) and "routes" in document and "revision" not in document


def check_configuration(data: bytes) -> CheckedConfiguration:
    """Check the bytes of a configuration; no input raises.

    >>> check_configuration(b'{"version":7,"routes":[],"services":[]}').problems
    ()
    """
    try:
        document = read_configuration(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return CheckedConfiguration(0, 0, 0, (str(error),))
    problems = tuple(_problems(document))
    return CheckedConfiguration(
        document.version, len(document.routes), len(document.services), problems
    )


def _problems(document: ConfigurationDocument) -> Iterator[str]:
    if document.version < 1:
        yield f"version: got {document.version}, accepted: a whole number from 1"
    if document.limits.idle_timeout_ms <= 0:
        yield f"limits.idle_timeout_ms: got {document.limits.idle_timeout_ms}, accepted: above 0"
    known = {service.name for service in document.services}
    first_at: dict[ServiceAddress, int] = {}
    for idx, route in enumerate(document.routes):
        place = f"routes[{idx}]"
        yield from _address_problems(place, idx, route, first_at)
        yield from _service_problems(place, route, known)
        yield from _time_problems(place, route)


def _address_problems(
    place: str, idx: int, route: RouteDocument, first_at: dict[ServiceAddress, int]
) -> Iterator[str]:
    try:
        address = route_address(route)
    except (OSError, ValueError):
        yield (
            f"{place}: got {route.hostname!r} and {route.prefix!r}, "
            "accepted: an IPv4 number and a port between slashes"
        )
        return
    first = first_at.setdefault(address, idx)
    if first != idx:
        yield (
            f"{place}: got {route.hostname!r} and {route.prefix!r} as in routes[{first}], "
            "accepted: an address of its own"
        )


def _service_problems(place: str, route: RouteDocument, known: set[str]) -> Iterator[str]:
    shares = route_shares(route)
    if not shares:
        yield f"{place}: got neither service nor traffic_split, accepted: one of them"
        return
    for service in {share.service for share in shares} - known:
        yield f"{place}: got service {service!r}, accepted: a name under services"
    weights = sorted(share.weight for share in shares)
    if weights[0] < 0 or sum(weights) <= 0:
        yield f"{place}.traffic_split: got weights {weights}, accepted: 0 or more, one above 0"


def _time_problems(place: str, route: RouteDocument) -> Iterator[str]:
    for name, value in (("timeout_ms", route.timeout_ms), ("aim_ms", route.aim_ms)):
        if value < 0:
            yield f"{place}.{name}: got {value:g}, accepted: 0 or more"
