"""When a host that was told to stop may end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.types import Seconds

REFUSED_CHECKS = 2
"""Health checks answered with "not ready" after which routers take a host out of rotation."""

QUIET_S = 0.4
"""Time without a caller's packet after which routers are taken to have moved the callers."""

UNCHECKED_QUIET_S = 1.5
"""The same where no health check comes, as from a router that does not reach this host."""

KILL_MARGIN_S = 0.5
"""Time left between the end and the moment when the platform kills the process."""


class Departure:
    """The time between the request to stop and the end of a host.

    The host goes on serving until the routers have noticed that it leaves. They
    keep sending to it if too few other hosts are ready; it then serves for as long
    as the platform lets it.

    >>> departure = Departure(began_at=10.0, grace_s=6.0)
    >>> departure.on_check(10.3), departure.on_check(10.8)
    (None, None)
    >>> departure.on_packet(10.9)
    >>> departure.is_over(11.2), departure.is_over(11.4)
    (False, True)
    """

    def __init__(self, began_at: Seconds, grace_s: Seconds) -> None:
        self._ends_at = began_at + max(0.0, grace_s - KILL_MARGIN_S)
        self._checks = 0
        self._busy_at = began_at

    @property
    def checks(self) -> int:
        """Health checks answered with "not ready" so far."""
        return self._checks

    def on_check(self, now: Seconds) -> None:
        """Take in that a health check was answered with "not ready"."""
        self._checks += 1
        if self._checks <= REFUSED_CHECKS:
            self._busy_at = now

    def on_packet(self, now: Seconds) -> None:
        """Take in that a caller's packet arrived."""
        self._busy_at = now

    def is_over(self, now: Seconds) -> bool:
        """Whether the host may end now."""
        if now >= self._ends_at:
            return True
        quiet_s = QUIET_S if self._checks >= REFUSED_CHECKS else UNCHECKED_QUIET_S
        return now - self._busy_at >= quiet_s
