"""Validates a configuration of the operators' platform before it is written to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from banyanline.platform.entries import read_configuration, route_address, route_shares

if TYPE_CHECKING:
    from collections.abc import Iterator

    from banyanline.core.steering.packet import ServiceAddress
    from banyanline.platform.entries import ConfigurationDocument, RouteDocument


class ConfigurationCheck(NamedTuple):
    """The result of a validation; hosts accept the configuration if ``problems`` is empty.

    ``routes`` and ``services`` are counts. Each problem names the field, the value found
    and the accepted values.
    """

    version: int
    routes: int
    services: int
    problems: tuple[str, ...]


def is_platform_configuration(document: object) -> bool:
    """Whether a JSON document has the platform's format rather than the project's own.

    >>> is_platform_configuration({"version": 7, "routes": [], "services": []})
    True
    """
    return isinstance(document, dict) and "routes" in document and "revision" not in document


def check_configuration(data: bytes) -> ConfigurationCheck:
    """Validate an encoded configuration; never raises.

    >>> check_configuration(b'{"version":7,"routes":[],"services":[]}').problems
    ()
    """
    try:
        document = read_configuration(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return ConfigurationCheck(0, 0, 0, (str(error),))
    problems = tuple(_problems(document))
    return ConfigurationCheck(
        document.version, len(document.routes), len(document.services), problems
    )


def _problems(document: ConfigurationDocument) -> Iterator[str]:
    if document.version < 1:
        yield f"version: got {document.version}, accepted: a whole number from 1"
    if document.limits.idle_timeout_ms <= 0:
        yield f"limits.idle_timeout_ms: got {document.limits.idle_timeout_ms}, accepted: above 0"
    known = {service.name for service in document.services}
    first_index: dict[ServiceAddress, int] = {}
    for idx, route in enumerate(document.routes):
        path = f"routes[{idx}]"
        yield from _address_problems(path, idx, route, first_index)
        yield from _service_problems(path, route, known)
        yield from _time_problems(path, route)


def _address_problems(
    path: str, idx: int, route: RouteDocument, first_index: dict[ServiceAddress, int]
) -> Iterator[str]:
    try:
        address = route_address(route)
    except (OSError, ValueError):
        yield (
            f"{path}: got {route.hostname!r} and {route.prefix!r}, "
            "accepted: an IPv4 address and a port between slashes"
        )
        return
    first = first_index.setdefault(address, idx)
    if first != idx:
        yield (
            f"{path}: got {route.hostname!r} and {route.prefix!r} as in routes[{first}], "
            "accepted: an address that no other route has"
        )


def _service_problems(path: str, route: RouteDocument, known: set[str]) -> Iterator[str]:
    shares = route_shares(route)
    if not shares:
        yield f"{path}: got neither service nor traffic_split, accepted: one of them"
        return
    for service in {share.service for share in shares} - known:
        yield f"{path}: got service {service!r}, accepted: a name under services"
    weights = sorted(share.weight for share in shares)
    if weights[0] < 0 or sum(weights) <= 0:
        yield f"{path}.traffic_split: got weights {weights}, accepted: 0 or more, one above 0"


def _time_problems(path: str, route: RouteDocument) -> Iterator[str]:
    for name, value in (("timeout_ms", route.timeout_ms), ("aim_ms", route.aim_ms)):
        if value < 0:
            yield f"{path}.{name}: got {value:g}, accepted: 0 or more"
