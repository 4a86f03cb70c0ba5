"""Probe targets, voters and fabric groups with a majority, derived from the member table."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from banyanline.core.membership.table import MemberTable
from banyanline.core.types import HostName


class FleetSummary(NamedTuple):
    """Live peers in the own fabric group and in others, voters, and groups with a majority."""

    group_peers: list[HostName]
    other_peers: list[HostName]
    voters: list[HostName]
    majorities: frozenset[str]


def summarize_fleet(table: MemberTable) -> FleetSummary:
    """Return the summary of ``table``.

    A host, alive or dead, has a vote in its fabric group until it has left or is removed
    from the table. A group has a majority if more than half of its voters are alive.
    """
    summary = FleetSummary([], [], [], frozenset())
    surplus_alive: Counter[str] = Counter()
    own_group = table.local.host.fabric_group
    for record in table:
        group = record.host.fabric_group
        is_in_group = group == own_group
        if record.is_live and record is not table.local:
            peers = summary.group_peers if is_in_group else summary.other_peers
            peers.append(record.host.name)
        if not record.has_left:
            surplus_alive[group] += 1 if record.is_live else -1
            if is_in_group:
                summary.voters.append(record.host.name)
    majorities = frozenset(group for group, surplus in surplus_alive.items() if surplus > 0)
    return summary._replace(majorities=majorities)
