from __future__ import annotations

import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.core.counters import DropReason
from banyanline.core.keys import Key, KeyRing
from banyanline.core.membership import MembershipMessage, Probe
from banyanline.core.messages import FlowKey, Lookup, ToHome
from banyanline.core.types import Endpoint
from banyanline.net.balancer import Balancer
from banyanline.net.frames import Received, decode_frame, encode_frame
from banyanline.net.seal import Rejected, RejectionReason, Sealer
from banyanline.settings import BalancerSettings, load_settings

SETTINGS = ("host.data_centre=a", "host.address=127.0.0.1", "platform.addresses=127.0.0.1:9")
NOW_S = 1_000_000.0
MESSAGE = ToHome(FlowKey("orders", "192.0.2.7", 40000), b"payload", 1)
profile = settings(derandomize=True, deadline=None, max_examples=300)


def sealer(name: str, key: bytes = b"k" * 32) -> Sealer:
    return Sealer(KeyRing((Key("k", key),)), name, lambda: NOW_S)


def frame(message: ToHome | Lookup | MembershipMessage = MESSAGE) -> bytes:
    return encode_frame(sealer("north"), "south", message)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(MESSAGE, id="datagram"),
        pytest.param(Lookup(1, (MESSAGE.flow,)), id="lookup"),
    ],
)
def test_valid_frame_is_decoded_once(message):
    receiver = sealer("south")
    sealed_frame = frame(message)
    assert decode_frame(receiver, sealed_frame, NOW_S) == Received("north", message)
    assert decode_frame(receiver, sealed_frame, NOW_S) == Rejected(RejectionReason.REPLAYED)


@pytest.mark.parametrize(
    "payload",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1", id="not MessagePack"),
        pytest.param(msgspec.msgpack.encode(["no such tag", 1]), id="unknown tag"),
        pytest.param(msgspec.msgpack.encode(["h", 1, 2, 3]), id="wrong types"),
        pytest.param(msgspec.msgpack.encode(["h"]), id="fields missing"),
        pytest.param(b"\x94\xa1h\x93\xa1\xff\xa1x\x01\xc4\x00\x01", id="not UTF-8"),
        pytest.param(b"\x91" * 2000, id="deeply nested"),
    ],
)
def test_sealed_frame_with_a_bad_payload_is_rejected(payload):
    sealed_frame = sealer("north").seal("south", payload)
    assert decode_frame(sealer("south"), sealed_frame, NOW_S) == Rejected(
        RejectionReason.BAD_PAYLOAD
    )


@profile
@given(data=st.binary(max_size=200))
def test_random_bytes_are_rejected(data):
    assert isinstance(decode_frame(sealer("south"), data, NOW_S), Rejected)


@profile
@given(position=st.integers(0, len(frame()) - 1), change=st.integers(1, 255), cut=st.booleans())
def test_altered_or_cut_frame_is_rejected(position, change, cut):
    sealed_frame = bytearray(frame())
    if cut:
        del sealed_frame[position:]
    else:
        sealed_frame[position] ^= change
    assert isinstance(decode_frame(sealer("south"), bytes(sealed_frame), NOW_S), Rejected)


def test_frame_under_another_key_is_rejected():
    receiver = sealer("south", b"x" * 32)
    assert isinstance(decode_frame(receiver, frame(), NOW_S), Rejected)


@pytest.mark.parametrize(
    ("claimed_sender", "is_handled"),
    [
        pytest.param("north", True, id="the sender's own name"),
        pytest.param("west", False, id="another host's name"),
    ],
)
async def test_probe_with_mismatched_sender_is_dropped(monkeypatch, claimed_sender, is_handled):
    settings = load_settings(None, ["host.name=south", *SETTINGS])
    assert isinstance(settings, BalancerSettings)
    balancer = Balancer(settings, KeyRing((Key("k", b"k" * 32),)))
    handled: list[Probe] = []
    monkeypatch.setattr(balancer, "_handle", lambda method, message, now: handled.append(message))
    probe = Probe(claimed_sender, 1, is_leaving=False, revision=0, sequence=1)
    sealed_frame = encode_frame(Sealer(balancer._sealer._keys, "north", time.time), "south", probe)
    balancer._on_peer_datagram(sealed_frame, ("192.0.2.1", 7100))
    assert handled == ([probe] if is_handled else [])
    rejected = {} if is_handled else {RejectionReason.BAD_PAYLOAD: 1}
    assert dict(balancer._counts.peer_rejections) == rejected


@pytest.mark.parametrize(
    ("payload_bytes", "is_within_limit"),
    [pytest.param(1000, True, id="short"), pytest.param(2000, False, id="long")],
)
async def test_oversized_frames_are_neither_sent_nor_handled(
    monkeypatch, payload_bytes, is_within_limit
):
    settings = load_settings(None, ["host.name=south", "limits.peer_frame_bytes=1500", *SETTINGS])
    assert isinstance(settings, BalancerSettings)
    balancer = Balancer(settings, KeyRing((Key("k", b"k" * 32),)))
    message = ToHome(FlowKey("orders", "192.0.2.7", 40000), bytes(payload_bytes), 1)
    handled: list[ToHome] = []
    monkeypatch.setattr(balancer, "_handle", lambda method, sender, got, now: handled.append(got))
    sealed_frame = encode_frame(
        Sealer(balancer._sealer._keys, "north", time.time), "south", message
    )
    balancer._on_peer_datagram(sealed_frame, ("192.0.2.1", 7100))
    assert handled == ([message] if is_within_limit else [])
    rejected = {} if is_within_limit else {RejectionReason.OVERSIZED: 1}
    assert dict(balancer._counts.peer_rejections) == rejected
    assert (
        balancer._send_frame("north", Endpoint("192.0.2.1", 7100), message) > 0
    ) == is_within_limit
    assert balancer._node.context.counters.drops[DropReason.OVERSIZED] == (
        0 if is_within_limit else 1
    )
