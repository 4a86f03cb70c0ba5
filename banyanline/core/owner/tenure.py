"""How a balancer came to own an upstream and what it may say of the time before."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from banyanline.core.types import HostName, Seconds


class Stage(Enum):
    """What an owner may do with an upstream."""

    AWAITING_HANDOVER = "awaiting_handover"
    WAITING_OUT_LEASE = "waiting_out_lease"
    ACTIVE = "active"
    CEDED = "ceded"


class LostOwner(NamedTuple):
    """A host that owned the upstream and was lost without ceding it.

    Requests that it carried count until ``until``, a monotonic time.
    """

    host: HostName
    until: Seconds


class Tenure:
    """The stage of one ownership, when it ends, and the lost owners before it."""

    def __init__(
        self,
        stage: Stage,
        until: Seconds,
        predecessor: HostName | None,
    ) -> None:
        self.stage = stage
        self.until = until
        self.predecessor = predecessor
        self._lost: dict[HostName, Seconds] = {}

    def lose(self, host: HostName, until: Seconds) -> None:
        """Note that ``host`` owned the upstream and may have carried requests unseen."""
        self._lost[host] = max(until, self._lost.get(host, until))

    def lost(self, now: Seconds) -> tuple[LostOwner, ...]:
        """Return the lost owners whose requests still count."""
        self._lost = {host: until for host, until in self._lost.items() if until > now}
        return tuple(LostOwner(host, until) for host, until in self._lost.items())

    def may_have_carried(
        self, previous_homes: Iterable[HostName], is_home_excluded: bool, now: Seconds
    ) -> bool:
        """Whether a lost owner can have carried a request of these homes.

        A home never sends a non-idempotent request to an upstream of its own if
        another host owns one of the service. With ``is_home_excluded`` that was so
        and the homes are all that there were; then a lost owner that was the only
        previous home of a flow has not carried that flow's requests as owner.
        """
        homes = set(previous_homes)
        return any(not (is_home_excluded and homes == {lost.host}) for lost in self.lost(now))
