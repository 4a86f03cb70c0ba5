from __future__ import annotations

import random

import pytest

from banyanline.core.answers import RefusalReason
from banyanline.core.gate import (
    Answered,
    HealthReport,
    Refuse,
    ReportedState,
    Start,
    StartWarm,
    UpstreamGate,
    Work,
)
from banyanline.core.gate.messages import RequestId
from banyanline.core.model import ColdStart, Upstream
from banyanline.core.types import Endpoint

COLD_START = ColdStart(duration_s=10.0, initial_slots=1, initial_rate=5.0)
WARM_REPORT = HealthReport("boot-1", ReportedState.WARM)


def make_gate(
    start: GateStart | None = None, slots: int = 2, connections: int = 2000
) -> UpstreamGate:
    upstream = Upstream(
        "orders-1",
        "orders",
        "north",
        Endpoint("203.0.113.1", 5683),
        slots=slots,
        connections=connections,
    )
    return UpstreamGate(upstream, COLD_START, start or StartWarm(), 0.0, random.Random(1))


def started(effects: GateEffects) -> list[RequestId]:
    return [effect.work.request_id for effect in effects if isinstance(effect, Start)]


def refused(effects: GateEffects) -> list[tuple[RequestId, RefusalReason]]:
    return [
        (effect.work.request_id, effect.reason) for effect in effects if isinstance(effect, Refuse)
    ]


def serve(gate: UpstreamGate, count: int, now: float, service_s: float = 0.1) -> float:
    """Let ``count`` requests be answered, one after the other."""
    for _ in range(count):
        assert started(gate.offer(Work("served", now + 5.0), now)) == ["served"]
        now += service_s
        gate.finished("served", Answered(), now)
        now += 0.2
    return now


@pytest.mark.parametrize(
    ("deadline", "expected"),
    [
        pytest.param(1.1, RefusalReason.DEADLINE_PASSED, id="passed"),
        pytest.param(1.2, RefusalReason.DEADLINE_TOO_SHORT, id="shorter than queue and service"),
    ],
)
def test_work_that_cannot_be_answered_in_time_is_refused_at_once(deadline, expected):
    gate = make_gate()
    now = serve(gate, 3, 0.0)
    for name in "abc":
        gate.offer(Work(name, now + 5.0), now)
    [effect] = gate.offer(Work("late", now - 1.1 + deadline), now)
    assert (effect.work.request_id, effect.reason) == ("late", expected)
    assert effect.retry_after_s > 0.0
