"""Relay of the traffic between balancers, which applies partitions and link faults to it.

Each balancer advertises an alias address. The relay receives datagrams and TCP
connections there and forwards them to the address that the balancer binds. It
identifies the sender of a datagram by its source address, and that of a
connection by the process that owns the other end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from bench.network.addresses import CONTROL_PORT, PEER_PORT
from bench.network.link import Link, NetworkPartitions
from bench.network.socket_owners import owners_by_port
from bench.scenarios.fleet import Balancer
from bench.standins.sockets import Address, UdpSocket

READ_BYTES = 65536
IP_UDP_HEADER_BYTES = 28

ListBalancers = Callable[[], list[Balancer]]


class _RelayedConnection:
    """One relayed TCP connection from ``source`` to a balancer in ``data_centre``."""

    def __init__(
        self, source: Address, data_centre: str, writers: tuple[asyncio.StreamWriter, ...]
    ) -> None:
        self.source = source
        self.data_centre = data_centre
        self.writers = writers

    def abort(self) -> None:
        """Abort the connections to both ends."""
        for writer in self.writers:
            writer.transport.abort()


class PeerRelay:
    """Forwards peer datagrams and control connections unless a partition blocks them."""

    def __init__(self, link: Link, partitions: NetworkPartitions, balancers: ListBalancers) -> None:
        self._link = link
        self._partitions = partitions
        self._balancers = balancers
        self._sockets: list[UdpSocket] = []
        self._servers: list[asyncio.Server] = []
        self._connections: set[_RelayedConnection] = set()
        self._relayed_bytes = 0
        partitions.subscribe(self._abort_blocked_connections)

    @property
    def link(self) -> Link:
        """The link between balancers."""
        return self._link

    @property
    def relayed_bytes(self) -> int:
        """Bytes that balancers sent to each other, with the IP and UDP headers of datagrams."""
        return self._relayed_bytes

    async def listen(self, balancer: Balancer) -> None:
        """Receive the traffic for ``balancer`` at its alias address."""
        on_datagram = partial(self._on_datagram, balancer)
        self._sockets.append(UdpSocket((balancer.alias, PEER_PORT), on_datagram))
        handler = partial(self._on_connection, balancer)
        self._servers.append(await asyncio.start_server(handler, balancer.alias, CONTROL_PORT))

    def close(self) -> None:
        """Close all sockets and connections."""
        for socket in self._sockets:
            socket.close()
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.abort()

    def _on_datagram(self, receiver: Balancer, data: bytes, source: Address) -> None:
        self._relayed_bytes += len(data) + IP_UDP_HEADER_BYTES
        sender = self._data_centre_by_ip(source[0])
        if self._partitions.is_blocked(sender, receiver.data_centre):
            return
        socket = next(s for s in self._sockets if s.address[0] == receiver.alias)
        destination = (receiver.ip, PEER_PORT)
        self._link.transmit(partial(socket.send, data, destination))

    def _data_centre_by_ip(self, ip: str) -> str | None:
        for balancer in self._balancers():
            if balancer.ip == ip:
                return balancer.data_centre
        return None

    async def _on_connection(
        self,
        receiver: Balancer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = writer.get_extra_info("peername")
        if self._partitions.is_active:
            sender = self._sender_data_centre(source, self._data_centres_by_port())
            if self._partitions.is_blocked(sender, receiver.data_centre):
                writer.transport.abort()
                return
        try:
            receiver_reader, receiver_writer = await asyncio.open_connection(
                receiver.ip, CONTROL_PORT
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _RelayedConnection(source, receiver.data_centre, (writer, receiver_writer))
        self._connections.add(connection)
        copy_tasks = (
            asyncio.create_task(self._copy(reader, receiver_writer)),
            asyncio.create_task(self._copy(receiver_reader, writer)),
        )
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copy_tasks:
                copy.cancel()
            connection.abort()
            self._connections.discard(connection)

    def _sender_data_centre(self, source: Address, by_port: dict[int, str]) -> str | None:
        return self._data_centre_by_ip(source[0]) or by_port.get(source[1])

    def _data_centres_by_port(self) -> dict[int, str]:
        """Return the data centre of the balancer that owns each local TCP port.

        A connection need not come from the address that its balancer binds, so the
        owners of the ports are looked up, only while there are partitions.
        """
        data_centres = {b.pid: b.data_centre for b in self._balancers() if b.is_running}
        owners = owners_by_port(data_centres)
        return {port: data_centres[pid] for port, pid in owners.items()}

    def _abort_blocked_connections(self) -> None:
        if not self._partitions.is_active:
            return
        data_centres = self._data_centres_by_port()
        for connection in list(self._connections):
            sender = self._sender_data_centre(connection.source, data_centres)
            if self._partitions.is_blocked(sender, connection.data_centre):
                connection.abort()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self._relayed_bytes += len(data)
                writer.write(data)
                await writer.drain()
