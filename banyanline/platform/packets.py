"""Codec for the packets of callers' flows: a 32-byte header and up to 1,200 bytes of data.

Addresses and numbers in the header are little-endian. A packet sent to an upstream is
prefixed with the id of that upstream, 8 bytes in big-endian order.
"""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

from banyanline.core.steering.packet import CallerPacket

HEADER_BYTES = 32
MAX_DATA_BYTES = 1200
MAX_PACKET_BYTES = HEADER_BYTES + MAX_DATA_BYTES

_MAX_PORT = 65_535

_FLAG_FIN = 1
_FLAG_SYN = 2
_FLAG_RST = 16

# flags, pad, src, sport, dst, dport, len, seq, ack, sum, echo
_HEADER = struct.Struct("<BB4sH4sHHIIII")
_COOKIE = struct.Struct("<I")
_UPSTREAM_ID = struct.Struct(">Q")
_COOKIE_START = 28
"""Offset of the field ``echo``, which both ends return as they received it."""


class MalformedPacket(NamedTuple):
    """Why a datagram is not a valid packet."""

    detail: str


def decode_packet(data: bytes) -> CallerPacket | MalformedPacket:
    """Decode a datagram that a router forwarded.

    >>> decode_packet(b"short")
    MalformedPacket(detail='5 bytes')
    """
    if not HEADER_BYTES <= len(data) <= MAX_PACKET_BYTES:
        return MalformedPacket(f"{len(data)} bytes")
    flags, _, _, _, _, _, length, seq, ack, _, cookie = _HEADER.unpack_from(data)
    if length != len(data) - HEADER_BYTES:
        return MalformedPacket(f"{len(data) - HEADER_BYTES} bytes of data instead of {length}")
    return CallerPacket(
        data[2:14],
        data[8:14],
        bool(flags & _FLAG_SYN),
        bool(flags & (_FLAG_FIN | _FLAG_RST)),
        length,
        seq,
        ack,
        cookie,
    )


def service_address(ip: str, port: int) -> bytes:
    """Encode an address and port as in a packet header, as the key for route lookups.

    Raises OSError if ``ip`` is not an IPv4 address, ValueError if ``port`` is out of range.

    >>> service_address("198.18.0.1", 443).hex()
    '010012c6bb01'
    """
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"{port} is not a valid port")
    return socket.inet_aton(ip)[::-1] + port.to_bytes(2, "little")


def describe_endpoint(endpoint: bytes) -> str:
    """Format an address and port of a header, 6 bytes, as ``ip:port``.

    >>> describe_endpoint(bytes.fromhex("010012c6bb01"))
    '198.18.0.1:443'
    """
    ip = socket.inet_ntoa(endpoint[3::-1])
    return f"{ip}:{int.from_bytes(endpoint[4:6], 'little')}"


def encode_for_upstream(data: bytes, upstream_id: int, cookie: int) -> bytes:
    """Return the datagram that carries a caller's packet to the upstream."""
    return b"".join(
        (
            _UPSTREAM_ID.pack(upstream_id),
            data[:_COOKIE_START],
            _COOKIE.pack(cookie),
            data[HEADER_BYTES:],
        )
    )


def encode_reset(packet: CallerPacket) -> bytes:
    """Encode a RST packet to the caller, with the service's address as its source.

    Its sequence number is the caller's last acknowledgement number.
    """
    caller = packet.flow[:6]
    service = packet.flow[6:]
    return _HEADER.pack(
        _FLAG_RST,
        0,
        service[:4],
        int.from_bytes(service[4:], "little"),
        caller[:4],
        int.from_bytes(caller[4:], "little"),
        0,
        packet.ack,
        0,
        0,
        0,
    )


def caller_ip(packet: CallerPacket) -> str:
    """Return the IP address of the caller."""
    return socket.inet_ntoa(packet.flow[3::-1])
