"""The admin endpoint: metrics, status and health over HTTP, for operators only.

It is bound to a loopback or management address. One request is answered on each
connection; connections, header sizes and times are bounded.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11

from banyanline.core.types import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.types import ServiceName

MAX_CONNECTIONS = 16
MAX_REQUEST_HEADER_BYTES = 8 * 1024
REQUEST_TIMEOUT_S = 5.0
READ_BYTES = 4 * 1024
MAX_PORT = 65_535

_JSON_HEADERS = {"Content-Type": "application/json"}
_TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


class AdminPages(NamedTuple):
    """What the admin endpoint shows; the callables are asked at each request.

    ``metrics`` takes the values of the ``Accept`` headers and returns a body and
    its headers. ``why`` returns None for a service that is not configured.
    """

    metrics: Callable[[Sequence[str]], tuple[bytes, Mapping[str, str]]]
    status: Callable[[], Mapping[str, Any]]
    is_healthy: Callable[[], bool]
    why: Callable[[Endpoint, ServiceName], Mapping[str, Any] | None]


class AdminResponse(NamedTuple):
    """An answer of the admin endpoint."""

    status: int
    body: bytes
    headers: Mapping[str, str] = _TEXT_HEADERS


def parse_endpoint(text: str) -> Endpoint | None:
    """Return the endpoint written as ``ip:port`` or ``[ip]:port``, or None.

    >>> parse_endpoint("[2001:db8::1]:5683")
    Endpoint(ip='2001:db8::1', port=5683)
    """
    ip, separator, port = text.rpartition(":")
    if not (separator and ip and port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    return Endpoint(ip.removeprefix("[").removesuffix("]"), int(port))


def respond(pages: AdminPages, target: str, accepts: Sequence[str] = ()) -> AdminResponse:
    """Return the answer to a GET of ``target``."""
    try:
        parts = urlsplit(target)
    except ValueError:
        return AdminResponse(400, b"bad target\n")
    match parts.path:
        case "/metrics":
            body, headers = pages.metrics(accepts)
            return AdminResponse(200, body, headers)
        case "/status":
            return _json_response(200, pages.status())
        case "/healthz":
            healthy = pages.is_healthy()
            return AdminResponse(200 if healthy else 503, b"ok\n" if healthy else b"unhealthy\n")
        case "/why":
            return _explain(pages, parts.query)
        case _:
            return AdminResponse(404, b"no such page\n")


def _explain(pages: AdminPages, query: str) -> AdminResponse:
    try:
        fields = parse_qs(query, max_num_fields=8)
    except ValueError:
        return AdminResponse(400, b"too many fields\n")
    caller = parse_endpoint(fields.get("caller", [""])[0])
    service = fields.get("service", [""])[0]
    if caller is None or not service:
        return AdminResponse(400, b"expected caller=ip:port and service=name\n")
    explanation = pages.why(caller, service)
    if explanation is None:
        return AdminResponse(404, b"no such service\n")
    return _json_response(200, explanation)


def _json_response(status: int, value: Mapping[str, Any]) -> AdminResponse:
    return AdminResponse(status, json.dumps(value, default=str).encode() + b"\n", _JSON_HEADERS)


class AdminServer:
    """Serves :class:`AdminPages` over HTTP/1.1."""

    def __init__(self, endpoint: Endpoint, pages: AdminPages) -> None:
        self._endpoint = endpoint
        self._pages = pages
        self._server: asyncio.Server | None = None
        self._connections = 0
        self._refused = 0

    @property
    def port(self) -> int:
        """The bound TCP port, once started."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def refused(self) -> int:
        """Connections closed because too many were open."""
        return self._refused

    async def start(self) -> None:
        """Bind the endpoint and begin to answer; raises OSError if it cannot be bound."""
        self._server = await asyncio.start_server(
            self._serve, self._endpoint.ip, self._endpoint.port
        )

    async def stop(self) -> None:
        """Take no new connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connections >= MAX_CONNECTIONS:
            self._refused += 1
            writer.transport.abort()
            return
        self._connections += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._answer(reader, writer)
        except (TimeoutError, OSError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            self._connections -= 1
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEADER_BYTES)
        try:
            request = await _read_request(connection, reader)
        except h11.RemoteProtocolError as error:
            if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                response = AdminResponse(error.error_status_hint, b"bad request\n")
                await _send(connection, writer, response)
            return
        if request is None:
            return
        if request.method != b"GET":
            response = AdminResponse(405, b"only GET is served\n")
        else:
            accepts = [
                value.decode("latin-1") for name, value in request.headers if name == b"accept"
            ]
            response = respond(self._pages, request.target.decode("ascii"), accepts)
        await _send(connection, writer, response)


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Return the request's head; a body is left unread, as no page takes one."""
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        connection.receive_data(await reader.read(READ_BYTES))


async def _send(
    connection: h11.Connection, writer: asyncio.StreamWriter, response: AdminResponse
) -> None:
    headers = {
        **response.headers,
        "Content-Length": str(len(response.body)),
        "Connection": "close",
    }
    head = h11.Response(status_code=response.status, headers=list(headers.items()))
    writer.write(connection.send(head) or b"")
    writer.write(connection.send(h11.Data(data=response.body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    await writer.drain()
