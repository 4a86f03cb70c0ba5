"""UDP sockets on the event loop, read in batches of limited size.

The ``DatagramProtocol`` of the standard library reads one datagram per wake-up of the
event loop. Here a wake-up reads up to ``MAX_READS_PER_WAKEUP`` datagrams, which lowers the cost
of a busy socket and still lets other callbacks run after each batch.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from banyanline.core.types import Endpoint

MAX_READS_PER_WAKEUP = 64
"""Maximum number of datagrams read per wake-up of the event loop."""

MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
SEND_BUFFER_BYTES = 1024 * 1024

SocketAddress: TypeAlias = Any
"""Address as used by the socket module: ``(ip, port)``, with two more fields for IPv6."""

DatagramHandler: TypeAlias = "Callable[[bytes, SocketAddress], object]"


class DatagramCounts(NamedTuple):
    """Datagrams received, sent and lost on a socket since it was opened.

    ``send_drops`` counts datagrams dropped because the kernel's send buffer was full, or
    because a second attempt after a reported ICMP error failed too.
    ``unreachable`` counts ICMP errors, which the kernel reports on connected sockets,
    and datagrams that had no route or were too large.
    """

    received: int
    sent: int
    send_drops: int
    unreachable: int


def address_family(ip: str) -> socket.AddressFamily:
    """Return the address family of an IP address.

    >>> address_family("2001:db8::1").name
    'AF_INET6'
    """
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


class DatagramSocket:
    """A non-blocking UDP socket that passes each received datagram to ``on_datagram``.

    With ``connect_to`` the socket is connected: it receives only datagrams from that
    peer, :meth:`send` needs no address, and ICMP errors are counted and reported to
    ``on_unreachable``. If ``endpoint`` is None, the kernel chooses the local address.
    If ``bound`` is given, that non-blocking, already bound socket is used unchanged.

    Raises OSError if the endpoint cannot be bound.
    """

    __slots__ = (
        "_drain_limit",
        "_is_closed",
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
        drain_limit: int = MAX_READS_PER_WAKEUP,
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
        self._is_closed = False
        self._socket = bound or open_socket(endpoint, connect_to, receive_buffer_bytes)
        loop.add_reader(self._socket.fileno(), self._drain)

    @property
    def local_address(self) -> SocketAddress:
        """The address that the socket is bound to."""
        return self._socket.getsockname()

    @property
    def counts(self) -> DatagramCounts:
        """Datagrams received, sent and lost so far."""
        return DatagramCounts(self._received, self._sent, self._send_drops, self._unreachable)

    @property
    def is_closed(self) -> bool:
        """Whether the socket was closed."""
        return self._is_closed

    def send(self, data: bytes, addr: SocketAddress = None) -> bool:
        """Send a datagram, to the connected peer if ``addr`` is None.

        Never waits for space in the kernel's send buffer. Returns False if the datagram
        was dropped, which is counted.
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
        """Close the socket; datagrams that were not read yet are lost."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _send(self, data: bytes, addr: SocketAddress) -> None:
        if addr is None:
            self._socket.send(data)
        else:
            self._socket.sendto(data, addr)

    def _send_after_error(self, data: bytes, addr: SocketAddress) -> bool:
        """Send again after an error that the kernel reported for an earlier datagram.

        The error is reported in a later loop iteration, because the code that sends may
        not be prepared for a callback from within :meth:`send`.
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
            if self._is_closed:
                return

    def _count_unreachable(self) -> None:
        self._unreachable += 1
        if self._on_unreachable is not None and not self._is_closed:
            self._on_unreachable()


def open_socket(
    endpoint: Endpoint | None,
    connect_to: Endpoint | None = None,
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES,
) -> socket.socket:
    """Return a non-blocking UDP socket bound to ``endpoint``, connected to ``connect_to``, or both.

    Raises OSError if that fails, OverflowError for a port out of range, and ValueError
    if both are None.
    """
    any_endpoint = endpoint or connect_to
    if any_endpoint is None:
        raise ValueError("neither a local endpoint nor a peer was given")
    family = address_family(any_endpoint.ip)
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
