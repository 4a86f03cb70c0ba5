"""An upstream that falls over when it gets more than it bears after a start."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from banyanline.core.gate import Answered, HealthReport, ReportedState, Unreachable, WorkOutcome
from bench.experiments.simulation import SERVICE_MEAN_S, Simulation, service_time_s

if TYPE_CHECKING:
    from banyanline.core.model import ColdStart

SLOTS = 2
RATE_WINDOW_S = 1.0
RATE_TOLERANCE = 2
RESTART_S = 0.3

OnOutcome: TypeAlias = Callable[[WorkOutcome], None]


class ColdUpstream:
    """Bears what ``ColdStart`` says and loses all its requests if it gets more.

    While it is down it answers ``Unreachable`` if ``is_host_up``, else nothing.
    """

    def __init__(
        self, simulation: Simulation, cold_start: ColdStart, seed: int, is_host_up: bool = True
    ) -> None:
        self._simulation = simulation
        self._cold_start = cold_start
        self._rng = random.Random(seed)
        self._is_host_up = is_host_up
        self._boots = 1
        self._started_at = 0.0
        self._in_flight = 0
        self._recent: deque[float] = deque()
        self.falls = 0
        self.answers = 0

    @property
    def is_down(self) -> bool:
        """Whether the process is not running at the moment."""
        return self._simulation.now < self._started_at

    def make_warm(self) -> None:
        """Let the warm-up be over."""
        self._started_at = self._simulation.now - self._cold_start.duration_s

    def health(self) -> HealthReport | None:
        """Answer like the health endpoint, or None while down."""
        if self.is_down:
            return None
        state = ReportedState.WARM if self._share() >= 1.0 else ReportedState.COLD
        return HealthReport(f"boot-{self._boots}", state)

    def restart(self) -> None:
        """Lose everything and start again."""
        self._boots += 1
        self._in_flight = 0
        self._recent.clear()
        self._started_at = self._simulation.now + RESTART_S

    def request(self, deadline: float, on_outcome: OnOutcome) -> None:
        """Take a request, give it up at ``deadline``, and tell its outcome if there is one."""
        if self.is_down:
            if self._is_host_up:
                on_outcome(Unreachable())
            return
        self._in_flight += 1
        self._recent.append(self._simulation.now)
        if self._is_overloaded():
            self.falls += 1
            self.restart()
            return
        boot = self._boots
        answered_at = self._simulation.now + service_time_s(self._rng)
        is_in_time = answered_at < deadline
        ended_at = min(answered_at, deadline)
        self._simulation.at(ended_at, lambda: self._end(boot, is_in_time, on_outcome))

    def _end(self, boot: int, is_answered: bool, on_outcome: OnOutcome) -> None:
        if boot != self._boots:
            return
        self._in_flight -= 1
        if is_answered:
            self.answers += 1
            on_outcome(Answered())

    def _share(self) -> float:
        elapsed_s = self._simulation.now - self._started_at
        return min(1.0, elapsed_s / self._cold_start.duration_s)

    def _is_overloaded(self) -> bool:
        share = self._share()
        if share >= 1.0:
            return False
        while self._recent[0] <= self._simulation.now - RATE_WINDOW_S:
            self._recent.popleft()
        initial = self._cold_start.initial_slots
        full_rate = SLOTS / SERVICE_MEAN_S
        initial_rate = self._cold_start.initial_rate
        rate = initial_rate + share * (full_rate - initial_rate)
        slots = initial + int(share * (SLOTS - initial))
        is_too_many = self._in_flight > slots
        return is_too_many or len(self._recent) > rate * RATE_WINDOW_S + RATE_TOLERANCE
