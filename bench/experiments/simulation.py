"""A discrete-event clock and the shared parts of the experiments."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from banyanline.core.types import Seconds

SERVICE_MEAN_S = 0.05
SERVICE_SIGMA = 0.7
TAIL_SHARE = 0.01
TAIL_FACTOR = 10.0


class Simulation:
    """Runs callbacks in the order of their times.

    >>> simulation = Simulation()
    >>> simulation.at(2.0, lambda: print("at", simulation.now))
    >>> simulation.run(until=5.0)
    at 2.0
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> Seconds:
        """The time of the event that runs, in seconds."""
        return self._now

    def at(self, time: Seconds, callback: Callable[[], None]) -> None:
        """Run ``callback`` at ``time``, or next if that has passed."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self._now), self._sequence, callback))

    def run(self, until: Seconds) -> None:
        """Run all events up to ``until``."""
        while self._events and self._events[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._events)
            callback()


def service_time_s(rng: random.Random, mean_s: Seconds = SERVICE_MEAN_S) -> Seconds:
    """Draw a log-normal time of mean ``mean_s``, of which one in a hundred is ten times as long."""
    body_mean_s = mean_s / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0))
    mu = math.log(body_mean_s) - 0.5 * SERVICE_SIGMA**2
    drawn_s = rng.lognormvariate(mu, SERVICE_SIGMA)
    return TAIL_FACTOR * drawn_s if rng.random() < TAIL_SHARE else drawn_s


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value under which ``share`` of ``values`` lie, 0.0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_table(title: str, header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a Markdown table under ``title``."""
    print(f"\n{title}\n")
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")
