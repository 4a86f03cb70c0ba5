"""The owner's gate before an upstream."""

from banyanline.core.gate.gate import UpstreamGate
from banyanline.core.gate.messages import (
    Abort,
    Answered,
    CloseConnection,
    GateEffect,
    GateEffects,
    GateStart,
    HandOver,
    HealthReport,
    LoadWord,
    Refuse,
    ReportedState,
    Shed,
    Start,
    StartCold,
    StartHandedOver,
    StartWarm,
    SuspicionReason,
    TimedOut,
    Unreachable,
    Work,
    WorkOutcome,
)

__all__ = [
    # the aggregate
    "UpstreamGate",
    # how it starts
    "GateStart",
    "HandOver",
    "StartCold",
    "StartHandedOver",
    "StartWarm",
    # what goes in
    "Answered",
    "HealthReport",
    "ReportedState",
    "Shed",
    "TimedOut",
    "Unreachable",
    "Work",
    "WorkOutcome",
    # what comes out
    "Abort",
    "CloseConnection",
    "GateEffect",
    "GateEffects",
    "LoadWord",
    "Refuse",
    "Start",
    "SuspicionReason",
]
