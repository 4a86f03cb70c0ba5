"""CoAP messages: decoding, encoding and classification with the codec of ``aiocoap``.

Only the message codec of the library is used. The core itself implements
retransmission, deduplication and matching (RFC 7252, RFC 7641 and RFC 7959).
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from aiocoap.error import Error as CodecError
from aiocoap.message import Direction, Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption

from banyanline.core.error_responses import (
    DEADLINE_OPTION,
    NOT_RUN_PREFIX,
    UNKNOWN_PREFIX,
)

OBSERVE_REGISTER = 0
OBSERVE_DEREGISTER = 1
MAX_DATAGRAM_BYTES = 1400
HEADER_BYTES = 4
MAX_TOKEN_BYTES = 8
TOKEN_LENGTH_MASK = 0x0F
MAX_AGE_LIMIT_S = 300
DEFAULT_MAX_AGE_S = 60
"""Max-Age of a response without the option (RFC 7252, 5.10.5)."""

_IDEMPOTENT_CODES = frozenset({Code.GET, Code.PUT, Code.DELETE, Code.FETCH, Code.iPATCH})
_KNOWN_CRITICAL_OPTIONS = frozenset(
    {
        OptionNumber.IF_MATCH,
        OptionNumber.URI_HOST,
        OptionNumber.IF_NONE_MATCH,
        OptionNumber.URI_PORT,
        OptionNumber.URI_PATH,
        OptionNumber.URI_QUERY,
        OptionNumber.ACCEPT,
        OptionNumber.BLOCK1,
        OptionNumber.BLOCK2,
    }
)
_EMPTY_CODE = Code.EMPTY


class Malformed(NamedTuple):
    """A datagram that is rejected: not a valid CoAP message, or too long."""

    reason: str


class Request(NamedTuple):
    """A caller's request. ``continues_transfer`` is set for a later block of a transfer."""

    message: Message
    datagram: bytes
    confirmable: bool
    message_id: int
    token: bytes
    idempotent: bool
    observe: int | None
    continues_transfer: bool
    unknown_critical_option: int | None


class Empty(NamedTuple):
    """An empty message: an acknowledgement, a reset or a ping."""

    kind: Type
    message_id: int


class Response(NamedTuple):
    """A response of an upstream."""

    message: Message
    kind: Type
    message_id: int
    token: bytes


Decoded: TypeAlias = Malformed | Request | Empty | Response


def _has_complete_token(datagram: bytes) -> bool:
    """Whether the datagram has a header and a complete token (RFC 7252, section 3).

    The codec itself accepts truncated tokens and tokens of more than 8 bytes.
    """
    if len(datagram) < HEADER_BYTES:
        return False
    length = datagram[0] & TOKEN_LENGTH_MASK
    return length <= MAX_TOKEN_BYTES and len(datagram) >= HEADER_BYTES + length


