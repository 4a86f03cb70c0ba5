"""The streams and flows that are open at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.answers import RefusalReason

if TYPE_CHECKING:
    from banyanline.core.gate.messages import FlowId
    from banyanline.core.types import Seconds


class Connections:
    """Open connections, bounded in number and, after a cold start, in openings a second.

    >>> connections = Connections(limit=1)
    >>> connections.open("a", now=0.0, interval_s=0.0)
    >>> connections.open("b", now=0.0, interval_s=0.0)
    <RefusalReason.CONNECTION_LIMIT: 'connection_limit'>
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: dict[FlowId, None] = {}
        self._elsewhere = 0
        self._adopted = 0
        self._last_opened_at: Seconds | None = None

    @property
    def elsewhere(self) -> int:
        """Connections of a previous owner that this one has not adopted."""
        return max(0, self._elsewhere - self._adopted)

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, flow: FlowId) -> bool:
        return flow in self._open

    def set_limit(self, limit: int) -> None:
        """Bound the connections by ``limit`` from now on; open ones stay."""
        self._limit = limit

    def set_elsewhere(self, count: int) -> None:
        """Take in how many connections a previous owner still holds, adopted ones included."""
        self._elsewhere = count

    def open(self, flow: FlowId, now: Seconds, interval_s: Seconds) -> RefusalReason | None:
        """Open a connection for ``flow``, or return why it is refused.

        ``interval_s`` is the least time between two openings, in seconds.
        """
        if flow in self._open:
            return None
        if len(self._open) + self.elsewhere >= self._limit:
            return RefusalReason.CONNECTION_LIMIT
        last = self._last_opened_at
        if last is not None and now < last + interval_s:
            return RefusalReason.CONNECTION_LIMIT
        self._open[flow] = None
        self._last_opened_at = now
        return None

    def adopt(self, flow: FlowId) -> None:
        """Count a connection that was open before this owner came.

        It is no longer counted as one of the previous owner.
        """
        if flow not in self._open:
            self._open[flow] = None
            self._adopted += 1

    def close(self, flow: FlowId) -> bool:
        """Close the connection of ``flow``; tell whether it was open."""
        if flow not in self._open:
            return False
        del self._open[flow]
        return True

    def clear(self) -> list[FlowId]:
        """Close all and return their flows."""
        flows = list(self._open)
        self._open.clear()
        return flows
