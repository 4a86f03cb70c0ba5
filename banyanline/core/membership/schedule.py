"""The order in which a balancer probes the others."""

from __future__ import annotations

import random
from collections.abc import Sequence

import xxhash

from banyanline.core.types import HostName

_OTHER_GROUP_EVERY = 8
"""One probe in so many goes to another fabric group."""


_RING_SIZE = 2**64


def _ring_position(name: HostName) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class _RoundRobin:
    """Names in a random order, shuffled anew after each round."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._names: list[HostName] = []
        self._idx = 0

    def replace(self, names: Sequence[HostName]) -> None:
        self._names = list(names)
        self._rng.shuffle(self._names)
        self._idx = 0

    def next_name(self) -> HostName | None:
        if not self._names:
            return None
        if self._idx == len(self._names):
            self._rng.shuffle(self._names)
            self._idx = 0
        name = self._names[self._idx]
        self._idx += 1
        return name


class ProbeSchedule:
    """One probe in ``ring_every`` goes to the successor on a ring, the others change.

    The ring bounds the time until a crashed host is probed first, whatever the size
    of the fleet. The changing hosts spread updates and find what the ring misses.
    """

    def __init__(self, local: HostName, ring_every: int, rng: random.Random) -> None:
        self._local = local
        self._ring_every = ring_every
        self._step = rng.randrange(_OTHER_GROUP_EVERY)
        self._group = _RoundRobin(rng)
        self._others = _RoundRobin(rng)
        self._successor: HostName | None = None

    def rebuild(self, group: Sequence[HostName], others: Sequence[HostName]) -> None:
        """Take the live peers of the own fabric group and of the other groups."""
        self._group.replace(group)
        self._others.replace(others)
        own = _ring_position(self._local)
        self._successor = min(
            group, key=lambda name: (_ring_position(name) - own) % _RING_SIZE, default=None
        )

    def next_target(self) -> HostName | None:
        """Return the host to probe next, if there is any."""
        self._step += 1
        if self._ring_every and self._step % self._ring_every == 0 and self._successor:
            return self._successor
        if self._step % _OTHER_GROUP_EVERY == 1:
            return self._others.next_name() or self._group.next_name()
        return self._group.next_name() or self._others.next_name()
