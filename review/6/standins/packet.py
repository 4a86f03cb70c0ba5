"""Packets of flows: a header of 32 bytes and up to 1,200 bytes of data."""

from __future__ import annotations

import socket
import struct
import zlib
from typing import NamedTuple

FIN = 1
SYN = 2
ACK = 8
RST = 16

HEADER_BYTES = 32
_HEADER = struct.Struct("<BB4sH4sHHIIII")
_SUM_KEY = b"key of the stand-ins"
_SUM_FLAGS = FIN | SYN | ACK | RST

Address = tuple[str, int]


class Packet(NamedTuple):
    """One packet; ``src`` and ``dst`` are the ends of the flow."""

    flags: int
    src: Address
    dst: Address
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    total: int = 0


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet that a client or target writes, with its keyed sum."""
    return _pack(packet, _keyed_sum(packet)) + packet.data


def decode(datagram: bytes) -> Packet:
    """Decode a datagram without the prefix that names the target."""
    flags, _, src, sport, dst, dport, length, seq, ack, total, echo = _HEADER.unpack_from(datagram)
    data = datagram[HEADER_BYTES : HEADER_BYTES + length]
    return Packet(flags, (_ip(src), sport), (_ip(dst), dport), seq, ack, echo, data, total)


def is_genuine(packet: Packet) -> bool:
    """Whether the keyed sum is that of the packet's fields: its sender wrote it so."""
    return packet.total == _keyed_sum(packet)


def _pack(packet: Packet, total: int) -> bytes:
    (src, sport), (dst, dport) = packet.src, packet.dst
    return _HEADER.pack(
        packet.flags,
        0,
        _bytes(src),
        sport,
        _bytes(dst),
        dport,
        len(packet.data),
        packet.seq,
        packet.ack,
        total,
        packet.echo,
    )


def _keyed_sum(packet: Packet) -> int:
    fields = packet._replace(flags=packet.flags & _SUM_FLAGS, echo=0)
    return zlib.crc32(_SUM_KEY + _pack(fields, 0) + packet.data)


def _bytes(ip: str) -> bytes:
    return socket.inet_aton(ip)[::-1]


def _ip(data: bytes) -> str:
    return socket.inet_ntoa(data[::-1])
