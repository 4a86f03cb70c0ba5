"""Validates a configuration of the operators' platform before it is written to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from banyanline.platform.configuration import read_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

    from banyanline.core.steering.packet import ServiceAddress
    from banyanline.platform.configuration import Configuration, DocumentRoute


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
        configuration = read_configuration(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return ConfigurationCheck(0, 0, 0, (str(error),))
    return ConfigurationCheck(
        configuration.version,
        configuration.route_count,
        len(configuration.services),
        tuple(_problems(configuration)),
    )


def _problems(configuration: Configuration) -> Iterator[str]:
    if configuration.version < 1:
        yield f"version: got {configuration.version}, accepted: a whole number from 1"
    for defect in configuration.defects:
        yield f"{defect.path}: got {defect.value!r}: {defect.effect}"
    known = {service.name for service in configuration.services}
    first_index: dict[ServiceAddress, int] = {}
    for route in configuration.routes:
        path = f"routes[{route.idx}]"
        yield from _address_problems(path, route, first_index)
        yield from _service_problems(path, route, known)
        yield from _time_problems(path, route)


def _address_problems(
    path: str, route: DocumentRoute, first_index: dict[ServiceAddress, int]
) -> Iterator[str]:
    if route.address is None:
        return
    first = first_index.setdefault(route.address, route.idx)
    if first != route.idx:
        fields = route.fields
        yield (
            f"{path}: got {fields.hostname!r} and {fields.prefix!r} as in routes[{first}], "
            "accepted: an address that no other route has"
        )


def _service_problems(path: str, route: DocumentRoute, known: set[str]) -> Iterator[str]:
    if not route.shares:
        yield f"{path}: got neither service nor traffic_split, accepted: one of them"
        return
    for service in {share.service for share in route.shares} - known:
        yield f"{path}: got service {service!r}, accepted: a name under services"
    weights = sorted(share.weight for share in route.shares)
    if sum(weights) <= 0:
        yield f"{path}.traffic_split: got weights {weights}, accepted: 0 or more, one above 0"


def _time_problems(path: str, route: DocumentRoute) -> Iterator[str]:
    for name, value in (
        ("timeout_ms", route.fields.timeout_ms),
        ("aim_ms", route.fields.aim_ms),
    ):
        if value < 0:
            yield f"{path}.{name}: got {value:g}, accepted: 0 or more"
