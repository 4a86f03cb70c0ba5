"""Decodes the operator's configuration document, element by element.

An element that cannot be read costs at most the route or the service that it belongs to.
Each is reported as a :class:`~banyanline.core.steering.model.Defect`, with what is done
instead.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

import msgspec

from banyanline.core.steering.model import (
    ColdLimit,
    Defect,
    Route,
    RouteKind,
    RoutingTable,
    ServiceShare,
)
from banyanline.core.steering.packet import ServiceAddress
from banyanline.platform.documents import DocumentReader
from banyanline.platform.packets import service_address

DEFAULT_IDLE_TIMEOUT_MS = 60_000.0

CAUTIOUS_COLD_RATE = 1.0
"""New flows per second to a cold upstream whose limit cannot be read."""

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
    "upload": RouteKind.UPLOAD,
}


class ShareDocument(msgspec.Struct):
    """One service of a route's split; ``weight`` is None if it is absent or unreadable."""

    service: str
    weight: float | None = None


class RouteDocument(msgspec.Struct):
    """A route in the operator's configuration document."""

    hostname: str
    """An IPv4 address, not a name."""
    prefix: str
    """A port between slashes."""
    name: str = ""
    route_type: str = ""
    timeout_ms: float = 0.0
    aim_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[Any] = []


class ServiceDocument(msgspec.Struct):
    """A service in the operator's configuration document."""

    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS


class _Document(msgspec.Struct):
    version: int
    routes: list[Any]
    services: Any = msgspec.field(default_factory=list)
    limits: Any = msgspec.field(default_factory=dict)


_DECODER = msgspec.json.Decoder(_Document)


class DocumentRoute(NamedTuple):
    """A route of the document and the index of its element; ``address`` is None if unreadable."""

    idx: int
    fields: RouteDocument
    address: ServiceAddress | None
    shares: tuple[ServiceShare, ...]


class Configuration(NamedTuple):
    """The readable part of a configuration document.

    ``cold_limits`` holds a limit for each service of the document, and for each service of
    a route if the document's services cannot all be read.
    """

    version: int
    route_count: int
    """The number of routes in the document, with those left out of ``routes``."""
    routes: tuple[DocumentRoute, ...]
    services: tuple[ServiceDocument, ...]
    cold_limits: dict[str, ColdLimit]
    idle_timeout_ms: float
    defects: tuple[Defect, ...]


def read_configuration(data: bytes) -> Configuration:
    """Decode the operator's document.

    Raises msgspec.MsgspecError or ValueError if it is not JSON, or has no version or list
    of routes: such a document has no readable part.
    """
    return _Reader().read(_DECODER.decode(data))


def to_routing_table(configuration: Configuration) -> RoutingTable:
    """Return the routes and limits of a configuration as the core uses them."""
    routes = [
        _to_route(route, route.address)
        for route in configuration.routes
        if route.address is not None
    ]
    return RoutingTable(
        version=configuration.version,
        routes={route.address: route for route in routes},
        cold_limits=configuration.cold_limits,
        idle_timeout_s=configuration.idle_timeout_ms / 1000.0,
        defects=configuration.defects,
        is_complete=len(routes) == configuration.route_count,
    )


def _to_route(route: DocumentRoute, address: ServiceAddress) -> Route:
    fields = route.fields
    return Route(
        name=fields.name,
        address=address,
        kind=_ROUTE_KINDS.get(fields.route_type, RouteKind.NON_IDEMPOTENT),
        patience_s=fields.timeout_ms / 1000.0,
        objective_s=fields.aim_ms / 1000.0,
        priority=fields.priority,
        shares=route.shares,
    )


