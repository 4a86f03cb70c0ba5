"""Metrics of a balancer, kept as plain integers and rendered by aioprometheus.

:meth:`Metrics.render` copies the counts into the registry only when a scrape arrives, so
that counting on the packet path stays cheap.
"""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

import aioprometheus
from aioprometheus.histogram import Histogram as BucketCounts

from banyanline.core.counters import LATENCY_BOUNDS_S

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.counters import Counters, LatencyHistogram
    from banyanline.platform.reader import ReadFailureReason

PREFIX = "banyanline"


class Gauges(NamedTuple):
    """Current values of the gauges of a balancer.

    ``leases`` is the number of peers that acknowledged a probe within the lease time.
    A configuration revision of 0 means that no configuration was read yet.
    """

    view_hosts: int = 0
    configuration_revision: int = 0
    home_slots: int = 0
    owned_upstreams: int = 0
    flows: int = 0
    ledger_requests: int = 0
    queued_requests: int = 0
    busy_slots: int = 0
    upstream_connections: int = 0
    leases: int = 0


class GaugeDoc(NamedTuple):
    """The help text of one gauge."""

    name: str
    doc: str


GAUGE_DOCS = (
    GaugeDoc("view_hosts", "Live balancers in the view."),
    GaugeDoc(
        "configuration_revision", "Revision of the configuration in force; 0 if there is none."
    ),
    GaugeDoc("home_slots", "Flow slots for which this balancer is the home."),
    GaugeDoc("owned_upstreams", "Upstreams that this balancer owns."),
    GaugeDoc("flows", "Flows in the flow table."),
    GaugeDoc("ledger_requests", "Requests in the ledger."),
    GaugeDoc("queued_requests", "Requests waiting for a slot of an upstream."),
    GaugeDoc("busy_slots", "Slots of owned upstreams that are in use."),
    GaugeDoc("upstream_connections", "Open connections to owned upstreams."),
    GaugeDoc("leases", "Peers that acknowledged a probe within the lease time."),
)


class ControlTraffic(StrEnum):
    """Purpose of control traffic between balancers."""

    PROBE = "probe"
    CALL = "call"
    RECOVERY = "recovery"


class IoCounts:
    """Counts of the runtime; the core has its own :class:`Counters`."""

    __slots__ = (
        "config_refusals",
        "control_bytes",
        "control_failures",
        "peer_rejections",
        "stalled_s",
        "stalls",
    )

    def __init__(self) -> None:
        self.peer_rejections: defaultdict[StrEnum, int] = defaultdict(int)
        self.config_refusals: defaultdict[str, int] = defaultdict(int)
        self.control_failures: defaultdict[StrEnum, int] = defaultdict(int)
        self.control_bytes: defaultdict[ControlTraffic, int] = defaultdict(int)
        self.stalls = 0
        self.stalled_s = 0.0

    def count_frame_rejection(self, reason: StrEnum) -> None:
        """Count a frame rejected on the peer or control port."""
        self.peer_rejections[reason] += 1

    def count_config_refusal(self, reason: str) -> None:
        """Count a configuration or host list that was not accepted."""
        self.config_refusals[reason] += 1

    def count_call_failure(self, reason: StrEnum) -> None:
        """Count a failed control call to another balancer."""
        self.control_failures[reason] += 1

    def count_stall(self, late_s: float) -> None:
        """Count an event loop stall of ``late_s`` seconds."""
        self.stalls += 1
        self.stalled_s += late_s

    def add_control_bytes(self, kind: ControlTraffic, size: int) -> None:
        """Count the size of a frame sent to another balancer without caller data."""
        self.control_bytes[kind] += size


class DatagramTotals(NamedTuple):
    """Totals over all sockets of one kind, such as ``caller``, ``peer`` or ``upstream``."""

    received: int
    sent: int
    send_drops: int
    unreachable: int


class MetricSources(NamedTuple):
    """Sources of the metrics; the callables are called for each scrape."""

    counters: Counters
    io_counts: IoCounts
    gauges: Callable[[], Gauges]
    platform_calls: Callable[[], int] = lambda: 0
    datagrams: Callable[[], Mapping[str, DatagramTotals]] = dict
    platform_failures: Callable[[], Mapping[ReadFailureReason, int]] = dict


