"""Estimates the number of hosts that send to the same upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.peer_reports import PeerReports


class HostCount(NamedTuple):
    """The approximate number of hosts in this data centre, and in all data centres."""

    local: int
    total: int


def count_hosts(catalog: Catalog, peers: PeerReports) -> HostCount | None:
    """Return the number of hosts, or None if this host knows of no other.

    Reports count the hosts of this data centre, and seeds (``catalog.host_count``) those of
    all data centres. Where one of the numbers is missing, the hosts are assumed to be spread
    evenly over the data centres that have upstreams.
    """
    if catalog.host_count is None and not peers.hosts:
        return None
    data_centres = len({each.entry.data_centre for each in catalog.upstreams}) or 1
    reporting = len(peers.hosts) + 1
    total = max(catalog.host_count or 0, reporting * data_centres)
    return HostCount(reporting if peers.hosts else math.ceil(total / data_centres), total)
