"""Assignment of upstreams to the balancers that own them.

The owner of an upstream is a live balancer in its data centre, or in the whole fabric group
if the data centre has none. It is selected by rendezvous hashing with a bound on the number
of upstreams per balancer: pairs of upstream and host are processed in the order of their
scores, and a pair is accepted if the upstream is unassigned and the host has capacity left.
The result depends only on the view and the configuration, not on earlier assignments.
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
"""Maximum number of upstreams per host, as a multiple of the mean, rounded down.

The mean rounded up is always allowed. In a small data centre it is the greater of the two.
"""


class UpstreamKey(NamedTuple):
    """Identifies an upstream within a configuration."""

    service: ServiceName
    name: UpstreamName


class PreviousOwner(NamedTuple):
    """A host that owned an upstream until the time ``until``."""

    host: HostName
    until: Seconds


def key_of(upstream: Upstream) -> UpstreamKey:
    """Return the key of ``upstream``."""
    return UpstreamKey(upstream.service, upstream.name)


def max_upstreams_per_host(keys: int, hosts: int, bound: float = LOAD_BOUND) -> int:
    """Return the maximum number of upstreams per host, for ``keys`` upstreams and ``hosts`` hosts.

    >>> max_upstreams_per_host(3, 3), max_upstreams_per_host(4, 3), max_upstreams_per_host(550, 73)
    (1, 2, 9)
    """
    mean = keys / hosts
    return max(math.ceil(mean), math.floor(bound * mean))


def assign_owners(
    keys: Iterable[UpstreamKey], hosts: Sequence[HostName], bound: float = LOAD_BOUND
) -> dict[UpstreamKey, HostName]:
    """Assign each key to one of ``hosts``; the result is empty if there are no hosts.

    >>> keys = [UpstreamKey("orders", f"orders-{idx}") for idx in range(4)]
    >>> sorted(assign_owners(keys, ["north-1", "north-2"]).values())
    ['north-1', 'north-1', 'north-2', 'north-2']
    """
    wanted = set(keys)
    if not hosts:
        return {}
    names = {host: host.encode() for host in hosts}
    remaining_capacity = dict.fromkeys(
        hosts, max_upstreams_per_host(len(wanted), len(hosts), bound)
    )
    candidates = [_best_candidate(key, names) for key in wanted]
    heapq.heapify(candidates)
    owners: dict[UpstreamKey, HostName] = {}
    while candidates:
        candidate = heapq.heappop(candidates)
        if remaining_capacity[candidate.host] > 0:
            remaining_capacity[candidate.host] -= 1
            owners[candidate.key] = candidate.host
            continue
        names.pop(candidate.host, None)
        heapq.heappush(candidates, _best_candidate(candidate.key, names))
    return owners


class _Candidate(NamedTuple):
    """Candidate assignment of an upstream to a host. The lowest ``rank`` is processed first."""

    rank: int
    key: UpstreamKey
    host: HostName


def _best_candidate(key: UpstreamKey, names: Mapping[HostName, bytes]) -> _Candidate:
    """Return the pair of ``key`` and the host in ``names`` with the highest score for it."""
    seed = xxhash.xxh3_64_intdigest(f"{key.service} {key.name}".encode())
    digest = xxhash.xxh3_64_intdigest
    score, host = max((digest(name, seed), host) for host, name in names.items())
    return _Candidate(-score, key, host)


class _AssignmentInputs(NamedTuple):
    """Inputs of the assignment in one data centre: its upstreams and the candidate hosts."""

    keys: tuple[UpstreamKey, ...]
    hosts: tuple[HostName, ...]


class OwnershipTable:
    """The current owner of each upstream and its recent previous owners.

    ``history_s`` is how long previous owners are kept, in seconds; it must be at least the
    request lifetime. Times are those at which this process learned of a change.
    """

    def __init__(self, fabric_group: str, history_s: Seconds) -> None:
        self._fabric_group = fabric_group
        self._history_s = history_s
        self._inputs: dict[DataCentreName, _AssignmentInputs] = {}
        self._owners: dict[UpstreamKey, HostName] = {}
        self._stable_since: dict[UpstreamKey, Seconds] = {}
        self._previous: dict[UpstreamKey, dict[HostName, Seconds]] = {}

    def owner(self, key: UpstreamKey) -> HostName | None:
        """Return the owner of the upstream ``key``, or None if it has none."""
        return self._owners.get(key)

    def owned_by(self, host: HostName) -> list[UpstreamKey]:
        """Return the upstreams that ``host`` owns."""
        return [key for key, owner in self._owners.items() if owner == host]

    def stable_since(self, key: UpstreamKey) -> Seconds | None:
        """Return since when the upstream has had its current owner, or None if it has none."""
        return self._stable_since.get(key)

    def previous_owners(self, key: UpstreamKey, now: Seconds) -> tuple[PreviousOwner, ...]:
        """Return the upstream's previous owners within the history, latest first.

        The current owner is excluded, even if it also owned the upstream earlier.
        """
        oldest = now - self._history_s
        previous = [
            PreviousOwner(host, until)
            for host, until in self._previous.get(key, {}).items()
            if until >= oldest and host != self._owners.get(key)
        ]
        return tuple(sorted(previous, key=lambda entry: -entry.until))

    def orphaned_upstreams(
        self, service: ServiceName, now: Seconds
    ) -> dict[UpstreamName, PreviousOwner]:
        """Return the upstreams of a service that lost their owner and have no new one.

        This happens when an upstream is removed or its data centre is taken out of service.
        Each upstream is mapped to its last owner.
        """
        orphaned_upstreams = {}
        for key in self._previous:
            if key.service == service and key not in self._owners:
                previous = self.previous_owners(key, now)
                if previous:
                    orphaned_upstreams[key.name] = previous[0]
        return orphaned_upstreams

    def update(self, upstreams: Iterable[Upstream], view: View, now: Seconds) -> list[UpstreamKey]:
        """Recompute owners where something has changed; return upstreams with a changed owner.

        This includes upstreams that were added or removed, and those that gained or lost
        their owner.
        """
        inputs_by_data_centre = self._inputs_by_data_centre(upstreams, view)
        owners: dict[UpstreamKey, HostName] = {}
        for data_centre, inputs in inputs_by_data_centre.items():
            if self._inputs.get(data_centre) == inputs:
                owners.update((key, self._owners[key]) for key in inputs.keys if inputs.hosts)
            else:
                owners.update(assign_owners(inputs.keys, inputs.hosts))
        self._inputs = inputs_by_data_centre
        moved = [
            key
            for key in owners.keys() | self._owners.keys()
            if owners.get(key) != self._owners.get(key)
        ]
        for key in moved:
            self._record_change(key, owners.get(key), now)
        self._owners = owners
        self._prune(now)
        return sorted(moved)

    def _inputs_by_data_centre(
        self, upstreams: Iterable[Upstream], view: View
    ) -> dict[DataCentreName, _AssignmentInputs]:
        keys: dict[DataCentreName, list[UpstreamKey]] = {}
        for upstream in upstreams:
            keys.setdefault(upstream.data_centre, []).append(key_of(upstream))
        return {
            data_centre: _AssignmentInputs(
                tuple(sorted(names)),
                view.owners(data_centre) or view.homes(self._fabric_group),
            )
            for data_centre, names in keys.items()
        }

    def _record_change(self, key: UpstreamKey, owner: HostName | None, now: Seconds) -> None:
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
