"""Counts that steering keeps as plain integers, for metrics."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from banyanline.core.counters import LatencyHistogram

if TYPE_CHECKING:
    from banyanline.core.steering.outcomes import DropReason, ResetReason
    from banyanline.core.steering.silence import CheckResult
    from banyanline.core.types import ServiceName


class SteeringCounters:
    """What a host has done with callers' packets since it started.

    ``responses`` holds the times from a request to the first acknowledgement of
    its answer, in seconds.
    """

    __slots__ = ("checks", "copies", "drops", "forwarded", "held", "placed", "resets", "responses")

    def __init__(self) -> None:
        self.forwarded = 0
        self.held = 0
        self.placed: Counter[ServiceName] = Counter()
        self.copies: Counter[ServiceName] = Counter()
        self.resets: Counter[ResetReason] = Counter()
        self.checks: Counter[CheckResult] = Counter()
        self.drops: Counter[DropReason] = Counter()
        self.responses: defaultdict[ServiceName, LatencyHistogram] = defaultdict(LatencyHistogram)
