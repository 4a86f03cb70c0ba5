"""Admin endpoint for operators: metrics, status and health over HTTP.

It is bound to a loopback or management address. Each connection serves one request;
the number of connections, the header size and the request time are limited.
"""

from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from banyanline.core.types import Endpoint
from banyanline.net.pages import PageResponse, PageServer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.types import ServiceName

MAX_PORT = 65_535

_JSON_HEADERS = {"Content-Type": "application/json"}


class AdminPages(NamedTuple):
    """Sources of the pages of the admin endpoint, called for each request.

    ``metrics`` takes the values of the ``Accept`` headers and returns a body and
    its headers. ``why`` returns None for a service that is not configured.
    """

    metrics: Callable[[Sequence[str]], tuple[bytes, Mapping[str, str]]]
    status: Callable[[], Mapping[str, Any]]
    is_healthy: Callable[[], bool]
    why: Callable[[Endpoint, ServiceName], Mapping[str, Any] | None]


def parse_endpoint(text: str) -> Endpoint | None:
    """Parse an endpoint in the form ``ip:port`` or ``[ip]:port``; None if it is invalid.

    >>> parse_endpoint("[2001:db8::1]:5683")
    Endpoint(ip='2001:db8::1', port=5683)
    """
    ip, separator, port = text.rpartition(":")
    if not (separator and ip and port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    return Endpoint(ip.removeprefix("[").removesuffix("]"), int(port))


def respond(pages: AdminPages, target: str, accepts: Sequence[str] = ()) -> PageResponse:
    """Return the response to a GET of ``target``."""
    try:
        parts = urlsplit(target)
    except ValueError:
        return PageResponse(400, b"bad target\n")
    match parts.path:
        case "/metrics":
            body, headers = pages.metrics(accepts)
            return PageResponse(200, body, headers)
        case "/status":
            return _json_response(200, pages.status())
        case "/healthz":
            healthy = pages.is_healthy()
            return PageResponse(200 if healthy else 503, b"ok\n" if healthy else b"unhealthy\n")
        case "/why":
            return _explain(pages, parts.query)
        case _:
            return PageResponse(404, b"no such page\n")


def _explain(pages: AdminPages, query: str) -> PageResponse:
    try:
        fields = parse_qs(query, max_num_fields=8)
    except ValueError:
        return PageResponse(400, b"too many fields\n")
    caller = parse_endpoint(fields.get("caller", [""])[0])
    service = fields.get("service", [""])[0]
    if caller is None or not service:
        return PageResponse(400, b"expected caller=ip:port and service=name\n")
    explanation = pages.why(caller, service)
    if explanation is None:
        return PageResponse(404, b"no such service\n")
    return _json_response(200, explanation)


def _json_response(status: int, value: Mapping[str, Any]) -> PageResponse:
    return PageResponse(status, json.dumps(value, default=str).encode() + b"\n", _JSON_HEADERS)


class AdminServer(PageServer):
    """Serves :class:`AdminPages` over HTTP/1.1."""

    def __init__(self, endpoint: Endpoint, pages: AdminPages) -> None:
        super().__init__(endpoint, partial(respond, pages))
