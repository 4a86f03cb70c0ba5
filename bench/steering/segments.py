"""Codec of packets for callers and upstreams, independent of the balancer's own codec."""

from __future__ import annotations

import socket
import struct
from enum import IntFlag
from typing import NamedTuple

_HEADER = struct.Struct("<BB4sH4sHHIIII")
UPSTREAM_PREFIX_BYTES = 8


class Flag(IntFlag):
    """Control bits on the wire."""

    FIN = 1
    SYN = 2
    RST = 16
    ACK = 8


class Segment(NamedTuple):
    """One packet: source and destination as ``(ip, port)``, header fields and data."""

    flags: Flag
    src: tuple[str, int]
    dst: tuple[str, int]
    seq: int
    ack: int
    echo: int
    data: bytes = b""
    checksum: int = 0x5EED


def encode(segment: Segment) -> bytes:
    """Encode a packet."""
    header = _HEADER.pack(
        segment.flags,
        0,
        socket.inet_aton(segment.src[0])[::-1],
        segment.src[1],
        socket.inet_aton(segment.dst[0])[::-1],
        segment.dst[1],
        len(segment.data),
        segment.seq,
        segment.ack,
        segment.checksum,
        segment.echo,
    )
    return header + segment.data


def decode(data: bytes) -> Segment:
    """Decode a packet; raises struct.error if it is too short."""
    flags, _, src, sport, dst, dport, length, seq, ack, checksum, echo = _HEADER.unpack_from(data)
    body = data[_HEADER.size : _HEADER.size + length]
    return Segment(
        Flag(flags),
        (socket.inet_ntoa(src[::-1]), sport),
        (socket.inet_ntoa(dst[::-1]), dport),
        seq,
        ack,
        echo,
        body,
        checksum,
    )
