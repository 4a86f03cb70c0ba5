"""Received reports that are refused, and the requests that name hosts to each other."""

from __future__ import annotations

import asyncio
import random
import socket

import pytest
from structlog.testing import capture_logs

from banyanline.core.steering.host_liveness import HostState
from banyanline.core.steering.peer_reports import HostReport, UpstreamSample
from banyanline.core.steering.report_budget import MAX_REPORT_BYTES
from banyanline.core.types import Endpoint
from banyanline.net.steering.heartbeat_exchange import HeartbeatExchange
from banyanline.net.steering.peer_discovery import PeerDiscovery
from banyanline.net.steering.report_codec import PREFIX, ReportCodec, decode_endpoints
from banyanline.net.steering.report_exchange import RejectReason, ReportExchange, ReportSource
from banyanline.net.steering.seeds import Seeds
from banyanline.tests.steering import HERE, THERE, Host, entry

OWN = Endpoint("127.0.0.1", 1)
OTHER = ("10.0.0.2", 7720)
MOVED = ("10.0.0.9", 7720)


class Receiver:
    """A host that gets datagrams without a socket."""

    def __init__(self, endpoint: Endpoint = OWN) -> None:
        self.host = Host(entry("orders-1"))
        source = ReportSource("front-1", HERE, self.host.steering)
        self.heartbeats = HeartbeatExchange(
            HERE, self.host.steering, lambda: HostState.AVAILABLE, random.Random(1)
        )
        self.exchange = ReportExchange(source, endpoint, 10.0, random.Random(1), self.heartbeats)
        upstreams = self.host.catalog.upstreams
        self.codec = ReportCodec(upstreams.cookie_of, upstreams.name_of)

    def discovery(self) -> PeerDiscovery:
        seeds = Seeds(None, random.Random(1))
        rng = random.Random(1)
        return PeerDiscovery(HERE, seeds, self.exchange, self.heartbeats, lambda: 0.0, rng)

    def encode(self, sequence: int = 1, host: str = "front-2", data_centre: str = HERE) -> bytes:
        sample = UpstreamSample("orders-1", 0.5, 7)
        report = HostReport(host, data_centre, 3, sequence, upstreams=(sample,))
        return self.codec.encode(report, [])

    def receive(self, data: bytes, sender: tuple[str, int] = OTHER) -> RejectReason | None:
        before = self.exchange.counts.rejected.copy()
        self.exchange._on_datagram(data, sender)
        reasons = list((self.exchange.counts.rejected - before).elements())
        return reasons[0] if reasons else None


@pytest.mark.parametrize(
    ("fields", "sender", "reason"),
    [
        pytest.param({"sequence": 6}, OTHER, None, id="used"),
        pytest.param({"sequence": 5}, OTHER, RejectReason.OUTDATED, id="repeated"),
        pytest.param({"sequence": 4}, OTHER, RejectReason.OUTDATED, id="out of order"),
        pytest.param({"sequence": 6}, MOVED, RejectReason.ADDRESS, id="from another address"),
        pytest.param({"host": "front-1"}, MOVED, RejectReason.ADDRESS, id="in this host's name"),
        pytest.param({"data_centre": THERE}, OTHER, RejectReason.DATA_CENTRE, id="from elsewhere"),
    ],
)
async def test_only_the_latest_reports_of_this_data_centre_are_used(fields, sender, reason):
    receiver = Receiver()
    assert receiver.receive(receiver.encode(5)) is None
    assert receiver.receive(receiver.encode(**fields), sender) is reason
    assert receiver.host.steering.peers.load("orders-1") == (0.5, 7, 0)
    assert list(receiver.host.steering.peers.hosts) == ["front-2"]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"GET / HTTP/1.1", id="another protocol"),
        pytest.param(PREFIX + bytes(MAX_REPORT_BYTES), id="too long"),
        pytest.param(b"", id="empty"),
    ],
)
async def test_many_malformed_datagrams_are_counted_and_logged_once(data):
    receiver = Receiver()
    with capture_logs() as events:
        for _ in range(100):
            assert receiver.receive(data) is RejectReason.MALFORMED
    assert receiver.exchange.counts.rejected == {RejectReason.MALFORMED: 100}
    assert [event["event"] for event in events] == ["report_rejected"]


async def test_nothing_is_sent_before_the_exchange_is_opened():
    receiver = Receiver()
    receiver.exchange.learn([Endpoint(*OTHER)])
    task = asyncio.create_task(receiver.exchange.run())
    await asyncio.sleep(0)
    task.cancel()
    assert receiver.exchange.endpoint is None
    assert receiver.exchange.counts.sent == 0


async def test_a_port_in_use_leaves_the_host_without_reports():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        receiver = Receiver(Endpoint(*other.getsockname()))
        with capture_logs() as events:
            receiver.exchange.open()
        assert receiver.exchange.endpoint is None
        assert [event["event"] for event in events] == ["reports_not_exchanged"]


async def test_hosts_that_ask_a_seed_are_named_to_others_of_their_data_centre():
    receiver = Receiver()
    discovery = receiver.discovery()
    asked = [
        discovery.respond(f"/peers?data_centre={data_centre}&endpoint=10.0.0.{number}:7720")
        for number, data_centre in ((1, THERE), (2, "elsewhere"), (3, THERE))
    ]
    assert [decode_endpoints(response.body) for response in asked] == [
        (),
        (),
        (Endpoint("10.0.0.1", 7720),),
    ]
    remote = discovery.respond(f"/peers?data_centre={THERE}&endpoint=10.0.0.4:7720&remote=1")
    assert decode_endpoints(remote.body) == (Endpoint("10.0.0.2", 7720),)


@pytest.mark.parametrize(
    "query",
    ["", "data_centre=north", "endpoint=10.0.0.1:7720", "data_centre=north&endpoint=host:1"],
)
async def test_an_incomplete_request_for_peers_is_refused(query):
    receiver = Receiver()
    discovery = receiver.discovery()
    assert discovery.respond(f"/peers?{query}").status == 400
