"""Tells later reports of a host from earlier ones, also after restarts, without a clock."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.types import HostName, Seconds

SUPERSEDED_S = 10.0
"""How long reports of a superseded start are refused; longer than a datagram is under way.

Start numbers have no order: if a late report of an old, unknown start supersedes the present
start, reports of the present start are accepted again after this time.
"""

MAX_SUPERSEDED_STARTS = 4
"""Superseded starts that are remembered for each host."""

MAX_HOSTS = 1_000
"""Hosts that are remembered; beyond this, the one heard least recently is dropped."""


class _Latest:
    """The latest accepted report of a host, and when each earlier start was superseded."""

    __slots__ = ("sequence", "start", "superseded")

    def __init__(self, start: int, sequence: int) -> None:
        self.start = start
        self.sequence = sequence
        self.superseded: dict[int, Seconds] = {}


class ReportOrder:
    """The order of the reports of each host.

    Within a start the highest sequence number is the latest. A start is a random number: one
    that was not seen before counts as the latest, and the previous one is superseded.

    >>> order = ReportOrder()
    >>> [order.accept("host-1", start, 1, 0.0) for start in (7, 7, 3, 7)]
    [True, False, True, False]
    """

    def __init__(self) -> None:
        self._hosts: OrderedDict[HostName, _Latest] = OrderedDict()

    def accept(self, host: HostName, start: int, sequence: int, now: Seconds) -> bool:
        """Record a report; return False if it is not later than those accepted before."""
        latest = self._hosts.get(host)
        if latest is None:
            self._hosts[host] = _Latest(start, sequence)
            if len(self._hosts) > MAX_HOSTS:
                self._hosts.popitem(last=False)
            return True
        self._hosts.move_to_end(host)
        if start == latest.start:
            if sequence <= latest.sequence:
                return False
            latest.sequence = sequence
            return True
        if now - latest.superseded.get(start, float("-inf")) < SUPERSEDED_S:
            return False
        self._supersede(latest, now)
        latest.start, latest.sequence = start, sequence
        return True

    def _supersede(self, latest: _Latest, now: Seconds) -> None:
        superseded = latest.superseded
        superseded.pop(latest.start, None)
        superseded[latest.start] = now
        while len(superseded) > MAX_SUPERSEDED_STARTS:
            del superseded[next(iter(superseded))]
