"""A UDP socket on the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from standins.packet import Address

BUFFER_BYTES = 1 << 20
MAX_DATAGRAM_BYTES = 2_000


class Udp:
    """A bound UDP socket that passes each datagram and its source to ``on_datagram``."""

    def __init__(self, address: Address, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.bind(address)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(data, source)
