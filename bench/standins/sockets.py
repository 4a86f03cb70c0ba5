"""Non-blocking sockets on the event loop, with a bounded number of reads per wake-up."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TypeAlias

Address: TypeAlias = tuple[str, int]
OnDatagram: TypeAlias = Callable[[bytes, Address], None]

DRAIN_LIMIT = 64
RECEIVE_BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 65535


class UdpSocket:
    """A bound UDP socket that passes each datagram to a callback.

    Send errors are ignored, as the network may lose any datagram.
    """

    def __init__(self, address: Address, on_datagram: OnDatagram) -> None:
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(address)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._drain)

    @property
    def address(self) -> Address:
        """The bound IP address and port."""
        ip, port = self._socket.getsockname()
        return ip, port

    def send(self, data: bytes, destination: Address) -> None:
        """Send one datagram; ignore an error."""
        try:
            self._socket.sendto(data, destination)
        except OSError:
            return

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _drain(self) -> None:
        for _ in range(DRAIN_LIMIT):
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(data, source)
            if self._socket.fileno() < 0:
                return


class Listener:
    """A TCP listener that accepts connections and closes them at once."""

    def __init__(self, address: Address) -> None:
        self.accepted_connections = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.listen()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._accept)

    def close(self) -> None:
        """Close the listener; the kernel refuses connections from then on."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _accept(self) -> None:
        for _ in range(DRAIN_LIMIT):
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.accepted_connections += 1
            connection.close()
