"""Decides when a host that is shutting down gracefully may exit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.types import Seconds

NOT_READY_CHECKS = 2
"""Number of "not ready" health checks after which routers take a host out of rotation."""

QUIET_S = 0.4
"""Time without a caller's packet after which routers are assumed to have moved the callers."""

UNCHECKED_QUIET_S = 1.5
"""The same if no router checks this host, for example because none can reach it."""

KILL_MARGIN_S = 0.5
"""Time between the latest exit and the moment when the platform kills the process."""


class GracefulShutdown:
    """Graceful shutdown of a host, from the stop request to its exit.

    The host keeps serving until the routers have taken it out of rotation. They keep
    sending to it if too few other hosts are ready; it then serves until shortly before
    the platform kills it.

    >>> shutdown = GracefulShutdown(began_at=10.0, grace_s=6.0)
    >>> shutdown.on_check(10.3), shutdown.on_check(10.8)
    (None, None)
    >>> shutdown.on_packet(10.9)
    >>> shutdown.is_over(11.2), shutdown.is_over(11.4)
    (False, True)
    """

    def __init__(self, began_at: Seconds, grace_s: Seconds) -> None:
        self._deadline = began_at + max(0.0, grace_s - KILL_MARGIN_S)
        self._checks = 0
        self._last_activity_at = began_at

    @property
    def checks(self) -> int:
        """Number of health checks answered with "not ready" so far."""
        return self._checks

    def on_check(self, now: Seconds) -> None:
        """Record a health check that was answered with "not ready"."""
        self._checks += 1
        if self._checks <= NOT_READY_CHECKS:
            self._last_activity_at = now

    def on_packet(self, now: Seconds) -> None:
        """Record the arrival of a caller's packet."""
        self._last_activity_at = now

    def is_over(self, now: Seconds) -> bool:
        """Whether the host may exit now."""
        if now >= self._deadline:
            return True
        quiet_s = QUIET_S if self._checks >= NOT_READY_CHECKS else UNCHECKED_QUIET_S
        return now - self._last_activity_at >= quiet_s
