"""An event loop whose clock jumps to the next timer, so that tests wait for nothing."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that advances a clock in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += timeout or 0.0
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


def run_simulated(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in simulated time."""
    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        runner.run(main)
