"""How late the bench's own loop runs: a run with a late loop says little about balancers."""

from __future__ import annotations

import asyncio

INTERVAL_S = 0.02


class LoopLag:
    """Wakes at fixed times and remembers how late."""

    def __init__(self) -> None:
        self._lags_s: list[float] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def worst_s(self) -> float:
        """The latest wake-up."""
        return max(self._lags_s, default=0.0)

    @property
    def p99_s(self) -> float:
        """The lateness that 99 of 100 wake-ups kept below."""
        ordered = sorted(self._lags_s)
        return ordered[int(0.99 * len(ordered))] if ordered else 0.0

    def start(self) -> None:
        """Begin to measure."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._lags_s.append(loop.time() - due)
