from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from banyanline.core.types import Endpoint
from banyanline.platform.consul import ConsulReader, WatchTiming, parse_response
from banyanline.platform.reader import PlatformValue, ReadFailed, ReadFailureReason
from banyanline.transport.http import HttpFailed, HttpFailureReason, HttpResponse, http_get

TIMEOUT_S = 10.0
STALLED = object()
RESET = object()


@contextlib.asynccontextmanager
async def scripted_server(*responses):
    """Serve the next response on each connection and then repeat the last one.

    Yields the endpoint and the list of the requested targets.
    """
    targets: list[str] = []

    async def serve(reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        response = responses[min(len(targets), len(responses) - 1)]
        targets.append(request.split()[1].decode())
        if response is STALLED:
            await asyncio.sleep(60)
        if response is RESET:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            writer.write(response)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield Endpoint("127.0.0.1", port), targets
    finally:
        server.close()


def response_bytes(value: bytes = b"v", index: str | None = "1", status: str = "200 OK") -> bytes:
    header = f"X-Consul-Index: {index}\r\n" if index is not None else ""
    head = f"HTTP/1.1 {status}\r\n{header}Content-Length: {len(value)}\r\n\r\n"
    return head.encode() + value


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        pytest.param(response_bytes(b"body"), b"body", id="length"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            b"abc",
            id="chunked",
        ),
        pytest.param(b"HTTP/1.0 200 OK\r\n\r\nto the end", b"to the end", id="until close"),
        pytest.param(
            b"HTTP/1.1 100 Continue\r\n\r\n" + response_bytes(b"x"), b"x", id="informational"
        ),
        pytest.param(b"SSH-2.0-OpenSSH_9.6\r\n\r\n", HttpFailureReason.MALFORMED, id="not HTTP"),
        pytest.param(bytes(range(256)) * 8, HttpFailureReason.MALFORMED, id="garbage"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 9000,
            HttpFailureReason.MALFORMED,
            id="endless header",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            HttpFailureReason.CLOSED_EARLY,
            id="cut body",
        ),
        pytest.param(b"", HttpFailureReason.CLOSED_EARLY, id="closed"),
        pytest.param(RESET, HttpFailureReason.CLOSED_EARLY, id="reset"),
        pytest.param(response_bytes(b"x" * 101), HttpFailureReason.BODY_TOO_LARGE, id="large body"),
        pytest.param(STALLED, HttpFailureReason.TIMEOUT, id="stalled"),
    ],
)
async def test_get(script, expected):
    timeout_s = 0.2 if script is STALLED else TIMEOUT_S
    async with scripted_server(script) as (endpoint, _targets):
        result = await http_get(endpoint, "/x", timeout_s=timeout_s, max_body_bytes=100)
    if isinstance(expected, bytes):
        assert isinstance(result, HttpResponse)
        assert result.body == expected
    else:
        assert isinstance(result, HttpFailed)
        assert result.reason is expected


async def test_get_from_absent_host_is_unreachable():
    result = await http_get(Endpoint("127.0.0.1", 1), "/x", timeout_s=TIMEOUT_S, max_body_bytes=100)
    assert isinstance(result, HttpFailed)
    assert result.reason is HttpFailureReason.UNREACHABLE


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        pytest.param(HttpResponse(200, {"x-consul-index": "7"}, b"v"), 7, id="value"),
        pytest.param(HttpResponse(200, {"x-consul-index": "0"}, b"v"), 1, id="index below 1"),
        pytest.param(HttpResponse(200, {}, b"v"), ReadFailureReason.NO_INDEX, id="no index"),
        pytest.param(
            HttpResponse(200, {"x-consul-index": "-3"}, b""),
            ReadFailureReason.NO_INDEX,
            id="negative",
        ),
        pytest.param(
            HttpResponse(200, {"x-consul-index": "9" * 5000}, b""),
            ReadFailureReason.NO_INDEX,
            id="long",
        ),
        pytest.param(
            HttpResponse(200, {"x-consul-index": "\u0663"}, b""),
            ReadFailureReason.NO_INDEX,
            id="not ASCII",
        ),
        pytest.param(HttpResponse(404, {}, b""), ReadFailureReason.NO_SUCH_KEY, id="no key"),
        pytest.param(HttpResponse(500, {}, b""), ReadFailureReason.BAD_STATUS, id="server error"),
    ],
)
def test_parse_response(response, expected):
    result = parse_response(response)
    if isinstance(expected, int):
        assert result == PlatformValue(b"v", expected)
    else:
        assert isinstance(result, ReadFailed)
        assert result.reason is expected


