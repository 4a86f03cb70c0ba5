"""Reports between hosts over a network that loses, repeats, reorders and cuts off."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from banyanline.core.steering.peer_membership import MAX_RETRY_S, PeerMembership
from banyanline.core.steering.peer_reports import (
    REPORT_LIFETIME_S,
    SAMPLE_LIFETIME_S,
    HostReport,
    PeerReports,
    UpstreamSample,
)
from banyanline.core.steering.report_order import SUPERSEDED_S
from banyanline.core.types import Endpoint

UPSTREAMS = ("orders-1", "orders-2", "sheets-1")
HOSTS = 3
MAX_DELAYED = 20

hosts = st.integers(0, HOSTS - 1)
samples = st.lists(
    st.builds(
        UpstreamSample,
        st.sampled_from(UPSTREAMS),
        in_flight=st.floats(0.0, 50.0),
        open_flows=st.integers(0, 2000),
        cold_openings=st.integers(0, 3),
    ),
    max_size=3,
    unique_by=lambda sample: sample.upstream,
)


class SimulatedHost:
    """A host's table of peers, and the start and sequence of its own reports."""

    def __init__(self, idx: int) -> None:
        self.name = f"host-{idx}"
        self.endpoint = Endpoint(f"10.0.0.{1 + idx}", 7720)
        self.rng = random.Random(idx)
        self.restart(0.0)

    def restart(self, now: float) -> None:
        """Start again, with the endpoint of one other host from a seed."""
        self.start = self.rng.getrandbits(32)
        self.sequence = 0
        self.started_at = now
        self.peers = PeerReports()
        self.membership = PeerMembership(self.endpoint, self.rng)

    def report(self, upstreams: list[UpstreamSample]) -> HostReport:
        self.sequence += 1
        return HostReport(self.name, "north", self.start, self.sequence, upstreams=tuple(upstreams))


class ReportNetwork(RuleBasedStateMachine):
    """Hosts that exchange reports; what the network holds back may arrive at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.hosts = [SimulatedHost(idx) for idx in range(HOSTS)]
        for host in self.hosts:
            host.membership.learn([self.hosts[0].endpoint], self.now)
        self.cut_off: set[int] = set()
        self.delayed: list[tuple[int, int, HostReport]] = []

    @rule(sender=hosts, upstreams=samples, fate=st.lists(st.integers(0, 3), min_size=3, max_size=3))
    def send(self, sender: int, upstreams: list[UpstreamSample], fate: list[int]) -> None:
        """Send a report: for each receiver it is lost, delayed, delivered, or delivered twice."""
        report = self.hosts[sender].report(upstreams)
        for receiver in self.destinations(sender):
            if fate[receiver] == 1 and len(self.delayed) < MAX_DELAYED:
                self.delayed.append((sender, receiver, report))
            for _ in range(fate[receiver] - 1):
                self.deliver(sender, receiver, report)

    @rule(chosen=st.integers(0, MAX_DELAYED))
    def deliver_delayed(self, chosen: int) -> None:
        if chosen < len(self.delayed):
            self.deliver(*self.delayed.pop(chosen))

    @rule(host=hosts)
    def cut(self, host: int) -> None:
        self.cut_off.add(host)

    @rule()
    def heal(self) -> None:
        self.cut_off.clear()

    @rule(host=hosts)
    def restart(self, host: int) -> None:
        self.hosts[host].restart(self.now)
        self.hosts[host].membership.learn([self.hosts[(host + 1) % HOSTS].endpoint], self.now)

    @rule(seconds=st.floats(0.1, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for host in self.hosts:
            host.peers.expire(self.now)

    @rule()
    def all_is_well_for_a_while(self) -> None:
        """Without faults each host soon uses the latest report of each other host."""
        self.cut_off.clear()
        self.delayed.clear()
        for _ in range(int(max(MAX_RETRY_S, SUPERSEDED_S)) + 3):
            self.wait(1.0)
            for sender in range(HOSTS):
                sample = UpstreamSample(UPSTREAMS[0], 0.5, sender)
                report = self.hosts[sender].report([sample])
                for receiver in self.destinations(sender):
                    self.deliver(sender, receiver, report)
        for idx, host in enumerate(self.hosts):
            others = [other for other in range(HOSTS) if other != idx]
            assert sorted(host.peers.hosts) == [self.hosts[other].name for other in others]
            assert host.peers.load(UPSTREAMS[0]) == (0.5 * len(others), sum(others), 0)
            assert host.peers.load(UPSTREAMS[1]) == (0.0, 0, 0)

    @invariant()
    def totals_are_the_sums_of_the_samples_in_use(self) -> None:
        for host in self.hosts:
            for upstream in UPSTREAMS:
                load, used = host.peers.load(upstream), list(host.peers.samples(upstream))
                assert min(load) >= 0
                assert abs(load.in_flight - sum(each.in_flight for each, _ in used)) < 0.01
                assert load.open_flows == sum(each.open_flows for each, _ in used)
                assert load.cold_openings == sum(each.cold_openings for each, _ in used)

    @invariant()
    def nothing_old_is_in_use(self) -> None:
        for host in self.hosts:
            for upstream in UPSTREAMS:
                for _, received_at in host.peers.samples(upstream):
                    assert self.now - received_at < max(REPORT_LIFETIME_S, SAMPLE_LIFETIME_S)

    def destinations(self, sender: int) -> list[int]:
        due = self.hosts[sender].membership.due(self.now)
        return [idx for idx, host in enumerate(self.hosts) if host.endpoint in due]

    def deliver(self, sender: int, receiver: int, report: HostReport) -> None:
        if {sender, receiver} & self.cut_off:
            return
        source, host = self.hosts[sender], self.hosts[receiver]
        assert host.membership.on_report(report.host, source.endpoint, self.now)
        host.membership.learn(source.membership.recent(self.now), self.now)
        before = host.peers.load(UPSTREAMS[0])
        if not host.peers.put(report, self.now):
            assert host.peers.load(UPSTREAMS[0]) == before


ReportNetwork.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestReportNetwork = ReportNetwork.TestCase
