"""An upstream of packet flows: answers each piece of data with its name and that data."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from bench.standins.sockets import Address, Listener, UdpSocket
from bench.steering.segments import UPSTREAM_PREFIX_BYTES, Flag, Segment, decode, encode

_SEQUENCES = itertools.count(7_000, 100_000)


class _Connection(NamedTuple):
    """Where an open flow stands at the upstream; ``answer`` is the last one, for repeats."""

    first_seq: int
    sent: int = 1
    expected_seq: int | None = None
    answer: bytes = b""


class PacketUpstream:
    """Takes flows meant for ``number``; what is meant for others it leaves unanswered.

    A ``silent`` one is alive and takes connections, but leaves packets unanswered.
    One that ``refuses`` is down on a machine that lives: it resets all flows and takes
    no connection. ``misdirected`` counts the packets that were meant for another upstream.
    """

    def __init__(self, name: str, address: Address, callers_port: int) -> None:
        self.name = name
        self.number = int(name.rpartition("-")[2], 16)
        self.callers_port = callers_port
        self.silent = False
        self.refuses = False
        self.opened: list[Address] = []
        self.received: list[bytes] = []
        self.misdirected = 0
        self._connections: dict[Address, _Connection] = {}
        self._socket = UdpSocket(address, self._on_datagram)
        self._listener = Listener(self._socket.address)

    @property
    def address(self) -> Address:
        """Where the upstream takes packets."""
        return self._socket.address

    @property
    def checks(self) -> int:
        """How many connections were tried."""
        return self._listener.taken

    def crash(self) -> None:
        """Go down; the machine resets what comes."""
        self.refuses = True
        self._connections.clear()
        self._listener.close()

    def restart(self) -> None:
        """Forget all flows, as after a crash and a start under the same id."""
        self._connections.clear()

    def close(self) -> None:
        """Stop, as in a crash."""
        self._listener.close()
        self._socket.close()

    def _on_datagram(self, data: bytes, _source: Address) -> None:
        number = int.from_bytes(data[:UPSTREAM_PREFIX_BYTES], "big")
        if number not in (0, self.number):
            self.misdirected += 1
            return
        if not self.silent:
            self._take(decode(data[UPSTREAM_PREFIX_BYTES:]))

    def _take(self, segment: Segment) -> None:
        if self.refuses:
            self._reply(segment, Flag.RST, segment.ack)
        elif segment.flags & Flag.SYN:
            self._open(segment)
        else:
            self._take_later(segment)

    def _take_later(self, segment: Segment) -> None:
        known = self._connections.get(segment.src)
        if known is None:
            self._reply(segment, Flag.RST, segment.ack)
        elif segment.flags & Flag.FIN:
            del self._connections[segment.src]
            self._reply(segment, Flag.FIN | Flag.ACK, segment.ack)
        elif segment.data:
            self._run(segment, known)

    def _run(self, segment: Segment, known: _Connection) -> None:
        """Answer new data, and repeat the last answer to data that was seen before."""
        if known.expected_seq is not None and segment.seq < known.expected_seq:
            seq = known.first_seq + known.sent - len(known.answer)
            self._reply(segment, Flag.ACK, seq, known.answer)
            return
        self.received.append(segment.data)
        body = self.name.encode() + b":" + segment.data
        self._reply(segment, Flag.ACK, known.first_seq + known.sent, body)
        self._connections[segment.src] = known._replace(
            sent=known.sent + len(body),
            expected_seq=segment.seq + len(segment.data),
            answer=body,
        )

    def _open(self, segment: Segment) -> None:
        known = self._connections.setdefault(segment.src, _Connection(next(_SEQUENCES)))
        self.opened.append(segment.src)
        self._reply(segment, Flag.SYN | Flag.ACK, known.first_seq)

    def _reply(self, segment: Segment, flags: Flag, seq: int, data: bytes = b"") -> None:
        ack = segment.seq + len(segment.data) + bool(segment.flags & (Flag.SYN | Flag.FIN))
        answer = Segment(flags, segment.dst, segment.src, seq, ack, segment.echo, data)
        self._socket.send(encode(answer), (segment.src[0], self.callers_port))
