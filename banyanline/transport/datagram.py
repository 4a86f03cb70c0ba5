"""UDP sockets on the event loop, read in bounded batches.

The stdlib's ``DatagramProtocol`` wakes up once a datagram. Here one wake-up reads
up to ``DRAIN_LIMIT`` datagrams, so that a busy socket costs less and still leaves
the loop to others after each batch.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from banyanline.core.types import Endpoint

DRAIN_LIMIT = 64
"""Datagrams read in one wake-up of the loop."""

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
SEND_BUFFER_BYTES = 1024 * 1024

SocketAddress: TypeAlias = Any
"""What the socket module gives as an address: ``(ip, port)``, with two more fields for IPv6."""

DatagramHandler: TypeAlias = "Callable[[bytes, SocketAddress], object]"


class DatagramCounts(NamedTuple):
    """What a socket took, sent and lost since it was opened.

    ``send_drops`` were refused because the kernel's buffer was full, and
    ``unreachable`` counts ICMP errors that the kernel reported (connected
    sockets see them) and datagrams that had no route or were too large.
    """

    received: int
    sent: int
    send_drops: int
    unreachable: int


def address_family(ip: str) -> socket.AddressFamily:
    """Return the family of an IP number.

    >>> address_family("2001:db8::1").name
    'AF_INET6'
    """
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


class DatagramSocket:
    """A non-blocking UDP socket that hands each datagram to ``on_datagram``.

    With ``connect_to`` the socket is connected: it takes datagrams of that peer
    only, :meth:`send` needs no address, and ICMP errors are counted and told to
    ``on_unreachable``. An ``endpoint`` of None lets the kernel choose the local
    address. A non-blocking socket that is ``bound`` already is used as it is.

    Raises OSError if the endpoint cannot be bound.
    """

    __slots__ = (
        "_closed",
        "_drain_limit",
        "_loop",
        "_max_bytes",
        "_on_datagram",
        "_on_unreachable",
        "_received",
        "_send_drops",
        "_sent",
        "_socket",
        "_unreachable",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: Endpoint | None,
        on_datagram: DatagramHandler,
        *,
        connect_to: Endpoint | None = None,
        on_unreachable: Callable[[], object] | None = None,
        drain_limit: int = DRAIN_LIMIT,
        max_bytes: int = MAX_DATAGRAM_BYTES,
        receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
        bound: socket.socket | None = None,
    ) -> None:
        self._loop = loop
        self._on_datagram = on_datagram
        self._on_unreachable = on_unreachable
        self._drain_limit = drain_limit
        self._max_bytes = max_bytes
        self._received = 0
        self._sent = 0
        self._send_drops = 0
        self._unreachable = 0
        self._closed = False
        self._socket = bound or open_socket(endpoint, connect_to, receive_buffer_bytes)
        loop.add_reader(self._socket.fileno(), self._drain)

    @property
    def local_address(self) -> SocketAddress:
        """The address that the socket is bound to."""
        return self._socket.getsockname()

    @property
    def counts(self) -> DatagramCounts:
        """What the socket took, sent and lost so far."""
        return DatagramCounts(self._received, self._sent, self._send_drops, self._unreachable)

    @property
    def is_closed(self) -> bool:
        """Whether :meth:`close` was called."""
        return self._closed

    def send(self, data: bytes, addr: SocketAddress = None) -> bool:
        """Send a datagram, to the connected peer if ``addr`` is None.

        Returns False if it was dropped, which is counted: the caller does not
        wait for room in the kernel's buffer.
        """
        try:
            self._send(data, addr)
        except BlockingIOError:
            self._send_drops += 1
            return False
        except ConnectionRefusedError:
            return self._send_after_error(data, addr)
        except OSError:
            self._unreachable += 1
            return False
        self._sent += 1
        return True

    def close(self) -> None:
        """Close the socket; datagrams that were not read are lost."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _send(self, data: bytes, addr: SocketAddress) -> None:
        if addr is None:
            self._socket.send(data)
        else:
            self._socket.sendto(data, addr)

    def _send_after_error(self, data: bytes, addr: SocketAddress) -> bool:
        """Send again, as the kernel's error was that of an earlier datagram.

        The user hears of it later, as it may not expect a call while it sends.
        """
        self._loop.call_soon(self._count_unreachable)
        try:
            self._send(data, addr)
        except OSError:
            self._send_drops += 1
            return False
        self._sent += 1
        return True

    def _drain(self) -> None:
        receive = self._socket.recvfrom
        handle = self._on_datagram
        max_bytes = self._max_bytes
        for _ in range(self._drain_limit):
            try:
                data, addr = receive(max_bytes)
            except BlockingIOError:
                return
            except OSError:
                self._count_unreachable()
            else:
                self._received += 1
                handle(data, addr)
            if self._closed:
                return

    def _count_unreachable(self) -> None:
        self._unreachable += 1
        if self._on_unreachable is not None and not self._closed:
            self._on_unreachable()


def open_socket(
    endpoint: Endpoint | None,
    connect_to: Endpoint | None = None,
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to ``endpoint``, connected, or both.

    Raises OSError if that fails, OverflowError for a port out of range, and ValueError
    without any endpoint.
    """
    named = endpoint or connect_to
    if named is None:
        raise ValueError("neither a local endpoint nor a peer was given")
    family = address_family(named.ip)
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        if endpoint is not None:
            sock.bind((endpoint.ip, endpoint.port))
        if connect_to is not None:
            sock.connect((connect_to.ip, connect_to.port))
    except (OSError, OverflowError):
        sock.close()
        raise
    return sock
