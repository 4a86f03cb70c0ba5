"""CoAP messages for the stand-ins, built with the message codec of aiocoap."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from aiocoap import error
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption

DEADLINE_OPTION = 65020
ATTEMPT_OPTION = 65052
"""Elective and safe to forward: how often the caller began this download before."""

SERVICE_UNAVAILABLE = Code.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = Code.GATEWAY_TIMEOUT
INCOMPLETE = Code.REQUEST_ENTITY_INCOMPLETE
CONTENT = Code.CONTENT
CHANGED = Code.CHANGED
GET = Code.GET
POST = Code.POST


class MessageType(IntEnum):
    """Message types of RFC 7252, section 3."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


class Block(NamedTuple):
    """A Block2 option: block number, whether more follow, size exponent."""

    number: int
    more: bool
    exponent: int

    @property
    def size(self) -> int:
        """Size of a full block in bytes: 2**(exponent+4)."""
        return 1 << (self.exponent + 4)


class Request(NamedTuple):
    """Fields of a request that a stand-in sends.

    ``attempt`` is how often the caller began the same download before.
    """

    code: Any
    message_id: int
    token: bytes
    path: tuple[str, ...]
    query: tuple[str, ...] = ()
    payload: bytes = b""
    observe: int | None = None
    block: Block | None = None
    message_type: MessageType = MessageType.CON
    attempt: int = 0


class Response(NamedTuple):
    """Fields of a response that a stand-in sends."""

    code: Any
    payload: bytes = b""
    observe: int | None = None
    block: Block | None = None
    etag: bytes | None = None
    max_age: int | None = None


def encode_request(request: Request) -> bytes:
    """Encode ``request`` as a datagram.

    >>> message = decode(encode_request(Request(GET, 7, b"t", ("a",), ("k=1",))))
    >>> message.mid, message.opt.uri_path
    (7, ('a',))
    """
    message = Message(code=request.code, payload=request.payload)
    message.mid = request.message_id
    message.mtype = Type(request.message_type)
    message.token = request.token
    message.opt.uri_path = request.path
    message.opt.uri_query = request.query
    message.opt.observe = request.observe
    if request.block is not None:
        message.opt.block2 = tuple(request.block)
    if request.attempt:
        option = OpaqueOption(OptionNumber(ATTEMPT_OPTION), bytes((request.attempt,)))
        message.opt.add_option(option)
    return bytes(message.encode())


def encode_response(
    response: Response, message_type: MessageType, message_id: int, token: bytes
) -> bytes:
    """Encode ``response`` as a datagram."""
    message = Message(code=response.code, payload=response.payload)
    message.mid = message_id
    message.mtype = Type(message_type)
    message.token = token
    message.opt.observe = response.observe
    message.opt.etag = response.etag
    message.opt.max_age = response.max_age
    if response.block is not None:
        message.opt.block2 = tuple(response.block)
    return bytes(message.encode())


def encode_empty(message_type: MessageType, message_id: int) -> bytes:
    """Encode an empty message: a Reset or an empty acknowledgement."""
    message = Message(code=Code.EMPTY)
    message.mid = message_id
    message.mtype = Type(message_type)
    return bytes(message.encode())


def decode(data: bytes) -> Any:
    """Return the aiocoap message in ``data``, or None when it is malformed."""
    try:
        return Message.decode(data)
    except (error.UnparsableMessage, ValueError, IndexError):
        return None


def query_value(message: Any, name: str) -> str:
    """Return the value of the query parameter ``name``, or an empty string."""
    prefix = f"{name}="
    for item in message.opt.uri_query:
        if item.startswith(prefix):
            return str(item[len(prefix) :])
    return ""


def remaining_time_ms(message: Any) -> int | None:
    """Return the milliseconds to the deadline that the balancer set, or None."""
    return _uint_option(message, DEADLINE_OPTION)


def attempt(message: Any) -> int:
    """Return how often the caller began this download before."""
    return _uint_option(message, ATTEMPT_OPTION) or 0


def _uint_option(message: Any, number: int) -> int | None:
    options = message.opt.get_option(number)
    if not options:
        return None
    return int.from_bytes(options[0].encode(), "big")
