"""Health checks by TCP connection of upstreams that left callers' packets unanswered.

Each connection is closed as soon as it is established: the check shows whether a process
is listening and reachable, not how busy it is. An attempt stays open until its check ends,
as its answer may be waiting in this host's own queues.
"""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.check_evidence import HealthCheck
from banyanline.core.steering.failure_detection import CheckResult

if TYPE_CHECKING:
    from banyanline.core.steering.check_schedule import DueCheck
    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Endpoint, Seconds

ATTEMPT_INTERVAL_S = 0.15
"""Time from one attempt to the next, unless all attempts were refused before."""

REFERENCE_TIMEOUT_S = 0.6
"""Time limit of an attempt at a reference; later answers don't help the check any more."""

MAX_CONCURRENT_CHECKS = 64
"""Checks beyond this are skipped; the callers' retransmissions request them again."""

LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of attempts that failed on this host, without a packet to the upstream."""

log = structlog.get_logger()


class ConnectionChecker:
    """Runs the health checks that :class:`Steering` requests."""

    def __init__(self, steering: Steering, loop: asyncio.AbstractEventLoop) -> None:
        self._steering = steering
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._checks: dict[asyncio.Task[None], Upstream] = {}
        self._references: set[asyncio.Task[None]] = set()
        self._next_reference: asyncio.Task[None] | None = None

    def start_due(self) -> None:
        """Start the checks that are due, and set a timer for the next ones."""
        self._start_checks()
        next_at = self._steering.check_scheduler.next_at
        if next_at is None or (self._timer is not None and self._timer.when() <= next_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(next_at, self._on_timer)

    def close(self) -> None:
        """Cancel the running checks and the timer."""
        if self._timer is not None:
            self._timer.cancel()
        for task in (*self._checks, *self._references):
            task.cancel()

    def _on_timer(self) -> None:
        self._timer = None
        self._steering.check_scheduler.on_timer(self._loop.time())
        self.start_due()

    def _start_checks(self) -> None:
        for check in self._steering.check_scheduler.take_due():
            if len(self._checks) >= MAX_CONCURRENT_CHECKS:
                log.info("check_skipped", upstream=check.upstream.name, under_way=len(self._checks))
                self._steering.on_check(check, CheckResult.UNKNOWN, self._loop.time())
                continue
            task = asyncio.create_task(self._run(check))
            self._checks[task] = check.upstream
            task.add_done_callback(self._checks.pop)

    async def _run(self, check: DueCheck) -> None:
        health_check = HealthCheck(check.upstream, self._steering.reference_answers)
        result = await self._check(health_check)
        now = self._loop.time()
        self._steering.on_check(check, result, now)
        log.info(
            "upstream_checked",
            upstream=check.upstream.name,
            result=result.value,
            took_s=round(now - check.began_at, 3),
            attempts=health_check.attempts,
            reference=health_check.reference.name if health_check.reference else "",
            revision=check.upstream.revision,
        )
        self.start_due()

    async def _check(self, health_check: HealthCheck) -> CheckResult:
        """Make attempts until there is a result."""
        attempts: set[asyncio.Task[CheckResult]] = set()
        result: CheckResult | None = None
        try:
            while result is None:
                attempts.add(asyncio.create_task(self._attempt(health_check)))
                result = await self._wait(attempts, self._reference_for(health_check))
                result = result or health_check.result(self._loop.time())
        finally:
            for attempt in attempts:
                attempt.cancel()
        return result

    async def _wait(
        self, attempts: set[asyncio.Task[CheckResult]], reference: asyncio.Task[None] | None
    ) -> CheckResult | None:
        """Wait for an answer until the next attempt is due; return the result, or None.

        Returns earlier if all attempts were refused and the reference has ended.
        """
        until = self._loop.time() + ATTEMPT_INTERVAL_S
        while pending := {task for task in (*attempts, reference) if task and not task.done()}:
            left_s = until - self._loop.time()
            if left_s <= 0.0:
                break
            await asyncio.wait(pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            for attempt in attempts:
                if attempt.done() and attempt.result() is not CheckResult.UNANSWERED:
                    return attempt.result()
        return None

    async def _attempt(self, health_check: HealthCheck) -> CheckResult:
        began_at = self._loop.time()
        health_check.begin_attempt(began_at)
        result = await connect(health_check.upstream.entry.endpoint)
        if result is CheckResult.ANSWERED:
            self._steering.reference_answers.on_answer(
                health_check.upstream, began_at, self._loop.time()
            )
        elif result is CheckResult.UNANSWERED:
            health_check.on_refused()
        return result

    def _reference_for(self, health_check: HealthCheck) -> asyncio.Task[None] | None:
        """Return an attempt at a reference that begins after the latest attempt of a check.

        Checks that make an attempt at the same time share one. The first attempt of a
        check has none, as most checks are answered.
        """
        if health_check.attempts == 0:
            return None
        if self._next_reference is None:
            self._next_reference = asyncio.create_task(self._try_reference())
            self._references.add(self._next_reference)
            self._next_reference.add_done_callback(self._references.discard)
        return self._next_reference

    async def _try_reference(self) -> None:
        self._next_reference = None
        # Attempts of checks that start in this iteration of the loop have to begin earlier,
        # so that this answer counts for them.
        await asyncio.sleep(0)
        answers, began_at = self._steering.reference_answers, self._loop.time()
        upstream = answers.choose_reference(set(self._checks.values()), began_at)
        if upstream is None:
            return
        result = await connect(upstream.entry.endpoint, REFERENCE_TIMEOUT_S)
        self._steering.counters.references[result] += 1
        if result is CheckResult.ANSWERED:
            answers.on_answer(upstream, began_at, self._loop.time())


async def connect(endpoint: Endpoint, timeout_s: Seconds | None = None) -> CheckResult:
    """Attempt a TCP connection to ``endpoint``; without a timeout, until it is cancelled."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(endpoint.ip, endpoint.port)
    except TimeoutError:
        return CheckResult.UNANSWERED
    except OSError as error:
        is_local = error.errno in LOCAL_ERRORS
        return CheckResult.UNKNOWN if is_local else CheckResult.UNANSWERED
    writer.close()
    return CheckResult.ANSWERED
