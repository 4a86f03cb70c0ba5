"""An event loop whose clock jumps to the next timer, so that tests wait for nothing."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _Clock(selectors.DefaultSelector):
    """A selector that advances a clock in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += timeout or 0.0
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """A loop that runs on simulated time."""

    def __init__(self) -> None:
        self._clock = _Clock()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now

    def block(self, seconds: float) -> None:
        """Let time pass as if the process got no processor time."""
        self._clock.now += seconds


def run_simulated(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
