"""Health checks by TCP connection of upstreams that left callers' packets unanswered.

Each connection is closed as soon as it is established: the check shows whether a process
is listening and reachable, not how busy it is.
"""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.failure_detection import CheckResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.steering.check_schedule import DueCheck
    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Endpoint, Seconds

ATTEMPT_TIMEOUT_S = 0.15
MAX_ATTEMPTS = 2
"""More than one, as the SYN of an attempt may be lost like any other packet."""

MAX_TIMER_DELAY_S = 0.1
"""A timer that fires later than this shows a delay of this host, not of the upstream."""

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
        self._tasks: set[asyncio.Task[None]] = set()

    def start_due(self) -> None:
        """Start the checks that are due, and set a timer for the next ones."""
        self._start_checks()
        next_at = self._steering.check_scheduler.next_at
        if next_at is None or (self._timer is not None and self._timer.when() <= next_at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(next_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._steering.check_scheduler.on_timer(self._loop.time())
        self.start_due()

    def _start_checks(self) -> None:
        for check in self._steering.check_scheduler.take_due():
            if len(self._tasks) >= MAX_CONCURRENT_CHECKS:
                log.info("check_skipped", upstream=check.upstream.name, under_way=len(self._tasks))
                self._steering.on_check(check, CheckResult.UNKNOWN, self._loop.time())
                continue
            task = asyncio.create_task(self._run(check))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the running checks and the timer."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    async def _run(self, check: DueCheck) -> None:
        endpoint = check.upstream.entry.endpoint
        result = CheckResult.UNANSWERED
        for _ in range(MAX_ATTEMPTS):
            result = await check_connection(endpoint, ATTEMPT_TIMEOUT_S, self._loop.time)
            if result is not CheckResult.UNANSWERED:
                break
        now = self._loop.time()
        self._steering.on_check(check, result, now)
        log.info(
            "upstream_checked",
            upstream=check.upstream.name,
            result=result.value,
            took_s=round(now - check.began_at, 3),
            revision=check.upstream.revision,
        )
        self.start_due()


async def check_connection(
    endpoint: Endpoint, timeout_s: Seconds, clock: Callable[[], Seconds]
) -> CheckResult:
    """Check whether ``endpoint`` accepts a TCP connection within ``timeout_s``."""
    began_at = clock()
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(endpoint.ip, endpoint.port)
    except TimeoutError:
        is_late = clock() - began_at > timeout_s + MAX_TIMER_DELAY_S
        return CheckResult.UNKNOWN if is_late else CheckResult.UNANSWERED
    except OSError as error:
        is_local = error.errno in LOCAL_ERRORS
        return CheckResult.UNKNOWN if is_local else CheckResult.UNANSWERED
    writer.close()
    return CheckResult.ANSWERED
