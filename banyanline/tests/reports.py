"""Simulated hosts of one data centre that exchange reports."""

from __future__ import annotations

import random

from banyanline.core.steering.model import UpstreamEntry
from banyanline.core.steering.peer_placement import MIN_PEERS
from banyanline.core.steering.peer_reports import HostReport, UpstreamSample
from banyanline.tests.steering import HERE, Host, packet


def report(
    *samples: UpstreamSample, host: str = "front-2", sequence: int = 1, data_centre: str = HERE
) -> HostReport:
    return HostReport(host, data_centre, 1, sequence, (), samples)


def hear_all(host: Host, latest: HostReport) -> None:
    """Let a host hear a report, and other hosts that have no load."""
    host.steering.peers.put(latest, host.now)
    for number in range(1, MIN_PEERS):
        idle = report(host=f"idle-{number}", sequence=latest.sequence)
        host.steering.peers.put(idle, host.now)


class Fleet:
    """Hosts that see the same upstreams; routers spread the openings over the hosts."""

    def __init__(
        self, count: int, *entries: UpstreamEntry, seed: int = 1, data_centre: str = HERE
    ) -> None:
        self.hosts = [
            Host(*entries, seed=seed + number, data_centre=data_centre) for number in range(count)
        ]
        self.rng = random.Random(seed)
        self._sequence = 0

    def advance(self, seconds: float) -> None:
        for host in self.hosts:
            host.now += seconds

    def exchange(self, served: dict[str, UpstreamSample] | None = None) -> None:
        """Send the report of each host to all others.

        ``served`` holds the requests in flight and the responses of each upstream, of which
        each host reports an equal part.
        """
        self._sequence += 1
        reports = [self._report(number, served or {}) for number in range(len(self.hosts))]
        for number, host in enumerate(self.hosts):
            for other, each in enumerate(reports):
                if other != number:
                    host.steering.peers.put(each, host.now)
            host.steering.on_tick(host.now)

    def open(self, flow: int) -> str:
        """Open a flow through a random host; return its upstream."""
        return self.rng.choice(self.hosts).open(flow)

    def send(self, flow: int, name: str, *, ends: bool = False, everywhere: bool = False) -> None:
        """Send a packet of an open flow through a random host, or through each."""
        for host in self.hosts if everywhere else [self.rng.choice(self.hosts)]:
            host.send(packet(flow, cookie=host.cookie(name), ends=ends))

    def _report(self, number: int, served: dict[str, UpstreamSample]) -> HostReport:
        host = self.hosts[number]
        samples = []
        for upstream in host.catalog.upstreams:
            sample = served.get(upstream.name, UpstreamSample(upstream.name))
            samples.append(
                sample._replace(
                    in_flight=sample.in_flight / len(self.hosts),
                    open_flows=upstream.open_flows,
                    responses=sample.responses // len(self.hosts),
                )
            )
        return report(*samples, host=f"front-{number}", sequence=self._sequence)
