"""Learns from the reports of other hosts how fast upstreams and data centres respond.

A report holds the number and the mean time of the responses of each upstream since the
report before it. Both are summed over all hosts, so that the estimate of an upstream does
not depend on the few responses that one host observes.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import TypeAlias

    from banyanline.core.steering.peer_reports import HostReport, PeerReports, UpstreamSample
    from banyanline.core.steering.upstreams import Upstream, UpstreamTable
    from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName, UpstreamName

    Group: TypeAlias = tuple[ServiceName, DataCentreName]

MEMORY_S = 10.0
"""Time in which the weight of a response falls to a third."""

PRIOR_RESPONSES = 10.0
"""Responses at the mean of its group that each upstream is credited with."""

MIN_RESPONSES = 1.0
"""An upstream with a smaller sum of weights has the speed 1."""

HYSTERESIS = 0.1
"""Smallest relative change of a speed; a hundred responses vary by that much."""

MIN_SPEED = 0.25
MAX_SPEED = 4.0

QUEUED_PER_SLOT = 2.0
"""Load per slot from which fast responses prove nothing: they may be rejections."""


class ResponseSum(NamedTuple):
    """The number of responses and the sum of their times; both may be weighted."""

    responses: float = 0.0
    total_s: Seconds = 0.0

    @property
    def mean_s(self) -> Seconds:
        """The mean response time.

        >>> ResponseSum(4, 0.2).mean_s
        0.05
        """
        return self.total_s / self.responses

    def plus(self, responses: float, total_s: Seconds) -> ResponseSum:
        """Return the sum with further responses."""
        return ResponseSum(self.responses + responses, self.total_s + total_s)

    def scaled(self, weight: float) -> ResponseSum:
        """Return the sum with another weight."""
        return ResponseSum(self.responses * weight, self.total_s * weight)


class PeerResponses:
    """Speeds of upstreams relative to their group, and the latest mean response times of groups.

    A group is the upstreams of one service in one data centre.
    """

    def __init__(self) -> None:
        self._sums: dict[UpstreamName, ResponseSum] = {}
        self._speeds: dict[UpstreamName, float] = {}
        self._groups: dict[Group, ResponseSum] = {}
        self._used: dict[HostName, tuple[int, int]] = {}
        self._updated_at: Seconds = 0.0

    def speed(self, upstream: UpstreamName) -> float:
        """Return an upstream's speed relative to the mean of its group, 1 if unknown."""
        return self._speeds.get(upstream, 1.0)

    def mean_s(self, service: ServiceName, data_centre: DataCentreName) -> Seconds | None:
        """Return the mean response time in the latest reports, or None without responses."""
        group = self._groups.get((service, data_centre))
        return group.mean_s if group else None

    def update(self, peers: PeerReports, upstreams: UpstreamTable, now: Seconds) -> None:
        """Add the responses of new reports; call this about once a second."""
        weight = math.exp((self._updated_at - now) / MEMORY_S)
        self._updated_at = now
        self._sums = {name: each.scaled(weight) for name, each in self._sums.items()}
        reports = [report for report, _ in peers.reports]
        self._groups = _sum_groups(reports, upstreams)
        for report in reports:
            if self._used.get(report.host) != (report.start, report.sequence):
                self._add(report, peers, upstreams)
        self._used = {each.host: (each.start, each.sequence) for each in reports}
        self._update_speeds(upstreams)

    def _add(self, report: HostReport, peers: PeerReports, upstreams: UpstreamTable) -> None:
        for upstream, sample in _known_samples(report, upstreams):
            is_queued = (
                peers.load(upstream.name).in_flight >= QUEUED_PER_SLOT * upstream.entry.slots
            )
            if is_queued and sample.response_s < self._groups[group_of(upstream)].mean_s:
                continue
            known = self._sums.get(upstream.name, ResponseSum())
            total_s = sample.responses * sample.response_s
            self._sums[upstream.name] = known.plus(sample.responses, total_s)

    def _update_speeds(self, upstreams: UpstreamTable) -> None:
        groups: defaultdict[Group, dict[UpstreamName, ResponseSum]] = defaultdict(dict)
        for name, known in self._sums.items():
            upstream = upstreams.get(name)
            if upstream is not None and known.responses >= MIN_RESPONSES:
                groups[group_of(upstream)][name] = known
        self._sums = {name: known for group in groups.values() for name, known in group.items()}
        self._speeds = {
            name: _damped(self.speed(name), speed)
            for group in groups.values()
            for name, speed in _speeds(group)
        }


def _speeds(group: dict[UpstreamName, ResponseSum]) -> Iterable[tuple[UpstreamName, float]]:
    """Return the speed of each upstream of a group, with the credited responses."""
    mean_s = sum(each.mean_s for each in group.values()) / len(group)
    for name, known in group.items():
        credited = known.plus(PRIOR_RESPONSES, PRIOR_RESPONSES * mean_s)
        yield name, min(max(mean_s / credited.mean_s, MIN_SPEED), MAX_SPEED)


def _damped(used: float, estimate: float) -> float:
    """Return the speed to use from now on."""
    return used if abs(estimate - used) < HYSTERESIS * used else estimate


def _sum_groups(
    reports: Iterable[HostReport], upstreams: UpstreamTable
) -> dict[Group, ResponseSum]:
    groups: defaultdict[Group, ResponseSum] = defaultdict(ResponseSum)
    for report in reports:
        for upstream, sample in _known_samples(report, upstreams):
            group = group_of(upstream)
            total_s = sample.responses * sample.response_s
            groups[group] = groups[group].plus(sample.responses, total_s)
    return groups


def _known_samples(
    report: HostReport, upstreams: UpstreamTable
) -> Iterable[tuple[Upstream, UpstreamSample]]:
    """Return the samples with responses of upstreams that this host knows."""
    for sample in report.upstreams:
        upstream = upstreams.get(sample.upstream) if sample.responses else None
        if upstream is not None:
            yield upstream, sample


def group_of(upstream: Upstream) -> Group:
    """Return the service and the data centre of an upstream."""
    return upstream.entry.service, upstream.entry.data_centre
