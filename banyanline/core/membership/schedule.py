"""The order in which a balancer probes its peers."""

from __future__ import annotations

import random
from collections.abc import Sequence

import xxhash

from banyanline.core.types import HostName

_OTHER_GROUP_INTERVAL = 8
"""One in this many probes goes to another fabric group."""


_RING_SIZE = 2**64


def _ring_position(name: HostName) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class _RoundRobin:
    """Iterates over names in random order, reshuffled after each round."""

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
    """Selects probe targets: the successor on a hash ring, and all live peers in rotation.

    Every ``ring_every``-th probe goes to the successor. This bounds the time until a crashed
    host is first probed, regardless of the size of the fleet. The other probes rotate through
    the live peers; they disseminate updates and detect failures that the ring misses.
    """

    def __init__(self, local: HostName, ring_every: int, rng: random.Random) -> None:
        self._local = local
        self._ring_every = ring_every
        self._step = rng.randrange(_OTHER_GROUP_INTERVAL)
        self._group = _RoundRobin(rng)
        self._others = _RoundRobin(rng)
        self._successor: HostName | None = None

    def rebuild(self, group: Sequence[HostName], others: Sequence[HostName]) -> None:
        """Replace the targets by the live peers in the own fabric group and in other groups."""
        self._group.replace(group)
        self._others.replace(others)
        own = _ring_position(self._local)
        self._successor = min(
            group, key=lambda name: (_ring_position(name) - own) % _RING_SIZE, default=None
        )

    def next_target(self) -> HostName | None:
        """Return the host to probe next, or None if there are no live peers."""
        self._step += 1
        if self._ring_every and self._step % self._ring_every == 0 and self._successor:
            return self._successor
        if self._step % _OTHER_GROUP_INTERVAL == 1:
            return self._others.next_name() or self._group.next_name()
        return self._group.next_name() or self._others.next_name()
