"""What the hosts of one data centre report to each other, and the totals of their reports.

Each host writes only its own report, and sends it to the other hosts itself. A report
replaces the previous one of its host, so that a lost or repeated report does no harm; the
total of a figure is the sum of one part from each host. A host that is not heard from any
more drops out of all totals after ``REPORT_LIFETIME_S``.

Without reports all totals are 0 and nothing is known of other hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

REPORT_LIFETIME_S = 4.0
"""How long a report is used; several reports may be lost in this time."""


class UpstreamSample(NamedTuple):
    """One host's part of the load and the responses of one upstream.

    ``in_flight`` is the mean number of requests in flight since the previous report, and
    ``response_s`` the mean time of the ``responses`` in that time. ``responded_age_s`` and
    ``failed_check_age_s`` count from the latest response and from the health check that
    failed since; they are None if there was none. ``cold_openings`` counts the opening
    packets sent in the last second to an upstream in its cold period.
    """

    upstream: UpstreamName
    in_flight: float = 0.0
    open_flows: int = 0
    responses: int = 0
    response_s: Seconds = 0.0
    responded_age_s: Seconds | None = None
    failed_check_age_s: Seconds | None = None
    cold_openings: int = 0


class ServiceSample(NamedTuple):
    """One host's part of the demand for one service.

    ``is_out_of_reach`` is True if none of the service's usable upstreams can be reached
    from this host.
    """

    service: ServiceName
    openings_per_s: float = 0.0
    refusals_per_s: float = 0.0
    is_out_of_reach: bool = False


class HostReport(NamedTuple):
    """The report of one host. ``start`` identifies the start of its process.

    ``sequence`` increases with each report of a start.
    """

    host: HostName
    data_centre: DataCentreName
    start: int
    sequence: int
    services: tuple[ServiceSample, ...] = ()
    upstreams: tuple[UpstreamSample, ...] = ()


class PeerLoad(NamedTuple):
    """The load of an upstream from other hosts, in requests in flight and open flows."""

    in_flight: float = 0.0
    open_flows: int = 0
    cold_openings: int = 0


NO_LOAD = PeerLoad()


class Reach(NamedTuple):
    """How many other hosts report a service, and how many of them cannot reach it."""

    hosts: int
    out_of_reach: int


class PeerReports:
    """The latest report of each other host in this host's data centre."""

    def __init__(self) -> None:
        self._reports: dict[HostName, tuple[HostReport, Seconds]] = {}
        self._loads: dict[UpstreamName, PeerLoad] = {}

    @property
    def hosts(self) -> Collection[HostName]:
        """The other hosts whose reports are in use."""
        return self._reports.keys()

    @property
    def reports(self) -> Collection[tuple[HostReport, Seconds]]:
        """The reports in use, and when each was received."""
        return self._reports.values()

    def put(self, report: HostReport, now: Seconds) -> bool:
        """Use a report, unless a later one of the same start is known."""
        known = self._reports.get(report.host)
        if known is not None:
            latest = known[0]
            if latest.start == report.start and latest.sequence >= report.sequence:
                return False
            self._add(latest, -1)
        self._reports[report.host] = (report, now)
        self._add(report, 1)
        return True

    def expire(self, now: Seconds) -> list[HostName]:
        """Drop reports older than ``REPORT_LIFETIME_S``; return the hosts that sent them."""
        old = [
            host
            for host, (_, received_at) in self._reports.items()
            if now - received_at >= REPORT_LIFETIME_S
        ]
        for host in old:
            self._add(self._reports.pop(host)[0], -1)
        return old

    def load(self, upstream: UpstreamName) -> PeerLoad:
        """Return the total load of an upstream from other hosts."""
        return self._loads.get(upstream, NO_LOAD)

    def samples(self, upstream: UpstreamName) -> Iterable[tuple[UpstreamSample, Seconds]]:
        """Return the other hosts' samples of an upstream, and when each was received."""
        return [
            (sample, received_at)
            for report, received_at in self._reports.values()
            for sample in report.upstreams
            if sample.upstream == upstream
        ]

    def reach(self, service: ServiceName) -> Reach:
        """Return how many other hosts report a service, and how many cannot reach it."""
        samples = [
            sample
            for report, _ in self._reports.values()
            for sample in report.services
            if sample.service == service
        ]
        return Reach(len(samples), sum(sample.is_out_of_reach for sample in samples))

    def openings_per_s(self, service: ServiceName) -> float:
        """Return the rate of opening packets for a service at other hosts."""
        return sum(
            sample.openings_per_s
            for report, _ in self._reports.values()
            for sample in report.services
            if sample.service == service
        )

    def _add(self, report: HostReport, sign: int) -> None:
        for sample in report.upstreams:
            load = self._loads.get(sample.upstream, NO_LOAD)
            total = PeerLoad(
                load.in_flight + sign * sample.in_flight,
                load.open_flows + sign * sample.open_flows,
                load.cold_openings + sign * sample.cold_openings,
            )
            if sign < 0 and not (total.open_flows or total.cold_openings):
                # Without flows the rest is a rounding error.
                self._loads.pop(sample.upstream, None)
            else:
                self._loads[sample.upstream] = total
