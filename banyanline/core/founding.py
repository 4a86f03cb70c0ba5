"""Whether this process was there when the fleet began.

A process takes no work in its first moments, until its view is complete. Hosts of
a fleet that starts as a whole come up within moments of each other; they are its
founders. None of them decides on a non-idempotent request before all are ready, so
what their views showed of homes and owners until then does not count afterwards. A
process that joins a running fleet has no such past.
"""

from __future__ import annotations

from banyanline.core.membership import View
from banyanline.core.types import Seconds

FOUNDING_S = 3.0
SETTLING_S = 2.0
"""Within this time after one founder is ready the others are, and all have heard of it."""

MS_PER_S = 1000


class Founding:
    """Tells founders from hosts that joined later, once the founding time is over."""

    def __init__(self, fabric_group: str, incarnation: int, started_at: Seconds) -> None:
        self._fabric_group = fabric_group
        self._incarnation = incarnation
        self._ends_at = started_at + FOUNDING_S
        self._is_founder: bool | None = None

    @property
    def ends_at(self) -> Seconds:
        """Until when this process takes no work."""
        return self._ends_at

    @property
    def settled_at(self) -> Seconds:
        """Until when a founder decides on no non-idempotent request."""
        return self._ends_at + SETTLING_S

    def is_over(self, now: Seconds) -> bool:
        """Whether the founding time of this process is over."""
        return now >= self._ends_at

    def may_decide(self, view: View, now: Seconds) -> bool:
        """Whether this process may decide on non-idempotent requests."""
        if not self.is_over(now):
            return False
        return now >= self.settled_at or not self.is_founder(view, now)

    def is_founder(self, view: View, now: Seconds) -> bool:
        """Whether no live host of the group had started long before this one.

        The answer at the end of the founding time stays.
        """
        if self._is_founder is not None:
            return self._is_founder
        oldest = min(
            (
                member.incarnation
                for member in view.members
                if member.is_live
                and member.incarnation > 0
                and member.host.fabric_group == self._fabric_group
            ),
            default=self._incarnation,
        )
        is_founder = self._incarnation - oldest <= FOUNDING_S * MS_PER_S
        if self.is_over(now):
            self._is_founder = is_founder
        return is_founder
