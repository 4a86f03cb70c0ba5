"""A small HTTP/1.1 server for status pages, with one GET request per connection.

The number of connections, the header size and the request time are limited.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import h11

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from banyanline.core.types import Endpoint

MAX_CONNECTIONS = 16
MAX_REQUEST_HEADER_BYTES = 8 * 1024
REQUEST_TIMEOUT_S = 5.0
READ_BYTES = 4 * 1024

TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


class PageResponse(NamedTuple):
    """HTTP response with a page or an error message."""

    status: int
    body: bytes
    headers: Mapping[str, str] = TEXT_HEADERS


Responder: TypeAlias = "Callable[[str, Sequence[str]], PageResponse | Awaitable[PageResponse]]"
"""Takes the target and the values of ``Accept``, and returns the response or an awaitable of it."""


class PageServer:
    """Serves the responses of ``respond``, on at most ``max_connections`` connections at a time."""

    def __init__(
        self, endpoint: Endpoint, respond: Responder, max_connections: int | None = None
    ) -> None:
        self._endpoint = endpoint
        self._respond = respond
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._connections = 0
        self._refused = 0

    @property
    def port(self) -> int:
        """The bound TCP port, after :meth:`start`."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def refused(self) -> int:
        """Number of connections closed because of the limit."""
        return self._refused

    async def start(self) -> None:
        """Bind the endpoint and start serving; raises OSError if it cannot be bound."""
        self._server = await asyncio.start_server(
            self._serve, self._endpoint.ip, self._endpoint.port
        )

    async def stop(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connections >= (self._max_connections or MAX_CONNECTIONS):
            self._refused += 1
            writer.transport.abort()
            return
        self._connections += 1
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._handle_request(reader, writer)
        except (TimeoutError, OSError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            self._connections -= 1
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_HEADER_BYTES)
        try:
            request = await _read_request(connection, reader)
        except h11.RemoteProtocolError as error:
            if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                response = PageResponse(error.error_status_hint, b"bad request\n")
                await _send(connection, writer, response)
            return
        if request is None:
            return
        if request.method != b"GET":
            response = PageResponse(405, b"only GET is served\n")
        else:
            accepts = [
                value.decode("latin-1") for name, value in request.headers if name == b"accept"
            ]
            result = self._respond(request.target.decode("ascii"), accepts)
            response = result if isinstance(result, PageResponse) else await result
        await _send(connection, writer, response)


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Return the request line and headers; a body is not read, as no page uses one.

    Returns None if the connection ends before the request is complete.
    """
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        connection.receive_data(await reader.read(READ_BYTES))


async def _send(
    connection: h11.Connection, writer: asyncio.StreamWriter, response: PageResponse
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
