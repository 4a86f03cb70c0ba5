"""What follows from the standing of all hosts: whom to probe, who votes, who prevails."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from banyanline.core.membership.table import MemberTable
from banyanline.core.types import HostName


class Standing(NamedTuple):
    """Live peers of the own fabric group and of others, voters, and groups in majority."""

    group_peers: list[HostName]
    other_peers: list[HostName]
    voters: list[HostName]
    majorities: frozenset[str]


def standing_of(table: MemberTable) -> Standing:
    """Return the standing of all hosts of ``table``.

    Hosts have a vote in their fabric group, whether they are alive or dead, until they
    have left or are forgotten. A group is in majority if more than half of them are alive.
    """
    standing = Standing([], [], [], frozenset())
    lead: Counter[str] = Counter()
    own_group = table.local.host.fabric_group
    for record in table:
        group = record.host.fabric_group
        is_in_group = group == own_group
        if record.is_live and record is not table.local:
            peers = standing.group_peers if is_in_group else standing.other_peers
            peers.append(record.host.name)
        if not record.has_left:
            lead[group] += 1 if record.is_live else -1
            if is_in_group:
                standing.voters.append(record.host.name)
    majorities = frozenset(group for group, surplus in lead.items() if surplus > 0)
    return standing._replace(majorities=majorities)
