from __future__ import annotations

import asyncio
from typing import Any

import grpc
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.cli.status import CommandResult, StatusQuery, render_response
from banyanline.core.keys import Key, KeyRing
from banyanline.core.types import Endpoint
from banyanline.net.admin import AdminPages, AdminServer, parse_endpoint, respond
from banyanline.net.control import ControlMethod, ControlServer
from banyanline.net.replay import WINDOW_FRAMES
from banyanline.net.seal import MAC_BYTES, Opened, Rejected, Sealer
from banyanline.platform.consul import parse_response
from banyanline.platform.reader import PlatformValue, ReadFailed
from banyanline.transport.http import HttpFailed, HttpFailureReason, HttpResponse, exchange
from properties.mutations import mutated

NOW_S = 1_000_000.0
MAX_BODY_BYTES = 100
TIMEOUT_S = 10.0

profile = settings(derandomize=True, deadline=None, max_examples=300)


def sealer(name: str, secret: bytes = b"k") -> Sealer:
    return Sealer(KeyRing((Key("1", secret * 32),)), name, lambda: NOW_S)


FRAMES = [
    sealer("north").seal("south", b"payload"),
    sealer("north").seal("west", b"payload"),
    sealer("north", b"x").seal("south", b""),
]


@profile
@given(frame=mutated(FRAMES))
def test_mutated_frame_never_opens_and_leaves_the_receiver_unchanged(frame):
    receiver = sealer("south")
    result = receiver.open(frame, NOW_S)
    if frame != FRAMES[0]:
        assert isinstance(result, Rejected)
        assert receiver.senders == 0
    assert isinstance(receiver.open(sealer("north").seal("south", b"1"), NOW_S), Opened) or (
        frame == FRAMES[0]
    )


@profile
@given(
    payloads=st.lists(st.binary(max_size=40), min_size=1, max_size=30),
    order=st.lists(st.integers(0, 29), max_size=80),
)
def test_each_frame_opens_at_most_once_in_any_order(payloads, order):
    sender, receiver = sealer("north"), sealer("south")
    frames = [sender.seal("south", payload) for payload in payloads]
    opened = []
    for number in order:
        result = receiver.open(frames[number % len(frames)], NOW_S)
        if isinstance(result, Opened):
            assert result == ("north", payloads[number % len(frames)])
            opened.append(number % len(frames))
    assert sorted(opened) == sorted({number % len(frames) for number in order})


@profile
@given(
    counters=st.lists(
        st.sampled_from([0, WINDOW_FRAMES, 3 * WINDOW_FRAMES]).flatmap(
            lambda base: st.integers(max(1, base - 3), base + 3)
        ),
        max_size=40,
    )
)
def test_replay_window_accepts_the_same_counters_as_a_set_of_all(counters):
    sender, receiver = sealer("north"), sealer("south")
    sender.seal("south", b"")
    accepted: set[int] = set()
    for counter in counters:
        sender._receivers["south"].counter = counter - 1
        expected = counter not in accepted and counter > max(accepted, default=0) - WINDOW_FRAMES
        result = receiver.open(sender.seal("south", b""), NOW_S)
        assert isinstance(result, Opened) is expected
        if expected:
            accepted.add(counter)


@profile
@given(position=st.integers(0), bit=st.integers(0, 7))
def test_any_flipped_bit_is_rejected(position, bit):
    changed = bytearray(FRAMES[0])
    changed[position % len(changed)] ^= 1 << bit
    assert isinstance(sealer("south").open(bytes(changed), NOW_S), Rejected)


@profile
@given(name=st.binary(min_size=1, max_size=64))
def test_any_sender_name_with_a_valid_mac_is_decoded_without_error(name):
    frame = sealer("n" * len(name)).seal("south", b"")
    renamed = frame.replace(b"n" * len(name), name)
    body = renamed[:-MAC_BYTES]
    forger = sealer("south")
    hasher = next(iter(forger._verifiers.values())).copy()
    hasher.update(body)
    assert isinstance(forger.open(body + hasher.digest(), NOW_S), Opened)


class DiscardingWriter:
    def write(self, data):
        """Discard the request."""

    async def drain(self):
        """Return at once."""


HTTP_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: 5\r\n\r\nvalue",
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nvalue\r\n0\r\n\r\n",
    b"HTTP/1.0 404 Not Found\r\nX-Consul-Index: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
]


