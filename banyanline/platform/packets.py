"""The packets of callers' flows: a header of 32 bytes, then at most 1,200 bytes of data.

Addresses and numbers are little-endian in the header. An upstream gets the packet
behind 8 big-endian bytes that name the upstream it is meant for.
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
"""Where the field ``echo`` begins: the number that both ends send back as they got it."""


class MalformedPacket(NamedTuple):
    """A datagram that is no packet of a flow."""

    detail: str


def decode_packet(data: bytes) -> CallerPacket | MalformedPacket:
    """Read a datagram that a router passed on.

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
    """Return an address and port as packets carry them, to look routes up by.

    Raises OSError if ``ip`` is no IPv4 number, ValueError for a port out of range.

    >>> service_address("198.18.0.1", 443).hex()
    '010012c6bb01'
    """
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"{port} is no port")
    return socket.inet_aton(ip)[::-1] + port.to_bytes(2, "little")


def describe_endpoint(endpoint: bytes) -> str:
    """Return 6 bytes of a header as ``ip:port``.

    >>> describe_endpoint(bytes.fromhex("010012c6bb01"))
    '198.18.0.1:443'
    """
    ip = socket.inet_ntoa(endpoint[3::-1])
    return f"{ip}:{int.from_bytes(endpoint[4:6], 'little')}"


def for_upstream(data: bytes, upstream_id: int, cookie: int) -> bytes:
    """Return the datagram that brings a caller's packet to the upstream."""
    return b"".join(
        (
            _UPSTREAM_ID.pack(upstream_id),
            data[:_COOKIE_START],
            _COOKIE.pack(cookie),
            data[HEADER_BYTES:],
        )
    )


def reset_for(packet: CallerPacket) -> bytes:
    """Return the packet that ends a caller's flow, as if from the service's address.

    Its sequence number is the one that the caller acknowledged last.
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
    """Return the IP number that answers to the caller go to."""
    return socket.inet_ntoa(packet.flow[3::-1])
