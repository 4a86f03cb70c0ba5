"""No input from the platform or another host makes a decoder raise."""

from __future__ import annotations

import base64
import json
import zlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.core.steering.model import FleetView
from banyanline.core.steering.packet import CallerPacket
from banyanline.net.pages import PageResponse
from banyanline.net.steering.peer_discovery import PeersQuery, parse_peers_query
from banyanline.net.steering.report_codec import (
    PREFIX,
    MalformedReport,
    ReceivedReport,
    ReportCodec,
    decode_endpoints,
)
from banyanline.net.steering.views import (
    ViewQuery,
    decode_deflated_view,
    decode_view,
    encode_view,
    parse_query,
)
from banyanline.platform.entries import (
    StoreItem,
    UnrelatedItem,
    UnusableItem,
    cookie_of,
    decode_item,
    parse_wire_id,
)
from banyanline.platform.host_settings import HostSettings, HostSettingsError, parse_settings
from banyanline.platform.packets import (
    HEADER_BYTES,
    MalformedPacket,
    decode_packet,
    encode_for_upstream,
    encode_reset,
)
from banyanline.platform.store import Changes, StoreFailed, StorePage, parse_changes, parse_page
from banyanline.tests.steering import Host, entry

FUZZ = settings(max_examples=300, deadline=None, derandomize=True)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
upstream_fields = st.fixed_dictionaries(
    {
        "service": st.text() | json_values,
        "address": st.just("10.0.0.1:80") | st.text() | json_values,
        "zone": st.text() | json_values,
        "version": st.text() | json_values,
        "slots": st.integers() | json_values,
        "state": st.sampled_from(["ready", "draining", "x"]) | json_values,
        "cold_remaining_ms": st.floats() | st.integers() | json_values,
        "sequence": st.integers() | json_values,
    },
    optional={"born": st.integers() | json_values},
)
keys = st.sampled_from(["servers/i-1", "servers/", "op/config", "op/evacuate/x", "x"]) | st.text()


@FUZZ
@given(st.binary(max_size=1300))
def test_a_datagram_of_any_content(data: bytes) -> None:
    packet = decode_packet(data)
    assert isinstance(packet, CallerPacket | MalformedPacket)
    if isinstance(packet, CallerPacket):
        assert len(encode_reset(packet)) == HEADER_BYTES
        assert len(encode_for_upstream(data, 1, 2)) == len(data) + 8


@FUZZ
@given(st.binary(min_size=32, max_size=200))
def test_a_datagram_whose_length_fits(data: bytes) -> None:
    length = len(data) - HEADER_BYTES
    fitting = data[:14] + length.to_bytes(2, "little") + data[16:]
    packet = decode_packet(fitting)
    assert isinstance(packet, CallerPacket)
    encoded = encode_for_upstream(fitting, 7, packet.cookie)
    assert encoded[8:] == fitting


@FUZZ
@given(keys, st.integers(), json_values | upstream_fields, st.booleans())
def test_a_store_item_of_any_shape(key: str, revision: int, value: object, deleted: bool) -> None:
    text = base64.b64encode(json.dumps(value).encode()).decode()
    decoded = decode_item(StoreItem(key, revision, text, 0, deleted))
    assert isinstance(decoded, tuple)
    if not isinstance(decoded, UnusableItem | UnrelatedItem):
        assert decoded.revision == revision


@FUZZ
@given(keys, st.text(max_size=80))
def test_a_store_item_that_is_not_base64(key: str, text: str) -> None:
    assert isinstance(decode_item(StoreItem(key, 1, text)), tuple)


@FUZZ
@given(st.text(max_size=300))
def test_a_settings_file_of_any_text(text: str) -> None:
    parsed = parse_settings(text)
    assert isinstance(parsed, HostSettings | HostSettingsError)
    if isinstance(parsed, HostSettingsError):
        assert "\n" not in str(parsed)


@FUZZ
@given(st.binary(max_size=300) | json_values.map(lambda value: json.dumps(value).encode()))
def test_a_store_response_of_any_content(body: bytes) -> None:
    assert isinstance(parse_page(body), StorePage | StoreFailed)
    assert isinstance(parse_changes(body), Changes | StoreFailed)


@FUZZ
@given(st.binary(max_size=300))
def test_a_view_of_any_content(data: bytes) -> None:
    assert isinstance(decode_view(data), FleetView | None)
    assert isinstance(decode_deflated_view(data), FleetView | None)
    assert isinstance(decode_deflated_view(zlib.compress(data)), FleetView | None)


@FUZZ
@given(st.binary(max_size=3), st.integers(min_value=0, max_value=200))
def test_a_view_with_bytes_changed(noise: bytes, position: int) -> None:
    data = encode_view(Host(entry("orders-1")).catalog.view(0.0))
    changed = data[:position] + noise + data[position + len(noise) :]
    assert isinstance(decode_view(changed), FleetView | None)


@FUZZ
@given(st.text(max_size=80))
def test_a_view_query_of_any_text(text: str) -> None:
    for target in (text, f"/view?{text}"):
        assert isinstance(parse_query(target), ViewQuery | PageResponse)


@FUZZ
@given(
    st.binary(max_size=80),
    st.lists(st.text(max_size=3) | st.integers(0, 2**63) | st.floats() | st.binary() | st.none()),
)
def test_a_report_of_any_bytes_or_fields(data: bytes, fields: list[object]) -> None:
    codec = ReportCodec({"orders-1": 7}.get, {7: "orders-1"}.get)
    encoded = msgspec.msgpack.encode(fields[:9])
    for datagram in (data, PREFIX + data, PREFIX + encoded):
        assert isinstance(codec.decode(datagram), ReceivedReport | MalformedReport)
    assert len(decode_endpoints(data)) <= len(data) // 6


@FUZZ
@given(st.text(max_size=80))
def test_a_request_for_peers_of_any_text(text: str) -> None:
    for target in (f"/peers?{text}", f"/peers?data_centre=north&endpoint={text}"):
        assert isinstance(parse_peers_query(target), PeersQuery | PageResponse)


@FUZZ
@given(st.integers(min_value=1, max_value=(1 << 64) - 1))
def test_ids_of_8_bytes(number: int) -> None:
    assert parse_wire_id(f"i-{number:x}") == number
    assert 0 < cookie_of(number) < 1 << 32
