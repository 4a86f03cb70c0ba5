"""Estimates from other hosts' reports how fast upstreams and data centres respond.

A report holds the number and the mean time of each upstream's responses since the report
before it. Both are summed over all hosts, as a single host observes few responses. The speed
of an upstream depends on its service time only: the time in its queue, which is estimated
from the requests in flight beyond its slots (Little's law), is left out.
"""

from __future__ import annotations

import math
from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.peer_reports import NO_RESPONSES, ResponseSum

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import TypeAlias

    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream, UpstreamTable
    from banyanline.core.types import DataCentreName, Seconds, ServiceName, UpstreamName

    Group: TypeAlias = tuple[ServiceName, DataCentreName]

RESPONSES_TIME_CONSTANT_S = 10.0
"""Time constant of the exponential decay of responses' weights."""

PRIOR_RESPONSES = 10.0
"""Responses with the median time of the group that are added to each upstream's sum.

So the speed of an upstream with few responses stays near 1.
"""

GROUP_LIFETIME_S = 2.5
"""How long the mean response time of a group is used; longer than two report intervals."""

MIN_RESPONSES = 1.0
"""An upstream with a smaller sum of weights counts as one without responses: its speed is 1."""

HYSTERESIS = 0.1
"""Relative change from which a new speed is used; smaller ones are sampling errors."""

MIN_SPEED = 0.25
MAX_SPEED = 2.5
"""Limits of a speed, so that no upstream's share depends on an estimate alone."""

MAX_PLAUSIBLE_SPEED = 3.0
"""An upstream with a higher speed may answer with errors; its speed counts as 1."""

REJECTION_SUSPECT_LOAD_PER_SLOT = 2.0
"""Requests in flight per slot from which fast responses are ignored, as they may be rejections."""


class _GroupMean(NamedTuple):
    """The mean response time of a group in reports that were added at ``updated_at``."""

    response_s: Seconds
    updated_at: Seconds


class PeerResponses:
    """Speeds of upstreams relative to their group, and the latest mean response times of groups.

    A group is the upstreams of one service in one data centre.
    """

    def __init__(self) -> None:
        self._sums: dict[UpstreamName, ResponseSum] = {}
        self._speeds: dict[UpstreamName, float] = {}
        self._groups: dict[Group, _GroupMean] = {}
        self._updated_at: Seconds = 0.0

    def speed(self, upstream: UpstreamName) -> float:
        """Return an upstream's speed relative to the median of its group, 1 if unknown."""
        return self._speeds.get(upstream, 1.0)

    def mean_s(self, service: ServiceName, data_centre: DataCentreName) -> Seconds | None:
        """Return the mean response time in the latest reports, or None without responses."""
        known = self._groups.get((service, data_centre))
        return known.response_s if known else None

    def update(self, peers: PeerReports, upstreams: UpstreamTable, now: Seconds) -> None:
        """Add the responses of the reports since the last call."""
        weight = math.exp((self._updated_at - now) / RESPONSES_TIME_CONSTANT_S)
        self._updated_at = now
        self._sums = {name: each.scaled(weight) for name, each in self._sums.items()}
        latest = {
            upstream: responses
            for name, responses in peers.take_responses().items()
            if (upstream := upstreams.get(name)) is not None
        }
        groups: defaultdict[Group, ResponseSum] = defaultdict(ResponseSum)
        for upstream, responses in latest.items():
            groups[group_of(upstream)] = groups[group_of(upstream)].plus(*responses)
        for upstream, responses in latest.items():
            per_slot = peers.load(upstream.name).in_flight / upstream.entry.slots
            is_fast = responses.mean_s < groups[group_of(upstream)].mean_s
            if per_slot < REJECTION_SUSPECT_LOAD_PER_SLOT or not is_fast:
                known = self._sums.get(upstream.name, NO_RESPONSES)
                service_time_s = responses.total_s / max(1.0, per_slot)
                self._sums[upstream.name] = known.plus(responses.responses, service_time_s)
        self._update_groups(groups, now)
        self._update_speeds(upstreams)

    def _update_groups(self, groups: dict[Group, ResponseSum], now: Seconds) -> None:
        """Use the latest mean response times; those of groups without responses expire."""
        for group, responses in groups.items():
            self._groups[group] = _GroupMean(responses.mean_s, now)
        self._groups = {
            group: known
            for group, known in self._groups.items()
            if now - known.updated_at < GROUP_LIFETIME_S
        }

    def _update_speeds(self, upstreams: UpstreamTable) -> None:
        groups: defaultdict[Group, dict[UpstreamName, ResponseSum]] = defaultdict(dict)
        for name, known in self._sums.items():
            upstream = upstreams.get(name)
            if upstream is not None and known.responses >= MIN_RESPONSES:
                groups[group_of(upstream)][name] = known
        self._sums = {name: known for group in groups.values() for name, known in group.items()}
        self._speeds = {
            name: _with_hysteresis(self.speed(name), speed)
            for group in groups.values()
            for name, speed in _speeds(group)
        }


def _speeds(group: dict[UpstreamName, ResponseSum]) -> Iterable[tuple[UpstreamName, float]]:
    """Return the speed of each upstream of a group, with ``PRIOR_RESPONSES`` added."""
    median_s = median(each.mean_s for each in group.values())
    for name, known in group.items():
        credited = known.plus(PRIOR_RESPONSES, PRIOR_RESPONSES * median_s)
        is_plausible = 0.0 < median_s <= MAX_PLAUSIBLE_SPEED * known.mean_s
        speed = median_s / credited.mean_s if is_plausible else 1.0
        yield name, min(max(speed, MIN_SPEED), MAX_SPEED)


def _with_hysteresis(previous: float, estimate: float) -> float:
    """Return the estimate if it differs enough from the previous speed, else the previous one."""
    return previous if abs(estimate - previous) < HYSTERESIS * previous else estimate


def group_of(upstream: Upstream) -> Group:
    """Return the service and the data centre of an upstream."""
    return upstream.entry.service, upstream.entry.data_centre
