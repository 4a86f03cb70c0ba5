"""Limits the size and the rate of a host's reports by the capacity of its link."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanline.core.types import Seconds

MIN_INTERVAL_S = 1.0
"""Time between reports with few hosts; more often, a report would contain little news."""

MAX_INTERVAL_S = 2.0
"""Half of a report's lifetime.

With its jitter, a lost report may still let the host expire for a moment.
"""

MAX_REPORT_BYTES = 1_200
"""Size of a datagram that needs no IP fragmentation."""

MIN_REPORT_BYTES = 300
"""Space for the names of the host and the data centre, and a few samples."""

HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram."""

MAX_LINK_SHARE = 0.02
"""Largest share of the host's link that reports use, in each direction."""

MAX_BYTES_PER_S = 12_000.0
"""Largest rate of a host's control traffic, whatever the capacity of its link."""


class ReportBudget(NamedTuple):
    """The time between reports, and the maximum size of one without IP and UDP headers."""

    interval_s: Seconds
    max_bytes: int


def report_budget(peers: int, link_mbps: float) -> ReportBudget:
    """Return the budget of a host that sends to ``peers`` others.

    With more hosts reports become smaller first, then less frequent. A smaller report omits
    samples, which a later one contains.

    >>> report_budget(8, 1000.0)
    ReportBudget(interval_s=1.0, max_bytes=1200)
    >>> report_budget(72, 10.0)
    ReportBudget(interval_s=1.968, max_bytes=300)
    """
    if peers == 0:
        return ReportBudget(MIN_INTERVAL_S, MAX_REPORT_BYTES)
    bytes_per_s = min(MAX_BYTES_PER_S, MAX_LINK_SHARE * link_mbps * 1e6 / 8.0)
    max_fitting_bytes = int(bytes_per_s * MIN_INTERVAL_S / peers) - HEADER_BYTES
    max_bytes = max(MIN_REPORT_BYTES, min(MAX_REPORT_BYTES, max_fitting_bytes))
    interval_s = peers * (max_bytes + HEADER_BYTES) / bytes_per_s
    return ReportBudget(max(MIN_INTERVAL_S, min(MAX_INTERVAL_S, interval_s)), max_bytes)
