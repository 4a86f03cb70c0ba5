"""Composes a host's report for the other hosts from what its own packets have shown."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from banyanline.core.steering.peer_reports import (
    SAMPLE_LIFETIME_S,
    HostReport,
    ServiceSample,
    UpstreamSample,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName, UpstreamName

MIN_PERIOD_S = 1.0
"""Means and rates of a shorter time would say little."""

SERVICES_SHARE = 0.5
"""Share of a report that services may use."""

MIN_SAMPLE_BYTES = 4
"""No encoded sample is smaller."""

SampleSize: TypeAlias = Callable[[UpstreamSample | ServiceSample], int]
"""Returns the size of an encoded sample in bytes."""


class HostIdentity(NamedTuple):
    """The host that a report comes from; ``start`` differs between starts of its process."""

    host: HostName
    data_centre: DataCentreName
    start: int


class _Reported:
    """When a service or upstream was reported last, and when it was in use last.

    ``openings`` and ``refusals`` are a service's counts at that time, ``urgency`` that of the
    next report.
    """

    __slots__ = ("active_at", "at", "openings", "refusals", "urgency")

    def __init__(self, now: Seconds, openings: int = 0, refusals: int = 0) -> None:
        self.at = now - MIN_PERIOD_S
        self.active_at = now
        self.openings = openings
        self.refusals = refusals
        self.urgency = 0.0

    def update_urgency(self, importance: float, now: Seconds) -> None:
        """Set the urgency: the importance, at least 1, times the time since the last report.

        It grows while an item is left out, so that none is left out for long.
        """
        self.urgency = importance * (now - self.at)


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
        self._services: dict[ServiceName, _Reported] = {}
        self._upstreams: dict[UpstreamName, _Reported] = {}

    def compose(self, now: Seconds, max_bytes: int, size: SampleSize) -> HostReport:
        """Return the next report, whose samples have at most ``max_bytes`` in total.

        ``size`` returns the size of one encoded sample.
        """
        services = tuple(self._report_services(now, int(max_bytes * SERVICES_SHARE), size))
        used = sum(size(sample) for sample in services)
        upstreams = tuple(self._report_upstreams(now, max_bytes - used, size))
        self._sequence += 1
        return HostReport(*self._identity, self._sequence, services, upstreams)

    def _report_services(
        self, now: Seconds, max_bytes: int, size: SampleSize
    ) -> Iterator[ServiceSample]:
        self._update_services(now)
        for name in _most_urgent(self._services, max_bytes):
            reported = self._services[name]
            sample = self._service_sample(name, reported, now)
            max_bytes -= size(sample)
            if max_bytes < 0:
                return
            self._services[name] = self._new_service(name, now)
            self._services[name].at = now
            yield sample

    def _update_services(self, now: Seconds) -> None:
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
        for name, reported in self._services.items():
            openings = counters.placed[name] - reported.openings
            refusals = counters.refused[name] - reported.refusals
            reported.update_urgency(1.0 + openings + refusals, now)

    def _new_service(self, name: ServiceName, now: Seconds) -> _Reported:
        counters = self._steering.counters
        return _Reported(now, counters.placed[name], counters.refused[name])

    def _service_sample(
        self, name: ServiceName, reported: _Reported, now: Seconds
    ) -> ServiceSample:
        counters = self._steering.counters
        period_s = max(MIN_PERIOD_S, now - reported.at)
        return ServiceSample(
            name,
            (counters.placed[name] - reported.openings) / period_s,
            (counters.refused[name] - reported.refusals) / period_s,
            self._is_out_of_reach(name, now),
        )

    def _report_upstreams(
        self, now: Seconds, max_bytes: int, size: SampleSize
    ) -> Iterator[UpstreamSample]:
        self._update_upstreams(now)
        for name in _most_urgent(self._upstreams, max_bytes):
            upstream = self._steering.catalog.upstreams.get(name)
            if upstream is None:
                continue
            reported = self._upstreams[name]
            sample = _upstream_sample(upstream, reported, now)
            max_bytes -= size(sample)
            if max_bytes < 0:
                return
            reported.at = now
            upstream.responses.begin_period(now)
            upstream.cold_openings = 0
            yield sample

    def _update_upstreams(self, now: Seconds) -> None:
        """Keep the upstreams that are in use, or were until recently.

        The latter are reported with a load of 0, which replaces their earlier samples.
        """
        known, self._upstreams = self._upstreams, {}
        for upstream in self._steering.catalog.upstreams:
            reported = known.get(upstream.name)
            importance = _importance(upstream)
            if importance > 0.0:
                reported = reported or _Reported(now)
                reported.active_at = now
            elif reported is None or now - reported.active_at >= SAMPLE_LIFETIME_S:
                upstream.responses.begin_period(now)
                continue
            reported.update_urgency(max(1.0, importance), now)
            self._upstreams[upstream.name] = reported


def _importance(upstream: Upstream) -> float:
    """Return 0 for an upstream that is not in use, else 1 and more with its load."""
    load = upstream.responses.activity + upstream.cold_openings
    if upstream.failure_detector.has_failed_check:
        load += 1
    return 1.0 + load if load or upstream.open_flows > 0 else 0.0


def _upstream_sample(upstream: Upstream, reported: _Reported, now: Seconds) -> UpstreamSample:
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
        math.ceil(upstream.cold_openings / max(MIN_PERIOD_S, now - reported.at)),
    )


def _most_urgent(items: Mapping[str, _Reported], max_bytes: int) -> list[str]:
    """Return the names of the most urgent items first, as many as may fit."""
    number = max_bytes // MIN_SAMPLE_BYTES
    return heapq.nlargest(number, items, key=lambda name: items[name].urgency)
