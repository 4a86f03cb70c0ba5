"""Learns from the reports of other hosts how fast upstreams and data centres respond.

A report holds the number and the mean time of the responses of each upstream since the
report before it. Both are summed over all hosts, so that the estimate of an upstream does
not depend on the few responses that one host observes. The time in queues, which depends
on the load, is left out of the speed: it is that of the requests in flight beyond the slots.
"""

from __future__ import annotations

import math
from collections import defaultdict
from statistics import median
from typing import TYPE_CHECKING

from banyanline.core.steering.peer_reports import NO_RESPONSES, ResponseSum

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import TypeAlias

    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream, UpstreamTable
    from banyanline.core.types import DataCentreName, Seconds, ServiceName, UpstreamName

    Group: TypeAlias = tuple[ServiceName, DataCentreName]

MEMORY_S = 10.0
"""Time in which the weight of a response falls to a third."""

PRIOR_RESPONSES = 10.0
"""Responses at the median of its group that each upstream is credited with."""

GROUP_LIFETIME_S = 2.5
"""How long the mean response time of a group is used; one or two reports may be late."""

MIN_RESPONSES = 1.0
"""An upstream with a smaller sum of weights has the speed 1."""

HYSTERESIS = 0.1
"""Smallest relative change of a speed; a hundred responses vary by that much."""

MIN_SPEED = 0.25
MAX_SPEED = 2.5

PLAUSIBLE_SPEED = 3.0
"""An upstream that responds faster than this may answer with errors; it counts as usual."""

QUEUED_PER_SLOT = 2.0
"""Load per slot from which fast responses prove nothing: they may be rejections."""


class PeerResponses:
    """Speeds of upstreams relative to their group, and the latest mean response times of groups.

    A group is the upstreams of one service in one data centre.
    """

    def __init__(self) -> None:
        self._sums: dict[UpstreamName, ResponseSum] = {}
        self._speeds: dict[UpstreamName, float] = {}
        self._groups: dict[Group, tuple[Seconds, Seconds]] = {}
        self._updated_at: Seconds = 0.0

    def speed(self, upstream: UpstreamName) -> float:
        """Return an upstream's speed relative to the median of its group, 1 if unknown."""
        return self._speeds.get(upstream, 1.0)

    def mean_s(self, service: ServiceName, data_centre: DataCentreName) -> Seconds | None:
        """Return the mean response time in the latest reports, or None without responses."""
        known = self._groups.get((service, data_centre))
        return known[0] if known else None

    def update(self, peers: PeerReports, upstreams: UpstreamTable, now: Seconds) -> None:
        """Add the responses of the reports since the last call."""
        weight = math.exp((self._updated_at - now) / MEMORY_S)
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
            if per_slot < QUEUED_PER_SLOT or not is_fast:
                known = self._sums.get(upstream.name, NO_RESPONSES)
                work_s = responses.total_s / max(1.0, per_slot)
                self._sums[upstream.name] = known.plus(responses.responses, work_s)
        self._keep_groups(groups, now)
        self._update_speeds(upstreams)

    def _keep_groups(self, groups: dict[Group, ResponseSum], now: Seconds) -> None:
        """Use the latest mean response times; those of groups without responses expire."""
        for group, responses in groups.items():
            self._groups[group] = (responses.mean_s, now)
        self._groups = {
            group: known
            for group, known in self._groups.items()
            if now - known[1] < GROUP_LIFETIME_S
        }

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
    usual_s = median(each.mean_s for each in group.values())
    for name, known in group.items():
        credited = known.plus(PRIOR_RESPONSES, PRIOR_RESPONSES * usual_s)
        is_plausible = usual_s <= PLAUSIBLE_SPEED * known.mean_s
        speed = usual_s / credited.mean_s if is_plausible else 1.0
        yield name, min(max(speed, MIN_SPEED), MAX_SPEED)


def _damped(used: float, estimate: float) -> float:
    """Return the speed to use from now on."""
    return used if abs(estimate - used) < HYSTERESIS * used else estimate


def group_of(upstream: Upstream) -> Group:
    """Return the service and the data centre of an upstream."""
    return upstream.entry.service, upstream.entry.data_centre
