"""Assignment of flows to their home balancers: flow -> slot -> host.

Each slot is assigned to the host with the highest score for it (rendezvous hashing, Thaler
and Ravishankar, 1998). When a host leaves, only its slots move; when a host joins, it takes
only the slots for which its score is the highest. The table is updated incrementally, for
these slots alone.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from banyanline.core.types import Endpoint, HostName, Seconds, ServiceName

SLOTS = 16384
"""Number of slots, a power of two. It must be the same on all balancers of a fabric group."""

_SLOT_MASK = SLOTS - 1
_SLOT_KEYS = tuple(slot.to_bytes(4, "big") for slot in range(SLOTS))
_NO_SCORE = -1


def flow_hash(caller: Endpoint, service: ServiceName) -> int:
    """Return the 64-bit hash of a flow, which is the same in all processes.

    >>> flow_hash(Endpoint("192.0.2.7", 5683), "orders") % SLOTS
    10414
    """
    return xxhash.xxh3_64_intdigest(f"{caller[0]} {caller[1]} {service}".encode())


def slot_of(flow: int) -> int:
    """Return the slot of a flow hash."""
    return flow & _SLOT_MASK


class PreviousHome(NamedTuple):
    """A host that was the home of a slot until the time ``until``."""

    host: HostName
    until: Seconds


class _Change(NamedTuple):
    """Slots whose home changed at the same time."""

    at: Seconds
    slots: list[int]


class SlotTable:
    """The current home of each slot and its recent previous homes.

    ``history_s`` is how long previous homes are kept, in seconds; it must be at least the
    request lifetime. Times are those at which this process learned of a change.
    """

    def __init__(self, history_s: Seconds) -> None:
        self._history_s = history_s
        self._hosts: frozenset[HostName] = frozenset()
        self._homes: list[HostName | None] = [None] * SLOTS
        self._scores: list[int] = [_NO_SCORE] * SLOTS
        self._stable_since: list[Seconds] = [-math.inf] * SLOTS
        self._previous: dict[int, dict[HostName, Seconds]] = {}
        self._changes: deque[_Change] = deque()

    @property
    def hosts(self) -> frozenset[HostName]:
        """The hosts to which the slots are assigned."""
        return self._hosts

    def home(self, flow: int) -> HostName | None:
        """Return the home of the flow with hash ``flow``, or None if there are no hosts."""
        return self._homes[flow & _SLOT_MASK]

    def home_of_slot(self, slot: int) -> HostName | None:
        """Return the home of ``slot``, or None if there are no hosts."""
        return self._homes[slot]

    def stable_since(self, slot: int) -> Seconds:
        """Return since when ``slot`` has had its current home."""
        return self._stable_since[slot]

    def home_since(self, slot: int, host: HostName) -> Seconds | None:
        """Return since when ``host`` has been the home of ``slot``, or None if it is not."""
        return self._stable_since[slot] if self._homes[slot] == host else None

    def previous_homes(self, slot: int, now: Seconds) -> tuple[PreviousHome, ...]:
        """Return the previous homes of ``slot`` within the history, latest first.

        The current home is excluded, even if it was also the home earlier.
        """
        oldest = now - self._history_s
        previous = [
            PreviousHome(host, until)
            for host, until in self._previous.get(slot, {}).items()
            if until >= oldest and host != self._homes[slot]
        ]
        return tuple(sorted(previous, key=lambda entry: -entry.until))

    def slots_of(self, host: HostName) -> list[int]:
        """Return the slots whose home is ``host``."""
        return [slot for slot, home in enumerate(self._homes) if home == host]

    def update(self, hosts: Iterable[HostName], now: Seconds) -> list[int]:
        """Assign the slots to ``hosts`` and return those whose home has changed."""
        wanted = frozenset(hosts)
        joined = wanted - self._hosts
        left = self._hosts - wanted
        self._hosts = wanted
        old_homes = dict[int, HostName | None]()
        if left:
            self._reassign_slots(left, old_homes)
        for host in joined:
            self._assign_best_slots(host, old_homes)
        changed = [slot for slot, home in old_homes.items() if self._homes[slot] != home]
        for slot in changed:
            self._record_change(slot, old_homes[slot], now)
        if changed:
            self._changes.append(_Change(now, changed))
        self._prune(now)
        return changed

    def _reassign_slots(
        self, left: frozenset[HostName], old_homes: dict[int, HostName | None]
    ) -> None:
        """Reassign each slot of hosts that left to the remaining host with the highest score."""
        seeds = [(host, _seed(host)) for host in self._hosts]
        digest = xxhash.xxh3_64_intdigest
        for slot, home in enumerate(self._homes):
            if home not in left:
                continue
            old_homes[slot] = home
            key = _SLOT_KEYS[slot]
            scores = {digest(key, seed): host for host, seed in seeds}
            best = max(scores, default=_NO_SCORE)
            self._scores[slot] = best
            self._homes[slot] = scores.get(best)

    def _assign_best_slots(self, host: HostName, old_homes: dict[int, HostName | None]) -> None:
        """Assign to ``host`` the slots for which its score is the highest."""
        seed = _seed(host)
        scores = self._scores
        digest = xxhash.xxh3_64_intdigest
        for slot, key in enumerate(_SLOT_KEYS):
            score = digest(key, seed)
            if score > scores[slot]:
                old_homes.setdefault(slot, self._homes[slot])
                scores[slot] = score
                self._homes[slot] = host

    def _record_change(self, slot: int, previous: HostName | None, now: Seconds) -> None:
        self._stable_since[slot] = now
        if previous is not None:
            self._previous.setdefault(slot, {})[previous] = now

    def _prune(self, now: Seconds) -> None:
        """Remove previous homes that are older than the history."""
        oldest = now - self._history_s
        while self._changes and self._changes[0].at < oldest:
            change = self._changes.popleft()
            for slot in change.slots:
                self._remove_previous(slot, change.at)

    def _remove_previous(self, slot: int, until: Seconds) -> None:
        kept = {host: at for host, at in self._previous.get(slot, {}).items() if at > until}
        if kept:
            self._previous[slot] = kept
        else:
            self._previous.pop(slot, None)


def _seed(host: HostName) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
