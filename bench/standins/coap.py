"""CoAP messages for the stand-ins, built with the message codec of aiocoap."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from aiocoap import error
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

DEADLINE_OPTION = 65020
SERVICE_UNAVAILABLE = Code.SERVICE_UNAVAILABLE
GATEWAY_TIMEOUT = Code.GATEWAY_TIMEOUT
INCOMPLETE = Code.REQUEST_ENTITY_INCOMPLETE
CONTENT = Code.CONTENT
CHANGED = Code.CHANGED
GET = Code.GET
POST = Code.POST


class Kind(IntEnum):
    """Message types of RFC 7252, section 3."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


class Block(NamedTuple):
    """A Block2 option: number, whether more follow, size exponent (size is 2**(exponent+4))."""

    number: int
    more: bool
    exponent: int

    @property
    def size(self) -> int:
        """Bytes of payload in a full block."""
        return 1 << (self.exponent + 4)


class Request(NamedTuple):
    """What a stand-in sets in a request."""

    code: Any
    message_id: int
    token: bytes
    path: tuple[str, ...]
    query: tuple[str, ...] = ()
    payload: bytes = b""
    observe: int | None = None
    block: Block | None = None
    kind: Kind = Kind.CON


class Response(NamedTuple):
    """What a stand-in sets in a response."""

    code: Any
    payload: bytes = b""
    observe: int | None = None
    block: Block | None = None
    etag: bytes | None = None
    max_age: int | None = None


def encode_request(request: Request) -> bytes:
    """Return the datagram of ``request``.

    >>> message = decode(encode_request(Request(GET, 7, b"t", ("a",), ("k=1",))))
    >>> message.mid, message.opt.uri_path
    (7, ('a',))
    """
    message = Message(code=request.code, payload=request.payload)
    message.mid = request.message_id
    message.mtype = Type(request.kind)
    message.token = request.token
    message.opt.uri_path = request.path
    message.opt.uri_query = request.query
    message.opt.observe = request.observe
    if request.block is not None:
        message.opt.block2 = tuple(request.block)
    return bytes(message.encode())


def encode_response(response: Response, kind: Kind, message_id: int, token: bytes) -> bytes:
    """Return the datagram of ``response``."""
    message = Message(code=response.code, payload=response.payload)
    message.mid = message_id
    message.mtype = Type(kind)
    message.token = token
    message.opt.observe = response.observe
    message.opt.etag = response.etag
    message.opt.max_age = response.max_age
    if response.block is not None:
        message.opt.block2 = tuple(response.block)
    return bytes(message.encode())


def encode_empty(kind: Kind, message_id: int) -> bytes:
    """Return an empty message: a Reset or a bare acknowledgement."""
    message = Message(code=Code.EMPTY)
    message.mid = message_id
    message.mtype = Type(kind)
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


def deadline_ms(message: Any) -> int | None:
    """Return the milliseconds that the balancer left for the request, or None."""
    options = message.opt.get_option(DEADLINE_OPTION)
    if not options:
        return None
    return int.from_bytes(options[0].encode(), "big")
