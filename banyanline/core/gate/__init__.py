"""The gate: admission control in front of one upstream, run by its owner."""

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
    # the gate
    "UpstreamGate",
    # initial state
    "GateStart",
    "HandOver",
    "StartCold",
    "StartHandedOver",
    "StartWarm",
    # inputs
    "Answered",
    "HealthReport",
    "ReportedState",
    "Shed",
    "TimedOut",
    "Unreachable",
    "Work",
    "WorkOutcome",
    # outputs
    "Abort",
    "CloseConnection",
    "GateEffect",
    "GateEffects",
    "LoadWord",
    "Refuse",
    "Start",
    "SuspicionReason",
]
