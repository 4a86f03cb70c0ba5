"""Open connections, that is streams and flows, at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.error_responses import RefusalReason

if TYPE_CHECKING:
    from banyanline.core.gate.messages import FlowId
    from banyanline.core.types import Seconds


class Connections:
    """Open connections, limited in number and, after a cold start, in openings per second.

    >>> connections = Connections(limit=1)
    >>> connections.open("a", now=0.0, interval_s=0.0)
    >>> connections.open("b", now=0.0, interval_s=0.0)
    <RefusalReason.CONNECTION_LIMIT: 'connection_limit'>
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[FlowId, None] = {}
        self._held_by_previous_owner = 0
        self._adopted = 0
        self._last_opened_at: Seconds | None = None

    @property
    def held_by_previous_owner(self) -> int:
        """Number of connections of the previous owner that this owner has not adopted."""
        return max(0, self._held_by_previous_owner - self._adopted)

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, flow: FlowId) -> bool:
        return flow in self._open

    def set_limit(self, limit: int) -> None:
        """Change the maximum number of connections; open ones stay open."""
        self._limit = limit

    def set_held_by_previous_owner(self, count: int) -> None:
        """Set the number of connections at the previous owner, adopted ones included."""
        self._held_by_previous_owner = count

    def open(self, flow: FlowId, now: Seconds, interval_s: Seconds) -> RefusalReason | None:
        """Open a connection for ``flow``, or return why it is refused.

        ``interval_s`` is the minimum time between two openings, in seconds.
        """
        if flow in self._open:
            return None
        if len(self._open) + self.held_by_previous_owner >= self._limit:
            return RefusalReason.CONNECTION_LIMIT
        last = self._last_opened_at
        if last is not None and now < last + interval_s:
            return RefusalReason.CONNECTION_LIMIT
        self._open[flow] = None
        self._last_opened_at = now
        return None

    def adopt(self, flow: FlowId) -> None:
        """Count a connection that was opened before this owner took over.

        It is no longer counted as one of the previous owner's.
        """
        if flow not in self._open:
            self._open[flow] = None
            self._adopted += 1

    def close(self, flow: FlowId) -> bool:
        """Close the connection of ``flow``; return whether it was open."""
        if flow not in self._open:
            return False
        del self._open[flow]
        return True

    def clear(self) -> list[FlowId]:
        """Close all connections and return their flows."""
        flows = list(self._open)
        self._open.clear()
        return flows
