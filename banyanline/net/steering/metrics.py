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

    from banyanline.core.steering.counters import SteeringCounters
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


class _PacketMetrics:
    """Counts of packets, flows and health checks."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._packets = _counter(registry, "packets_total", "Callers' packets by outcome.")
        self._placed = _counter(
            registry, "flows_placed_total", "Opening packets forwarded, without retransmissions."
        )
        self._elsewhere = _counter(
            registry,
            "flows_placed_elsewhere_total",
            "Of these, flows to upstreams in other data centres.",
        )
        self._copies = _counter(
            registry, "opening_copies_total", "Retransmitted opening packets forwarded."
        )
        self._resets = _counter(registry, "resets_total", "Callers' flows that were reset.")
        self._drops = _counter(registry, "drops_total", "Packets dropped without a response.")
        self._checks = _counter(
            registry, "checks_total", "Health checks of upstreams by TCP connection."
        )
        self._references = _counter(
            registry,
            "reference_checks_total",
            "Attempts at upstreams that health checks are compared with.",
        )
        self._pace_steps = _counter(
            registry, "pace_steps_total", "Changes of the windows of openings to paced upstreams."
        )

    def copy(self, counters: SteeringCounters) -> None:
        """Set the metrics to the present counts."""
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


class _StoreMetrics:
    """Calls to the platform's store, and what the host has read and logged."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._store_calls = _counter(
            registry, "store_calls_total", "Calls to the platform's store."
        )
        self._store_failures = _counter(
            registry, "store_failures_total", "Failed calls to the platform's store."
        )
        self._lines = _counter(
            registry,
            "log_lines_left_out_total",
            "Log lines dropped because the reader of the log did not take them.",
        )
        self._store_age = _gauge(
            registry,
            "store_age_seconds",
            "Age of this host's copy of the platform store's state, in seconds.",
        )
        self._unreadable = _gauge(
            registry,
            "unreadable_elements",
            "Items of the store, and elements of the configuration, that this host cannot read.",
        )

    def copy(self, sources: SteeringSources) -> None:
        """Set the metrics to the present values."""
        table = sources.steering.catalog.table
        self._store_calls.set({}, sources.store_calls())
        copy_counts(self._store_failures, "reason", sources.store_failures())
        self._lines.set({}, sources.log_lines_left_out())
        self._store_age.set({}, sources.store_age_s())
        self._unreadable.set({"kind": "item"}, sources.unusable_items())
        self._unreadable.set({"kind": "configuration"}, len(table.defects if table else ()))


class _StateMetrics:
    """The present state of the host, and of the upstreams as it sees them."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._version = _gauge(
            registry, "configuration_version", "Configuration version in force, 0 for none."
        )
        self._out_of_reach = _gauge(
            registry,
            "services_out_of_reach",
            "Services of which this host reaches no upstream although there are some elsewhere.",
        )
        self._ready = _gauge(registry, "ready", "1 if this host should take new callers, else 0.")
        self._hosts = _gauge(
            registry, "hosts", "Hosts of this data centre by state, as this host hears them."
        )
        self._flows = _gauge(registry, "flows", "Flows that this host tracks.")
        self._upstreams = _gauge(registry, "upstreams", "Upstreams by service and state.")
        self._reserved = _gauge(
            registry, "reserved_upstreams", "Upstreams reserved for important routes, by service."
        )
        self._paced = _gauge(registry, "paced_upstreams", "Upstreams whose openings are paced.")
        self._in_flight = _gauge(registry, "requests_in_flight", "Requests in flight at upstreams.")

    def copy(self, steering: Steering, now: Seconds) -> None:
        """Set the metrics to the present state."""
        catalog = steering.catalog
        self._version.set({}, catalog.version)
        self._out_of_reach.set({}, len(steering.readiness.out_of_reach))
        self._ready.set({}, int(steering.is_ready))
        hosts = steering.liveness.count(now)
        self._hosts.set({"state": "alive"}, hosts.alive)
        self._hosts.set({"state": "silent"}, hosts.known - hosts.alive)
        self._flows.set({}, len(steering.flows))
        states: Counter[tuple[str, UpstreamAvailability]] = Counter()
        for upstream in catalog.upstreams:
            states[upstream.entry.service, catalog.availability(upstream, now)] += 1
        shortages = steering.peer_placement.admission.shortages(now)
        for service in {upstream.entry.service for upstream in catalog.upstreams}:
            for availability in UpstreamAvailability:
                labels = {"service": service, "state": availability.value}
                self._upstreams.set(labels, states[service, availability])
            self._reserved.set({"service": service}, shortages.get(service, 0))
        self._paced.set({}, len(steering.pace.windows))
        self._in_flight.set(
            {}, sum(upstream.responses.under_way(now) for upstream in catalog.upstreams)
        )


class _ReportMetrics:
    """Reports exchanged with other hosts."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._peers = _gauge(registry, "peers", "Other hosts whose reports are in use.")
        self._reports = _counter(registry, "reports_total", "Reports sent and received.")
        self._report_bytes = _counter(
            registry, "report_bytes_total", "Bytes of reports sent and received, without headers."
        )
        self._rejected = _counter(
            registry, "reports_rejected_total", "Received reports that were not used."
        )

    def copy(self, counts: ReportCounts, peers: int) -> None:
        """Set the metrics to the present counts and the number of other hosts."""
        self._peers.set({}, peers)
        self._reports.set({"direction": "sent"}, counts.sent)
        self._reports.set({"direction": "received"}, counts.received)
        self._report_bytes.set({"direction": "sent"}, counts.sent_bytes)
        self._report_bytes.set({"direction": "received"}, counts.received_bytes)
        copy_counts(self._rejected, "reason", counts.rejected)


class SteeringMetrics:
    """The metrics registry of one host."""

    def __init__(self, sources: SteeringSources) -> None:
        self._sources = sources
        self._registry = aioprometheus.Registry()
        self._packets = _PacketMetrics(self._registry)
        self._store = _StoreMetrics(self._registry)
        self._state = _StateMetrics(self._registry)
        self._reports = _ReportMetrics(self._registry)
        self._latency = aioprometheus.Histogram(
            f"{PREFIX}_response_seconds",
            "Time from a request to the first acknowledgement of its response, in seconds.",
            registry=self._registry,
            buckets=LATENCY_BOUNDS_S,
        )

    def render(self, accepts: Sequence[str] = ()) -> tuple[bytes, Mapping[str, str]]:
        """Return the body and headers of a scrape for the given ``Accept`` values."""
        sources = self._sources
        steering = sources.steering
        self._packets.copy(steering.counters)
        self._store.copy(sources)
        self._state.copy(steering, sources.clock())
        self._reports.copy(sources.reports(), len(steering.peers.hosts))
        for service, histogram in steering.counters.responses.items():
            self._latency.set_value({"service": service}, bucket_counts(histogram))
        content, headers = aioprometheus.render(self._registry, list(accepts))
        return content, headers


def _counter(registry: aioprometheus.Registry, name: str, doc: str) -> Any:
    return aioprometheus.Counter(f"{PREFIX}_{name}", doc, registry=registry)


def _gauge(registry: aioprometheus.Registry, name: str, doc: str) -> Any:
    return aioprometheus.Gauge(f"{PREFIX}_{name}", doc, registry=registry)
