from __future__ import annotations

import asyncio
from typing import Any

import grpc
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.cli.status import Question, Reply, render_reply
from banyanline.core.keys import Key, KeyRing
from banyanline.core.types import Endpoint
from banyanline.net.admin import AdminPages, AdminServer, parse_endpoint, respond
from banyanline.net.control import ControlMethod, ControlServer
from banyanline.net.replay import WINDOW_FRAMES
from banyanline.net.seal import MAC_BYTES, Opened, Rejected, Sealer
from banyanline.platform.consul import parse_response
from banyanline.platform.reader import PlatformValue, ReadFailed
from banyanline.transport.http import HttpFailed, HttpFailure, HttpResponse, exchange
from properties.mutations import damaged

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
@given(frame=damaged(FRAMES))
def test_damaged_frame_never_opens_and_leaves_the_receiver_as_it_was(frame):
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
def test_window_takes_what_a_set_of_all_counters_would_take(counters):
    sender, receiver = sealer("north"), sealer("south")
    sender.seal("south", b"")
    taken: set[int] = set()
    for counter in counters:
        sender._receivers["south"].counter = counter - 1
        expected = counter not in taken and counter > max(taken, default=0) - WINDOW_FRAMES
        result = receiver.open(sender.seal("south", b""), NOW_S)
        assert isinstance(result, Opened) is expected
        if expected:
            taken.add(counter)


@profile
@given(position=st.integers(0), bit=st.integers(0, 7))
def test_any_flipped_bit_is_rejected(position, bit):
    changed = bytearray(FRAMES[0])
    changed[position % len(changed)] ^= 1 << bit
    assert isinstance(sealer("south").open(bytes(changed), NOW_S), Rejected)


@profile
@given(name=st.binary(min_size=1, max_size=64))
def test_any_sender_name_under_a_good_mac_is_read_without_a_fault(name):
    frame = sealer("n" * len(name)).seal("south", b"")
    renamed = frame.replace(b"n" * len(name), name)
    body = renamed[:-MAC_BYTES]
    forger = sealer("south")
    hasher = next(iter(forger._verifiers.values())).copy()
    hasher.update(body)
    assert isinstance(forger.open(body + hasher.digest(), NOW_S), Opened)


class Discarded:
    def write(self, data):
        """Take the request and drop it."""

    async def drain(self):
        """Wait for nothing."""


HTTP_ANSWERS = [
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: 5\r\n\r\nvalue",
    b"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nvalue\r\n0\r\n\r\n",
    b"HTTP/1.0 404 Not Found\r\nX-Consul-Index: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
]


@profile
@given(data=damaged(HTTP_ANSWERS))
def test_platform_answer_is_a_value_or_a_counted_failure(data):
    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        writer: Any = Discarded()
        return await exchange(Endpoint("127.0.0.1", 1), "/", reader, writer, MAX_BODY_BYTES)

    result = asyncio.run(run())
    if isinstance(result, HttpFailed):
        assert result.reason in set(HttpFailure)
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
def test_platform_index_is_positive_or_refused(status, index):
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
@given(data=damaged(ADMIN_REQUESTS))
def test_admin_request_is_answered_or_closed_and_the_next_one_is_served(data):
    async def run():
        server = AdminServer(Endpoint("127.0.0.1", 0), PAGES)
        await server.start()
        answers = []
        async with asyncio.timeout(TIMEOUT_S):
            for request in (data, ADMIN_REQUESTS[0]):
                reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
                writer.write(request)
                writer.write_eof()
                try:
                    answers.append(await reader.read())
                except ConnectionError:
                    answers.append(b"")
                writer.close()
        await server.stop()
        return answers

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
def test_endpoint_is_read_or_refused(text):
    endpoint = parse_endpoint(text)
    assert endpoint is None or 0 < endpoint.port < 65536


@profile
@given(body=damaged([b'{"healthy": true, "view": []}', b'{"caller": "192.0.2.7:1"}']))
def test_status_program_prints_one_line_for_a_damaged_answer(body):
    for caller in (None, Endpoint("192.0.2.7", 1)):
        reply = render_reply(Question(Endpoint("127.0.0.1", 1), caller, "", False, 1.0), body)
        assert isinstance(reply, Reply)
        assert reply.code == 1
        assert reply.error


class Number(msgspec.Struct):
    value: int


class AbortedError(Exception):
    pass


class Context:
    def __init__(self):
        self.code = None

    async def abort(self, code, details):
        self.code = code
        raise AbortedError


CALLS = [sealer("north").seal("south", msgspec.msgpack.encode(Number(1)))]


@profile
@given(body=damaged(CALLS) | st.binary(max_size=60).map(lambda p: sealer("north").seal("south", p)))
def test_control_body_reaches_its_handler_only_if_genuine_and_typed(body):
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
    context = Context()
    answer = server.answerer("Method")
    try:
        asyncio.run(answer(body, context))
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
def test_frames_for_others_are_rejected(frame):
    assert isinstance(sealer("south").open(frame, NOW_S), Rejected)