class _Reader:
    """Reads one document and collects its defects."""

    def __init__(self) -> None:
        self._document = DocumentReader()

    def read(self, document: _Document) -> Configuration:
        """Return the readable part of a document."""
        routes = [self._read_route(idx, each) for idx, each in enumerate(document.routes)]
        readable = tuple(route for route in routes if route is not None)
        services, damaged = self._read_services(document.services)
        limits = self._document.convert("limits", document.limits, _Limits) or _Limits()
        return Configuration(
            version=document.version,
            route_count=len(document.routes),
            routes=readable,
            services=services,
            cold_limits=_cold_limits(services, damaged, readable),
            idle_timeout_ms=self._document.positive(
                "limits.idle_timeout_ms", limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT_MS
            ),
            defects=self._document.defects,
        )

    def _read_route(self, idx: int, element: Any) -> DocumentRoute | None:
        path = f"routes[{idx}]"
        fields = self._document.convert(path, element, RouteDocument)
        if fields is None:
            return None
        if fields.route_type not in _ROUTE_KINDS:
            self._document.report(
                f"{path}.route_type", fields.route_type, "treated as non-idempotent"
            )
        address = self._read_address(path, fields)
        return DocumentRoute(idx, fields, address, self._read_shares(path, fields))

    def _read_address(self, path: str, fields: RouteDocument) -> ServiceAddress | None:
        try:
            return service_address(fields.hostname, int(fields.prefix.strip("/")))
        except (OSError, ValueError):
            found = f"{fields.hostname} {fields.prefix}"
            self._document.report(
                path, found, "not an IPv4 address and a port between slashes: left out"
            )
            return None

    def _read_shares(self, path: str, fields: RouteDocument) -> tuple[ServiceShare, ...]:
        """Return the services with a readable weight, or all with equal weight if none has one."""
        documents = []
        for idx, element in enumerate(fields.traffic_split):
            share_path = f"{path}.traffic_split[{idx}]"
            share = self._document.convert(share_path, element, ShareDocument)
            if share is not None:
                documents.append(self._checked_weight(share_path, share))
        weighted = tuple(
            ServiceShare(share.service, share.weight)
            for share in documents
            if share.weight is not None
        )
        if any(share.weight > 0 for share in weighted):
            return weighted
        unreadable = [share.service for share in documents if share.weight is None]
        if unreadable:
            return tuple(ServiceShare(service, 1.0) for service in unreadable)
        if fields.service is not None and not weighted:
            return (ServiceShare(fields.service, 1.0),)
        return weighted

    def _checked_weight(self, path: str, share: ShareDocument) -> ShareDocument:
        """Return a share whose weight is a usable number or None."""
        if share.weight is None:
            self._document.report(
                f"{path}.weight", share.weight, "no weight: not used while others have one"
            )
        elif not (share.weight >= 0 and math.isfinite(share.weight)):
            self._document.report(
                f"{path}.weight", share.weight, "not used while others have a weight"
            )
            share.weight = None
        return share

    def _read_services(self, elements: Any) -> tuple[tuple[ServiceDocument, ...], set[str] | None]:
        """Return the services and the names of the damaged ones; None if some have no name."""
        if not isinstance(elements, list):
            self._document.report(
                "services", elements, "cold upstreams of all services get few flows"
            )
            return (), None
        services = []
        damaged: set[str] = set()
        has_nameless = False
        for idx, element in enumerate(elements):
            defect_count = len(self._document.defects)
            service = self._document.convert(f"services[{idx}]", element, ServiceDocument)
            if service is None:
                has_nameless = True
                continue
            services.append(service)
            if len(self._document.defects) > defect_count:
                damaged.add(service.name)
        return tuple(services), None if has_nameless else damaged


def _cold_limits(
    services: tuple[ServiceDocument, ...],
    damaged: set[str] | None,
    routes: tuple[DocumentRoute, ...],
) -> dict[str, ColdLimit]:
    limits = {
        service.name: ColdLimit(service.warmup_s, service.warmup_per_s) for service in services
    }
    cautious = damaged
    if cautious is None:
        named = {share.service for route in routes for share in route.shares}
        cautious = named - limits.keys()
    return limits | {
        name: ColdLimit(limits[name].duration_s if name in limits else 0.0, CAUTIOUS_COLD_RATE)
        for name in cautious
    }
