"""The gate: admission control in front of one upstream, run by its owner."""

from banyanline.core.gate.gate import UpstreamGate
from banyanline.core.gate.messages import (
    Abort,
    Answered,
    CloseConnection,
    GateEffect,
    GateEffects,
    GateStart,
    GateState,
    HealthReport,
    LoadSnapshot,
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
    "GateState",
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
    "LoadSnapshot",
    "Refuse",
    "Start",
    "SuspicionReason",
]
