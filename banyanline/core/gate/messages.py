"""Inputs and outputs of an upstream's gate."""

from __future__ import annotations

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.types import Seconds

RequestId: TypeAlias = Hashable
FlowId: TypeAlias = Hashable


class Work(NamedTuple):
    """One request that a home offers to the owner of an upstream.

    ``deadline`` is in seconds of this host's monotonic clock. An established request
    belongs to a stream or transfer that the upstream has begun; it is accepted even while
    the upstream is leaving.
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
    """Report to the home that the request was not run, and when to retry it.

    ``retry_after_s`` is in seconds from now.
    """

    work: Work
    reason: RefusalReason
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a request at the upstream; ``reason`` is None if its home cancelled it."""

    work: Work
    reason: UnknownReason | None = None


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close a stream or flow that is open at the upstream."""

    flow: FlowId


GateEffect: TypeAlias = Start | Refuse | Abort | CloseConnection
GateEffects: TypeAlias = list[GateEffect]


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream responded, whether or not the request succeeded."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The upstream shed the request without running it and gave a retry delay in seconds."""

    retry_after_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No response came in time; the request may have run."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The network reported that no process listens at the upstream's endpoint."""


WorkOutcome: TypeAlias = Answered | Shed | TimedOut | Unreachable


class ReportedState(StrEnum):
    """The state that an upstream's health endpoint reports."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class HealthReport(NamedTuple):
    """One response of a health endpoint; ``boot`` identifies the upstream's present start."""

    boot: str
    state: ReportedState
    load: float = 0.0


class GateState(NamedTuple):
    """State of a gate for the next owner. Times are durations, as clocks differ.

    ``ramp_elapsed_s`` is None if the upstream has not responded since it was last
    suspected to have restarted.
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
    """The upstream's state is unknown; it is treated as just started.

    Nothing is sent for ``takeover_wait_s``, as a previous owner that did not hand over
    may still send or have requests running during that time.
    """

    takeover_wait_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class StartHandedOver:
    """The previous owner handed over; the gate uses the capacity that owner leaves free.

    Of the requests that were in flight then, ``running`` may still be, and ``ended_count``
    have ended since.
    """

    gate_state: GateState
    running: Collection[RequestId] = ()
    ended_count: int = 0


@dataclass(frozen=True, slots=True)
class StartWarm:
    """The upstream is known to be warm: it can take its full load."""


GateStart: TypeAlias = StartCold | StartHandedOver | StartWarm


class LoadSnapshot(NamedTuple):
    """Snapshot of an upstream's load, which the owner attaches to its replies to homes.

    ``slots`` is the number of concurrent requests allowed at this moment; 0 means that
    the upstream accepts none now. ``service_ms`` is the mean service time and
    ``expected_wait_ms`` the time that a new request would wait for its start.
    ``sequence`` grows with each snapshot of one gate.
    """

    in_flight: int
    queued: int
    slots: int
    expected_wait_ms: int
    service_ms: int
    cold: bool
    sequence: int


class SuspicionReason(StrEnum):
    """Why a gate suspects that the upstream has restarted or is unable to serve."""

    BOOT_CHANGED = "boot_changed"
    COLD_REPORTED = "cold_reported"
    HEALTH_MISSED = "health_missed"
    LATENCY_JUMP = "latency_jump"
    RETURNED = "returned"
    SHED_STREAK = "shed_streak"
    TIMEOUT_STREAK = "timeout_streak"
    UNREACHABLE = "unreachable"
