"""What a gate concludes on the state of its upstream.

What the gate itself saw on the data path goes before what the health endpoint
says: reports may lag or be wrong.
"""

from __future__ import annotations

from collections import Counter, deque
from functools import singledispatch
from typing import TYPE_CHECKING

from banyanline.core.gate.messages import (
    Answered,
    HealthReport,
    ReportedState,
    Shed,
    SuspicionReason,
    TimedOut,
    Unreachable,
    WorkOutcome,
)

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

BAD_STREAK = 3
UNANSWERED_STREAK = 5
UNREACHABLE_STREAK = 2
SLOW_STREAK = 4
SLOW_FACTOR = 4.0
MISSED_REPORTS = 3
DRAINING_DOUBT_ANSWERS = 10
BOOT_CHANGES_BELIEVED = 3
BOOT_CHANGE_WINDOW_S = 100.0
FIRST_TRIAL_S = 0.5
MAX_TRIAL_S = 8.0
TRIAL_JITTER = 0.25


class UpstreamHealth:
    """Streaks of bad outcomes, boot identities, and the circuit that they open.

    The methods return why the upstream is now taken to have restarted, or None.
    The circuit opens when requests go unanswered in a row; then only single
    trials pass, with a growing interval, until one is answered.
    """

    def __init__(self, rng: random.Random, boot: str | None = None) -> None:
        self._rng = rng
        self._boot = boot
        self._boot_changes: deque[Seconds] = deque()
        self._bad_streak = 0
        self._unanswered_streak = 0
        self._unreachable_streak = 0
        self._slow_streak = 0
        self._has_evidence = False
        self._missed = 0
        self._is_missed_suspected = False
        self._is_draining_reported = False
        self._draining_answers = 0
        self._trial_interval_s: Seconds = FIRST_TRIAL_S
        self._next_trial_at: Seconds | None = None
        self._trial_boot: str | None = None
        self._is_reported_since_trial = False
        self._suspicions: Counter[SuspicionReason] = Counter()

    @property
    def boot(self) -> str | None:
        """The boot identity of the last report."""
        return self._boot

    @property
    def is_circuit_open(self) -> bool:
        """Whether the upstream leaves requests unanswered, so that only trials pass."""
        return self._next_trial_at is not None

    @property
    def next_trial_at(self) -> Seconds | None:
        """When the open circuit lets the next trial pass."""
        return self._next_trial_at

    @property
    def is_draining(self) -> bool:
        """Whether a report of draining is believed: requests have not shown otherwise."""
        return self._is_draining_reported and self._draining_answers < DRAINING_DOUBT_ANSWERS

    @property
    def suspicions(self) -> Counter[SuspicionReason]:
        """How often each reason was found."""
        return self._suspicions

    def may_try(self, idempotent: bool, now: Seconds) -> bool:
        """Whether the open circuit lets a request pass as a trial.

        One that is not idempotent passes only if the health endpoint has
        answered since the last trial, as its outcome may stay unknown.
        """
        is_due = self._next_trial_at is not None and now >= self._next_trial_at
        return is_due and (idempotent or self._is_reported_since_trial)

    def tried(self, now: Seconds) -> None:
        """Take in that a trial was sent: the next one is due after a longer interval."""
        self._is_reported_since_trial = False
        jitter = self._rng.uniform(1.0 - TRIAL_JITTER, 1.0 + TRIAL_JITTER)
        self._next_trial_at = now + self._trial_interval_s * jitter
        self._trial_interval_s = min(MAX_TRIAL_S, 2.0 * self._trial_interval_s)

    def outcome(
        self, outcome: WorkOutcome, elapsed_s: Seconds, mean_s: Seconds, now: Seconds
    ) -> SuspicionReason | None:
        """Take in how a request ended after ``elapsed_s``, where ``mean_s`` is usual."""
        is_slow = elapsed_s > SLOW_FACTOR * mean_s
        return self._counted(_note(outcome, self, is_slow, now))

    def report(self, report: HealthReport, now: Seconds) -> SuspicionReason | None:
        """Take in an answer of the health endpoint.

        Only a new boot identity weighs, and only as often as an upstream may
        plausibly restart unless requests went wrong too. The reported load is
        not used, and "warm" shortens nothing.
        """
        self._missed = 0
        self._is_missed_suspected = False
        self._note_draining(report.state is ReportedState.DRAINING)
        reason = self._boot_suspicion(report, now)
        self._is_reported_since_trial = True
        if self.is_circuit_open and report.boot != self._trial_boot:
            self._trial_boot = report.boot
            self._next_trial_at = now
        self._has_evidence = False
        return self._counted(reason)

    def missed(self, now: Seconds) -> SuspicionReason | None:
        """Take in that the health endpoint did not answer."""
        self._missed += 1
        if self._missed < MISSED_REPORTS or self._is_missed_suspected:
            return None
        self._is_missed_suspected = True
        return self._counted(SuspicionReason.HEALTH_MISSED)

    def _counted(self, reason: SuspicionReason | None) -> SuspicionReason | None:
        if reason is not None:
            self._suspicions[reason] += 1
        return reason

    def _note_draining(self, is_draining: bool) -> None:
        if is_draining != self._is_draining_reported:
            self._draining_answers = 0
        self._is_draining_reported = is_draining

    def _boot_suspicion(self, report: HealthReport, now: Seconds) -> SuspicionReason | None:
        known, self._boot = self._boot, report.boot
        if known is None:
            return SuspicionReason.COLD_REPORTED if report.state is ReportedState.COLD else None
        if report.boot == known:
            return None
        while self._boot_changes and now - self._boot_changes[0] > BOOT_CHANGE_WINDOW_S:
            self._boot_changes.popleft()
        is_plausible = len(self._boot_changes) < BOOT_CHANGES_BELIEVED
        self._boot_changes.append(now)
        if len(self._boot_changes) > BOOT_CHANGES_BELIEVED:
            self._boot_changes.popleft()
        return SuspicionReason.BOOT_CHANGED if is_plausible or self._has_evidence else None

    def _answered(self, is_slow: bool) -> SuspicionReason | None:
        self._bad_streak = 0
        self._unanswered_streak = 0
        self._unreachable_streak = 0
        self._missed = 0
        self._draining_answers += self._is_draining_reported
        self._close_circuit()
        self._slow_streak = self._slow_streak + 1 if is_slow else 0
        if self._slow_streak < SLOW_STREAK:
            return None
        self._slow_streak = 0
        self._has_evidence = True
        return SuspicionReason.LATENCY_JUMP

    def _bad(self, reason: SuspicionReason) -> SuspicionReason | None:
        self._has_evidence = True
        self._bad_streak += 1
        if self._bad_streak < BAD_STREAK:
            return None
        self._bad_streak = 0
        return reason

    def _unanswered(self, now: Seconds) -> None:
        self._unanswered_streak += 1
        if self._unanswered_streak >= UNANSWERED_STREAK:
            self._open_circuit(now)

    def _open_circuit(self, now: Seconds) -> None:
        if not self.is_circuit_open:
            self._trial_boot = None
            self.tried(now)

    def _close_circuit(self) -> None:
        self._next_trial_at = None
        self._trial_interval_s = FIRST_TRIAL_S


@singledispatch
def _note(
    outcome: WorkOutcome, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    raise TypeError(f"no such outcome: {outcome!r}")


@_note.register(Answered)
def _(
    outcome: Answered, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    return health._answered(is_slow)


@_note.register(Shed)
def _(outcome: Shed, health: UpstreamHealth, is_slow: bool, now: Seconds) -> SuspicionReason | None:
    health._unanswered_streak = 0
    health._unreachable_streak = 0
    health._draining_answers = 0
    health._close_circuit()
    return health._bad(SuspicionReason.SHED_STREAK)


@_note.register(TimedOut)
def _(
    outcome: TimedOut, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    if not is_slow:
        return None
    health._unanswered(now)
    return health._bad(SuspicionReason.TIMEOUT_STREAK)


@_note.register(Unreachable)
def _(
    outcome: Unreachable, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    health._has_evidence = True
    health._unreachable_streak += 1
    if health._unreachable_streak >= UNREACHABLE_STREAK:
        health._open_circuit(now)
    return SuspicionReason.UNREACHABLE
