"""Paces the openings to upstreams that have just started or recovered.

Such an upstream carries nothing, so that each host would send its next flows there, all
hosts at once. Instead the hosts share a window of openings per round trip. Each one takes
its turn, at a random time at first, and then after as many round trips as the window takes
for one opening of every host. A host on its turn prefers the upstream until it has as many
of its flows there as at others.

A host that does not know how many hosts share an upstream cannot take turns: it sends
nothing to cold upstreams while there are others, and does not pace them afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.check_schedule import CONFIRM_TIMEOUT_S
from banyanline.core.steering.host_count import HostCount, count_hosts
from banyanline.core.steering.opening_window import (
    OpeningWindow,
    PaceCause,
    PaceChange,
    PaceStep,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.counters import SteeringCounters
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds

WAIT_COST = 12.0
"""Cost of an upstream out of turn, in requests in flight: others are used unless overloaded."""

TURN_COST = -0.25
"""Cost of an upstream on this host's turn: it is preferred to others with as little load."""

FREE_WINDOW_PER_SLOT = 2.0
"""A larger window restrains nothing: an upstream answers one request a slot and round trip."""

LATE_RATIO = 3.0
"""Ratio to the median response time from which an answer is late; cold upstreams are slower."""

UNKNOWN_SLOWNESS = 2.0
"""Assumed ratio of response time to the median before the first response."""

DEFAULT_ROUND_TRIP_S = 0.1
"""Assumed until the median response time of the service is known."""

MIN_ROUND_TRIP_S = 0.02

SILENCE_S = 1.0
"""Silence after which an upstream has to recover; a lost packet is answered sooner."""

MAX_PACED_SHARE = 0.5
"""If more of a service's upstreams are paced, the others cannot carry the load meanwhile."""

MAX_PACED_S = 10.0
"""After this time an upstream that is still slow is left to placement by response time."""


class _Moment(NamedTuple):
    """What a decision depends on besides one upstream.

    ``upstreams`` are the service's usable ones, and ``median_s`` is its median response time.
    """

    now: Seconds
    upstreams: Sequence[Upstream]
    median_s: Seconds
    hosts: HostCount


