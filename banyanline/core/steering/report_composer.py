"""Composes a host's report from its own load, responses and health checks."""

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
"""Shortest time for means and rates; those of a shorter one would vary too much."""

SERVICES_SHARE = 0.5
"""Largest share of a report's bytes for samples of services."""

MIN_SAMPLE_BYTES = 4
"""Lower limit of an encoded sample's size, which limits the samples to consider."""

SampleSize: TypeAlias = Callable[[UpstreamSample | ServiceSample], int]
"""Returns the size of an encoded sample in bytes."""


class HostIdentity(NamedTuple):
    """The host that sends a report; ``start`` is a random number for each process start."""

    host: HostName
    data_centre: DataCentreName
    start: int


class _ReportState:
    """When a service or upstream was last reported, and when it was last in use.

    ``openings`` and ``refusals`` are a service's counters when it was last reported.
    ``urgency`` orders the samples of the next report.
    """

    __slots__ = ("active_at", "openings", "refusals", "reported_at", "urgency")

    def __init__(self, now: Seconds, openings: int = 0, refusals: int = 0) -> None:
        self.reported_at = now - MIN_PERIOD_S
        self.active_at = now
        self.openings = openings
        self.refusals = refusals
        self.urgency = 0.0

    def update_urgency(self, importance: float, now: Seconds) -> None:
        """Set the urgency: the importance, at least 1, times the time since it was reported.

        It grows while a sample is left out of reports, so that none is left out for long.
        """
        self.urgency = importance * (now - self.reported_at)


class ReportComposer:
    """Composes reports that fit into a limited number of bytes.

    A report contains the most urgent samples; the means and rates of a sample cover the
    time since the same upstream or service was reported before.
    """

    def __init__(
        self,
        steering: Steering,
        identity: HostIdentity,
        is_out_of_reach: Callable[[ServiceName], bool] = lambda _service: False,
    ) -> None:
        self._steering = steering
        self._identity = identity
        self._is_out_of_reach = is_out_of_reach
        self._sequence = 0
        self._services: dict[ServiceName, _ReportState] = {}
        self._upstreams: dict[UpstreamName, _ReportState] = {}

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
            state = self._services[name]
            sample = self._service_sample(name, state, now)
            max_bytes -= size(sample)
            if max_bytes < 0:
                return
            self._services[name] = self._new_service(name, now)
            self._services[name].reported_at = now
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
        for name, state in self._services.items():
            openings = counters.placed[name] - state.openings
            refusals = counters.refused[name] - state.refusals
            state.update_urgency(1.0 + openings + refusals, now)

    def _new_service(self, name: ServiceName, now: Seconds) -> _ReportState:
        counters = self._steering.counters
        return _ReportState(now, counters.placed[name], counters.refused[name])

    def _service_sample(
        self, name: ServiceName, state: _ReportState, now: Seconds
    ) -> ServiceSample:
        counters = self._steering.counters
        period_s = max(MIN_PERIOD_S, now - state.reported_at)
        return ServiceSample(
            name,
            (counters.placed[name] - state.openings) / period_s,
            (counters.refused[name] - state.refusals) / period_s,
            self._is_out_of_reach(name),
        )

    def _report_upstreams(
        self, now: Seconds, max_bytes: int, size: SampleSize
    ) -> Iterator[UpstreamSample]:
        self._update_upstreams(now)
        for name in _most_urgent(self._upstreams, max_bytes):
            upstream = self._steering.catalog.upstreams.get(name)
            if upstream is None:
                continue
            state = self._upstreams[name]
            sample = _upstream_sample(upstream, state, now)
            max_bytes -= size(sample)
            if max_bytes < 0:
                return
            state.reported_at = now
            upstream.responses.begin_period(now)
            upstream.cold_openings = 0
            yield sample

    def _update_upstreams(self, now: Seconds) -> None:
        """Keep the upstreams that are in use, or were until recently.

        The latter are reported with a load of 0, which replaces their earlier samples.
        """
        known, self._upstreams = self._upstreams, {}
        for upstream in self._steering.catalog.upstreams:
            state = known.get(upstream.name)
            importance = _importance(upstream)
            if importance > 0.0:
                state = state or _ReportState(now)
                state.active_at = now
            elif state is None or now - state.active_at >= SAMPLE_LIFETIME_S:
                upstream.responses.begin_period(now)
                continue
            state.update_urgency(max(1.0, importance), now)
            self._upstreams[upstream.name] = state


def _importance(upstream: Upstream) -> float:
    """Return 0 for an upstream that is not in use, otherwise 1 plus its load."""
    load = upstream.responses.activity + upstream.cold_openings
    if upstream.failure_detector.has_failed_check:
        load += 1
    return 1.0 + load if load or upstream.open_flows > 0 else 0.0


def _upstream_sample(upstream: Upstream, state: _ReportState, now: Seconds) -> UpstreamSample:
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
        math.ceil(upstream.cold_openings / max(MIN_PERIOD_S, now - state.reported_at)),
    )


def _most_urgent(items: Mapping[str, _ReportState], max_bytes: int) -> list[str]:
    """Return the names of the samples that may fit, the most urgent first."""
    number = max_bytes // MIN_SAMPLE_BYTES
    return heapq.nlargest(number, items, key=lambda name: items[name].urgency)
