from __future__ import annotations

from typing import Any

import pytest
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption, OpaqueOption

from banyanline.core import coap
from banyanline.core.error_responses import DEADLINE_OPTION

BlockTuple = BlockOption.BlockwiseTuple


def encode(code: Code = Code.GET, kind: Type = Type.CON, **options: Any) -> bytes:
    message = Message(code=code, payload=options.pop("payload", b""))
    for name, value in options.items():
        setattr(message.opt, name, value)
    message.mtype, message.mid, message.token = kind, 7, b"tk"
    return bytes(message.encode())


def request(datagram: bytes) -> coap.Request:
    decoded = coap.decode(datagram)
    assert isinstance(decoded, coap.Request)
    return decoded


def with_option(number: int) -> bytes:
    message = Message(code=Code.GET)
    message.opt.add_option(OpaqueOption(OptionNumber(number), b"v"))
    message.mtype, message.mid, message.token = Type.CON, 7, b"tk"
    return bytes(message.encode())


@pytest.mark.parametrize(
    ("code", "is_idempotent"),
    [
        pytest.param(Code.GET, True, id="get"),
        pytest.param(Code.PUT, True, id="put"),
        pytest.param(Code.DELETE, True, id="delete"),
        pytest.param(Code.FETCH, True, id="fetch"),
        pytest.param(Code.POST, False, id="post"),
        pytest.param(Code.PATCH, False, id="patch"),
    ],
)
def test_method_determines_idempotence(code, is_idempotent):
    assert request(encode(code)).idempotent is is_idempotent


@pytest.mark.parametrize(
    ("datagram", "expected"),
    [
        pytest.param(b"", coap.Malformed("unparsable"), id="empty"),
        pytest.param(b"\xff" * 20, coap.Malformed("unparsable"), id="wrong version"),
        pytest.param(encode()[:5], coap.Malformed("unparsable"), id="truncated token"),
        pytest.param(
            b"\x49\x01\x00\x07" + bytes(9), coap.Malformed("unparsable"), id="token of 9 bytes"
        ),
        pytest.param(
            b"\x41\x00\x00\x07t",
            coap.Malformed("empty message with content"),
            id="ping with a token",
        ),
        pytest.param(
            encode(payload=bytes(coap.MAX_DATAGRAM_BYTES)),
            coap.Malformed("oversized"),
            id="too long",
        ),
        pytest.param(
            encode(kind=Type.ACK), coap.Malformed("not a request"), id="request in an ack"
        ),
        pytest.param(coap.encode_empty(Type.RST, 9), coap.Empty(Type.RST, 9), id="reset"),
    ],
)
def test_datagrams_other_than_requests_are_classified(datagram, expected):
    assert coap.decode(datagram) == expected


@pytest.mark.parametrize(
    ("number", "expected"),
    [
        pytest.param(65021, 65021, id="unknown critical"),
        pytest.param(65022, None, id="unknown elective"),
        pytest.param(35, 35, id="proxy uri"),
        pytest.param(11, None, id="known critical"),
    ],
)
def test_unknown_critical_option_is_reported(number, expected):
    assert request(with_option(number)).unknown_critical_option == expected


@pytest.mark.parametrize(
    ("options", "continues"),
    [
        pytest.param({}, False, id="no block"),
        pytest.param({"block2": BlockTuple(0, False, 6)}, False, id="first block"),
        pytest.param({"block2": BlockTuple(1, False, 6)}, True, id="later block of a response"),
        pytest.param({"block1": BlockTuple(2, True, 6)}, True, id="later block of a request"),
    ],
)
def test_later_block_continues_a_transfer(options, continues):
    assert request(encode(**options)).continues_transfer is continues


def test_remaining_time_replaces_the_callers_deadline_option():
    original = Message.decode(with_option(DEADLINE_OPTION))
    forwarded = Message.decode(coap.encode_upstream_request(original, 11, b"up", 1500))
    values = [option.value for option in forwarded.opt.get_option(DEADLINE_OPTION)]
    assert [int.from_bytes(value, "big") for value in values] == [1500]
    assert (forwarded.mid, forwarded.token, forwarded.mtype) == (11, b"up", Type.CON)


@pytest.mark.parametrize(
    ("confirmable", "kind"),
    [pytest.param(True, Type.ACK, id="con"), pytest.param(False, Type.NON, id="non")],
)
def test_response_has_the_requests_token_and_message_id(confirmable, kind):
    response = Message.decode(
        coap.encode_response(Message(code=Code.CONTENT, payload=b"x"), 5, b"tk", confirmable)
    )
    assert (response.mtype, response.mid, response.token, response.payload) == (
        kind,
        5,
        b"tk",
        b"x",
    )


@pytest.mark.parametrize(
    ("retry_after_s", "max_age"),
    [
        pytest.param(0.01, 1, id="at least a second"),
        pytest.param(7.4, 7, id="rounded"),
        pytest.param(1e9, coap.MAX_AGE_LIMIT_S, id="bounded"),
    ],
)
def test_refusal_has_max_age_as_retry_delay(retry_after_s, max_age):
    refusal = coap.not_run_response("queue_full", retry_after_s)
    assert (refusal.code, refusal.opt.max_age) == (Code.SERVICE_UNAVAILABLE, max_age)
    assert refusal.payload == b"not-run:queue_full"


def test_deregistration_identifies_the_stream_by_its_token():
    message = Message.decode(
        coap.encode_deregistration(3, b"up", encode(observe=0, uri_path=("a",)))
    )
    assert (message.opt.observe, message.token, message.opt.uri_path) == (1, b"up", ("a",))