def decode(datagram: bytes) -> Decoded:
    """Decode and classify one datagram.

    >>> decode(b"GET / HTTP/1.1")
    Malformed(reason='unparsable')
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return Malformed("oversized")
    if not _has_complete_token(datagram):
        return Malformed("unparsable")
    try:
        message = Message.decode(datagram)
    except (CodecError, ValueError, IndexError):
        return Malformed("unparsable")
    code = message.code
    if code is _EMPTY_CODE:
        if len(datagram) > HEADER_BYTES:
            return Malformed("empty message with content")
        return Empty(message.mtype, message.mid)
    if code.is_response():
        return Response(message, message.mtype, message.mid, message.token)
    if not code.is_request() or message.mtype not in (Type.CON, Type.NON):
        return Malformed("not a request")
    return _request(message, datagram)


def _request(message: Message, datagram: bytes) -> Request:
    options = message.opt
    block1 = options.block1
    block2 = options.block2
    continues = (block2 is not None and block2.block_number > 0) or (
        block1 is not None and block1.block_number > 0
    )
    return Request(
        message=message,
        datagram=datagram,
        confirmable=message.mtype is Type.CON,
        message_id=message.mid,
        token=message.token,
        idempotent=message.code in _IDEMPOTENT_CODES,
        observe=options.observe if message.code is Code.GET else None,
        continues_transfer=continues,
        unknown_critical_option=_unknown_critical_option(message),
    )


def _unknown_critical_option(message: Message) -> int | None:
    for option in message.opt.option_list():
        number = option.number
        if number.is_critical() and number not in _KNOWN_CRITICAL_OPTIONS:
            return int(number)
    return None


def message(datagram: bytes) -> Message:
    """Decode a datagram that the home has already validated with :func:`decode`."""
    return Message.decode(datagram)


def starts_transfer(message: Message) -> bool:
    """Whether more blocks of a request or response follow this message."""
    block1 = message.opt.block1
    block2 = message.opt.block2
    return bool((block2 is not None and block2.more) or (block1 is not None and block1.more))


def etag(message: Message) -> bytes | None:
    """Return the ETag, the version of the representation, if the response has one."""
    value: bytes | None = message.opt.etag
    return value


def _outgoing_copy(message: Message) -> Message:
    """Return a copy of a received message that can be encoded."""
    copied = message.copy()
    copied.direction = Direction.OUTGOING
    return copied


def encode_upstream_request(
    message: Message, message_id: int, token: bytes, remaining_ms: int
) -> bytes:
    """Encode a caller's request as a confirmable request to an upstream.

    The deadline option is set to ``remaining_ms``, in place of one from the caller.
    """
    forwarded = _outgoing_copy(message)
    forwarded.mtype = Type.CON
    forwarded.mid = message_id
    forwarded.token = token
    number = OptionNumber(DEADLINE_OPTION)
    forwarded.opt.delete_option(number)
    forwarded.opt.add_option(OpaqueOption(number, _uint(remaining_ms)))
    return bytes(forwarded.encode())


def _uint(value: int) -> bytes:
    return value.to_bytes((value.bit_length() + 7) // 8, "big")


def encode_response(response: Message, request_id: int, token: bytes, confirmable: bool) -> bytes:
    """Encode a response to a caller's request."""
    encoded = _outgoing_copy(response)
    encoded.mtype = Type.ACK if confirmable else Type.NON
    encoded.mid = request_id
    encoded.token = token
    return bytes(encoded.encode())


def encode_notification(response: Message, message_id: int, token: bytes) -> bytes:
    """Encode a notification to a caller as a non-confirmable message."""
    notification = _outgoing_copy(response)
    notification.mtype = Type.NON
    notification.mid = message_id
    notification.token = token
    return bytes(notification.encode())


def encode_empty(kind: Type, message_id: int) -> bytes:
    """Encode an acknowledgement or a reset."""
    message = Message(code=_EMPTY_CODE)
    message.mtype = kind
    message.mid = message_id
    return bytes(message.encode())


def encode_deregistration(message_id: int, token: bytes, request: bytes) -> bytes:
    """Encode the GET with Observe 1 that ends an observation (RFC 7641, 3.6)."""
    message = _outgoing_copy(Message.decode(request))
    message.mtype = Type.NON
    message.mid = message_id
    message.token = token
    message.opt.observe = OBSERVE_DEREGISTER
    return bytes(message.encode())


def not_run_response(reason: str, retry_after_s: float) -> Message:
    """Build the refusal that guarantees that no upstream ran the request."""
    message = Message(code=Code.SERVICE_UNAVAILABLE, payload=(NOT_RUN_PREFIX + reason).encode())
    message.opt.max_age = min(MAX_AGE_LIMIT_S, max(1, round(retry_after_s)))
    return message


def unknown_outcome_response(reason: str) -> Message:
    """Build the response to a request whose outcome is unknown."""
    return Message(code=Code.GATEWAY_TIMEOUT, payload=(UNKNOWN_PREFIX + reason).encode())


def bad_option_response(number: int) -> Message:
    """Build the response to a request with an unknown critical option."""
    return Message(code=Code.BAD_OPTION, payload=f"critical option {number}".encode())


def transfer_restart_response() -> Message:
    """Build the response that makes a caller restart a block-wise transfer."""
    return Message(code=Code.REQUEST_ENTITY_INCOMPLETE, payload=b"restart the transfer")


def max_age_s(message: Message) -> int:
    """Return the Max-Age of a response in seconds."""
    value = message.opt.max_age
    return DEFAULT_MAX_AGE_S if value is None else int(value)


def is_shed(message: Message) -> bool:
    """Whether a response is a 5.03, with which an upstream sheds a request without running it."""
    return bool(message.code is Code.SERVICE_UNAVAILABLE)


def observe_sequence(message: Message) -> int | None:
    """Return the sequence number of a notification (RFC 7641, 3.4)."""
    value: int | None = message.opt.observe
    return value


def stream_end_notification(reason: str) -> Message:
    """Build the error notification that ends an observation (RFC 7641, 4.2)."""
    return Message(code=Code.SERVICE_UNAVAILABLE, payload=f"stream ended: {reason}".encode())
