"""Schedules active health checks of upstreams.

An upstream is checked after a retransmitted packet, after an opening packet that was not
confirmed in the usual time, or after a packet for an upstream without an entry. The
confirmation timeout covers upstreams that are down and refuse opening packets themselves:
their callers retry from another port, perhaps through another host, and this host never
sees a retransmission. After a failed check the upstream is checked periodically until it
answers, so that no flow is lost by probing it. Upstreams of the same service and data
centre may have failed with it, and are checked too.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.failure_detection import CHECK_INTERVAL_S, CheckResult
from banyanline.core.steering.responses import RunningMedian

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.flows import Flow
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

CONFIRM_TIMEOUT_S = 0.05
"""Minimum timeout for the confirmation of an opening packet, after which a check is due."""

CONFIRM_FACTOR = 4.0
"""The timeout as a multiple of the median confirmation time, if that is longer."""

RECENT_RESPONSE_S = 0.5
"""An upstream that responded this recently is assumed not to have failed with its neighbour."""


class DueCheck(NamedTuple):
    """A health check to carry out: the upstream, and when the check began."""

    upstream: Upstream
    began_at: Seconds


class CheckScheduler:
    """Schedules health checks; the transport carries them out and reports the results."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._due: list[DueCheck] = []
        self._confirm_times = RunningMedian()
        self._timers: list[tuple[Seconds, int, Upstream, Flow | None]] = []
        self._sequence = itertools.count()

    @property
    def next_at(self) -> Seconds | None:
        """When :meth:`on_timer` has to be called next, or None."""
        return self._timers[0][0] if self._timers else None

    def take_due(self) -> list[DueCheck]:
        """Return the checks that are due, and remove them from the queue."""
        due, self._due = self._due, []
        return due

    def request_check(self, upstream: Upstream, now: Seconds) -> None:
        """Queue a check of an upstream, unless one began recently."""
        if upstream.failure_detector.begin_check(now):
            self._due.append(DueCheck(upstream, now))

    def on_opening(self, flow: Flow, now: Seconds) -> None:
        """Start the confirmation timeout of an opening packet that was forwarded."""
        median_confirm_s = self._confirm_times.value or 0.0
        wait_s = max(CONFIRM_TIMEOUT_S, CONFIRM_FACTOR * median_confirm_s)
        self._schedule(now + wait_s, flow.upstream, flow)

    def on_confirmed(self, took_s: Seconds) -> None:
        """Record the time from an opening packet to its confirmation."""
        if took_s > 0.0:
            self._confirm_times.add(took_s)

    def on_timer(self, now: Seconds) -> None:
        """Queue the checks whose timers have elapsed."""
        while self._timers and self._timers[0][0] <= now:
            _, _, upstream, flow = heapq.heappop(self._timers)
            if flow is None:
                self._check_again(upstream, now)
            elif not flow.is_open and flow.upstream is upstream:
                self.request_check(upstream, now)

    def on_result(self, check: DueCheck, result: CheckResult, now: Seconds) -> None:
        """Record the result of a check; after a failure, schedule further checks."""
        upstream = check.upstream
        had_failed_check = upstream.failure_detector.has_failed_check
        upstream.failure_detector.on_check(result, check.began_at, now)
        if not upstream.failure_detector.has_failed_check:
            return
        self._schedule(check.began_at + CHECK_INTERVAL_S, upstream, None)
        if not had_failed_check:
            for other in self._neighbours(upstream, now):
                self.request_check(other, now)

    def _check_again(self, upstream: Upstream, now: Seconds) -> None:
        if upstream.removed_at is None and upstream.failure_detector.has_failed_check:
            self.request_check(upstream, now)

    def _neighbours(self, upstream: Upstream, now: Seconds) -> Iterable[Upstream]:
        entry = upstream.entry
        return [
            other
            for other in self._catalog.upstreams.of_service(entry.service)
            if other.entry.data_centre == entry.data_centre
            and other is not upstream
            and now - other.failure_detector.responded_at > RECENT_RESPONSE_S
        ]

    def _schedule(self, at: Seconds, upstream: Upstream, flow: Flow | None) -> None:
        heapq.heappush(self._timers, (at, next(self._sequence), upstream, flow))
