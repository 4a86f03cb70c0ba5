"""Which other hosts are alive, from the heartbeats that hosts send each other.

Each host sends a heartbeat several times a second to the other hosts of its data centre, and
to a few hosts elsewhere. A heartbeat says when the next one is due: a host is silent once
several of them are overdue. Hosts that were heard before stay in the count for a while, so
that a host knows how many of its data centre are silent.

A host that was paused itself has heard nothing meanwhile, which says nothing about the
others: their heartbeats count as due again when it resumes.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyanline.core.types import DataCentreName, Endpoint, Seconds

MISSED_HEARTBEATS = 3
"""Heartbeats in a row after which a host is silent; single datagrams are lost."""

COUNTED_S = 60.0
"""How long a silent host counts as one of its data centre's hosts."""

ELSEWHERE_S = 1.5
"""How long a heartbeat from another data centre counts; each host gets only some of them."""

PAUSE_S = 0.5
"""Time between two updates from which this host itself was paused."""

MAX_HOSTS = 1_000
"""Limit on the hosts that are tracked, which bounds memory."""


class HostState(IntEnum):
    """What a host says of itself in its heartbeats."""

    AVAILABLE = 0
    """It takes callers, and its data centre has most of its hosts."""
    UNAVAILABLE = 1
    """Callers are better served in another data centre."""
    LEAVING = 2
    """It is about to exit."""


class Heartbeat(NamedTuple):
    """A host's state; the next heartbeat follows after ``interval_s``."""

    data_centre: DataCentreName
    state: HostState
    interval_s: Seconds


class AliveCount(NamedTuple):
    """The hosts of a data centre, this one included, and how many of them are alive."""

    known: int
    alive: int

    @property
    def has_majority(self) -> bool:
        """Whether at least half of the hosts are alive.

        >>> [AliveCount(4, alive).has_majority for alive in (1, 2)]
        [False, True]
        """
        return 2 * self.alive >= self.known


class _Heard(NamedTuple):
    heartbeat: Heartbeat
    at: Seconds


class HostLiveness:
    """The hosts that were heard, by the endpoints from which they send.

    Call :meth:`update` several times a second, before the host reads what it has received.
    """

    def __init__(self, data_centre: DataCentreName) -> None:
        self._data_centre = data_centre
        self._heard: dict[Endpoint, _Heard] = {}
        self._updated_at: Seconds | None = None
        self._resumed_at: Seconds = float("-inf")

    @property
    def heard(self) -> Mapping[Endpoint, Heartbeat]:
        """The latest heartbeat of each host."""
        return {endpoint: heard.heartbeat for endpoint, heard in self._heard.items()}

    def update(self, now: Seconds) -> None:
        """Detect a pause of this host, and forget hosts that were silent for long."""
        if self._updated_at is not None and now - self._updated_at >= PAUSE_S:
            self._resumed_at = now
        self._updated_at = now
        self._heard = {
            endpoint: heard for endpoint, heard in self._heard.items() if now - heard.at < COUNTED_S
        }

    def on_heartbeat(self, endpoint: Endpoint, heartbeat: Heartbeat, now: Seconds) -> None:
        """Record a heartbeat; with too many hosts, further ones are ignored."""
        if endpoint in self._heard or len(self._heard) < MAX_HOSTS:
            self._heard[endpoint] = _Heard(heartbeat, now)

    def count(self, now: Seconds) -> AliveCount:
        """Return the hosts of this data centre."""
        others = [
            heard
            for heard in self._heard.values()
            if heard.heartbeat.data_centre == self._data_centre
        ]
        return AliveCount(1 + len(others), 1 + sum(self._is_alive(each, now) for each in others))

    def silent(self, now: Seconds) -> Mapping[Endpoint, Seconds]:
        """Return how long ago each host of this data centre that isn't alive was heard."""
        return {
            endpoint: now - heard.at
            for endpoint, heard in self._heard.items()
            if heard.heartbeat.data_centre == self._data_centre and not self._is_alive(heard, now)
        }

    def is_available_elsewhere(self, now: Seconds) -> bool:
        """Whether the latest heartbeat from some other data centre is of an available host.

        A host that finds its data centre without most of its hosts says so at once, before
        the others there have found the same.
        """
        latest: dict[DataCentreName, _Heard] = {}
        for heard in self._heard.values():
            data_centre = heard.heartbeat.data_centre
            if data_centre == self._data_centre or now - heard.at >= ELSEWHERE_S:
                continue
            if data_centre not in latest or heard.at > latest[data_centre].at:
                latest[data_centre] = heard
        return any(each.heartbeat.state is HostState.AVAILABLE for each in latest.values())

    def _is_alive(self, heard: _Heard, now: Seconds) -> bool:
        """Whether a host's heartbeats are not overdue, and it is not leaving."""
        since = max(heard.at, self._resumed_at)
        is_heard = now - since <= MISSED_HEARTBEATS * heard.heartbeat.interval_s
        return is_heard and heard.heartbeat.state is not HostState.LEAVING
