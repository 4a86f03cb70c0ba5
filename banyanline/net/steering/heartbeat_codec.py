"""Encoding of heartbeats: a prefix with the format's version, followed by MessagePack."""

from __future__ import annotations

from typing import Annotated

import msgspec

from banyanline.core.steering.host_liveness import Heartbeat, HostState
from banyanline.net.steering.report_codec import MAX_NAME_CHARACTERS

PREFIX = b"hb\x01"
"""Marks a heartbeat; the last byte is the version of its format."""

MAX_HEARTBEAT_BYTES = 256

_HUNDREDTHS = 100.0
"""Units per second."""

_MAX_INTERVAL = 1_000
"""Longest accepted interval, in hundredths of a second."""

_ENCODER = msgspec.msgpack.Encoder()


class _Fields(msgspec.Struct, array_like=True):
    """A heartbeat; ``interval`` is in hundredths of a second."""

    data_centre: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
    state: HostState
    interval: Annotated[int, msgspec.Meta(ge=1, le=_MAX_INTERVAL)]


_DECODER = msgspec.msgpack.Decoder(_Fields)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat.

    >>> decode_heartbeat(encode_heartbeat(Heartbeat("north", HostState.LEAVING, 0.2)))
    Heartbeat(data_centre='north', state=<HostState.LEAVING: 2>, interval_s=0.2)
    """
    interval = round(heartbeat.interval_s * _HUNDREDTHS)
    return PREFIX + _ENCODER.encode((heartbeat.data_centre, heartbeat.state, interval))


def decode_heartbeat(data: bytes) -> Heartbeat | None:
    """Decode a datagram; return None if it is not a valid heartbeat."""
    if not data.startswith(PREFIX) or len(data) > MAX_HEARTBEAT_BYTES:
        return None
    try:
        fields = _DECODER.decode(memoryview(data)[len(PREFIX) :])
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return Heartbeat(fields.data_centre, fields.state, fields.interval / _HUNDREDTHS)
