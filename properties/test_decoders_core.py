from __future__ import annotations

import contextlib
import enum
import random
import types
import typing
from typing import Any

import msgspec
import pytest
from aiocoap.numbers.codes import Code
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from banyanline.core import coap, messages
from banyanline.core.effects import SendToCaller, SendToPeer
from banyanline.core.invariants import InvariantError
from banyanline.core.messages import FlowKey, ToHome
from banyanline.core.node import Node, NodeSettings
from banyanline.core.types import Endpoint, Host
from properties.mutations import mutated
from properties.simulation import ORDERS, RAW, READINGS, Fleet, make_configuration

profile = settings(
    derandomize=True, deadline=None, max_examples=500, phases=[Phase.explicit, Phase.generate]
)
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
@given(datagram=mutated(DATAGRAMS))
def test_datagram_of_a_caller_or_upstream_is_decoded_or_malformed(datagram):
    assert isinstance(
        coap.decode(datagram), coap.Malformed | coap.Request | coap.Empty | coap.Response
    )


@profile
@given(payload=mutated(FRAMES) | st.binary(max_size=60))
def test_peer_message_is_decoded_or_rejected(payload):
    try:
        message = DECODER.decode(payload)
    except msgspec.MsgspecError:
        return
    assert DECODER.decode(msgspec.msgpack.encode(message)) == message


CALLER = Endpoint("10.0.0.1", 4000)
HOST = Host("a-1", "a", "g", "192.0.2.1", 7100, 7101)
REQUESTS = [
    Fleet.request(None, ORDERS, CALLER, 1, "k", code, observe)  # type: ignore[arg-type]
    for code, observe in ((Code.POST, None), (Code.GET, None), (Code.GET, 0), (Code.GET, 1))
]
TEXTS = st.sampled_from(
    [ORDERS, READINGS, RAW, "orders-0", "orders-1", "readings-1", "raw-0", "a-1", "b-1", "10.0.0.1"]
)
NUMBERS = st.integers(0, 70_000) | st.integers(-(2**63), 2**64 - 1)


def values(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the values of a type that a message may contain."""
    simple = {
        str: TEXTS | st.text(max_size=5),
        int: NUMBERS,
        float: st.floats(),
        bool: st.booleans(),
        bytes: st.sampled_from(REQUESTS) | mutated(DATAGRAMS),
        type(None): st.none(),
    }
    if kind in simple:
        return simple[kind]
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return st.one_of([values(argument) for argument in arguments])
    if typing.get_origin(kind) is tuple and arguments[-1] is Ellipsis:
        return st.lists(values(arguments[0]), max_size=2).map(tuple)
    if typing.get_origin(kind) is tuple:
        return st.tuples(*map(values, arguments))
    if issubclass(kind, enum.Enum):
        return st.sampled_from(list(kind))
    fields = typing.get_type_hints(kind)
    names = kind.__struct_fields__ if issubclass(kind, msgspec.Struct) else kind._fields
    # An ingress reads the address from its socket, so it is always a valid one.
    chosen = {"caller_ip": st.sampled_from(["10.0.0.1", "192.0.2.7"])}
    return st.builds(kind, **{name: chosen.get(name, values(fields[name])) for name in names})


def ready_node() -> Node:
    """Return the only node of a fleet, with a request in flight, a stream and an open flow."""
    node = Node(NodeSettings(HOST, 1), random.Random(1), lambda: 1.7e9, 0.0)
    node.apply_host_list((HOST,), 0.0)
    node.configure(make_configuration(data_centres=("a",), upstreams=2), 0.0)
    for now in (0.0, 3.0, 6.0):
        node.tick(now)
    for datagram in REQUESTS[::2]:
        node.receive_from_caller(ORDERS, CALLER, datagram, 6.0)
    node.receive_from_caller(RAW, CALLER, b"raw", 6.0)
    return node


@settings(profile, max_examples=50)
@given(service=TEXTS, datagram=mutated(DATAGRAMS + REQUESTS) | st.binary(max_size=1500))
def test_datagram_of_a_caller_is_answered_or_counted(service, datagram):
    node = ready_node()
    effects = node.receive_from_caller(service, CALLER, datagram, 6.0)
    effects += node.tick(60.0)
    seen = [effect for effect in effects if isinstance(effect, SendToCaller | SendToPeer)]
    assert seen or node.context.counters.drops or node.context.counters.refusals


@pytest.mark.parametrize(
    "kind", typing.get_args(messages.DataMessage), ids=lambda kind: kind.__name__
)
@settings(profile, max_examples=10)
@given(data=st.data())
def test_any_typed_message_of_a_peer_is_processed(kind, data):
    node = ready_node()
    message = data.draw(values(kind))
    with contextlib.suppress(InvariantError):
        node.receive_from_peer("b-1", message, 6.0)
        node.tick(6.5)
        node.tick(60.0)


@settings(profile, max_examples=50)
@given(
    payload=mutated(DATAGRAMS + REQUESTS),
    message_id=st.integers(0, 1 << 20),
    flags=st.tuples(st.booleans(), st.booleans(), st.booleans(), st.booleans()),
    remaining_ms=NUMBERS,
)
def test_dispatch_of_any_payload_is_processed(payload, message_id, flags, remaining_ms):
    node = ready_node()
    key = messages.RequestKey(ORDERS, *CALLER, message_id, b"t")
    message = messages.Dispatch(
        1, 1, key, "orders-1", remaining_ms, messages.NO_BALLOT, 1, *flags, payload
    )
    assert node.receive_from_peer("b-1", message, 6.0)
    node.tick(60.0)


@settings(profile, max_examples=40)
@given(outcome=values(messages.Outcome))
def test_request_ends_after_a_result_with_any_outcome(outcome):
    node = ready_node()
    (entry,) = node.home.requests._dispatched.values()
    node.receive_from_peer("a-1", messages.Result(entry.serial, entry.key, outcome, None), 6.0)
    node.tick(60.0)
    assert node.home.requests.open_count == 0
