from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.core import coap, messages
from banyanline.core.messages import FlowKey, ToHome
from properties.mutations import damaged

profile = settings(derandomize=True, deadline=None, max_examples=500)
DATAGRAMS = [
    bytes.fromhex("44011234deadbeefb66f7264657273"),
    bytes.fromhex("42021235abcd60"),
    bytes.fromhex("6045123401ff68656c6c6f"),
    bytes.fromhex("70001234"),
]
FRAMES = [
    msgspec.msgpack.encode(ToHome(FlowKey("orders", "192.0.2.7", 40000), b"payload", 1)),
    msgspec.msgpack.encode(
        messages.Lookup(7, (FlowKey("orders", "192.0.2.7", 40000), FlowKey("orders", "::1", 1)))
    ),
]
DECODER = msgspec.msgpack.Decoder(messages.DataMessage)


@profile
@given(datagram=damaged(DATAGRAMS))
def test_datagram_of_a_caller_or_upstream_is_read_or_malformed(datagram):
    assert isinstance(
        coap.decode(datagram), coap.Malformed | coap.Request | coap.Empty | coap.Response
    )


@profile
@given(payload=damaged(FRAMES) | st.binary(max_size=60))
def test_peer_message_is_typed_or_refused(payload):
    try:
        message = DECODER.decode(payload)
    except msgspec.MsgspecError:
        return
    assert DECODER.decode(msgspec.msgpack.encode(message)) == message
