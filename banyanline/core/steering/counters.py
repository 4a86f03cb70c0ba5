"""Steering counters, kept as plain integers and exported as metrics."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from banyanline.core.counters import LatencyHistogram

if TYPE_CHECKING:
    from banyanline.core.steering.failure_detection import CheckResult
    from banyanline.core.steering.opening_window import PaceStep
    from banyanline.core.steering.outcomes import DropReason, ResetReason
    from banyanline.core.types import ServiceName


class SteeringCounters:
    """Counts of packets and health checks by outcome since the host started.

    ``references`` counts the attempts at upstreams that a check is compared with.
    ``elsewhere`` counts the placed flows whose upstream is in another data centre.
    ``responses`` holds response times in seconds, from a request to the first
    acknowledgement of its response. ``refused`` counts the opening packets for which a
    service had no upstream or no room, with retransmissions.
    """

    __slots__ = (
        "checks",
        "copies",
        "drops",
        "elsewhere",
        "forwarded",
        "held",
        "pace_steps",
        "placed",
        "references",
        "refused",
        "resets",
        "responses",
    )

    def __init__(self) -> None:
        self.forwarded = 0
        self.held = 0
        self.placed: Counter[ServiceName] = Counter()
        self.copies: Counter[ServiceName] = Counter()
        self.elsewhere: Counter[ServiceName] = Counter()
        self.refused: Counter[ServiceName] = Counter()
        self.resets: Counter[ResetReason] = Counter()
        self.checks: Counter[CheckResult] = Counter()
        self.references: Counter[CheckResult] = Counter()
        self.drops: Counter[DropReason] = Counter()
        self.pace_steps: Counter[PaceStep] = Counter()
        self.responses: defaultdict[ServiceName, LatencyHistogram] = defaultdict(LatencyHistogram)
