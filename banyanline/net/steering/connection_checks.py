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

from banyanline.core.steering.check_evidence import CheckTrial
from banyanline.core.steering.failure_detection import CheckResult

if TYPE_CHECKING:
    from banyanline.core.steering.check_schedule import DueCheck
    from banyanline.core.steering.steering import Steering
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Endpoint, Seconds

ATTEMPT_INTERVAL_S = 0.15
"""Time from one attempt to the next; a check whose attempts were refused does not wait."""

REFERENCE_TIMEOUT_S = 0.6
"""An answer after more time comes too late for the check that it was meant for."""

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
        trial = CheckTrial(check.upstream, self._steering.host_path)
        result = await self._check(trial)
        now = self._loop.time()
        self._steering.on_check(check, result, now)
        log.info(
            "upstream_checked",
            upstream=check.upstream.name,
            result=result.value,
            took_s=round(now - check.began_at, 3),
            attempts=trial.attempts,
            reference=trial.reference.name if trial.reference else "",
            revision=check.upstream.revision,
        )
        self.start_due()

    async def _check(self, trial: CheckTrial) -> CheckResult:
        """Make attempts until one is answered, or their failure is proved or stays unclear."""
        attempts: set[asyncio.Task[CheckResult]] = set()
        result: CheckResult | None = None
        try:
            while result is None:
                attempts.add(asyncio.create_task(self._attempt(trial)))
                result = await self._wait(attempts, self._reference_for(trial))
                result = result or trial.result(self._loop.time())
        finally:
            for attempt in attempts:
                attempt.cancel()
        return result

    async def _wait(
        self, attempts: set[asyncio.Task[CheckResult]], reference: asyncio.Task[None] | None
    ) -> CheckResult | None:
        """Wait for the next attempt's time; return the result if an attempt is answered.

        Returns earlier if neither the attempts nor the reference have anything to wait for.
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

    async def _attempt(self, trial: CheckTrial) -> CheckResult:
        began_at = self._loop.time()
        trial.begin_attempt(began_at)
        result = await connect(trial.upstream.entry.endpoint)
        if result is CheckResult.ANSWERED:
            self._steering.host_path.on_answer(trial.upstream, began_at, self._loop.time())
        elif result is CheckResult.UNANSWERED:
            trial.on_refused()
        return result

    def _reference_for(self, trial: CheckTrial) -> asyncio.Task[None] | None:
        """Return an attempt at a reference that begins after the latest attempt of a check.

        Checks that make an attempt at the same time share one. The first attempt of a
        check has none, as most checks are answered.
        """
        if trial.attempts == 0:
            return None
        if self._next_reference is None:
            self._next_reference = asyncio.create_task(self._try_reference())
            self._references.add(self._next_reference)
            self._next_reference.add_done_callback(self._references.discard)
        return self._next_reference

    async def _try_reference(self) -> None:
        self._next_reference = None
        # The attempts that begin in this iteration of the loop go first.
        await asyncio.sleep(0)
        path, began_at = self._steering.host_path, self._loop.time()
        upstream = path.choose_reference(set(self._checks.values()), began_at)
        if upstream is None:
            return
        result = await connect(upstream.entry.endpoint, REFERENCE_TIMEOUT_S)
        self._steering.counters.references[result] += 1
        if result is CheckResult.ANSWERED:
            path.on_answer(upstream, began_at, self._loop.time())


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
