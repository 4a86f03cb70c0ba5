"""Health of one upstream as its gate sees it: suspected restarts, draining, circuit breaker.

Outcomes on the data path take precedence over reports of the health endpoint, which may
lag or be wrong.
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
DRAINING_OVERRIDE_ANSWERS = 10
MAX_BOOT_CHANGES = 3
BOOT_CHANGE_WINDOW_S = 100.0
FIRST_TRIAL_INTERVAL_S = 0.5
MAX_TRIAL_INTERVAL_S = 8.0
TRIAL_JITTER = 0.25


class UpstreamHealth:
    """Detects suspected restarts of an upstream, and holds its circuit breaker.

    The evidence is streaks of bad outcomes and changes of the boot identity. Methods that
    record an event return why the upstream is now suspected, or None. The circuit breaker
    opens when several requests in a row time out or find the upstream unreachable; then only
    single trial requests pass, with a growing interval, until one gets a response.
    """

    def __init__(self, rng: random.Random, boot: str | None = None) -> None:
        self._rng = rng
        self._boot = boot
        self._boot_changes: deque[Seconds] = deque()
        self._bad_streak = 0
        self._unanswered_streak = 0
        self._unreachable_streak = 0
        self._slow_streak = 0
        self._has_restart_evidence = False
        self._missed_reports = 0
        self._has_suspected_missed = False
        self._is_draining_reported = False
        self._draining_answers = 0
        self._trial_interval_s: Seconds = FIRST_TRIAL_INTERVAL_S
        self._next_trial_at: Seconds | None = None
        self._trial_boot: str | None = None
        self._has_report_since_trial = False
        self._suspicions: Counter[SuspicionReason] = Counter()

    @property
    def boot(self) -> str | None:
        """The boot identity of the last report."""
        return self._boot

    @property
    def is_circuit_open(self) -> bool:
        """Whether the circuit breaker is open: the upstream does not respond, only trials pass."""
        return self._next_trial_at is not None

    @property
    def next_trial_at(self) -> Seconds | None:
        """When the open circuit breaker lets the next trial pass."""
        return self._next_trial_at

    @property
    def is_draining(self) -> bool:
        """Whether draining is reported and not contradicted by the requests answered since."""
        return self._is_draining_reported and self._draining_answers < DRAINING_OVERRIDE_ANSWERS

    @property
    def suspicions(self) -> Counter[SuspicionReason]:
        """Number of suspicions by reason."""
        return self._suspicions

    def may_send_trial(self, idempotent: bool, now: Seconds) -> bool:
        """Return whether the open circuit breaker lets a request pass as a trial.

        A non-idempotent request passes only if the health endpoint has responded since the
        last trial, as the outcome of the request may stay unknown.
        """
        is_due = self._next_trial_at is not None and now >= self._next_trial_at
        return is_due and (idempotent or self._has_report_since_trial)

    def record_trial(self, now: Seconds) -> None:
        """Record that a trial was sent; the interval to the next one doubles up to a maximum."""
        self._has_report_since_trial = False
        jitter = self._rng.uniform(1.0 - TRIAL_JITTER, 1.0 + TRIAL_JITTER)
        self._next_trial_at = now + self._trial_interval_s * jitter
        self._trial_interval_s = min(MAX_TRIAL_INTERVAL_S, 2.0 * self._trial_interval_s)

    def record_outcome(
        self, outcome: WorkOutcome, elapsed_s: Seconds, mean_s: Seconds, now: Seconds
    ) -> SuspicionReason | None:
        """Record the outcome of a request after ``elapsed_s``; ``mean_s`` is the mean time."""
        is_slow = elapsed_s > SLOW_FACTOR * mean_s
        return self._count_suspicion(_handle_outcome(outcome, self, is_slow, now))

    def record_report(self, report: HealthReport, now: Seconds) -> SuspicionReason | None:
        """Record a response of the health endpoint.

        A changed boot identity counts as a restart. If it changes more often than an
        upstream may plausibly restart, it counts only if outcomes of requests since the
        last report suggest a restart too. A first report of "cold" counts as well. The
        reported load is not used, and "warm" does not shorten the slow start.
        """
        self._missed_reports = 0
        self._has_suspected_missed = False
        self._set_draining(report.state is ReportedState.DRAINING)
        reason = self._check_boot(report, now)
        self._has_report_since_trial = True
        if self.is_circuit_open and report.boot != self._trial_boot:
            self._trial_boot = report.boot
            self._next_trial_at = now
        self._has_restart_evidence = False
        return self._count_suspicion(reason)

    def record_missed(self, now: Seconds) -> SuspicionReason | None:
        """Record that the health endpoint did not respond."""
        self._missed_reports += 1
        if self._missed_reports < MISSED_REPORTS or self._has_suspected_missed:
            return None
        self._has_suspected_missed = True
        return self._count_suspicion(SuspicionReason.HEALTH_MISSED)

    def _count_suspicion(self, reason: SuspicionReason | None) -> SuspicionReason | None:
        if reason is not None:
            self._suspicions[reason] += 1
        return reason

    def _set_draining(self, is_draining: bool) -> None:
        if is_draining != self._is_draining_reported:
            self._draining_answers = 0
        self._is_draining_reported = is_draining

    def _check_boot(self, report: HealthReport, now: Seconds) -> SuspicionReason | None:
        previous_boot, self._boot = self._boot, report.boot
        if previous_boot is None:
            return SuspicionReason.COLD_REPORTED if report.state is ReportedState.COLD else None
        if report.boot == previous_boot:
            return None
        while self._boot_changes and now - self._boot_changes[0] > BOOT_CHANGE_WINDOW_S:
            self._boot_changes.popleft()
        is_plausible = len(self._boot_changes) < MAX_BOOT_CHANGES
        self._boot_changes.append(now)
        if len(self._boot_changes) > MAX_BOOT_CHANGES:
            self._boot_changes.popleft()
        return SuspicionReason.BOOT_CHANGED if is_plausible or self._has_restart_evidence else None

    def _handle_answered(self, is_slow: bool) -> SuspicionReason | None:
        self._bad_streak = 0
        self._unanswered_streak = 0
        self._unreachable_streak = 0
        self._missed_reports = 0
        self._draining_answers += self._is_draining_reported
        self._close_circuit()
        self._slow_streak = self._slow_streak + 1 if is_slow else 0
        if self._slow_streak < SLOW_STREAK:
            return None
        self._slow_streak = 0
        self._has_restart_evidence = True
        return SuspicionReason.LATENCY_JUMP

    def _count_bad(self, reason: SuspicionReason) -> SuspicionReason | None:
        self._has_restart_evidence = True
        self._bad_streak += 1
        if self._bad_streak < BAD_STREAK:
            return None
        self._bad_streak = 0
        return reason

    def _count_unanswered(self, now: Seconds) -> None:
        self._unanswered_streak += 1
        if self._unanswered_streak >= UNANSWERED_STREAK:
            self._open_circuit(now)

    def _open_circuit(self, now: Seconds) -> None:
        if not self.is_circuit_open:
            self._trial_boot = None
            self.record_trial(now)

    def _close_circuit(self) -> None:
        self._next_trial_at = None
        self._trial_interval_s = FIRST_TRIAL_INTERVAL_S


@singledispatch
def _handle_outcome(
    outcome: WorkOutcome, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    raise TypeError(f"unknown outcome of a request: {outcome!r}")


@_handle_outcome.register(Answered)
def _(
    outcome: Answered, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    return health._handle_answered(is_slow)


@_handle_outcome.register(Shed)
def _(outcome: Shed, health: UpstreamHealth, is_slow: bool, now: Seconds) -> SuspicionReason | None:
    health._unanswered_streak = 0
    health._unreachable_streak = 0
    health._draining_answers = 0
    health._close_circuit()
    return health._count_bad(SuspicionReason.SHED_STREAK)


@_handle_outcome.register(TimedOut)
def _(
    outcome: TimedOut, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    if not is_slow:
        return None
    health._count_unanswered(now)
    return health._count_bad(SuspicionReason.TIMEOUT_STREAK)


@_handle_outcome.register(Unreachable)
def _(
    outcome: Unreachable, health: UpstreamHealth, is_slow: bool, now: Seconds
) -> SuspicionReason | None:
    health._has_restart_evidence = True
    health._unreachable_streak += 1
    if health._unreachable_streak >= UNREACHABLE_STREAK:
        health._open_circuit(now)
    return SuspicionReason.UNREACHABLE
