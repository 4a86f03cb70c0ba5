from __future__ import annotations

import pytest

from banyanline.core.steering.packet import CallerPacket
from banyanline.platform.packets import (
    HEADER_BYTES,
    MAX_DATA_BYTES,
    MalformedPacket,
    caller_ip,
    decode_packet,
    describe_endpoint,
    encode_for_upstream,
    encode_reset,
    service_address,
)

# Examples from the platform's documentation of packets.
SYN = bytes.fromhex("0200070040 64419c010012c6bb0100004433221100000000d5c3b2a100000000")
RESET = bytes.fromhex("10000100 12c6bb0107004064419c" + "00" * 18)


def decode_valid(data: bytes) -> CallerPacket:
    decoded = decode_packet(data)
    assert isinstance(decoded, CallerPacket)
    return decoded


def packet(
    flags: int = 8, seq: int = 1, ack: int = 2, echo: int = 0xA1B2C3D4, data: bytes = b""
) -> bytes:
    head = bytes([flags, 7]) + SYN[2:14] + len(data).to_bytes(2, "little")
    numbers = b"".join(number.to_bytes(4, "little") for number in (seq, ack, 0xFEEDBEEF, echo))
    return head + numbers + data


def test_the_syn_example_is_decoded():
    syn = decode_valid(SYN)
    assert syn.opens_flow
    assert not syn.ends_flow
    assert (syn.data_bytes, syn.seq, syn.ack, syn.cookie) == (0, 0x11223344, 0, 0)
    assert caller_ip(syn) == "100.64.0.7"
    assert describe_endpoint(syn.flow[:6]) == "100.64.0.7:40001"
    assert syn.destination == service_address("198.18.0.1", 443)


def test_the_reset_example_is_encoded():
    assert encode_reset(decode_valid(SYN)) == RESET


def test_a_reset_carries_the_acknowledgement_number_of_the_caller():
    written = decode_valid(encode_reset(decode_valid(packet(ack=0xFFFFFFF0))))
    assert written.seq == 0xFFFFFFF0
    assert written.ends_flow
    assert written.data_bytes == 0


@pytest.mark.parametrize(
    ("flags", "opens", "ends"),
    [
        pytest.param(2, True, False, id="SYN"),
        pytest.param(8, False, False, id="ACK"),
        pytest.param(9, False, True, id="FIN and ACK"),
        pytest.param(16, False, True, id="RST"),
        pytest.param(128 + 8, False, False, id="BOUNCED"),
    ],
)
def test_flags_that_open_and_end_flows(flags, opens, ends):
    flagged = decode_valid(packet(flags))
    assert (flagged.opens_flow, flagged.ends_flow) == (opens, ends)


def test_only_the_cookie_changes_in_a_packet_to_an_upstream():
    sent = packet(data=b"GET / HTTP/1.1")
    written = encode_for_upstream(sent, 0x7F3A91C2, 0x01020304)
    assert written[:8] == bytes.fromhex("000000007f3a91c2")
    inner = written[8:]
    assert inner[:28] == sent[:28]
    assert inner[28:32] == bytes.fromhex("04030201")
    assert inner[HEADER_BYTES:] == sent[HEADER_BYTES:]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(SYN[:-1], id="short header"),
        pytest.param(SYN + b"x", id="more data than the length field"),
        pytest.param(packet(data=b"abc")[:-1], id="less data than the length field"),
        pytest.param(packet(data=b"x" * (MAX_DATA_BYTES + 1)), id="too much data"),
    ],
)
def test_malformed_datagrams_are_rejected(data):
    assert isinstance(decode_packet(data), MalformedPacket)


def test_the_largest_packet_is_decoded():
    assert decode_valid(packet(data=b"x" * MAX_DATA_BYTES)).data_bytes == MAX_DATA_BYTES
