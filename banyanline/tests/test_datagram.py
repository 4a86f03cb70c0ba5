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


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
async def test_echo_between_bound_and_connected_socket(ip):
    loop = asyncio.get_running_loop()
    answers = []
    server = DatagramSocket(loop, Endpoint(ip, 0), lambda data, addr: server.send(data, addr))
    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: answers.append(data),
        connect_to=Endpoint(ip, server.local_address[1]),
    )
    assert client.send(b"ping")
    await until(lambda: answers)
    assert answers == [b"ping"]
    assert client.counts == (1, 1, 0, 0)
    server.close()
    client.close()


async def test_each_wake_up_reads_at_most_the_drain_limit():
    loop = asyncio.get_running_loop()
    seen: list[bytes] = []
    marks: list[int] = []

    def take(data, addr):
        if len(seen) % 4 == 0:
            loop.call_soon(lambda: marks.append(len(seen)))
        seen.append(data)

    server = DatagramSocket(loop, Endpoint("127.0.0.1", 0), take, drain_limit=4)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        for number in range(10):
            client.sendto(b"%d" % number, server.local_address)
    await until(lambda: len(seen) == 10 and len(marks) == 3)
    assert marks == [4, 8, 10]
    server.close()


async def test_unreachable_peer_is_counted_and_raises_nothing():
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    told: list[int] = []

    def on_unreachable():
        told.append(client.counts.unreachable)
        client.close()

    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: None,
        connect_to=Endpoint("127.0.0.1", port),
        on_unreachable=on_unreachable,
    )
    client.send(b"lost")
    await until(lambda: told)
    assert told == [1]
    assert client.counts.received == 0


async def test_error_of_an_earlier_datagram_loses_no_later_one():
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        port = peer.getsockname()[1]
    told: list[bool] = []
    client = DatagramSocket(
        loop,
        None,
        lambda data, addr: None,
        connect_to=Endpoint("127.0.0.1", port),
        on_unreachable=lambda: told.append(True),
    )
    client.send(b"lost")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", port))
        peer.settimeout(TIMEOUT_S)
        assert client.send(b"kept")
        assert told == []
        assert peer.recv(100) == b"kept"
    await until(lambda: told)
    assert client.counts.unreachable == 1
    client.close()


class FullSocket(socket.socket):
    def send(self, data, flags=0):
        raise BlockingIOError


async def test_full_kernel_buffer_is_a_counted_drop():
    client = DatagramSocket(
        asyncio.get_running_loop(), Endpoint("127.0.0.1", 0), lambda data, addr: None
    )
    real, client._socket = client._socket, FullSocket()
    assert client.send(b"x") is False
    assert client.counts.send_drops == 1
    client._socket = real
    client.close()
    assert client.is_closed
