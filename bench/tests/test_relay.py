"""A partition must block datagrams and connections between its sides, none within a side."""

import asyncio
import random

import pytest

from bench.network.addresses import CONTROL_PORT, PEER_PORT, AddressPlan
from bench.network.link import Link, NetworkPartitions
from bench.network.relay import PeerRelay
from bench.scenarios.fleet import Balancer
from bench.standins.sockets import UdpSocket


@pytest.fixture
async def network():
    plan = AddressPlan.acquire(hint=220)
    names = (("n1", "north"), ("n2", "north"), ("s1", "south"))
    balancers = [Balancer(name, dc, idx, plan) for idx, (name, dc) in enumerate(names)]
    partitions = NetworkPartitions()
    relay = PeerRelay(Link(random.Random(1)), partitions, lambda: balancers)
    for balancer in balancers:
        await relay.listen(balancer)
    yield balancers, partitions, relay
    relay.close()
    plan.release()


@pytest.mark.parametrize(
    ("sender", "is_partitioned", "arrives"),
    [
        pytest.param(1, False, True, id="same side"),
        pytest.param(2, False, True, id="other side before the partition"),
        pytest.param(1, True, True, id="same side during the partition"),
        pytest.param(2, True, False, id="other side during the partition"),
    ],
)
async def test_datagram_is_forwarded_unless_partitioned(network, sender, is_partitioned, arrives):
    balancers, partitions, relay = network
    received = []
    receiver = UdpSocket((balancers[0].ip, PEER_PORT), lambda data, source: received.append(data))
    source = UdpSocket((balancers[sender].ip, PEER_PORT), lambda data, source: None)
    if is_partitioned:
        partitions.separate(["north"], ["south"])
    source.send(b"x", (balancers[0].alias, PEER_PORT))
    await asyncio.sleep(0.05)
    assert received == ([b"x"] if arrives else [])
    assert relay.relayed_bytes == 29
    receiver.close()
    source.close()


async def test_partition_aborts_connections_between_sides_only(network):
    balancers, partitions, _ = network

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, balancers[0].ip, CONTROL_PORT)
    streams = []
    for sender in balancers[1:]:
        streams.append(
            await asyncio.open_connection(
                balancers[0].alias, CONTROL_PORT, local_addr=(sender.ip, 0)
            )
        )
        streams[-1][1].write(b"x")
        assert await streams[-1][0].readexactly(1) == b"x"
    partitions.separate(["north"], ["south"])
    (near, near_writer), (far, far_writer) = streams
    near_writer.write(b"y")
    assert await near.readexactly(1) == b"y"
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await far.readexactly(1)
    for writer in (near_writer, far_writer):
        writer.close()
    server.close()
