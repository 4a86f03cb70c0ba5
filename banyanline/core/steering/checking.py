"""When connections are tried to upstreams, and to which.

A check begins with doubt: a repeated packet, an opening packet that was not confirmed in
the usual time, or a packet for an upstream without an entry. An upstream that is down
may refuse opening packets itself; then its callers come again from another port, perhaps
to another host, and no repeat is ever seen here. After a failed check the upstream is
checked again until it answers, so that no flow is spent on it. Upstreams of the same
service and data centre may have failed with it, and are checked too.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.responses import RunningMedian
from banyanline.core.steering.silence import CHECK_PAUSE_S, CheckResult

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.flows import Flow
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

CONFIRM_S = 0.05
"""An opening packet that is not confirmed for so long raises doubt, where that is unusual."""

CONFIRM_FACTOR = 4.0
"""How many times the usual time a confirmation may take."""

RECENT_SIGN_S = 0.5
"""An upstream that gave a sign so lately did not fail with its neighbour."""


class DueCheck(NamedTuple):
    """A connection that should be tried: to which upstream, and since when."""

    upstream: Upstream
    began_at: Seconds


class Checking:
    """Decides on checks; whoever carries them out reports their results."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._due: list[DueCheck] = []
        self._confirms_in = RunningMedian()
        self._later: list[tuple[Seconds, int, Upstream, Flow | None]] = []
        self._order = itertools.count()

    @property
    def next_at(self) -> Seconds | None:
        """When :meth:`on_time` has something to decide, or None."""
        return self._later[0][0] if self._later else None

    def take_due(self) -> list[DueCheck]:
        """Return the upstreams to which a connection should be tried now."""
        due, self._due = self._due, []
        return due

    def doubt(self, upstream: Upstream, now: Seconds) -> None:
        """Check an upstream, unless that was done just now."""
        if upstream.silence.begin_check(now):
            self._due.append(DueCheck(upstream, now))

    def on_opening(self, flow: Flow, now: Seconds) -> None:
        """Take in that an opening packet was sent on."""
        usual_s = self._confirms_in.value or 0.0
        wait_s = max(CONFIRM_S, CONFIRM_FACTOR * usual_s)
        self._put(now + wait_s, flow.upstream, flow)

    def on_confirmed(self, took_s: Seconds) -> None:
        """Take in that a flow opened."""
        if took_s > 0.0:
            self._confirms_in.add(took_s)

    def on_time(self, now: Seconds) -> None:
        """Check the upstreams whose time has come."""
        while self._later and self._later[0][0] <= now:
            _, _, upstream, flow = heapq.heappop(self._later)
            if flow is None:
                self._check_again(upstream, now)
            elif not flow.is_open and flow.upstream is upstream:
                self.doubt(upstream, now)

    def on_result(self, check: DueCheck, result: CheckResult, now: Seconds) -> None:
        """Take in what became of a check."""
        upstream = check.upstream
        was_failed = upstream.silence.has_failed
        upstream.silence.on_check(result, check.began_at, now)
        if not upstream.silence.has_failed:
            return
        self._put(check.began_at + CHECK_PAUSE_S, upstream, None)
        if not was_failed:
            for other in self._neighbours(upstream, now):
                self.doubt(other, now)

    def _check_again(self, upstream: Upstream, now: Seconds) -> None:
        if upstream.removed_at is None and upstream.silence.has_failed:
            self.doubt(upstream, now)

    def _neighbours(self, upstream: Upstream, now: Seconds) -> Iterable[Upstream]:
        entry = upstream.entry
        return [
            other
            for other in self._catalog.upstreams.of_service(entry.service)
            if other.entry.data_centre == entry.data_centre
            and other is not upstream
            and now - other.silence.sign_at > RECENT_SIGN_S
        ]

    def _put(self, at: Seconds, upstream: Upstream, flow: Flow | None) -> None:
        heapq.heappush(self._later, (at, next(self._order), upstream, flow))
