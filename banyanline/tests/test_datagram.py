from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from banyanline.core.types import Endpoint
from banyanline.transport.datagram import DatagramSocket

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 10


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
async def test_echo_between_bound_and_connected_socket(ip):
    loop = asyncio.get_running_loop()
    replies = []
    server = DatagramSocket(loop, Endpoint(ip, 0), lambda data, addr: server.send(data, addr))
    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: replies.append(data),
        connect_to=Endpoint(ip, server.local_address[1]),
    )
    assert client.send(b"ping")
    await wait_until(lambda: replies)
    assert replies == [b"ping"]
    assert client.counts == (1, 1, 0, 0)
    server.close()
    client.close()


async def test_each_wake_up_reads_at_most_the_drain_limit():
    loop = asyncio.get_running_loop()
    seen: list[bytes] = []
    batch_ends: list[int] = []

    def on_datagram(data, addr):
        if len(seen) % 4 == 0:
            loop.call_soon(lambda: batch_ends.append(len(seen)))
        seen.append(data)

    server = DatagramSocket(loop, Endpoint("127.0.0.1", 0), on_datagram, drain_limit=4)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        for number in range(10):
            client.sendto(b"%d" % number, server.local_address)
    await wait_until(lambda: len(seen) == 10 and len(batch_ends) == 3)
    assert batch_ends == [4, 8, 10]
    server.close()


async def test_unreachable_peer_is_counted_without_raising():
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    reports: list[int] = []

    def on_unreachable():
        reports.append(client.counts.unreachable)
        client.close()

    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: None,
        connect_to=Endpoint("127.0.0.1", port),
        on_unreachable=on_unreachable,
    )
    client.send(b"lost")
    await wait_until(lambda: reports)
    assert reports == [1]
    assert client.counts.received == 0


async def test_error_of_an_earlier_datagram_does_not_drop_the_next_one():
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        port = peer.getsockname()[1]
    reports: list[bool] = []
    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: None,
        connect_to=Endpoint("127.0.0.1", port),
        on_unreachable=lambda: reports.append(True),
    )
    client.send(b"lost")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", port))
        peer.settimeout(TIMEOUT_S)
        assert client.send(b"kept")
        assert reports == []
        assert peer.recv(100) == b"kept"
    await wait_until(lambda: reports)
    assert client.counts.unreachable == 1
    client.close()


class FullBufferSocket(socket.socket):
    def send(self, data, flags=0):
        raise BlockingIOError


async def test_full_send_buffer_is_counted_as_a_drop():
    client = DatagramSocket(
        asyncio.get_running_loop(), Endpoint("127.0.0.1", 0), lambda data, addr: None
    )
    original_socket, client._socket = client._socket, FullBufferSocket()
    assert client.send(b"x") is False
    assert client.counts.send_drops == 1
    client._socket = original_socket
    client.close()
    assert client.is_closed