class Pace:
    """Decides when this host may send openings to upstreams that start or recover."""

    def __init__(
        self,
        catalog: Catalog,
        data_centre: DataCentreName,
        peers: PeerReports,
        rng: random.Random,
        counters: SteeringCounters,
    ) -> None:
        self._catalog = catalog
        self._data_centre = data_centre
        self._peers = peers
        self._rng = rng
        self._counters = counters
        self._windows: dict[Upstream, OpeningWindow] = {}
        self._causes: dict[Upstream, PaceCause] = {}
        self._changes: list[PaceChange] = []

    @property
    def windows(self) -> Mapping[Upstream, OpeningWindow]:
        """The windows in use, by upstream."""
        return self._windows

    def take_changes(self) -> list[PaceChange]:
        """Return the windows that have begun or ended since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def costs(
        self, upstreams: Sequence[Upstream], median_response_s: Seconds | None, now: Seconds
    ) -> dict[Upstream, float]:
        """Return the extra costs of the paced ones of a service's usable upstreams.

        Cold upstreams that are not in the result get flows only if there are no others.
        """
        paced = [each for each in upstreams if self._is_paced(each, now)]
        if not paced:
            return {}
        hosts = count_hosts(self._catalog, self._peers)
        if hosts is None:
            self._causes.clear()
            return {}
        if len(paced) > MAX_PACED_SHARE * len(upstreams):
            return dict.fromkeys(paced, 0.0)
        median_s = max(MIN_ROUND_TRIP_S, median_response_s or DEFAULT_ROUND_TRIP_S)
        moment = _Moment(now, upstreams, median_s, hosts)
        costs = {each: self._cost(each, moment) for each in paced}
        return {each: cost for each, cost in costs.items() if each in self._windows}

    def on_opening(self, upstream: Upstream, now: Seconds) -> None:
        """Record that this host sends an opening packet to an upstream."""
        window = self._windows.get(upstream)
        if window is not None:
            window.on_opening(now)

    def on_tick(self, now: Seconds) -> None:
        """Drop the windows of upstreams that get no new flows any more."""
        for upstream in [each for each in self._windows if not each.accepts_flows]:
            self._end(upstream, now)
        self._causes = {each: cause for each, cause in self._causes.items() if each.accepts_flows}

    def _is_paced(self, upstream: Upstream, now: Seconds) -> bool:
        """Whether an upstream has a window or gets one now.

        One that has failed gets it when it answers again, and one that has a cold limit
        after its cold period, as the limit is lower than any window.
        """
        if _has_failed(upstream, now):
            self._causes[upstream] = PaceCause.RECOVERED
            if upstream in self._windows:
                self._end(upstream, now)
            return False
        if upstream.is_cold(now):
            if self._catalog.cold_rate(upstream.entry.service) > 0.0:
                self._causes[upstream] = PaceCause.STARTED
                return False
            if upstream not in self._windows:
                self._causes.setdefault(upstream, PaceCause.STARTED)
        return upstream in self._windows or upstream in self._causes

    def _cost(self, upstream: Upstream, moment: _Moment) -> float:
        """Return the extra cost of an upstream; ends a window that is not needed any more."""
        now = moment.now
        window = self._windows.get(upstream) or self._begin(upstream, moment)
        if not upstream.is_cold(now) and now - window.began_at >= MAX_PACED_S:
            self._end(upstream, now)
            return 0.0
        round_trip_s = _round_trip_s(upstream, moment)
        if now - window.sent_at < window.turn_s(self._hosts(upstream, moment), round_trip_s):
            return WAIT_COST
        if window.awaits_answer and not self._judge(upstream, window, moment):
            return WAIT_COST
        if not upstream.is_cold(now) and self._is_over(upstream, window, moment):
            self._end(upstream, now)
            return 0.0
        if self._others_in_window(upstream, round_trip_s) >= window.size:
            return WAIT_COST
        return TURN_COST if upstream.open_flows < window.target else 0.0

    def _judge(self, upstream: Upstream, window: OpeningWindow, moment: _Moment) -> bool:
        """Resize the window by its latest opening; return whether the next one may be sent."""
        late_s = LATE_RATIO * moment.median_s
        is_answered = upstream.failure_detector.responded_at >= window.sent_at
        if not is_answered and moment.now - window.sent_at < max(late_s, CONFIRM_TIMEOUT_S):
            return False
        expected_s = upstream.responses.expected_s(moment.now) or 0.0
        is_prompt = is_answered and expected_s < late_s
        step = window.resize(is_prompt=is_prompt, max_size=_free_window(upstream))
        self._counters.pace_steps[step] += 1
        return is_prompt

    def _is_over(self, upstream: Upstream, window: OpeningWindow, moment: _Moment) -> bool:
        """Whether an upstream carries what others do, or its window restrains nothing."""
        if window.size >= _free_window(upstream):
            return True
        if not self._peers.hosts:
            return 0 < window.target <= upstream.open_flows
        return self._open_flows(upstream) >= self._usual(upstream, moment, self._open_flows)

    def _others_in_window(self, upstream: Upstream, round_trip_s: Seconds) -> float:
        """Return what other hosts have in flight, or open in a round trip, if that is more."""
        load = self._peers.load(upstream.name)
        return max(load.in_flight, load.cold_openings * round_trip_s)

    def _usual(
        self, upstream: Upstream, moment: _Moment, flows: Callable[[Upstream], int]
    ) -> float:
        """Return the flows that an upstream would have if it carried what others nearby do."""
        others = [
            each
            for each in moment.upstreams
            if each not in self._windows and each.entry.data_centre == upstream.entry.data_centre
        ]
        slots = sum(each.entry.slots for each in others)
        return sum(map(flows, others)) * upstream.entry.slots / slots if slots else 0.0

    def _open_flows(self, upstream: Upstream) -> int:
        """Return the open flows of all hosts that report."""
        return upstream.open_flows + self._peers.load(upstream.name).open_flows

    def _hosts(self, upstream: Upstream, moment: _Moment) -> int:
        """Return the number of hosts that take turns at an upstream.

        Those of its data centre do; the others, which rarely need it, count all.
        """
        is_here = upstream.entry.data_centre == self._data_centre
        return moment.hosts.here if is_here else moment.hosts.total

    def _begin(self, upstream: Upstream, moment: _Moment) -> OpeningWindow:
        """Begin a window; this host's part is rounded at random, so that all parts add up.

        The window of a cold upstream began when this host learned of it, as many openings of
        others may have passed before this host's next one.
        """
        usual = self._usual(upstream, moment, _own_flows)
        target = int(usual + self._rng.random())
        is_cold = upstream.is_cold(moment.now)
        began_at = upstream.cold_until - upstream.entry.cold_for_s if is_cold else moment.now
        window = self._windows[upstream] = OpeningWindow(
            self._causes.pop(upstream),
            began_at,
            target=target,
            willing_share=min(1.0, usual) if target else 1.0,
        )
        turn_s = window.turn_s(self._hosts(upstream, moment), _round_trip_s(upstream, moment))
        window.sent_at = began_at - turn_s * self._rng.random()
        self._record(upstream, window, PaceStep.BEGUN, moment.now)
        return window

    def _end(self, upstream: Upstream, now: Seconds) -> None:
        window = self._windows.pop(upstream)
        self._record(upstream, window, PaceStep.ENDED, now)

    def _record(
        self, upstream: Upstream, window: OpeningWindow, step: PaceStep, now: Seconds
    ) -> None:
        self._counters.pace_steps[step] += 1
        age_s = round(now - window.began_at, 3)
        change = PaceChange(upstream.name, window.cause, step, window.size, age_s)
        self._changes.append(change)


def _has_failed(upstream: Upstream, now: Seconds) -> bool:
    """Whether an upstream has to recover before it gets flows again."""
    detector = upstream.failure_detector
    return detector.has_failed_check or detector.silent_for_s(now) >= SILENCE_S


def _free_window(upstream: Upstream) -> float:
    return FREE_WINDOW_PER_SLOT * upstream.entry.slots


def _own_flows(upstream: Upstream) -> int:
    return upstream.open_flows


def _round_trip_s(upstream: Upstream, moment: _Moment) -> Seconds:
    """Return the time in which an upstream answers an opening and its request."""
    expected_s = upstream.responses.expected_s(moment.now)
    if expected_s is None:
        return UNKNOWN_SLOWNESS * moment.median_s
    return max(moment.median_s, expected_s)
