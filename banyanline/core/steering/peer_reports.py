"""What the hosts of one data centre report to each other, and the totals of their reports.

Each host sends its own report directly to the other hosts. A report replaces the previous one
of its host, so that a lost or repeated report does no harm. A total is the sum of the hosts'
latest values. ``REPORT_LIFETIME_S`` after its last report a host no longer counts.

Without reports all totals are 0, and no other hosts are known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.report_order import ReportOrder
from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName, UpstreamName

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

REPORT_LIFETIME_S = 4.0
"""How long a report is used: two of the longest intervals between reports."""

SAMPLE_LIFETIME_S = 6.0
"""How long a sample is used while later reports of its host omit it for lack of space."""


class UpstreamSample(NamedTuple):
    """One host's part of the load and the responses of one upstream.

    ``in_flight`` is the mean number of requests in flight since the previous report, and
    ``response_s`` the mean time of the ``responses`` in that period. ``responded_age_s`` is
    the age of the latest response, and ``failed_check_age_s`` that of a failed health check
    since; each is None without one. ``cold_openings`` is the number of opening packets per
    second, rounded up, to an upstream in its cold period.
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
    """The report of one host.

    ``start`` is a random number that identifies the start of its process, and ``sequence``
    increases with each report of a start.
    """

    host: HostName
    data_centre: DataCentreName
    start: int
    sequence: int
    services: tuple[ServiceSample, ...] = ()
    upstreams: tuple[UpstreamSample, ...] = ()


class PeerLoad(NamedTuple):
    """The load of an upstream from other hosts; ``cold_openings`` is a number per second."""

    in_flight: float = 0.0
    open_flows: int = 0
    cold_openings: int = 0


NO_LOAD = PeerLoad()


class ResponseSum(NamedTuple):
    """The number of responses and the sum of their times; both may be weighted."""

    responses: float = 0.0
    total_s: Seconds = 0.0

    @property
    def mean_s(self) -> Seconds:
        """The mean response time.

        >>> ResponseSum(4, 0.2).mean_s
        0.05
        """
        return self.total_s / self.responses

    def plus(self, responses: float, total_s: Seconds) -> ResponseSum:
        """Return the sum with further responses."""
        return ResponseSum(self.responses + responses, self.total_s + total_s)

    def scaled(self, weight: float) -> ResponseSum:
        """Return the sum with another weight."""
        return ResponseSum(self.responses * weight, self.total_s * weight)


NO_RESPONSES = ResponseSum()


class ReachabilityCount(NamedTuple):
    """How many other hosts report a service, and how many of them cannot reach it."""

    hosts: int
    out_of_reach: int


class _HostSamples:
    """The samples of one host: those of its latest report, and earlier ones that it left out."""

    __slots__ = ("received_at", "services", "start", "upstreams")

    def __init__(self, start: int) -> None:
        self.start = start
        self.received_at: Seconds = 0.0
        self.services: dict[ServiceName, tuple[ServiceSample, Seconds]] = {}
        self.upstreams: dict[UpstreamName, tuple[UpstreamSample, Seconds]] = {}


class _Total:
    """The load of one upstream, in integers so that rounding errors don't accumulate."""

    __slots__ = ("cold_openings", "in_flight_thousandths", "open_flows", "samples")

    def __init__(self) -> None:
        self.samples = 0
        self.in_flight_thousandths = 0
        self.open_flows = 0
        self.cold_openings = 0

    def add(self, sample: UpstreamSample, sign: int) -> None:
        """Add a sample, or subtract it if ``sign`` is -1."""
        self.samples += sign
        self.in_flight_thousandths += sign * round(sample.in_flight * 1000.0)
        self.open_flows += sign * sample.open_flows
        self.cold_openings += sign * sample.cold_openings

    def load(self) -> PeerLoad:
        """Return the total."""
        return PeerLoad(self.in_flight_thousandths / 1000.0, self.open_flows, self.cold_openings)


