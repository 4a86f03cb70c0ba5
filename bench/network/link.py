"""The one model of network faults: loss, delay, reordering, duplication and cuts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple


class Faults(NamedTuple):
    """What a link does to datagrams; shares are from 0 to 1."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    reordering_delay_s: float = 0.05


class Link:
    """Passes datagrams on with seeded faults."""

    def __init__(self, rng: random.Random, faults: Faults = Faults()) -> None:  # noqa: B008
        self._rng = rng
        self._faults = faults
        self._loop = asyncio.get_running_loop()

    @property
    def faults(self) -> Faults:
        """What the link does at present."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults

    def carry(self, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` once, later, twice or never."""
        faults = self._faults
        if self._rng.random() < faults.loss:
            return
        self._deliver_later(deliver)
        if self._rng.random() < faults.duplication:
            self._deliver_later(deliver)

    def _deliver_later(self, deliver: Callable[[], None]) -> None:
        faults = self._faults
        delay_s = faults.delay_s + self._rng.random() * faults.jitter_s
        if self._rng.random() < faults.reordering:
            delay_s += self._rng.random() * faults.reordering_delay_s
        if delay_s > 0:
            self._loop.call_later(delay_s, deliver)
        else:
            deliver()


class Cuts:
    """Which data centres cannot reach each other.

    >>> cuts = Cuts()
    >>> cuts.separate(["north"], ["south", "east"])
    >>> cuts.is_blocked("south", "north"), cuts.is_blocked("south", "east")
    (True, False)
    """

    def __init__(self) -> None:
        self._side: dict[str, int] = {}
        self._on_change: list[Callable[[], None]] = []

    @property
    def is_active(self) -> bool:
        """Whether any data centres are separated."""
        return bool(self._side)

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` after each change."""
        self._on_change.append(on_change)

    def separate(self, *sides: Iterable[str]) -> None:
        """Cut the sides off from each other; data centres not named stay reachable."""
        self._side = {name: idx for idx, side in enumerate(sides) for name in side}
        self._changed()

    def heal(self) -> None:
        """End all cuts."""
        self._side = {}
        self._changed()

    def is_blocked(self, one: str | None, other: str | None) -> bool:
        """Whether nothing passes between two data centres; None is outside of all."""
        if one is None or other is None:
            return False
        side, other_side = self._side.get(one), self._side.get(other)
        return side is not None and other_side is not None and side != other_side

    def _changed(self) -> None:
        for on_change in self._on_change:
            on_change()
