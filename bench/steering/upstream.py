"""An upstream of packet flows that responds to data with its name and the same data."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from bench.standins.sockets import Address, Listener, UdpSocket
from bench.steering.segments import UPSTREAM_PREFIX_BYTES, Flag, Segment, decode, encode

_INITIAL_SEQUENCES = itertools.count(7_000, 100_000)


class _Connection(NamedTuple):
    """State of an open flow; ``last_response`` is sent again for retransmitted data."""

    first_seq: int
    sent: int = 1
    expected_seq: int | None = None
    last_response: bytes = b""


class PacketUpstream:
    """Serves the packets whose prefix is ``number`` or 0, and drops those for other upstreams.

    While ``is_unresponsive`` it accepts TCP connections but drops all packets. Once it
    ``is_down``, its machine still runs: it resets all flows and refuses TCP connections.
    ``misdirected`` counts the packets for other upstreams.
    """

    def __init__(self, name: str, address: Address, caller_port: int) -> None:
        self.name = name
        self.number = int(name.rpartition("-")[2], 16)
        self.caller_port = caller_port
        self.is_unresponsive = False
        self.is_down = False
        self.opened: list[Address] = []
        self.received: list[bytes] = []
        self.misdirected = 0
        self._connections: dict[Address, _Connection] = {}
        self._socket = UdpSocket(address, self._on_datagram)
        self._listener = Listener(self._socket.address)

    @property
    def address(self) -> Address:
        """Address at which the upstream receives packets and TCP connections."""
        return self._socket.address

    @property
    def connection_attempts(self) -> int:
        """Number of TCP connections accepted, which are the balancers' health checks."""
        return self._listener.taken

    def crash(self) -> None:
        """Crash on a machine that keeps running and resets all flows."""
        self.is_down = True
        self._connections.clear()
        self._listener.close()

    def restart(self) -> None:
        """Drop the state of all flows, as after a crash and a restart under the same id."""
        self._connections.clear()

    def close(self) -> None:
        """Close the sockets, as in a crash; packets then get no response."""
        self._listener.close()
        self._socket.close()

    def _on_datagram(self, data: bytes, _source: Address) -> None:
        number = int.from_bytes(data[:UPSTREAM_PREFIX_BYTES], "big")
        if number not in (0, self.number):
            self.misdirected += 1
            return
        if not self.is_unresponsive:
            self._receive(decode(data[UPSTREAM_PREFIX_BYTES:]))

    def _receive(self, segment: Segment) -> None:
        if self.is_down:
            self._reply(segment, Flag.RST, segment.ack)
        elif segment.flags & Flag.SYN:
            self._open(segment)
        else:
            self._receive_on_flow(segment)

    def _receive_on_flow(self, segment: Segment) -> None:
        connection = self._connections.get(segment.src)
        if connection is None:
            self._reply(segment, Flag.RST, segment.ack)
        elif segment.flags & Flag.FIN:
            del self._connections[segment.src]
            self._reply(segment, Flag.FIN | Flag.ACK, segment.ack)
        elif segment.data:
            self._run_request(segment, connection)

    def _run_request(self, segment: Segment, connection: _Connection) -> None:
        """Respond to new data; send the last response again for retransmitted data."""
        if connection.expected_seq is not None and segment.seq < connection.expected_seq:
            seq = connection.first_seq + connection.sent - len(connection.last_response)
            self._reply(segment, Flag.ACK, seq, connection.last_response)
            return
        self.received.append(segment.data)
        body = self.name.encode() + b":" + segment.data
        self._reply(segment, Flag.ACK, connection.first_seq + connection.sent, body)
        self._connections[segment.src] = connection._replace(
            sent=connection.sent + len(body),
            expected_seq=segment.seq + len(segment.data),
            last_response=body,
        )

    def _open(self, segment: Segment) -> None:
        connection = self._connections.setdefault(
            segment.src, _Connection(next(_INITIAL_SEQUENCES))
        )
        self.opened.append(segment.src)
        self._reply(segment, Flag.SYN | Flag.ACK, connection.first_seq)

    def _reply(self, segment: Segment, flags: Flag, seq: int, data: bytes = b"") -> None:
        ack = segment.seq + len(segment.data) + bool(segment.flags & (Flag.SYN | Flag.FIN))
        reply = Segment(flags, segment.dst, segment.src, seq, ack, segment.echo, data)
        self._socket.send(encode(reply), (segment.src[0], self.caller_port))
