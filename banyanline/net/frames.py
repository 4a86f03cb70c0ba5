"""Encoding of datagrams between balancers: MessagePack structs in sealed frames."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import msgspec

from banyanline.core.membership import MembershipMessage
from banyanline.core.messages import DataMessage
from banyanline.core.types import HostName
from banyanline.net.seal import Opened, Rejected, RejectionReason, Sealer

PeerMessage: TypeAlias = MembershipMessage | DataMessage

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


class Received(NamedTuple):
    """An authenticated message from another balancer."""

    sender: HostName
    message: PeerMessage


def encode_frame(sealer: Sealer, receiver: HostName, message: PeerMessage) -> bytes:
    """Return the datagram with ``message`` for ``receiver``."""
    return sealer.seal(receiver, _ENCODER.encode(message))


def decode_frame(sealer: Sealer, frame: bytes, now_wall: float) -> Received | Rejected:
    """Open and decode a datagram from the peer port, or return why it is rejected."""
    opened = sealer.open(frame, now_wall)
    if not isinstance(opened, Opened):
        return opened
    try:
        return Received(opened.sender, _DECODER.decode(opened.payload))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return Rejected(RejectionReason.BAD_PAYLOAD)
