"""A small HTTP/1.1 client for single GET requests that returns failures as values."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import h11

if TYPE_CHECKING:
    from banyanline.core.types import Endpoint

CONNECT_TIMEOUT_S = 0.7
"""Below 1 s, the time after which the kernel retransmits a lost SYN."""

MAX_HEADER_BYTES = 16 * 1024
READ_BYTES = 64 * 1024
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""A peer that vanished without closing is detected after the idle time and these probes."""

KEEPALIVE_IDLE_S = 1
TCP_USER_TIMEOUT_MS = 2000
"""Maximum time that sent data may stay unacknowledged before the kernel closes the connection."""


class HttpFailureReason(StrEnum):
    """Why a request failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED_EARLY = "closed_early"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"


class HttpFailed(NamedTuple):
    """Result of a request without a complete, valid response."""

    reason: HttpFailureReason
    detail: str = ""


class HttpResponse(NamedTuple):
    """A response with its complete body; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


HttpResult: TypeAlias = HttpResponse | HttpFailed


async def http_get(
    endpoint: Endpoint, target: str, *, timeout_s: float, max_body_bytes: int
) -> HttpResult:
    """Get ``target`` from ``endpoint`` within ``timeout_s``, on a new connection.

    The target must be a valid request target in ASCII. No exception but cancellation is raised.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _get(endpoint, target, max_body_bytes)
    except TimeoutError:
        return HttpFailed(HttpFailureReason.TIMEOUT, f"no complete response within {timeout_s} s")


async def _get(endpoint: Endpoint, target: str, max_body_bytes: int) -> HttpResult:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(endpoint.ip, endpoint.port)
    except TimeoutError:
        return HttpFailed(HttpFailureReason.UNREACHABLE, "connection attempt timed out")
    except OSError as error:
        return HttpFailed(HttpFailureReason.UNREACHABLE, str(error))
    _set_keepalive(writer)
    try:
        return await exchange(endpoint, target, reader, writer, max_body_bytes)
    except OSError as error:
        return HttpFailed(HttpFailureReason.CLOSED_EARLY, str(error))
    finally:
        writer.transport.abort()


async def exchange(
    endpoint: Endpoint,
    target: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    max_body_bytes: int,
) -> HttpResult:
    """Send a GET on an open connection and read the response; raises only OSError."""
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
    host = f"[{endpoint.ip}]:{endpoint.port}" if ":" in endpoint.ip else str(endpoint)
    headers = [("Host", host), ("Connection", "close"), ("Accept-Encoding", "identity")]
    writer.write(connection.send(h11.Request(method="GET", target=target, headers=headers)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    await writer.drain()
    response: h11.Response | None = None
    body = bytearray()
    is_eof = False
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            reason = HttpFailureReason.CLOSED_EARLY if is_eof else HttpFailureReason.MALFORMED
            return HttpFailed(reason, str(error))
        if event is h11.NEED_DATA:
            data = await reader.read(READ_BYTES)
            is_eof = not data
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                return HttpFailed(
                    HttpFailureReason.BODY_TOO_LARGE, f"more than {max_body_bytes} bytes"
                )
        elif isinstance(event, h11.EndOfMessage) and response is not None:
            return HttpResponse(response.status_code, _header_map(response), bytes(body))
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return HttpFailed(HttpFailureReason.CLOSED_EARLY, "no complete response")


def _header_map(response: h11.Response) -> dict[str, str]:
    return {
        name.decode("ascii", "replace"): value.decode("ascii", "replace")
        for name, value in response.headers
    }


def _set_keepalive(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
