"""What goes into an upstream's gate and what comes out of it."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from banyanline.core.answers import RefusalReason, UnknownReason
from banyanline.core.types import Seconds

RequestId: TypeAlias = Hashable
FlowId: TypeAlias = Hashable


class Work(NamedTuple):
    """One request that a home offers to the owner of an upstream.

    ``deadline`` is a time of this host's monotonic clock in seconds. An established
    one belongs to a stream or transfer that the upstream has begun, and is taken on
    while the upstream is leaving.
    """

    request_id: RequestId
    deadline: Seconds
    idempotent: bool = False
    is_stream: bool = False
    is_established: bool = False


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the upstream now."""

    work: Work


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the home that the request was not run and when another try is worth it.

    ``retry_after_s`` counts from now, in seconds.
    """

    work: Work
    reason: RefusalReason
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a request at the upstream. Without a ``reason`` the home asked for it."""

    work: Work
    reason: UnknownReason | None = None


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Give up a stream or flow that is open at the upstream."""

    flow: FlowId


GateEffect: TypeAlias = Start | Refuse | Abort | CloseConnection
GateEffects: TypeAlias = list[GateEffect]


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream answered, with whatever outcome the request had."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The upstream refused the request without running it and named a wait in seconds."""

    retry_after_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer came in time; the request may have run."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The network reported that no process takes datagrams at the upstream's endpoint."""


WorkOutcome: TypeAlias = Answered | Shed | TimedOut | Unreachable


class ReportedState(StrEnum):
    """What an upstream's health endpoint says of itself."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class HealthReport(NamedTuple):
    """One answer of a health endpoint. ``boot`` names this start of the upstream."""

    boot: str
    state: ReportedState
    load: float = 0.0


class HandOver(NamedTuple):
    """What a ceding owner tells the next one. Times are durations, as clocks differ.

    ``ramp_elapsed_s`` is None while the upstream has not answered since it was
    last taken to have restarted.
    """

    in_flight: int
    connections: int
    latest_deadline_in_s: Seconds
    ramp_elapsed_s: Seconds | None
    next_start_in_s: Seconds
    service_time_s: Seconds
    boot: str | None


@dataclass(frozen=True, slots=True)
class StartCold:
    """The upstream's state is not known; it is treated as just started.

    Nothing is sent for ``takeover_wait_s``, within which a previous owner that
    did not cede may still send or have requests running.
    """

    takeover_wait_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class StartHandedOver:
    """The previous owner ceded; the gate uses what that one does not."""

    hand_over: HandOver


@dataclass(frozen=True, slots=True)
class StartWarm:
    """The upstream is known to bear its full load."""


GateStart: TypeAlias = StartCold | StartHandedOver | StartWarm


class LoadWord(NamedTuple):
    """An owner's word on an upstream's load, which rides on its replies to homes.

    ``slots`` is what the upstream bears at this moment; 0 means that it takes
    nothing now. ``service_ms`` is the mean time of one request and
    ``expected_wait_ms`` the time that a new request would wait before it.
    ``sequence`` grows with each word of one gate.
    """

    in_flight: int
    queued: int
    slots: int
    expected_wait_ms: int
    service_ms: int
    cold: bool
    sequence: int


class SuspicionReason(StrEnum):
    """Why a gate takes the upstream to have restarted or to be unable to serve."""

    BOOT_CHANGED = "boot_changed"
    COLD_REPORTED = "cold_reported"
    HEALTH_MISSED = "health_missed"
    LATENCY_JUMP = "latency_jump"
    RETURNED = "returned"
    SHED_STREAK = "shed_streak"
    TIMEOUT_STREAK = "timeout_streak"
    UNREACHABLE = "unreachable"
