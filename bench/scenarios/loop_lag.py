"""Measures the event loop lag of the bench; a run with a high lag says little about balancers."""

from __future__ import annotations

import asyncio

INTERVAL_S = 0.02


class LoopLag:
    """Wakes up at a fixed interval and records how late each wake-up is."""

    def __init__(self) -> None:
        self._lags_s: list[float] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def max_s(self) -> float:
        """The maximum lag."""
        return max(self._lags_s, default=0.0)

    @property
    def p99_s(self) -> float:
        """The 99th percentile of the lag."""
        ordered = sorted(self._lags_s)
        return ordered[int(0.99 * len(ordered))] if ordered else 0.0

    def start(self) -> None:
        """Start measuring."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            expected_at = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._lags_s.append(loop.time() - expected_at)
