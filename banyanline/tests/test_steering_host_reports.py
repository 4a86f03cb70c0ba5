"""Reports between hosts: their content, size, order and encoding, and who gets them."""

from __future__ import annotations

import itertools
import random

import pytest

from banyanline.core.steering.failure_detection import CheckResult
from banyanline.core.steering.peer_membership import (
    MAX_PEERS,
    MAX_RETRY_S,
    PEER_LIFETIME_S,
    PeerMembership,
)
from banyanline.core.steering.peer_registry import REGISTRATION_LIFETIME_S, PeerRegistry
from banyanline.core.steering.peer_reports import (
    REPORT_LIFETIME_S,
    SAMPLE_LIFETIME_S,
    HostReport,
    PeerReports,
    ReachabilityCount,
    ServiceSample,
    UpstreamSample,
)
from banyanline.core.steering.report_budget import HEADER_BYTES, report_budget
from banyanline.core.steering.report_composer import HostIdentity, ReportComposer
from banyanline.core.steering.report_order import SUPERSEDED_S
from banyanline.core.types import Endpoint
from banyanline.net.steering.report_codec import (
    PREFIX,
    MalformedReport,
    ReceivedReport,
    ReportCodec,
    envelope_bytes,
)
from banyanline.tests.steering import SHEETS, Host, entry, opening, packet

IDENTITY = HostIdentity("front-1", "north", 7)
COOKIES = {f"orders-{number}": 2**32 - 1 - number for number in range(400)}
CODEC = ReportCodec(COOKIES.get, {cookie: name for name, cookie in COOKIES.items()}.get)
OWN = Endpoint("10.0.0.1", 7720)
OTHER = Endpoint("10.0.0.2", 7720)
BUSY = UpstreamSample("orders-1", 1.25, 3, 20, 0.0421, 0.0, None, 2)
FAILED = UpstreamSample("orders-2", failed_check_age_s=0.5)


def compose(composer: ReportComposer, now: float, max_bytes: int = 1000) -> HostReport:
    return composer.compose(now, max_bytes, CODEC.size)


def report(start: int, sequence: int, *samples: UpstreamSample) -> HostReport:
    return HostReport("front-2", "north", start, sequence, upstreams=samples)


def sampled(composed: HostReport) -> dict[str, UpstreamSample]:
    return {sample.upstream: sample for sample in composed.upstreams}


def size(composed: HostReport) -> int:
    return sum(map(CODEC.size, composed.services)) + sum(map(CODEC.size, composed.upstreams))


def test_a_report_contains_the_load_since_the_previous_one():
    host = Host(entry("orders-1"))
    composer = ReportComposer(host.steering, IDENTITY)
    cookie = host.cookie("orders-1")
    compose(composer, host.now)
    host.open(1)
    host.open(2)
    host.send(packet(1, cookie=cookie, data=10))
    host.now += 0.5
    host.send(packet(1, cookie=cookie, seq=1011, ack=600))
    host.send(packet(2, cookie=cookie, data=10))
    host.now += 0.5
    sample = sampled(compose(composer, host.now))["orders-1"]
    assert (sample.open_flows, sample.responses) == (2, 1)
    assert sample.in_flight == pytest.approx(1.0)
    assert sample.response_s == pytest.approx(0.5)
    assert sample.responded_age_s == pytest.approx(0.5)
    host.now += 1.0
    sample = sampled(compose(composer, host.now))["orders-1"]
    assert sample.in_flight == pytest.approx(1.0)
    assert sample.responses == 0


def test_a_report_contains_failed_checks_cold_openings_demand_and_refusals():
    host = Host(entry("orders-1"), entry("orders-2", cold_for_s=9.0))
    composer = ReportComposer(host.steering, IDENTITY, lambda service: service == "sheets")
    compose(composer, host.now)
    host.open(1)
    upstream = host.upstream("orders-1")
    host.now += 0.1
    upstream.failure_detector.begin_check(host.now)
    upstream.failure_detector.on_check(CheckResult.UNANSWERED, host.now, host.now)
    host.upstream("orders-2").cold_openings = 2
    host.now += 0.9
    host.send(opening(9, to=SHEETS))
    composed = compose(composer, host.now)
    assert sampled(composed)["orders-1"].failed_check_age_s == pytest.approx(0.9)
    assert sampled(composed)["orders-2"].cold_openings == 2
    assert sorted(composed.services) == [
        ServiceSample("orders", 1.0, 0.0),
        ServiceSample("sheets", 0.0, 1.0, is_out_of_reach=True),
    ]