@profile
@given(data=mutated(HTTP_RESPONSES))
def test_platform_response_is_a_value_or_a_known_failure(data):
    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        writer: Any = DiscardingWriter()
        return await exchange(Endpoint("127.0.0.1", 1), "/", reader, writer, MAX_BODY_BYTES)

    result = asyncio.run(run())
    if isinstance(result, HttpFailed):
        assert result.reason in set(HttpFailureReason)
        return
    assert len(result.body) <= MAX_BODY_BYTES
    read = parse_response(result)
    if isinstance(read, PlatformValue):
        assert read.modify_index >= 1


@profile
@given(
    status=st.sampled_from([200, 404, 500]),
    index=st.text(max_size=30) | st.integers().map(str),
)
def test_platform_index_is_positive_or_rejected(status, index):
    result = parse_response(HttpResponse(status, {"x-consul-index": index}, b""))
    assert isinstance(result, ReadFailed) or result.modify_index >= 1


ADMIN_REQUESTS = [
    b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /why?caller=192.0.2.7:1&service=orders HTTP/1.1\r\nHost: x\r\n\r\n",
    b"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab",
]
PAGES = AdminPages(
    lambda accepts: (b"", {}), dict, lambda: True, lambda caller, service: {"caller": caller}
)


@settings(profile, max_examples=100)
@given(data=mutated(ADMIN_REQUESTS))
def test_admin_request_is_answered_or_closed_and_the_next_one_is_served(data):
    async def run():
        server = AdminServer(Endpoint("127.0.0.1", 0), PAGES)
        await server.start()
        responses = []
        async with asyncio.timeout(TIMEOUT_S):
            for request in (data, ADMIN_REQUESTS[0]):
                reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
                writer.write(request)
                writer.write_eof()
                try:
                    responses.append(await reader.read())
                except ConnectionError:
                    responses.append(b"")
                writer.close()
        await server.stop()
        return responses

    first, second = asyncio.run(run())
    assert first == b"" or first.startswith(b"HTTP/1.1 ")
    assert second.startswith(b"HTTP/1.1 200")


@profile
@given(target=st.text(st.characters(max_codepoint=126, min_codepoint=33), max_size=60))
def test_admin_target_is_answered(target):
    for prefix in ("", "/", "/why?", "/why?caller=", "/why?service=a&caller=1.2.3.4:"):
        assert respond(PAGES, prefix + target).status in {200, 400, 404}


@profile
@given(text=st.text(max_size=40))
def test_endpoint_is_parsed_or_rejected(text):
    endpoint = parse_endpoint(text)
    assert endpoint is None or 0 < endpoint.port < 65536


@profile
@given(body=mutated([b'{"healthy": true, "view": []}', b'{"caller": "192.0.2.7:1"}']))
def test_status_program_reports_an_error_for_a_mutated_response(body):
    for caller in (None, Endpoint("192.0.2.7", 1)):
        result = render_response(
            StatusQuery(Endpoint("127.0.0.1", 1), caller, "", False, 1.0), body
        )
        assert isinstance(result, CommandResult)
        assert result.code == 1
        assert result.error


class Number(msgspec.Struct):
    value: int


class AbortedError(Exception):
    pass


class AbortingContext:
    def __init__(self):
        self.code = None

    async def abort(self, code, details):
        self.code = code
        raise AbortedError


CONTROL_BODIES = [sealer("north").seal("south", msgspec.msgpack.encode(Number(1)))]


@profile
@given(
    body=mutated(CONTROL_BODIES)
    | st.binary(max_size=60).map(lambda p: sealer("north").seal("south", p))
)
def test_control_body_reaches_its_handler_only_if_authentic_and_well_typed(body):
    seen, rejections = [], []

    async def handle(sender, request):
        seen.append((sender, request))
        return request

    server = ControlServer(
        Endpoint("127.0.0.1", 0),
        sealer("south"),
        {"Method": ControlMethod(Number, handle)},
        count_rejection=rejections.append,
        wall_clock=lambda: NOW_S,
    )
    context = AbortingContext()
    handle_call = server.make_handler("Method")
    try:
        asyncio.run(handle_call(body, context))
    except AbortedError:
        assert len(rejections) == 1
        assert seen == []
        assert context.code in {
            grpc.StatusCode.UNAUTHENTICATED,
            grpc.StatusCode.INVALID_ARGUMENT,
        }
    else:
        assert len(seen) == 1
        assert rejections == []


@pytest.mark.parametrize("frame", FRAMES[1:])
def test_frames_for_other_receivers_or_with_other_keys_are_rejected(frame):
    assert isinstance(sealer("south").open(frame, NOW_S), Rejected)
