"""How often a host sends its report, and how large it may be."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanline.core.types import Seconds

INTERVAL_S = 1.0
MAX_INTERVAL_S = 2.0
"""Half of the lifetime of a report, so that one may be lost."""

MAX_REPORT_BYTES = 1_200
"""One datagram, without fragments."""

MIN_REPORT_BYTES = 300
"""Room for the names of the host and a few upstreams."""

HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""

LINK_SHARE = 0.02
"""Share of the host's link that reports may use, in each direction."""

MAX_BYTES_PER_S = 12_000.0
"""What a host may use for control, whatever its link."""


class ReportBudget(NamedTuple):
    """The time between two reports of a host, and the size of each without headers."""

    interval_s: Seconds
    max_bytes: int


def report_budget(peers: int, link_mbps: float) -> ReportBudget:
    """Return the budget of a host that sends to ``peers`` others.

    Reports become smaller first, then rarer; a smaller report omits upstreams, which a
    later one contains.

    >>> report_budget(8, 1000.0)
    ReportBudget(interval_s=1.0, max_bytes=1200)
    >>> report_budget(72, 10.0)
    ReportBudget(interval_s=1.968, max_bytes=300)
    """
    if peers == 0:
        return ReportBudget(INTERVAL_S, MAX_REPORT_BYTES)
    bytes_per_s = min(MAX_BYTES_PER_S, LINK_SHARE * link_mbps * 1e6 / 8.0)
    fitting = int(bytes_per_s * INTERVAL_S / peers) - HEADER_BYTES
    max_bytes = max(MIN_REPORT_BYTES, min(MAX_REPORT_BYTES, fitting))
    interval_s = peers * (max_bytes + HEADER_BYTES) / bytes_per_s
    return ReportBudget(max(INTERVAL_S, min(MAX_INTERVAL_S, interval_s)), max_bytes)
