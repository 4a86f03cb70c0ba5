"""Which balancer is the owner of an upstream.

The owner is a live balancer in the upstream's data centre, or of the fabric group if the
data centre has none. Among them it follows from rendezvous scores with a bound on the
number of upstreams that one balancer owns: pairs of upstream and host are taken in the
order of their scores, and a pair counts if the upstream is free and the host has room.
The outcome depends on the view and the configuration alone, not on the way to them.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import xxhash

from banyanline.core.membership.view import View
from banyanline.core.model import Upstream
from banyanline.core.types import (
    DataCentreName,
    HostName,
    Seconds,
    ServiceName,
    UpstreamName,
)

LOAD_BOUND = 1.25
"""Most upstreams of one owner, as a multiple of the mean, rounded down.

The mean rounded up is always allowed. At a small site it is the tighter bound of the two.
"""


class UpstreamKey(NamedTuple):
    """What identifies an upstream in a configuration."""

    service: ServiceName
    name: UpstreamName


class PreviousOwner(NamedTuple):
    """A host that was owner of an upstream until ``until``."""

    host: HostName
    until: Seconds


def key_of(upstream: Upstream) -> UpstreamKey:
    """Return the key of ``upstream``."""
    return UpstreamKey(upstream.service, upstream.name)


def most_owned(keys: int, hosts: int, bound: float = LOAD_BOUND) -> int:
    """Return how many of ``keys`` upstreams one of ``hosts`` balancers owns at most.

    >>> most_owned(3, 3), most_owned(4, 3), most_owned(550, 73)
    (1, 2, 9)
    """
    mean = keys / hosts
    return max(math.ceil(mean), math.floor(bound * mean))


def assign(
    keys: Iterable[UpstreamKey], hosts: Sequence[HostName], bound: float = LOAD_BOUND
) -> dict[UpstreamKey, HostName]:
    """Return the owner of each key among ``hosts``; nothing if there are no hosts.

    >>> keys = [UpstreamKey("orders", f"orders-{idx}") for idx in range(4)]
    >>> sorted(assign(keys, ["north-1", "north-2"]).values())
    ['north-1', 'north-1', 'north-2', 'north-2']
    """
    wanted = set(keys)
    if not hosts:
        return {}
    names = {host: host.encode() for host in hosts}
    room = dict.fromkeys(hosts, most_owned(len(wanted), len(hosts), bound))
    proposals = [_best_pair(key, names) for key in wanted]
    heapq.heapify(proposals)
    owners: dict[UpstreamKey, HostName] = {}
    while proposals:
        pair = heapq.heappop(proposals)
        if room[pair.host] > 0:
            room[pair.host] -= 1
            owners[pair.key] = pair.host
            continue
        names.pop(pair.host, None)
        heapq.heappush(proposals, _best_pair(pair.key, names))
    return owners


class _Pair(NamedTuple):
    """A host for an upstream; the pair with the least ``rank`` goes first."""

    rank: int
    key: UpstreamKey
    host: HostName


def _best_pair(key: UpstreamKey, names: Mapping[HostName, bytes]) -> _Pair:
    """Return the host with the highest score for ``key`` among ``names``."""
    seed = xxhash.xxh3_64_intdigest(f"{key.service} {key.name}".encode())
    digest = xxhash.xxh3_64_intdigest
    score, host = max((digest(name, seed), host) for host, name in names.items())
    return _Pair(-score, key, host)


class _Scope(NamedTuple):
    """What the owners in one data centre depend on."""

    keys: tuple[UpstreamKey, ...]
    hosts: tuple[HostName, ...]


class OwnershipTable:
    """The owner of each upstream, and for some time the previous ones.

    ``history_s`` is how long a previous owner is remembered, in seconds; it has to be at
    least the request lifetime. Times are those at which this process learned of a change.
    """

    def __init__(self, fabric_group: str, history_s: Seconds) -> None:
        self._fabric_group = fabric_group
        self._history_s = history_s
        self._scopes: dict[DataCentreName, _Scope] = {}
        self._owners: dict[UpstreamKey, HostName] = {}
        self._stable_since: dict[UpstreamKey, Seconds] = {}
        self._previous: dict[UpstreamKey, dict[HostName, Seconds]] = {}

    def owner(self, key: UpstreamKey) -> HostName | None:
        """Return the owner of the upstream ``key``, if it has one."""
        return self._owners.get(key)

    def owned_by(self, host: HostName) -> list[UpstreamKey]:
        """Return the upstreams whose owner is ``host``."""
        return [key for key, owner in self._owners.items() if owner == host]

    def stable_since(self, key: UpstreamKey) -> Seconds | None:
        """Return since when the upstream has had its present owner, if it has one."""
        return self._stable_since.get(key)

    def previous_owners(self, key: UpstreamKey, now: Seconds) -> tuple[PreviousOwner, ...]:
        """Return the owners that the upstream has lost within the history, latest first.

        The present owner is not among them, even if it was owner before as well.
        """
        oldest = now - self._history_s
        previous = [
            PreviousOwner(host, until)
            for host, until in self._previous.get(key, {}).items()
            if until >= oldest and host != self._owners.get(key)
        ]
        return tuple(sorted(previous, key=lambda entry: -entry.until))

    def orphans(self, service: ServiceName, now: Seconds) -> dict[UpstreamName, HostName]:
        """Return the upstreams of a service that have lost their owner without a successor.

        That is what happens to them when they are removed or their data centre is
        taken out. The value is the last owner.
        """
        orphans = {}
        for key in self._previous:
            if key.service == service and key not in self._owners:
                previous = self.previous_owners(key, now)
                if previous:
                    orphans[key.name] = previous[0].host
        return orphans

    def update(self, upstreams: Iterable[Upstream], view: View, now: Seconds) -> list[UpstreamKey]:
        """Find the owners anew where something has changed; return the upstreams that moved.

        An upstream that has come, gone, gained or lost its owner counts as moved.
        """
        scopes = self._scopes_of(upstreams, view)
        owners: dict[UpstreamKey, HostName] = {}
        for data_centre, scope in scopes.items():
            if self._scopes.get(data_centre) == scope:
                owners.update((key, self._owners[key]) for key in scope.keys if scope.hosts)
            else:
                owners.update(assign(scope.keys, scope.hosts))
        self._scopes = scopes
        moved = [
            key
            for key in owners.keys() | self._owners.keys()
            if owners.get(key) != self._owners.get(key)
        ]
        for key in moved:
            self._note_change(key, owners.get(key), now)
        self._owners = owners
        self._prune(now)
        return sorted(moved)

    def _scopes_of(self, upstreams: Iterable[Upstream], view: View) -> dict[DataCentreName, _Scope]:
        keys: dict[DataCentreName, list[UpstreamKey]] = {}
        for upstream in upstreams:
            keys.setdefault(upstream.data_centre, []).append(key_of(upstream))
        return {
            data_centre: _Scope(
                tuple(sorted(names)),
                view.owners(data_centre) or view.homes(self._fabric_group),
            )
            for data_centre, names in keys.items()
        }

    def _note_change(self, key: UpstreamKey, owner: HostName | None, now: Seconds) -> None:
        previous = self._owners.get(key)
        if previous is not None:
            self._previous.setdefault(key, {})[previous] = now
        if owner is None:
            self._stable_since.pop(key, None)
        else:
            self._stable_since[key] = now

    def _prune(self, now: Seconds) -> None:
        oldest = now - self._history_s
        for key, previous in list(self._previous.items()):
            kept = {host: until for host, until in previous.items() if until >= oldest}
            if kept:
                self._previous[key] = kept
            else:
                del self._previous[key]
