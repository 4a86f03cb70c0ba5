"""Counters of the core, kept as plain integers and exported by :mod:`banyanline.net.metrics`."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from banyanline.core.error_responses import RefusalReason, UnknownReason
    from banyanline.core.retry import RetryReason
    from banyanline.core.types import Seconds, ServiceName

LATENCY_BOUNDS_S: Final = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
"""Upper bounds of the latency buckets in seconds; a last bucket has no upper bound."""


class DropReason(StrEnum):
    """Why a datagram or message was dropped without a response."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    UNKNOWN_SERVICE = "unknown_service"
    NO_HOME = "no_home"
    NO_OWNER = "no_owner"
    HOP_LIMIT = "hop_limit"
    FLOW_TABLE_FULL = "flow_table_full"
    DATA_CENTRE_OUT = "data_centre_out"
    LATE_ANSWER = "late_answer"
    LATE_RESULT = "late_result"
    UNMATCHED_ANSWER = "unmatched_answer"
    STRAY_EMPTY = "stray_empty"
    STRAY_RESPONSE = "stray_response"
    STALE_NOTIFICATION = "stale_notification"
    UNKNOWN_STREAM = "unknown_stream"
    HELD_TOO_MANY = "held_too_many"
    SEND_BUFFER_FULL = "send_buffer_full"
    LEASE_NOT_FRESH = "standing_back"


class FlowEnd(StrEnum):
    """Why an open flow or stream ended."""

    IDLE = "idle"
    CALLER_LEFT = "caller_left"
    UPSTREAM_ENDED = "upstream_ended"
    DATA_CENTRE_OUT = "data_centre_out"
    UPSTREAM_REMOVED = "upstream_removed"
    RECOVERY_FAILED = "recovery_failed"


class LatencyHistogram:
    """Histogram of durations with fixed buckets, so that memory use is constant.

    >>> histogram = LatencyHistogram()
    >>> histogram.observe(0.003)
    >>> histogram.count, histogram.buckets[3]
    (1, 1)
    """

    __slots__ = ("buckets", "count", "sum_s")

    def __init__(self) -> None:
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.count = 0
        self.sum_s = 0.0

    def observe(self, duration_s: Seconds) -> None:
        """Count one duration."""
        self.buckets[bisect_left(LATENCY_BOUNDS_S, duration_s)] += 1
        self.count += 1
        self.sum_s += duration_s


ByService: TypeAlias = "defaultdict[tuple[StrEnum, ServiceName], int]"


class Counters:
    """Counts of refused, retried, dropped and answered requests since the balancer started.

    >>> from banyanline.core.error_responses import RefusalReason
    >>> counters = Counters()
    >>> counters.refuse(RefusalReason.QUEUE_FULL, "orders")
    >>> dict(counters.refusals)
    {(<RefusalReason.QUEUE_FULL: 'queue_full'>, 'orders'): 1}
    """

    __slots__ = (
        "answers",
        "claims",
        "drops",
        "duplicates",
        "flow_ends",
        "flows_given_up",
        "latency",
        "recovered",
        "refusals",
        "retries",
        "unknown_outcomes",
    )

    def __init__(self) -> None:
        self.refusals: ByService = defaultdict(int)
        self.unknown_outcomes: ByService = defaultdict(int)
        self.retries: ByService = defaultdict(int)
        self.drops: defaultdict[StrEnum, int] = defaultdict(int)
        self.answers: defaultdict[ServiceName, int] = defaultdict(int)
        self.duplicates: defaultdict[str, int] = defaultdict(int)
        self.claims: defaultdict[str, int] = defaultdict(int)
        self.recovered: defaultdict[str, int] = defaultdict(int)
        self.flow_ends: ByService = defaultdict(int)
        self.flows_given_up: defaultdict[ServiceName, int] = defaultdict(int)
        self.latency: defaultdict[ServiceName, LatencyHistogram] = defaultdict(LatencyHistogram)

    def refuse(self, reason: RefusalReason, service: ServiceName) -> None:
        """Count a request that was refused before any upstream ran it."""
        self.refusals[reason, service] += 1

    def count_unknown_outcome(
        self, reason: UnknownReason | RefusalReason, service: ServiceName
    ) -> None:
        """Count a request whose outcome is unknown."""
        self.unknown_outcomes[reason, service] += 1

    def retry(self, reason: RetryReason, service: ServiceName) -> None:
        """Count a request that was sent to an upstream again."""
        self.retries[reason, service] += 1

    def drop(self, reason: StrEnum) -> None:
        """Count a datagram or message that was dropped without a response."""
        self.drops[reason] += 1

    def answer(self, service: ServiceName, latency_s: Seconds) -> None:
        """Count an upstream's response and record the latency since the request arrived."""
        self.answers[service] += 1
        self.latency[service].observe(latency_s)

    def count_flow_end(self, reason: FlowEnd, service: ServiceName) -> None:
        """Count a flow or stream that ended.

        One whose data centre was taken out of service also counts as given up.
        """
        self.flow_ends[reason, service] += 1
        if reason is FlowEnd.DATA_CENTRE_OUT:
            self.flows_given_up[service] += 1
