"""Bootstrap of a new fleet: tells its initial members from hosts that join later.

A process takes no work during its startup period, until its view is complete. If a
whole fleet starts at once, its hosts start within a few seconds of each other; these
hosts are its initial members. None of them decides on a non-idempotent request before
all of them are ready. Therefore the homes and owners that their views showed before
that time can be ignored afterwards. A process that joins a running fleet cannot ignore
them.
"""

from __future__ import annotations

from banyanline.core.membership import View
from banyanline.core.types import Seconds

STARTUP_PERIOD_S = 3.0
BOOTSTRAP_SETTLE_S = 2.0
"""Time from when the first initial member is ready until all know that all of them are."""

MS_PER_S = 1000


class Bootstrap:
    """Determines whether this process is an initial member of its fleet."""

    def __init__(self, fabric_group: str, incarnation: int, started_at: Seconds) -> None:
        self._fabric_group = fabric_group
        self._incarnation = incarnation
        self._startup_ends_at = started_at + STARTUP_PERIOD_S
        self._is_initial_member: bool | None = None

    @property
    def startup_ends_at(self) -> Seconds:
        """The end of the startup period, until which this process takes no work."""
        return self._startup_ends_at

    @property
    def bootstrap_ends_at(self) -> Seconds:
        """The end of the bootstrap.

        Until then an initial member decides on no non-idempotent request.
        """
        return self._startup_ends_at + BOOTSTRAP_SETTLE_S

    def is_startup_over(self, now: Seconds) -> bool:
        """Whether the startup period of this process is over."""
        return now >= self._startup_ends_at

    def may_decide(self, view: View, now: Seconds) -> bool:
        """Whether this process may decide on non-idempotent requests."""
        if not self.is_startup_over(now):
            return False
        return now >= self.bootstrap_ends_at or not self.is_initial_member(view, now)

    def is_initial_member(self, view: View, now: Seconds) -> bool:
        """Whether no live host of the fabric group started long before this one.

        "Long" is more than ``STARTUP_PERIOD_S``, by the incarnations. The first result after
        the end of the startup period is final.
        """
        if self._is_initial_member is not None:
            return self._is_initial_member
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
        is_initial_member = self._incarnation - oldest <= STARTUP_PERIOD_S * MS_PER_S
        if self.is_startup_over(now):
            self._is_initial_member = is_initial_member
        return is_initial_member
