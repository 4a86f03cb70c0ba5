"""Heartbeats on the wire: who gets them, how often, and what is refused."""

from __future__ import annotations

import random

import pytest

from banyanline.core.steering.host_liveness import Heartbeat, HostState
from banyanline.core.steering.remote_hosts import (
    HOSTS_PER_HEARTBEAT,
    MAX_REMOTE_HOSTS,
    REPLACED_AFTER_S,
    RemoteHosts,
)
from banyanline.core.types import Endpoint
from banyanline.net.steering.heartbeat_codec import PREFIX, decode_heartbeat, encode_heartbeat
from banyanline.net.steering.heartbeat_exchange import MIN_INTERVAL_S, HeartbeatExchange
from banyanline.tests.steering import HERE, THERE, Host, entry


def endpoints(count: int, net: int = 0) -> list[Endpoint]:
    return [Endpoint(f"10.0.{net}.{number}", 7720) for number in range(1, count + 1)]


class Sender:
    """A host whose heartbeats are recorded in place of being sent."""

    def __init__(self, state: HostState = HostState.AVAILABLE) -> None:
        self.host = Host(entry("orders-1"))
        self.exchange = HeartbeatExchange(HERE, self.host.steering, lambda: state, random.Random(1))
        self.sent: list[tuple[Heartbeat | None, Endpoint]] = []

    def run(self, local: list[Endpoint], now: float) -> None:
        self.exchange.send(
            local, lambda data, to: self.sent.append((decode_heartbeat(data), to)), now
        )


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"hr\x01", id="a report"),
        pytest.param(b"hb\x02\x93\xa1a\x00\x14", id="a later version"),
        pytest.param(PREFIX + b"\x93\xa1a\x00", id="cut short"),
        pytest.param(PREFIX + b"\x93\xa0\x00\x14", id="no data centre"),
        pytest.param(PREFIX + b"\x93\xa1a\x07\x14", id="an unknown state"),
        pytest.param(PREFIX + b"\x93\xa1a\x00\x00", id="no interval"),
        pytest.param(PREFIX + bytes(400), id="too long"),
    ],
)
def test_malformed_heartbeats_are_refused(data):
    sender = Sender()
    assert decode_heartbeat(data) is None
    assert not sender.exchange.receive(data, endpoints(1)[0], 1.0)
    assert not sender.host.steering.liveness.heard


@pytest.mark.parametrize("state", HostState)
def test_heartbeats_are_decoded_as_they_were_sent(state):
    heartbeat = Heartbeat(THERE, state, 0.35)
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


@pytest.mark.parametrize(
    ("hosts", "interval_s"),
    [pytest.param(3, MIN_INTERVAL_S, id="few hosts"), pytest.param(27, 0.675, id="28 hosts")],
)
def test_the_interval_grows_with_the_number_of_hosts(hosts, interval_s):
    sender = Sender()
    for step in range(100):
        sender.run(endpoints(hosts), step * 0.01)
    heartbeat, _ = sender.sent[0]
    assert heartbeat is not None
    assert heartbeat.interval_s == pytest.approx(interval_s, abs=0.01)
    assert len(sender.sent) == hosts * (1 + int(0.99 / interval_s))


@pytest.mark.parametrize(
    ("state", "silent", "expected"),
    [
        pytest.param(HostState.AVAILABLE, 1, HostState.AVAILABLE, id="half are silent"),
        pytest.param(HostState.AVAILABLE, 3, HostState.UNAVAILABLE, id="most are silent"),
        pytest.param(HostState.LEAVING, 3, HostState.LEAVING, id="leaving"),
    ],
)
def test_a_host_says_when_its_data_centre_has_lost_most_hosts(state, silent, expected):
    sender = Sender(state)
    for number, endpoint in enumerate(endpoints(3)):
        heard_at = 1.0 if number < silent else 9.9
        heartbeat = encode_heartbeat(Heartbeat(HERE, HostState.AVAILABLE, MIN_INTERVAL_S))
        sender.exchange.receive(heartbeat, endpoint, heard_at)
    sender.run(endpoints(3), 10.0)
    assert {each and each.state for each, _ in sender.sent} == {expected}


def test_hosts_elsewhere_get_a_few_heartbeats_once_they_are_known():
    sender = Sender()
    sender.exchange.learn_remote(endpoints(5, net=1), 0.0)
    sender.run(endpoints(2), 1.0)
    remote = [to for _, to in sender.sent if to not in endpoints(2)]
    assert len(sender.sent) == 2 + HOSTS_PER_HEARTBEAT
    assert set(remote) <= set(endpoints(5, net=1))


def test_a_full_sample_replaces_only_hosts_that_are_silent():
    hosts = RemoteHosts(random.Random(1))
    first, late = endpoints(MAX_REMOTE_HOSTS), endpoints(1, net=2)
    for endpoint in first:
        hosts.on_heartbeat(endpoint, 1.0)
    hosts.learn(late, 1.0 + REPLACED_AFTER_S - 0.1)
    assert len(hosts) == MAX_REMOTE_HOSTS
    assert all(late[0] not in hosts.choose() for _ in range(100))
    hosts.learn(late, 1.0 + REPLACED_AFTER_S)
    assert len(hosts) == MAX_REMOTE_HOSTS
    assert any(late[0] in hosts.choose() for _ in range(200))
