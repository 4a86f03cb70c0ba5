"""Slow start: paces opening packets to upstreams that have just started or recovered.

Such an upstream has no load, so each host would send its next flows there, all hosts at the
same time. Instead all hosts together send one window of openings per round trip. With N hosts
each has a turn every N / window round trips, the first one at a random time. On its turn a
host prefers the upstream to others with as little load, until it has its part of the flows.

A host that doesn't know the number of hosts can't take turns: it sends nothing to a cold
upstream while there are others, and doesn't pace it afterwards.
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

OUT_OF_TURN_COST = 12.0
"""Extra cost of an upstream out of turn, in requests in flight.

It is used only if all other upstreams are overloaded.
"""

IN_TURN_COST = -0.25
"""Extra cost of an upstream on this host's turn, in requests in flight.

It is preferred to others with the same load.
"""

MAX_WINDOW_PER_SLOT = 2.0
"""Window in openings per round trip and slot at which pacing ends.

An upstream answers one request per slot and round trip, so a larger window limits nothing.
"""

LATE_RESPONSE_RATIO = 3.0
"""Ratio to the service's median response time from which an answer is late.

It leaves a margin, as cold upstreams are slower.
"""

UNKNOWN_RESPONSE_RATIO = 2.0
"""Assumed ratio of an upstream's response time to the median before its first response."""

DEFAULT_ROUND_TRIP_S = 0.1
"""Assumed until the median response time of the service is known."""

MIN_ROUND_TRIP_S = 0.02
"""Lower limit of a round trip, so that turns of fast services don't follow at once."""

FAILED_SILENCE_S = 1.0
"""Silence from which an upstream counts as failed; retransmissions of lost packets end sooner."""

MAX_PACED_SHARE = 0.5
"""If more of a service's upstreams are to be paced, none is: the others couldn't take the load."""

MAX_PACED_S = 10.0
"""Limit on the time of pacing; then placement by response time decides for slow upstreams."""


class _PacingContext(NamedTuple):
    """The inputs of a decision that are the same for all upstreams of a service.

    ``upstreams`` are the usable ones, and ``median_s`` is the median response time.
    """

    now: Seconds
    upstreams: Sequence[Upstream]
    median_s: Seconds
    hosts: HostCount


