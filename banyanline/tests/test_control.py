from __future__ import annotations

import asyncio
import contextlib
import os

import grpc
import msgspec
import pytest

from banyanline.core.keys import Key, KeyRing
from banyanline.core.types import Endpoint, Host
from banyanline.net.control import (
    SERVICE,
    CallFailed,
    CallFailureReason,
    ControlClient,
    ControlMethod,
    ControlServer,
)
from banyanline.net.seal import RejectionReason, Sealer

NOW_S = 1_000_000.0
TIMEOUT_S = 5.0


class Number(msgspec.Struct):
    value: int


class Text(msgspec.Struct):
    text: str


def sealer(name: str, secret: bytes = b"k") -> Sealer:
    return Sealer(KeyRing((Key("1", secret * 32),)), name, lambda: NOW_S)


@contextlib.asynccontextmanager
async def running_server(client_sealer, name="south"):
    handled: list[tuple[str, int]] = []
    rejections: list[RejectionReason] = []

    async def increment(sender, request):
        handled.append((sender, request.value))
        if request.value < 0:
            await asyncio.sleep(60)
        if request.value > 1000:
            raise RuntimeError("fault in handler")
        return Number(request.value + 1)

    server = ControlServer(
        Endpoint("127.0.0.1", 0),
        sealer(name),
        {"Increment": ControlMethod(Number, increment)},
        count_rejection=rejections.append,
        wall_clock=lambda: NOW_S,
    )
    await server.start()
    client = ControlClient(client_sealer, wall_clock=lambda: NOW_S)
    host = Host(name, "dc", "g", "127.0.0.1", 1, server.port)
    try:
        yield client, host, handled, rejections
    finally:
        await client.close()
        await server.stop(0)


async def test_call_returns_response_and_opens_no_io_uring():
    async with running_server(sealer("north")) as (client, host, handled, rejections):
        assert await client.call(host, "Increment", Number(1), Number, TIMEOUT_S) == Number(2)
        assert handled == [("north", 1)]
        assert rejections == []
        targets = []
        for descriptor in os.listdir("/proc/self/fd"):
            with contextlib.suppress(OSError):
                targets.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        assert targets
        assert not [target for target in targets if "io_uring" in target]


@pytest.mark.parametrize(
    ("secret", "host_name", "method", "request_struct", "response_type", "timeout_s", "expected"),
    [
        pytest.param(
            b"x",
            "south",
            "Increment",
            Number(1),
            Number,
            5,
            CallFailureReason.REFUSED,
            id="other key",
        ),
        pytest.param(
            b"k",
            "west",
            "Increment",
            Number(1),
            Number,
            5,
            CallFailureReason.REFUSED,
            id="other host",
        ),
        pytest.param(
            b"k",
            "south",
            "Nothing",
            Number(1),
            Number,
            5,
            CallFailureReason.REFUSED,
            id="no such method",
        ),
        pytest.param(
            b"k",
            "south",
            "Increment",
            Text("1"),
            Number,
            5,
            CallFailureReason.REFUSED,
            id="bad request",
        ),
        pytest.param(
            b"k",
            "south",
            "Increment",
            Number(1),
            Text,
            5,
            CallFailureReason.BAD_RESPONSE,
            id="bad response",
        ),
        pytest.param(
            b"k",
            "south",
            "Increment",
            Number(-1),
            Number,
            0.1,
            CallFailureReason.TIMEOUT,
            id="timeout",
        ),
        pytest.param(
            b"k",
            "south",
            "Increment",
            Number(2000),
            Number,
            5,
            CallFailureReason.CALLEE_ERROR,
            id="error in callee",
        ),
    ],
)
async def test_call_failure_reasons(
    secret, host_name, method, request_struct, response_type, timeout_s, expected
):
    async with running_server(sealer("north", secret)) as (client, host, _handled, _rejections):
        named = host._replace(name=host_name)
        result = await client.call(named, method, request_struct, response_type, timeout_s)
        assert isinstance(result, CallFailed)
        assert result.reason is expected


async def test_call_to_a_closed_port_is_unreachable():
    async with running_server(sealer("north")) as (client, host, _handled, _rejections):
        absent = host._replace(address="127.0.0.1", control_port=1)
        result = await client.call(absent, "Increment", Number(1), Number, TIMEOUT_S)
        assert result.reason is CallFailureReason.UNREACHABLE


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        pytest.param(b"", RejectionReason.TRUNCATED, id="empty"),
        pytest.param(bytes(200), RejectionReason.UNKNOWN_VERSION, id="zeros"),
        pytest.param(
            sealer("north", b"x").seal("south", b""), RejectionReason.BAD_MAC, id="forged"
        ),
        pytest.param(
            sealer("north").seal("south", b"\xc1"),
            RejectionReason.BAD_PAYLOAD,
            id="not MessagePack",
        ),
    ],
)
async def test_invalid_bodies_are_counted_and_reach_no_handler(body, expected):
    async with running_server(sealer("north")) as (_client, host, handled, rejections):
        async with grpc.aio.insecure_channel(f"ipv4:127.0.0.1:{host.control_port}") as channel:
            with pytest.raises(grpc.aio.AioRpcError):
                await channel.unary_unary(f"/{SERVICE}/Increment")(body, timeout=TIMEOUT_S)
        assert rejections == [expected]
        assert handled == []


async def test_replayed_call_runs_once():
    async with running_server(sealer("north")) as (_client, host, handled, rejections):
        frame = sealer("north").seal("south", msgspec.msgpack.encode(Number(7)))
        async with grpc.aio.insecure_channel(f"ipv4:127.0.0.1:{host.control_port}") as channel:
            call = channel.unary_unary(f"/{SERVICE}/Increment")
            await call(frame, timeout=TIMEOUT_S)
            with pytest.raises(grpc.aio.AioRpcError):
                await call(frame, timeout=TIMEOUT_S)
        assert handled == [("north", 7)]
        assert rejections == [RejectionReason.REPLAYED]


async def test_channels_are_bounded():
    async with contextlib.AsyncExitStack() as stack:
        fleet = [
            await stack.enter_async_context(running_server(sealer("north"), name))
            for name in ("south-1", "south-2", "south-3")
        ]
        client = ControlClient(sealer("north"), wall_clock=lambda: NOW_S, max_channels=2)
        for _client, host, _handled, _rejections in [*fleet, fleet[0]]:
            result = await client.call(host, "Increment", Number(1), Number, TIMEOUT_S)
            assert result == Number(2)
        assert client.channels == 2
        await client.close()


async def test_channel_to_an_unreachable_host_is_closed():
    async with running_server(sealer("north")) as (client, host, _handled, _rejections):
        absent = host._replace(control_port=1)
        calls = [client.call(absent, "Increment", Number(1), Number, TIMEOUT_S) for _ in range(3)]
        results = await asyncio.gather(*calls)
        assert {result.reason for result in results} == {CallFailureReason.UNREACHABLE}
        assert client.channels == 0