class PeerReports:
    """The latest report of each other host in this host's data centre.

    A report may omit upstreams and services, whose earlier samples stay in use for
    ``SAMPLE_LIFETIME_S``.
    """

    def __init__(self) -> None:
        self._hosts: dict[HostName, _HostSamples] = {}
        self._starts = ReportOrder()
        self._totals: dict[UpstreamName, _Total] = {}
        self._loads: dict[UpstreamName, PeerLoad] = {}
        self._responses: dict[UpstreamName, ResponseSum] = {}

    @property
    def hosts(self) -> Collection[HostName]:
        """The other hosts whose reports are in use."""
        return self._hosts.keys()

    def put(self, report: HostReport, now: Seconds) -> bool:
        """Use a report; return False if it is not later than the one in use.

        Samples of a start are not used with those of another.
        """
        if not self._starts.accept(report.host, report.start, report.sequence, now):
            return False
        host = self._hosts.get(report.host)
        if host is not None and host.start != report.start:
            self._remove(report.host)
            host = None
        if host is None:
            host = self._hosts[report.host] = _HostSamples(report.start)
        host.received_at = now
        for service in report.services:
            host.services[service.service] = (service, now)
        for upstream in report.upstreams:
            self._replace(host, upstream, now)
        return True

    def expire(self, now: Seconds) -> list[HostName]:
        """Drop reports older than ``REPORT_LIFETIME_S``; return the hosts that sent them."""
        old = [
            name
            for name, host in self._hosts.items()
            if now - host.received_at >= REPORT_LIFETIME_S
        ]
        for name in old:
            self._remove(name)
        for host in self._hosts.values():
            self._drop_old_samples(host, now)
        return old

    def load(self, upstream: UpstreamName) -> PeerLoad:
        """Return the total load of an upstream from other hosts."""
        return self._loads.get(upstream, NO_LOAD)

    def samples(self, upstream: UpstreamName) -> Iterable[tuple[UpstreamSample, Seconds]]:
        """Return the other hosts' samples of an upstream, and when each was received."""
        samples = (host.upstreams.get(upstream) for host in self._hosts.values())
        return [sample for sample in samples if sample is not None]

    def take_responses(self) -> Mapping[UpstreamName, ResponseSum]:
        """Return the responses of each upstream that were reported since the last call."""
        responses, self._responses = self._responses, {}
        return responses

    def reachability(self, service: ServiceName) -> ReachabilityCount:
        """Return how many other hosts report a service, and how many cannot reach it."""
        samples = self._service_samples(service)
        return ReachabilityCount(len(samples), sum(sample.is_out_of_reach for sample in samples))

    def out_of_reach(self) -> frozenset[ServiceName]:
        """Return the services that at least one other host cannot reach."""
        return frozenset(
            sample.service
            for host in self._hosts.values()
            for sample, _ in host.services.values()
            if sample.is_out_of_reach
        )

    def openings_per_s(self, service: ServiceName) -> float:
        """Return the rate of opening packets for a service at other hosts."""
        return sum(sample.openings_per_s for sample in self._service_samples(service))

    def _service_samples(self, service: ServiceName) -> list[ServiceSample]:
        samples = (host.services.get(service) for host in self._hosts.values())
        return [sample[0] for sample in samples if sample is not None]

    def _replace(self, host: _HostSamples, sample: UpstreamSample, now: Seconds) -> None:
        previous = host.upstreams.get(sample.upstream)
        host.upstreams[sample.upstream] = (sample, now)
        self._change_total(sample.upstream, sample, previous and previous[0])
        if sample.responses:
            known = self._responses.get(sample.upstream, NO_RESPONSES)
            total_s = sample.responses * sample.response_s
            self._responses[sample.upstream] = known.plus(sample.responses, total_s)

    def _remove(self, name: HostName) -> None:
        for upstream, (sample, _) in self._hosts.pop(name).upstreams.items():
            self._change_total(upstream, None, sample)

    def _drop_old_samples(self, host: _HostSamples, now: Seconds) -> None:
        oldest = now - SAMPLE_LIFETIME_S
        for upstream in [name for name, (_, at) in host.upstreams.items() if at <= oldest]:
            self._change_total(upstream, None, host.upstreams.pop(upstream)[0])
        for service in [name for name, (_, at) in host.services.items() if at <= oldest]:
            del host.services[service]

    def _change_total(
        self, upstream: UpstreamName, added: UpstreamSample | None, removed: UpstreamSample | None
    ) -> None:
        total = self._totals.get(upstream)
        if total is None:
            total = self._totals[upstream] = _Total()
        if added is not None:
            total.add(added, 1)
        if removed is not None:
            total.add(removed, -1)
        if total.samples:
            self._loads[upstream] = total.load()
        else:
            del self._totals[upstream]
            self._loads.pop(upstream, None)