def test_an_upstream_that_is_no_longer_used_is_reported_with_no_load():
    host = Host(entry("orders-1"))
    composer = ReportComposer(host.steering, IDENTITY)
    host.open(1)
    compose(composer, host.now)
    host.send(packet(1, cookie=host.cookie("orders-1"), ends=True))
    host.now += 1.0
    assert sampled(compose(composer, host.now))["orders-1"].open_flows == 0
    host.now += SAMPLE_LIFETIME_S
    assert sampled(compose(composer, host.now)) == {}


def test_reports_rotate_over_more_upstreams_than_fit():
    """A host carries flows of 120 upstreams; the busiest ones are reported more often."""
    host = Host(*(entry(f"orders-{number}") for number in range(120)))
    composer = ReportComposer(host.steering, IDENTITY)
    for number in range(120):
        host.upstream(f"orders-{number}").open_flows = 1
        if number < 5:
            host.upstream(f"orders-{number}").cold_openings = 9
    seen: dict[str, list[float]] = {}
    for _ in range(20):
        host.now += 1.0
        composed = compose(composer, host.now, max_bytes=280)
        assert size(composed) <= 280
        for name in sampled(composed):
            seen.setdefault(name, []).append(host.now)
    gaps = [after - before for at in seen.values() for before, after in itertools.pairwise(at)]
    assert len(seen) == 120
    assert max(gaps) < SAMPLE_LIFETIME_S


@pytest.mark.parametrize(
    ("arrivals", "in_flight"),
    [
        pytest.param([(7, 1, 1.0), (7, 2, 2.0)], 2.0, id="in order"),
        pytest.param([(7, 2, 2.0), (7, 1, 1.0)], 2.0, id="out of order"),
        pytest.param([(7, 2, 2.0), (7, 2, 2.0)], 2.0, id="repeated"),
        pytest.param([(7, 9, 2.0), (3, 1, 1.0)], 1.0, id="after a restart"),
        pytest.param([(7, 9, 2.0), (3, 1, 1.0), (7, 10, 2.0)], 1.0, id="late, of the start before"),
    ],
)
def test_the_latest_report_of_the_latest_start_counts(arrivals, in_flight):
    peers = PeerReports()
    for start, sequence, load in arrivals:
        peers.put(report(start, sequence, UpstreamSample("orders-1", load)), 1.0)
    assert peers.load("orders-1") == (in_flight, 0, 0)


def test_a_late_report_of_an_unknown_start_does_not_exclude_the_host_for_long():
    peers = PeerReports()
    for start, sequence in ((3, 5), (2, 1)):
        assert peers.put(report(start, sequence), 0.0)
    assert not peers.put(report(3, 6), 1.0)
    assert peers.put(report(3, 20), SUPERSEDED_S)


def test_samples_that_later_reports_omit_are_used_for_a_while():
    peers = PeerReports()
    first = HostReport("front-2", "north", 1, 1, (ServiceSample("orders", 2.0),), (BUSY,))
    peers.put(first, 0.0)
    for second in range(1, int(SAMPLE_LIFETIME_S)):
        peers.put(report(1, 1 + second, FAILED), float(second))
        peers.expire(float(second))
    assert peers.load("orders-1") == (1.25, 3, 2)
    assert peers.reachability("orders") == ReachabilityCount(1, 0)
    peers.expire(SAMPLE_LIFETIME_S)
    assert peers.load("orders-1") == (0.0, 0, 0)
    assert peers.reachability("orders") == ReachabilityCount(0, 0)
    assert peers.expire(SAMPLE_LIFETIME_S - 1.0 + REPORT_LIFETIME_S) == ["front-2"]
    assert not peers.samples("orders-2")


def test_a_report_is_encoded_compactly_and_decoded():
    sent = HostReport(*IDENTITY, 4, (ServiceSample("orders", 1.5, 0.25, True),), (BUSY, FAILED))
    data = CODEC.encode(sent, [OTHER])
    assert CODEC.decode(data) == ReceivedReport(sent, (OTHER,))
    assert len(data) <= envelope_bytes(sent.host, sent.data_centre, 1) + size(sent)
    assert CODEC.size(BUSY) <= 16


