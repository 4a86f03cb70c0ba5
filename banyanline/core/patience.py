"""How long each caller waits for an answer, by caller group and local time of day.

A window of a group holds while the clock on the wall, in the group's time zone,
shows a time in it. That settles the days on which the clock is changed: hours
that the wall clock skips never occur, so that a window inside them does not
apply on that day and one around them is shorter; hours that it shows twice
count both times. A window from 22:00 to 06:00 thus lasts 7 hours in the night
that loses one and 9 hours in the night that gains one.
"""

from __future__ import annotations

import datetime as dt
import socket
import zoneinfo
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.model import CallerGroup, PatienceWindow
    from banyanline.core.types import GroupName, Seconds

DEFAULT_PATIENCE_S = 5.0
"""Patience of callers that are in no group."""

_SECONDS_PER_MINUTE = 60
_MINUTES_PER_HOUR = 60
_ADDRESS_BITS = 32
_NO_MINUTE = -1


def _covers(window: PatienceWindow, minute: int) -> bool:
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


def _load_time_zone(name: str) -> dt.tzinfo | None:
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None


class _GroupPatience:
    """The patience of one group, kept for the minute that was last asked for.

    Offsets of time zones are whole minutes, so that patience changes on whole
    minutes of UTC only.
    """

    __slots__ = ("_group", "_time_zone", "minute", "patience_s")

    def __init__(self, group: CallerGroup, time_zone: dt.tzinfo) -> None:
        self._group = group
        self._time_zone = time_zone
        self.minute = _NO_MINUTE
        self.patience_s = group.default_patience_s

    @property
    def name(self) -> GroupName:
        """The name of the group."""
        return self._group.name

    def move_to(self, minute: int) -> None:
        """Set the patience for ``minute``, counted from the epoch in UTC."""
        local = dt.datetime.fromtimestamp(minute * _SECONDS_PER_MINUTE, self._time_zone)
        local_minute = local.hour * _MINUTES_PER_HOUR + local.minute
        self.minute = minute
        self.patience_s = self._group.default_patience_s
        for window in self._group.windows:
            if _covers(window, local_minute):
                self.patience_s = window.patience_s


class _Prefixes:
    """The networks of one prefix length."""

    __slots__ = ("_groups", "_shift")

    def __init__(self, length: int) -> None:
        self._shift = _ADDRESS_BITS - length
        self._groups: dict[int, _GroupPatience] = {}

    def add(self, address: int, group: _GroupPatience) -> None:
        self._groups[address >> self._shift] = group

    def find(self, address: int) -> _GroupPatience | None:
        return self._groups.get(address >> self._shift)


def _address_number(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), "big")


class PatienceTable:
    """Finds the patience of a caller; the most specific network wins.

    The time zones are loaded when the table is built, so that lookups do no I/O. A
    configuration that a peer has checked may name a zone that this host's database
    lacks; its hours then follow UTC, and :attr:`unknown_time_zones` tells.

    >>> from banyanline.core.model import CallerGroup, PatienceWindow
    >>> night = PatienceWindow(start_minute=22 * 60, end_minute=6 * 60, patience_s=2.0)
    >>> table = PatienceTable([CallerGroup("field", ("192.0.2.0/24",), "Europe/Zagreb", (night,))])
    >>> midnight_utc_s = 1_800_000_000 // 86_400 * 86_400
    >>> table.patience_s("192.0.2.7", midnight_utc_s), table.patience_s("192.0.2.7", 1_800_000_000)
    (2.0, 5.0)
    """

    def __init__(
        self, groups: Iterable[CallerGroup], default_patience_s: Seconds = DEFAULT_PATIENCE_S
    ) -> None:
        self._default_patience_s = default_patience_s
        self._by_length: dict[int, _Prefixes] = {}
        self._unknown_time_zones: set[str] = set()
        for group in groups:
            self._add(group)
        self._longest_first = [self._by_length[n] for n in sorted(self._by_length, reverse=True)]

    @property
    def unknown_time_zones(self) -> frozenset[str]:
        """The time zones that this host does not know."""
        return frozenset(self._unknown_time_zones)

    def group_of(self, caller_ip: str) -> GroupName | None:
        """Return the name of the group that the caller belongs to, if there is one."""
        group = self._find(_address_number(caller_ip))
        return group.name if group else None

    def patience_s(self, caller_ip: str, wall_time_utc_s: float) -> Seconds:
        """Return how long the caller waits, in seconds.

        ``wall_time_utc_s`` is the time since the epoch. A window's start belongs to
        it and its end does not.
        """
        group = self._find(_address_number(caller_ip))
        if group is None:
            return self._default_patience_s
        minute = int(wall_time_utc_s // _SECONDS_PER_MINUTE)
        if group.minute != minute:
            group.move_to(minute)
        return group.patience_s

    def _add(self, group: CallerGroup) -> None:
        time_zone = _load_time_zone(group.time_zone)
        if time_zone is None:
            self._unknown_time_zones.add(group.time_zone)
        patience = _GroupPatience(group, time_zone or dt.UTC)
        for network in group.networks:
            ip, _, length_text = network.partition("/")
            length = int(length_text)
            prefixes = self._by_length.setdefault(length, _Prefixes(length))
            prefixes.add(_address_number(ip), patience)

    def _find(self, address: int) -> _GroupPatience | None:
        for prefixes in self._longest_first:
            group = prefixes.find(address)
            if group is not None:
                return group
        return None
