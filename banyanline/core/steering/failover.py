"""Moves the callers of a data centre to others while most of its hosts are silent.

Routers take silent hosts out of rotation. But when fewer than half of a data centre's hosts
are left they send to all of them again, so that most packets are lost for as long as the
hosts are silent. If none is in rotation, they send to the hosts of other data centres. So the
hosts that are left all stop being ready, if a data centre elsewhere is available.

Each host decides alone, from the heartbeats of the others (``host_liveness.py``). A host
that is cut off from all others hears nothing from elsewhere either, and stays ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.steering.host_liveness import HostLiveness
    from banyanline.core.types import Seconds

MIN_READY_S = 2.0
"""Minimum time that this host stays ready after a failover, so that callers don't move often."""


class Failover:
    """Decides whether the callers of this data centre are moved elsewhere."""

    def __init__(self, liveness: HostLiveness) -> None:
        self._liveness = liveness
        self._is_active = False
        self._ended_at: Seconds = float("-inf")

    @property
    def is_active(self) -> bool:
        """Whether callers should go to other data centres."""
        return self._is_active

    def update(self, now: Seconds) -> None:
        """Decide anew; call this when heartbeats have been received, several times a second."""
        is_needed = not self._liveness.count(now).has_majority
        is_needed = is_needed and self._liveness.is_available_elsewhere(now)
        if self._is_active and not is_needed:
            self._ended_at = now
        self._is_active = is_needed and now - self._ended_at >= MIN_READY_S
