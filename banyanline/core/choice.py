"""Selects an upstream for a new flow or request, on the home host."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from banyanline.core.gate.messages import LoadSnapshot
    from banyanline.core.types import HostName, Seconds, UpstreamName

SNAPSHOT_LIFETIME_S = 2.0
INITIAL_SERVICE_MS = 50.0
NO_SLOTS_SCORE_MS = 60_000.0
CANDIDATE_COUNT = 2
PREFERENCE_MARGIN = 0.1

IsLocal: TypeAlias = Callable[["UpstreamName"], bool]


def _weight(flow_hash: int, upstream: UpstreamName) -> int:
    return xxh3_64_intdigest(upstream.encode(), flow_hash & 0xFFFF_FFFF_FFFF_FFFF)


def candidate_order(flow_hash: int, upstreams: Collection[UpstreamName]) -> list[UpstreamName]:
    """Order upstreams for a flow by rendezvous hashing, the same on every host.

    Adding or removing an upstream leaves the relative order of the others unchanged.

    >>> order = candidate_order(7, ["orders-1", "orders-2", "orders-3"])
    >>> order == candidate_order(7, ["orders-3", "orders-2", "orders-1"])
    True
    """
    return sorted(upstreams, key=lambda name: _weight(flow_hash, name), reverse=True)


def rendezvous_choice(flow_hash: int, upstreams: Collection[UpstreamName]) -> UpstreamName | None:
    """Return the most likely upstream of a flow that no host has recorded.

    Returns None if there are no upstreams.
    """
    return max(upstreams, key=lambda name: _weight(flow_hash, name), default=None)


class _ReceivedSnapshot(NamedTuple):
    owner: HostName
    load: LoadSnapshot
    received_at: Seconds


class UpstreamChoice:
    """Power of two choices, based on the latest load snapshots from the owners.

    The two candidates are the first two of :func:`candidate_order`. The first one
    is chosen if both are expected to respond at about the same time, so that
    :func:`rendezvous_choice` finds the upstream of most flows without any stored state.
    The weight of a load snapshot decays exponentially with its age, in favour of the
    mean over all snapshots. Requests that this home dispatched since the snapshot
    are added to its load.

    >>> choice = UpstreamChoice(["orders-1", "orders-2"])
    >>> name = choice.choose(flow_hash=7, now=0.0)
    >>> name == rendezvous_choice(7, ["orders-1", "orders-2"])
    True
    >>> for _ in range(3):
    ...     choice.record_dispatch(name)
    >>> choice.choose(flow_hash=7, now=0.0) == name
    False
    """

    def __init__(self, upstreams: Sequence[UpstreamName]) -> None:
        self._upstreams = tuple(upstreams)
        self._snapshots: dict[UpstreamName, _ReceivedSnapshot] = {}
        self._sent_since_snapshot: dict[UpstreamName, int] = dict.fromkeys(upstreams, 0)
        self._mean_ms = INITIAL_SERVICE_MS

    @property
    def upstreams(self) -> tuple[UpstreamName, ...]:
        """The upstreams to choose from."""
        return self._upstreams

    @property
    def service_s(self) -> Seconds:
        """The mean reported service time of the upstreams with a load snapshot, in seconds."""
        times_ms = [latest.load.service_ms for latest in self._snapshots.values()]
        return 0.001 * (sum(times_ms) / len(times_ms) if times_ms else INITIAL_SERVICE_MS)

    def has_free_slot(self, upstream: UpstreamName, now: Seconds) -> bool:
        """Whether a request would start at once, according to a recent load snapshot.

        A hedged request is sent only to such an upstream: elsewhere it would delay
        another request in the queue.
        """
        latest = self._snapshots.get(upstream)
        if latest is None or now - latest.received_at > SNAPSHOT_LIFETIME_S:
            return False
        taken = latest.load.in_flight + latest.load.queued + self._sent_since_snapshot[upstream]
        return taken < latest.load.slots

    def set_upstreams(self, upstreams: Sequence[UpstreamName]) -> None:
        """Replace the upstreams; load snapshots of those that remain are kept."""
        self._upstreams = tuple(upstreams)
        self._sent_since_snapshot = {
            name: self._sent_since_snapshot.get(name, 0) for name in upstreams
        }
        self._snapshots = {
            name: latest
            for name, latest in self._snapshots.items()
            if name in self._sent_since_snapshot
        }
        self._mean_ms = self._mean_score_ms()

    def observe(
        self, upstream: UpstreamName, owner: HostName, load: LoadSnapshot, now: Seconds
    ) -> bool:
        """Store a load snapshot; return whether it was newer than the stored one."""
        if upstream not in self._sent_since_snapshot:
            return False
        previous = self._snapshots.get(upstream)
        if (
            previous is not None
            and previous.owner == owner
            and previous.load.sequence >= load.sequence
        ):
            return False
        self._snapshots[upstream] = _ReceivedSnapshot(owner, load, now)
        self._sent_since_snapshot[upstream] = 0
        self._mean_ms = self._mean_score_ms()
        return True

    def record_dispatch(self, upstream: UpstreamName) -> None:
        """Count a request that this home sent to the upstream's owner."""
        if upstream in self._sent_since_snapshot:
            self._sent_since_snapshot[upstream] += 1

    def choose(
        self,
        flow_hash: int,
        now: Seconds,
        excluded: Collection[UpstreamName] = (),
        is_local: IsLocal | None = None,
    ) -> UpstreamName | None:
        """Return the upstream for a flow, or None if there is none.

        Upstreams in ``excluded`` were tried before and are not chosen again. Those
        for which ``is_local`` is true are owned by this host and are chosen only if
        there is no other, because their flows would be recorded on a single host.
        """
        order = candidate_order(flow_hash, self._upstreams)
        candidates = [name for name in order if name not in excluded]
        if is_local is not None:
            candidates = [name for name in candidates if not is_local(name)] or candidates
        accepting = [name for name in candidates if not self._has_no_slots(name, now)]
        return self._pick((accepting or candidates)[:CANDIDATE_COUNT], now)

    def score_ms(self, upstream: UpstreamName, now: Seconds) -> float:
        """Return the expected time until a response, in milliseconds; lower is better."""
        latest = self._snapshots.get(upstream)
        sent = self._sent_since_snapshot[upstream]
        if latest is None:
            return self._mean_ms * (1.0 + sent)
        weight = math.exp((latest.received_at - now) / SNAPSHOT_LIFETIME_S)
        return weight * _score_ms(latest.load, sent) + (1.0 - weight) * self._mean_ms * (1.0 + sent)

    def _pick(self, candidates: Sequence[UpstreamName], now: Seconds) -> UpstreamName | None:
        if len(candidates) < CANDIDATE_COUNT:
            return candidates[0] if candidates else None
        first, second = candidates
        factor = 1.0 + PREFERENCE_MARGIN
        return second if self.score_ms(second, now) * factor < self.score_ms(first, now) else first

    def _has_no_slots(self, upstream: UpstreamName, now: Seconds) -> bool:
        latest = self._snapshots.get(upstream)
        if latest is None or latest.load.slots > 0:
            return False
        return now - latest.received_at < SNAPSHOT_LIFETIME_S

    def _mean_score_ms(self) -> float:
        scores = [
            _score_ms(latest.load, 0)
            for latest in self._snapshots.values()
            if latest.load.slots > 0
        ]
        return sum(scores) / len(scores) if scores else INITIAL_SERVICE_MS


def _score_ms(load: LoadSnapshot, sent: int) -> float:
    if load.slots == 0:
        return NO_SLOTS_SCORE_MS
    service_ms = max(1.0, load.service_ms)
    home_estimate_ms = service_ms * (load.in_flight + load.queued + sent + 1) / load.slots
    return max(home_estimate_ms, load.expected_wait_ms + service_ms)
