"""Prometheus metrics of a balancer on the operators' platform.

This module is imported on the first scrape, so that a process that is never scraped does
not load the library.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import aioprometheus

from banyanline.core.counters import LATENCY_BOUNDS_S
from banyanline.core.steering.upstreams import UpstreamAvailability
from banyanline.net.metrics import PREFIX, bucket_counts, copy_counts

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Seconds
    from banyanline.net.steering.report_exchange import ReportCounts
    from banyanline.platform.store import StoreFailureReason


class SteeringSources(NamedTuple):
    """Sources of the exported values; the callables are called on each scrape."""

    steering: Steering
    clock: Callable[[], Seconds]
    store_calls: Callable[[], int]
    store_failures: Callable[[], Mapping[StoreFailureReason, int]]
    store_age_s: Callable[[], Seconds]
    unusable_items: Callable[[], int]
    log_lines_left_out: Callable[[], int]
    reports: Callable[[], ReportCounts]


class SteeringMetrics:
    """The metrics registry of one host."""

    def __init__(self, sources: SteeringSources) -> None:
        self._sources = sources
        self._registry = aioprometheus.Registry()
        self._packets = self._counter("packets_total", "Callers' packets by outcome.")
        self._placed = self._counter(
            "flows_placed_total", "Opening packets forwarded, without retransmissions."
        )
        self._elsewhere = self._counter(
            "flows_placed_elsewhere_total", "Of these, flows to upstreams in other data centres."
        )
        self._copies = self._counter(
            "opening_copies_total", "Retransmitted opening packets forwarded."
        )
        self._resets = self._counter("resets_total", "Callers' flows that were reset.")
        self._drops = self._counter("drops_total", "Packets dropped without a response.")
        self._checks = self._counter(
            "checks_total", "Health checks of upstreams by TCP connection."
        )
        self._references = self._counter(
            "reference_checks_total", "Attempts at upstreams that health checks are compared with."
        )
        self._pace_steps = self._counter(
            "pace_steps_total", "Changes of the windows of openings to paced upstreams."
        )
        self._store_calls = self._counter("store_calls_total", "Calls to the platform's store.")
        self._store_failures = self._counter(
            "store_failures_total", "Failed calls to the platform's store."
        )
        self._lines = self._counter(
            "log_lines_left_out_total",
            "Log lines dropped because the reader of the log did not take them.",
        )
        self._store_age = self._gauge(
            "store_age_seconds",
            "Age of this host's copy of the platform store's state, in seconds.",
        )
        self._unreadable = self._gauge(
            "unreadable_elements",
            "Items of the store, and elements of the configuration, that this host cannot read.",
        )
        self._version = self._gauge(
            "configuration_version", "Configuration version in force, 0 for none."
        )
        self._out_of_reach = self._gauge(
            "services_out_of_reach",
            "Services of which this host reaches no upstream although there are some elsewhere.",
        )
        self._ready = self._gauge(
            "ready", "1 unless this host's data centre is cut off from a service, then 0."
        )
        self._flows = self._gauge("flows", "Flows that this host tracks.")
        self._upstreams = self._gauge("upstreams", "Upstreams by service and state.")
        self._reserved = self._gauge(
            "reserved_upstreams", "Upstreams reserved for important routes, by service."
        )
        self._paced = self._gauge("paced_upstreams", "Upstreams whose openings are paced.")
        self._in_flight = self._gauge("requests_in_flight", "Requests in flight at upstreams.")
        self._peers = self._gauge("peers", "Other hosts whose reports are in use.")
        self._reports = self._counter("reports_total", "Reports sent and received.")
        self._report_bytes = self._counter(
            "report_bytes_total", "Bytes of reports sent and received, without headers."
        )
        self._rejected = self._counter(
            "reports_rejected_total", "Received reports that were not used."
        )
        self._latency = aioprometheus.Histogram(
            f"{PREFIX}_response_seconds",
            "Time from a request to the first acknowledgement of its response, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BOUNDS_S,
        )

    def render(self, accepts: Sequence[str] = ()) -> tuple[bytes, Mapping[str, str]]:
        """Return the body and headers of a scrape for the given ``Accept`` values."""
        sources = self._sources
        self._copy_counters()
        self._copy_state()
        self._copy_reports()
        self._store_calls.set({}, sources.store_calls())
        copy_counts(self._store_failures, "reason", sources.store_failures())
        self._store_age.set({}, sources.store_age_s())
        self._lines.set({}, sources.log_lines_left_out())
        content, headers = aioprometheus.render(self._registry, list(accepts))
        return content, headers

    def _counter(self, name: str, doc: str) -> Any:
        return aioprometheus.Counter(f"{PREFIX}_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Any:
        return aioprometheus.Gauge(f"{PREFIX}_{name}", doc, registry=self._registry)

    def _copy_counters(self) -> None:
        counters = self._sources.steering.counters
        self._packets.set({"outcome": "forwarded"}, counters.forwarded)
        self._packets.set({"outcome": "held"}, counters.held)
        copy_counts(self._placed, "service", counters.placed)
        copy_counts(self._elsewhere, "service", counters.elsewhere)
        copy_counts(self._copies, "service", counters.copies)
        copy_counts(self._resets, "reason", counters.resets)
        copy_counts(self._drops, "reason", counters.drops)
        copy_counts(self._checks, "result", counters.checks)
        copy_counts(self._references, "result", counters.references)
        copy_counts(self._pace_steps, "step", counters.pace_steps)
        for service, histogram in counters.responses.items():
            self._latency.set_value({"service": service}, bucket_counts(histogram))

    def _copy_reports(self) -> None:
        counts = self._sources.reports()
        self._peers.set({}, len(self._sources.steering.peers.hosts))
        self._reports.set({"direction": "sent"}, counts.sent)
        self._reports.set({"direction": "received"}, counts.received)
        self._report_bytes.set({"direction": "sent"}, counts.sent_bytes)
        self._report_bytes.set({"direction": "received"}, counts.received_bytes)
        copy_counts(self._rejected, "reason", counts.rejected)

    def _copy_state(self) -> None:
        steering = self._sources.steering
        catalog = steering.catalog
        now = self._sources.clock()
        self._version.set({}, catalog.version)
        defects = catalog.table.defects if catalog.table else ()
        self._unreadable.set({"kind": "item"}, self._sources.unusable_items())
        self._unreadable.set({"kind": "configuration"}, len(defects))
        self._out_of_reach.set({}, len(steering.readiness.out_of_reach))
        self._ready.set({}, int(steering.readiness.is_ready))
        self._flows.set({}, len(steering.flows))
        states: Counter[tuple[str, UpstreamAvailability]] = Counter()
        for upstream in catalog.upstreams:
            states[upstream.entry.service, catalog.availability(upstream, now)] += 1
        for service in {upstream.entry.service for upstream in catalog.upstreams}:
            for availability in UpstreamAvailability:
                labels = {"service": service, "state": availability.value}
                self._upstreams.set(labels, states[service, availability])
        shortages = steering.peer_placement.admission.shortages(now)
        for service in {upstream.entry.service for upstream in catalog.upstreams}:
            self._reserved.set({"service": service}, shortages.get(service, 0))
        self._paced.set({}, len(steering.pace.windows))
        self._in_flight.set(
            {}, sum(upstream.responses.under_way(now) for upstream in catalog.upstreams)
        )
