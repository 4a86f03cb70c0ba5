"""State of the ownership of one upstream, and the previous owners that failed."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from banyanline.core.types import HostName, Seconds


class OwnershipStage(Enum):
    """The stages of an ownership; requests start only in ``ACTIVE``."""

    AWAITING_HANDOVER = "awaiting_handover"
    WAITING_OUT_LEASE = "waiting_out_lease"
    ACTIVE = "active"
    CEDED = "ceded"


class LostOwner(NamedTuple):
    """A previous owner that failed without handing the upstream over.

    The requests that it dispatched are taken into account until ``until``, a monotonic time.
    """

    host: HostName
    until: Seconds


class OwnershipState:
    """The stage of an ownership, when the stage ends, and the failed previous owners.

    ``handed_over_running`` is the number of running requests that the handover listed so far.
    """

    def __init__(
        self,
        stage: OwnershipStage,
        until: Seconds,
        predecessor: HostName | None,
    ) -> None:
        self.stage = stage
        self.until = until
        self.predecessor = predecessor
        self.handed_over_running = 0
        self._lost: dict[HostName, Seconds] = {}

    def add_lost_owner(self, host: HostName, until: Seconds) -> None:
        """Record that ``host`` owned the upstream and may have dispatched requests unknown here."""
        self._lost[host] = max(until, self._lost.get(host, until))

    def lost(self, now: Seconds) -> tuple[LostOwner, ...]:
        """Return the failed owners whose requests are still taken into account."""
        self._lost = {host: until for host, until in self._lost.items() if until > now}
        return tuple(LostOwner(host, until) for host, until in self._lost.items())

    def may_have_dispatched(
        self, previous_homes: Iterable[HostName], is_sole_home_excluded: bool, now: Seconds
    ) -> bool:
        """Return whether a failed owner may have dispatched a request of these homes.

        A home never sends a non-idempotent request to an upstream that it owns itself if
        another host owns one of the same service. ``is_sole_home_excluded`` says that
        there was such another owner and that ``previous_homes`` is complete. A failed
        owner that was the only previous home of a flow then has not dispatched its requests.
        """
        homes = set(previous_homes)
        return any(not (is_sole_home_excluded and homes == {lost.host}) for lost in self.lost(now))
