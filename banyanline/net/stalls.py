"""Detects event loop stalls, caused by a paused process or a long-running callback."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.types import Seconds

CHECK_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 0.25
"""Minimum delay of a wake-up that counts as a stall; shorter delays are normal."""


class StallMonitor:
    """Wakes up at a fixed interval and reports wake-ups that were late.

    After each stall, ``on_stall`` is called with the delay in seconds. The clock is
    monotonic and must advance while the process is paused.
    """

    def __init__(
        self,
        on_stall: Callable[[Seconds], object],
        *,
        clock: Callable[[], Seconds] = time.monotonic,
    ) -> None:
        self._on_stall = on_stall
        self._clock = clock
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start monitoring the running event loop."""
        self._schedule()

    def stop(self) -> None:
        """Stop monitoring."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """Compare the current time with the scheduled time of this wake-up."""
        late_s = self._clock() - self._due
        if late_s >= STALL_THRESHOLD_S:
            self._on_stall(late_s)

    def _schedule(self) -> None:
        self._due = self._clock() + CHECK_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._wake_up)

    def _wake_up(self) -> None:
        self.check()
        self._schedule()