def test_upstreams_that_the_receiver_does_not_know_are_left_out():
    other = ReportCodec(COOKIES.get, {COOKIES["orders-2"]: "orders-2"}.get)
    decoded = other.decode(CODEC.encode(report(1, 1, BUSY, FAILED), []))
    assert isinstance(decoded, ReceivedReport)
    assert decoded.report.upstreams == (FAILED,)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"hr\x02\x90", id="another version"),
        pytest.param(PREFIX + b"\xc1", id="no MessagePack"),
        pytest.param(PREFIX + b"\x92\xa1a\xa1b", id="too short"),
        pytest.param(PREFIX + b"\x97\xa1a\xa1b\x01\xff\xc4\x00\x90\x90", id="negative sequence"),
    ],
)
def test_malformed_reports_are_refused(data):
    assert isinstance(CODEC.decode(data), MalformedReport)


@pytest.mark.parametrize(
    ("peers", "link_mbps", "share"),
    [
        pytest.param(30, 10.0, 0.02, id="31 hosts"),
        pytest.param(72, 10.0, 0.02, id="73 hosts"),
        pytest.param(100, 5.0, 0.03, id="100 peers on a small link"),
        pytest.param(249, 5.0, 0.1, id="the most peers"),
    ],
)
def test_reports_use_a_small_share_of_the_link(peers, link_mbps, share):
    budget = report_budget(peers, link_mbps)
    bytes_per_s = peers * (budget.max_bytes + HEADER_BYTES) / budget.interval_s
    assert bytes_per_s * 8.0 <= share * link_mbps * 1e6
    assert 2.0 * budget.interval_s <= REPORT_LIFETIME_S


def test_peers_that_are_not_heard_are_tried_rarely_and_then_forgotten():
    membership = PeerMembership(OWN, random.Random(1))
    membership.learn([OWN, OTHER], 0.0)
    assert membership.due(0.0) == [OTHER]
    attempts = [now for now in range(1, 61) if membership.due(float(now))]
    assert len(attempts) < 12
    assert max(b - a for a, b in itertools.pairwise(attempts)) <= MAX_RETRY_S
    assert membership.on_report("front-2", OTHER, 70.0)
    assert all(membership.due(70.0 + tenths / 10.0) for tenths in range(30))
    assert membership.due(70.0 + PEER_LIFETIME_S) == []
    assert len(membership) == 0


def test_a_host_is_not_accepted_from_another_address_while_it_is_heard():
    membership = PeerMembership(OWN, random.Random(1))
    assert membership.on_report("front-2", OTHER, 0.0)
    moved = Endpoint("10.0.0.9", 7720)
    assert not membership.on_report("front-2", moved, 1.0)
    assert membership.on_report("front-2", moved, REPORT_LIFETIME_S)


def test_hosts_that_are_heard_are_kept_when_there_are_too_many():
    membership = PeerMembership(OWN, random.Random(1))
    assert membership.on_report("front-2", OTHER, 0.0)
    membership.learn((Endpoint(f"10.1.{n // 200}.{n % 200}", 1) for n in range(MAX_PEERS)), 0.0)
    assert len(membership) == MAX_PEERS
    assert OTHER in membership.due(1.0)
    assert membership.recent(1.0) == [OTHER]


def test_a_seed_names_the_hosts_of_one_data_centre_that_asked_recently():
    registry = PeerRegistry()
    registry.register(OTHER, "north", 0.0)
    registry.register(OWN, "south", 30.0)
    assert registry.endpoints("north", 30.0) == [OTHER]
    assert registry.endpoints("north", REGISTRATION_LIFETIME_S) == []
    assert registry.endpoints("south", REGISTRATION_LIFETIME_S) == [OWN]


def test_a_peer_that_never_answers_is_tried_for_hours():
    """One direction of a link fails, while others keep naming the peer."""
    membership = PeerMembership(OWN, random.Random(1))
    attempts = 0
    for now in range(0, 12 * 3600, 5):
        membership.learn([OTHER], float(now))
        attempts += membership.due(float(now)) == [OTHER]
    assert attempts > 1_100