class OpeningPacer:
    """Paces this host's openings to upstreams that have started or recovered."""

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
        """Return the windows that have begun or ended since the last call, for the log."""
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
        context = _PacingContext(now, upstreams, median_s, hosts)
        costs = {each: self._cost(each, context) for each in paced}
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

    def _cost(self, upstream: Upstream, context: _PacingContext) -> float:
        """Return the extra cost of an upstream; ends its window if pacing is finished."""
        now = context.now
        window = self._windows.get(upstream) or self._begin(upstream, context)
        if not upstream.is_cold(now) and now - window.began_at >= MAX_PACED_S:
            self._end(upstream, now)
            return 0.0
        round_trip_s = _round_trip_s(upstream, context)
        if now - window.sent_at < window.turn_interval_s(
            self._participants(upstream, context), round_trip_s
        ):
            return OUT_OF_TURN_COST
        if window.awaits_answer and not self._resize(upstream, window, context):
            return OUT_OF_TURN_COST
        if not upstream.is_cold(now) and self._is_finished(upstream, window, context):
            self._end(upstream, now)
            return 0.0
        if self._used_by_others(upstream, round_trip_s) >= window.size:
            return OUT_OF_TURN_COST
        return IN_TURN_COST if upstream.open_flows < window.target else 0.0

    def _resize(self, upstream: Upstream, window: OpeningWindow, context: _PacingContext) -> bool:
        """Resize the window by the latest opening's answer; return whether it was prompt.

        Without an answer yet the window stays, and the result is False.
        """
        late_after_s = LATE_RESPONSE_RATIO * context.median_s
        is_answered = upstream.failure_detector.responded_at >= window.sent_at
        if not is_answered and context.now - window.sent_at < max(late_after_s, CONFIRM_TIMEOUT_S):
            return False
        expected_s = upstream.responses.expected_s(context.now) or 0.0
        is_prompt = is_answered and expected_s < late_after_s
        step = window.resize(is_prompt=is_prompt, max_size=_max_window(upstream))
        self._counters.pace_steps[step] += 1
        return is_prompt

    def _is_finished(
        self, upstream: Upstream, window: OpeningWindow, context: _PacingContext
    ) -> bool:
        """Whether an upstream has its part of the flows, or its window limits nothing."""
        if window.size >= _max_window(upstream):
            return True
        if not self._peers.hosts:
            return 0 < window.target <= upstream.open_flows
        return self._all_open_flows(upstream) >= self._proportional_flows(
            upstream, context, self._all_open_flows
        )

    def _used_by_others(self, upstream: Upstream, round_trip_s: Seconds) -> float:
        """Return the part of the window that other hosts use, in openings per round trip.

        That is their requests in flight, or their openings in a round trip if these are more.
        """
        load = self._peers.load(upstream.name)
        return max(load.in_flight, load.cold_openings * round_trip_s)

    def _proportional_flows(
        self, upstream: Upstream, context: _PacingContext, flows: Callable[[Upstream], int]
    ) -> float:
        """Return the flows that an upstream would have with as many per slot as the others.

        The others are the upstreams of its data centre that aren't paced. ``flows`` returns
        the flows of one upstream.
        """
        others = [
            each
            for each in context.upstreams
            if each not in self._windows and each.entry.data_centre == upstream.entry.data_centre
        ]
        slots = sum(each.entry.slots for each in others)
        return sum(map(flows, others)) * upstream.entry.slots / slots if slots else 0.0

    def _all_open_flows(self, upstream: Upstream) -> int:
        """Return the open flows of all hosts that report."""
        return upstream.open_flows + self._peers.load(upstream.name).open_flows

    def _participants(self, upstream: Upstream, context: _PacingContext) -> int:
        """Return the number of hosts with which this one takes turns at an upstream.

        A host counts those of its own data centre for its local upstreams, and all hosts for
        others, to which any data centre may send flows.
        """
        is_local = upstream.entry.data_centre == self._data_centre
        return context.hosts.local if is_local else context.hosts.total

    def _begin(self, upstream: Upstream, context: _PacingContext) -> OpeningWindow:
        """Begin a window, and set this host's part of the upstream's flows.

        The part is rounded at random, so that the parts of all hosts add up to the whole. The
        window of a cold upstream begins with its cold period, as other hosts may have sent
        openings since then.
        """
        proportional = self._proportional_flows(upstream, context, _own_flows)
        target = int(proportional + self._rng.random())
        is_cold = upstream.is_cold(context.now)
        began_at = upstream.cold_until - upstream.entry.cold_for_s if is_cold else context.now
        window = self._windows[upstream] = OpeningWindow(
            self._causes.pop(upstream),
            began_at,
            target=target,
            participating_share=min(1.0, proportional) if target else 1.0,
        )
        turn_interval_s = window.turn_interval_s(
            self._participants(upstream, context), _round_trip_s(upstream, context)
        )
        window.sent_at = began_at - turn_interval_s * self._rng.random()
        self._record(upstream, window, PaceStep.BEGUN, context.now)
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
    """Whether an upstream has failed a health check or has been silent for too long."""
    detector = upstream.failure_detector
    return detector.has_failed_check or detector.silent_for_s(now) >= FAILED_SILENCE_S


def _max_window(upstream: Upstream) -> float:
    return MAX_WINDOW_PER_SLOT * upstream.entry.slots


def _own_flows(upstream: Upstream) -> int:
    return upstream.open_flows


def _round_trip_s(upstream: Upstream, context: _PacingContext) -> Seconds:
    """Return the time in which an upstream answers an opening and its request."""
    expected_s = upstream.responses.expected_s(context.now)
    if expected_s is None:
        return UNKNOWN_RESPONSE_RATIO * context.median_s
    return max(context.median_s, expected_s)
