"""Composes a host's report for the other hosts from what its own packets have shown."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.peer_reports import (
    SAMPLE_LIFETIME_S,
    HostReport,
    ServiceSample,
    UpstreamSample,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName, UpstreamName

MIN_PERIOD_S = 1.0
"""Means and rates of a shorter time would say little."""

SERVICES_SHARE = 0.5
"""Share of a report that services may use."""


class HostIdentity(NamedTuple):
    """The host that a report comes from; ``start`` differs between starts of its process."""

    host: HostName
    data_centre: DataCentreName
    start: int


class _LastReport:
    """When a service or upstream was reported last, and its totals of that time."""

    __slots__ = ("active_at", "at", "openings", "refusals")

    def __init__(self, now: Seconds) -> None:
        self.at = now - MIN_PERIOD_S
        self.active_at = now
        self.openings = 0
        self.refusals = 0


class _Candidate(NamedTuple):
    """A sample that may be reported; ``importance`` is 1 for one that says nothing."""

    sample: UpstreamSample | ServiceSample
    last: _LastReport
    importance: float

    def urgency(self, now: Seconds) -> float:
        """Return the importance times the time since the previous report of the item.

        It grows while an item is left out, so that none is left out for long.
        """
        return self.importance * (now - self.last.at)


class ReportComposer:
    """Composes reports that fit into a limited number of bytes.

    A report contains the most urgent samples; the means and rates of a sample cover the
    time since the same upstream or service was reported before.
    """

    def __init__(
        self,
        steering: Steering,
        identity: HostIdentity,
        is_out_of_reach: Callable[[ServiceName, Seconds], bool] = lambda _service, _now: False,
    ) -> None:
        self._steering = steering
        self._identity = identity
        self._is_out_of_reach = is_out_of_reach
        self._sequence = 0
        self._services: dict[ServiceName, _LastReport] = {}
        self._upstreams: dict[UpstreamName, _LastReport] = {}

    def compose(
        self,
        now: Seconds,
        max_bytes: int,
        size: Callable[[UpstreamSample | ServiceSample], int],
    ) -> HostReport:
        """Return the next report, whose samples have at most ``max_bytes`` in total.

        ``size`` returns the size of one encoded sample.
        """
        services = self._choose(
            self._service_candidates(now), now, int(max_bytes * SERVICES_SHARE), size
        )
        used = sum(size(candidate.sample) for candidate in services)
        upstreams = self._choose(self._upstream_candidates(now), now, max_bytes - used, size)
        self._sequence += 1
        return HostReport(
            *self._identity,
            self._sequence,
            tuple(self._report_service(each, now) for each in services),
            tuple(self._report_upstream(each, now) for each in upstreams),
        )

    def _choose(
        self,
        candidates: Iterable[_Candidate],
        now: Seconds,
        max_bytes: int,
        size: Callable[[UpstreamSample | ServiceSample], int],
    ) -> list[_Candidate]:
        chosen = []
        for candidate in sorted(candidates, key=lambda each: each.urgency(now), reverse=True):
            max_bytes -= size(candidate.sample)
            if max_bytes < 0:
                break
            chosen.append(candidate)
        return chosen

    def _service_candidates(self, now: Seconds) -> Iterable[_Candidate]:
        table = self._steering.catalog.table
        names = {
            share.service
            for route in (table.routes.values() if table else ())
            for share in route.shares
        }
        self._services = {
            name: self._services.get(name) or self._new_service(name, now) for name in names
        }
        counters = self._steering.counters
        for name, last in self._services.items():
            period_s = max(MIN_PERIOD_S, now - last.at)
            sample = ServiceSample(
                name,
                (counters.placed[name] - last.openings) / period_s,
                (counters.refused[name] - last.refusals) / period_s,
                self._is_out_of_reach(name, now),
            )
            importance = 1.0 + sample.openings_per_s + sample.refusals_per_s
            yield _Candidate(sample, last, importance * (2.0 if sample.is_out_of_reach else 1.0))

    def _new_service(self, name: ServiceName, now: Seconds) -> _LastReport:
        last = _LastReport(now)
        last.openings = self._steering.counters.placed[name]
        last.refusals = self._steering.counters.refused[name]
        return last

    def _report_service(self, candidate: _Candidate, now: Seconds) -> ServiceSample:
        sample, last = candidate.sample, candidate.last
        assert isinstance(sample, ServiceSample)
        last.at = now
        last.openings = self._steering.counters.placed[sample.service]
        last.refusals = self._steering.counters.refused[sample.service]
        return sample

    def _upstream_candidates(self, now: Seconds) -> Iterable[_Candidate]:
        """Yield the upstreams that are in use, or were until recently.

        The latter are reported with a load of 0, which replaces their earlier samples.
        """
        known = self._upstreams
        self._upstreams = {}
        for upstream in self._steering.catalog.upstreams:
            last = known.get(upstream.name)
            if _is_in_use(upstream):
                last = last or _LastReport(now)
                last.active_at = now
            elif last is None or now - last.active_at >= SAMPLE_LIFETIME_S:
                upstream.responses.begin_period(now)
                continue
            self._upstreams[upstream.name] = last
            sample = self._upstream_sample(upstream, last, now)
            importance = 1.0 + sample.in_flight + sample.cold_openings
            if upstream.failure_detector.has_failed_check:
                importance += 1.0
            yield _Candidate(sample, last, importance)

    def _upstream_sample(
        self, upstream: Upstream, last: _LastReport, now: Seconds
    ) -> UpstreamSample:
        period = upstream.responses.period(now)
        detector = upstream.failure_detector
        responded_age_s = now - detector.responded_at
        return UpstreamSample(
            upstream.name,
            period.busy_s / max(MIN_PERIOD_S, period.length_s),
            upstream.open_flows,
            period.responses,
            period.response_s,
            responded_age_s if math.isfinite(responded_age_s) else None,
            detector.report(now).failed_check_age_s if detector.has_failed_check else None,
            math.ceil(upstream.cold_openings / max(MIN_PERIOD_S, now - last.at)),
        )

    def _report_upstream(self, candidate: _Candidate, now: Seconds) -> UpstreamSample:
        sample = candidate.sample
        assert isinstance(sample, UpstreamSample)
        candidate.last.at = now
        upstream = self._steering.catalog.upstreams.get(sample.upstream)
        if upstream is not None:
            upstream.responses.begin_period(now)
            upstream.cold_openings = 0
        return sample


def _is_in_use(upstream: Upstream) -> bool:
    return (
        upstream.open_flows > 0
        or upstream.cold_openings > 0
        or upstream.failure_detector.has_failed_check
        or upstream.responses.is_active
    )
