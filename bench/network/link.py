"""The only model of network faults: loss, delay, reordering, duplication, partitions."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple


class Faults(NamedTuple):
    """Faults of a link; loss, duplication and reordering are probabilities from 0 to 1."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    reordering_delay_s: float = 0.05


class Link:
    """Transmits datagrams with faults from a seeded random generator."""

    def __init__(self, rng: random.Random, faults: Faults = Faults()) -> None:  # noqa: B008
        self._rng = rng
        self._faults = faults
        self._loop = asyncio.get_running_loop()

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: Faults) -> None:
        self._faults = faults

    def transmit(self, deliver: Callable[[], None]) -> None:
        """Call ``deliver`` for one datagram: at once, delayed, twice or never."""
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


class NetworkPartitions:
    """Network partitions between data centres.

    >>> partitions = NetworkPartitions()
    >>> partitions.separate(["north"], ["south", "east"])
    >>> partitions.is_blocked("south", "north"), partitions.is_blocked("south", "east")
    (True, False)
    """

    def __init__(self) -> None:
        self._side_by_data_centre: dict[str, int] = {}
        self._subscribers: list[Callable[[], None]] = []

    @property
    def is_active(self) -> bool:
        """Whether any data centres are partitioned."""
        return bool(self._side_by_data_centre)

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` after each change of the partitions."""
        self._subscribers.append(on_change)

    def separate(self, *sides: Iterable[str]) -> None:
        """Partition the sides from each other; data centres not named stay reachable."""
        self._side_by_data_centre = {name: idx for idx, side in enumerate(sides) for name in side}
        self._notify_subscribers()

    def heal(self) -> None:
        """End all partitions."""
        self._side_by_data_centre = {}
        self._notify_subscribers()

    def is_blocked(self, one: str | None, other: str | None) -> bool:
        """Whether two data centres are partitioned; None, no data centre, is never partitioned."""
        if one is None or other is None:
            return False
        side, other_side = self._side_by_data_centre.get(one), self._side_by_data_centre.get(other)
        return side is not None and other_side is not None and side != other_side

    def _notify_subscribers(self) -> None:
        for on_change in self._subscribers:
            on_change()