def reader_of(*endpoints: Endpoint) -> ConsulReader:
    reader = ConsulReader(
        endpoints, random.Random(1), WatchTiming(wait_s=1.0, retry_interval_s=0.01)
    )
    reader._address_index = 0
    return reader


async def collect_values(reader: ConsulReader, count: int) -> list[PlatformValue]:
    values: list[PlatformValue] = []
    async with asyncio.timeout(TIMEOUT_S):
        async for value in reader.watch("banyanline/configuration"):
            values.append(value)
            if len(values) == count:
                break
    return values


@pytest.mark.parametrize(
    ("script", "expected", "queries"),
    [
        pytest.param(
            [response_bytes(b"a", "5"), response_bytes(b"b", "6")],
            [(b"a", 5), (b"b", 6)],
            ["", "&index=5&wait=1s"],
            id="change",
        ),
        pytest.param(
            [response_bytes(b"a", "5"), response_bytes(b"a", "5"), response_bytes(b"b", "6")],
            [(b"a", 5), (b"b", 6)],
            ["", "&index=5&wait=1s", "&index=5&wait=1s"],
            id="wait ended without change",
        ),
        pytest.param(
            [response_bytes(b"a", "5"), response_bytes(b"z", "3"), response_bytes(b"z", "3")],
            [(b"a", 5), (b"z", 3)],
            ["", "&index=5&wait=1s", ""],
            id="index goes backwards",
        ),
        pytest.param(
            [response_bytes(b"a", "0"), response_bytes(b"b", "2")],
            [(b"a", 1), (b"b", 2)],
            ["", "&index=1&wait=1s"],
            id="index 0",
        ),
        pytest.param(
            [
                response_bytes(b"a", "5"),
                RESET,
                b"garbage\r\n\r\n",
                response_bytes(b"", None),
                response_bytes(b"b", "6"),
            ],
            [(b"a", 5), (b"b", 6)],
            ["", *["&index=5&wait=1s"] * 4],
            id="failures between",
        ),
    ],
)
async def test_watch(script, expected, queries):
    async with scripted_server(*script) as (endpoint, targets):
        reader = reader_of(endpoint)
        values = await collect_values(reader, len(expected))
        assert [tuple(value) for value in values] == expected
        prefix = "/v1/kv/banyanline/configuration?raw"
        assert targets == [prefix + query for query in queries]
        assert reader.calls == len(queries)


async def test_watch_tries_the_next_address_and_counts_each_failure():
    async with (
        scripted_server(response_bytes(b"a", "5")) as (good, _),
        scripted_server(response_bytes(status="500 Internal Server Error")) as (bad, _),
    ):
        reader = reader_of(Endpoint("127.0.0.1", 1), bad, good)
        assert await collect_values(reader, 1) == [PlatformValue(b"a", 5)]
        assert reader.failures == {
            ReadFailureReason.UNREACHABLE: 1,
            ReadFailureReason.BAD_STATUS: 1,
        }
        assert await reader.read("banyanline/hosts") == PlatformValue(b"a", 5)


async def test_value_above_the_platform_bound_is_refused():
    async with scripted_server(response_bytes(b"x" * 1_100_000)) as (endpoint, _):
        result = await reader_of(endpoint).read("k")
    assert isinstance(result, ReadFailed)
    assert result.reason is ReadFailureReason.BODY_TOO_LARGE