class Metrics:
    """The metrics registry of one balancer."""

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources
        self._registry = aioprometheus.Registry()
        self._refusals = self._counter(
            "refusals_total", "Requests refused before they were executed."
        )
        self._unknown_outcomes = self._counter(
            "unknown_outcomes_total", "Requests whose outcome is unknown."
        )
        self._retries = self._counter("retries_total", "Request retries sent to upstreams.")
        self._drops = self._counter("drops_total", "Datagrams dropped without a response.")
        self._answers = self._counter("answers_total", "Responses of upstreams sent to callers.")
        self._duplicates = self._counter(
            "duplicates_total", "Retransmissions received from callers."
        )
        self._claims = self._counter(
            "claims_total", "Claims of request keys, started and by result."
        )
        self._recovered = self._counter(
            "recovered_total", "Flows and streams recovered from another balancer."
        )
        self._flow_ends = self._counter("flow_ends_total", "Flows and streams that ended.")
        self._flows_given_up = self._counter(
            "flows_given_up_total",
            "Flows ended because their data centre was taken out of service.",
        )
        self._frame_rejections = self._counter(
            "peer_frame_rejections_total", "Frames rejected on the peer and control ports."
        )
        self._config_refusals = self._counter(
            "config_refusals_total", "Configurations that were not accepted."
        )
        self._control_failures = self._counter(
            "control_failures_total", "Control calls that failed."
        )
        self._control_bytes = self._counter(
            "control_bytes_total", "Bytes sent to other balancers without caller data."
        )
        self._platform_failures = self._counter(
            "platform_failures_total", "Platform reads that failed."
        )
        self._stalls = self._counter("loop_stalls_total", "Event loop stalls.")
        self._stalled_s = self._counter(
            "loop_stalled_seconds_total", "Total duration of event loop stalls, in seconds."
        )
        self._platform_calls = self._counter("platform_calls_total", "Calls to the platform.")
        self._datagrams = self._counter("datagrams_total", "Datagrams by socket kind and outcome.")
        self._gauges = {
            gauge.name: aioprometheus.Gauge(
                f"{PREFIX}_{gauge.name}", gauge.doc, registry=self._registry
            )
            for gauge in GAUGE_DOCS
        }
        self._latency = aioprometheus.Histogram(
            f"{PREFIX}_answer_latency_seconds",
            "Time from the arrival of a request to the response of its upstream, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BOUNDS_S,
        )

    def render(self, accepts: Sequence[str] = ()) -> tuple[bytes, Mapping[str, str]]:
        """Return the body and headers of a scrape for the given ``Accept`` values."""
        self._copy_core_counts(self._sources.counters)
        self._copy_io_counts(self._sources.io_counts)
        for name, value in self._sources.gauges()._asdict().items():
            self._gauges[name].set({}, value)
        content, headers = aioprometheus.render(self._registry, list(accepts))
        return content, headers

    def _counter(self, name: str, doc: str) -> Any:
        return aioprometheus.Counter(f"{PREFIX}_{name}", doc, registry=self._registry)

    def _copy_core_counts(self, counters: Counters) -> None:
        copy_counts_by_service(self._refusals, counters.refusals)
        copy_counts_by_service(self._unknown_outcomes, counters.unknown_outcomes)
        copy_counts_by_service(self._retries, counters.retries)
        copy_counts(self._drops, "reason", counters.drops)
        copy_counts(self._answers, "service", counters.answers)
        copy_counts(self._duplicates, "kind", counters.duplicates)
        copy_counts(self._claims, "course", counters.claims)
        copy_counts(self._recovered, "kind", counters.recovered)
        copy_counts_by_service(self._flow_ends, counters.flow_ends)
        copy_counts(self._flows_given_up, "service", counters.flows_given_up)
        for service, histogram in counters.latency.items():
            self._latency.set_value({"service": service}, bucket_counts(histogram))

    def _copy_io_counts(self, counts: IoCounts) -> None:
        copy_counts(self._frame_rejections, "reason", counts.peer_rejections)
        copy_counts(self._config_refusals, "reason", counts.config_refusals)
        copy_counts(self._control_failures, "reason", counts.control_failures)
        copy_counts(self._control_bytes, "kind", counts.control_bytes)
        copy_counts(self._platform_failures, "reason", self._sources.platform_failures())
        self._stalls.set({}, counts.stalls)
        self._stalled_s.set({}, counts.stalled_s)
        self._platform_calls.set({}, self._sources.platform_calls())
        for kind, totals in self._sources.datagrams().items():
            for outcome, count in totals._asdict().items():
                self._datagrams.set({"socket": kind, "fate": outcome}, count)


def copy_counts(collector: Any, label: str, counts: Mapping[Any, int]) -> None:
    """Copy counts into a labelled metric."""
    for value, count in counts.items():
        collector.set({label: str(value)}, count)


def copy_counts_by_service(collector: Any, counts: Mapping[tuple[StrEnum, str], int]) -> None:
    """Copy counts by reason and service into a metric with these two labels."""
    for (reason, service), count in counts.items():
        collector.set({"reason": reason.value, "service": service}, count)


def bucket_counts(histogram: LatencyHistogram) -> BucketCounts:
    """Return the histogram with cumulative buckets, as the text format requires."""
    cumulative = BucketCounts(*LATENCY_BOUNDS_S)
    total = 0
    for bound, count in zip(cumulative.buckets, histogram.buckets, strict=True):
        total += count
        cumulative.buckets[bound] = total
    cumulative.observations = histogram.count
    cumulative.sum = histogram.sum_s
    return cumulative
