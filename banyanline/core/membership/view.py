"""Snapshot of the fleet members as seen by one balancer."""

from __future__ import annotations

from collections.abc import Mapping
from functools import cached_property
from typing import NamedTuple

from banyanline.core.membership.messages import MemberStatus
from banyanline.core.types import DataCentreName, Host, HostName


class Member(NamedTuple):
    """A host, its status, and whether it takes no new work.

    ``is_leaving`` is separate from ``status`` because a leaving host can also be
    suspected or dead.
    """

    host: Host
    status: MemberStatus
    incarnation: int
    is_leaving: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the host is considered running, which includes suspected hosts."""
        return self.status is not MemberStatus.DEAD

    @property
    def takes_work(self) -> bool:
        """Whether the host may be home or owner."""
        return self.is_live and not self.is_leaving


class View:
    """An immutable set of members, with a version that increases with each change.

    >>> north = Member(Host("north-1", "north", "g", "192.0.2.1", 1, 2), MemberStatus.ALIVE, 1)
    >>> south = Member(Host("south-1", "south", "g", "192.0.2.2", 1, 2), MemberStatus.DEAD, 1)
    >>> view = View(1, {"north-1": north, "south-1": south})
    >>> view.homes("g"), view.owners("south"), view.is_alive("south-1")
    (('north-1',), (), False)
    """

    def __init__(self, version: int, members: Mapping[HostName, Member]) -> None:
        self._version = version
        self._by_name = members

    @property
    def version(self) -> int:
        """Version of the view: starts at 0 in each process and increases by one per change."""
        return self._version

    @cached_property
    def members(self) -> tuple[Member, ...]:
        """All known hosts, including dead ones, sorted by name."""
        return tuple(self._by_name[name] for name in sorted(self._by_name))

    @cached_property
    def _homes(self) -> dict[str, tuple[HostName, ...]]:
        groups: dict[str, list[HostName]] = {}
        for member in self.members:
            if member.takes_work:
                groups.setdefault(member.host.fabric_group, []).append(member.host.name)
        return {group: tuple(names) for group, names in groups.items()}

    @cached_property
    def _owners(self) -> dict[DataCentreName, tuple[HostName, ...]]:
        data_centres: dict[DataCentreName, list[HostName]] = {}
        for member in self.members:
            if member.takes_work:
                data_centres.setdefault(member.host.data_centre, []).append(member.host.name)
        return {data_centre: tuple(names) for data_centre, names in data_centres.items()}

    def homes(self, fabric_group: str) -> tuple[HostName, ...]:
        """Return the live hosts of ``fabric_group`` that are not leaving, sorted."""
        return self._homes.get(fabric_group, ())

    def owners(self, data_centre: DataCentreName) -> tuple[HostName, ...]:
        """Return the live hosts of ``data_centre`` that are not leaving, sorted."""
        return self._owners.get(data_centre, ())

    def is_alive(self, name: HostName) -> bool:
        """Whether the host is known and not dead; leaving and suspected hosts count as alive."""
        member = self._by_name.get(name)
        return member is not None and member.is_live

    def member(self, name: HostName) -> Member | None:
        """Return the member ``name``, or None if it is unknown."""
        return self._by_name.get(name)

    def host(self, name: HostName) -> Host | None:
        """Return the host ``name``, alive or dead, or None if it is unknown."""
        member = self._by_name.get(name)
        return None if member is None else member.host
