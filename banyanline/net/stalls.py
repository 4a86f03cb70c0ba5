"""Notices that the event loop stood still: a paused process, or a callback that took long."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.types import Seconds

CHECK_INTERVAL_S = 0.25
STALL_S = 0.25
"""Lateness from which a wake-up counts as a stall; shorter ones are ordinary."""


class StallMonitor:
    """Wakes up at a steady interval and tells when it was late.

    ``on_stall`` is told the lateness in seconds after each stall. The clock is
    monotonic and goes on while the process is paused.
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
        """Begin to watch the running loop."""
        self._schedule()

    def stop(self) -> None:
        """End watching."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """Compare the time with when this wake-up was due."""
        late_s = self._clock() - self._due
        if late_s >= STALL_S:
            self._on_stall(late_s)

    def _schedule(self) -> None:
        self._due = self._clock() + CHECK_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._wake_up)

    def _wake_up(self) -> None:
        self.check()
        self._schedule()
