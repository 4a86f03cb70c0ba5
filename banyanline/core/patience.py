"""Patience: how long each caller waits for a response, by caller group and local time of day.

A window applies while the local time in the group's time zone lies within it. This also
defines the behaviour at daylight-saving changes. Skipped local hours never occur, so a
window inside them does not apply on that day and a window around them is shorter.
Repeated local hours count both times. A window from 22:00 to 06:00 therefore lasts
7 hours in the night that loses an hour and 9 hours in the night that gains one.
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
"""Patience of callers that belong to no group."""

_SECONDS_PER_MINUTE = 60
_MINUTES_PER_HOUR = 60
_ADDRESS_BITS = 32
_NO_MINUTE = -1


def _contains(window: PatienceWindow, minute: int) -> bool:
    if window.start_minute <= window.end_minute:
        return window.start_minute <= minute < window.end_minute
    return minute >= window.start_minute or minute < window.end_minute


def _load_time_zone(name: str) -> dt.tzinfo | None:
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None


class _GroupPatience:
    """The patience of one group, cached for the last requested minute.

    Time zone offsets are whole minutes, so the patience changes only at whole
    minutes of UTC.
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

    def cache_minute(self, minute: int) -> None:
        """Cache the patience for ``minute``, counted from the epoch in UTC."""
        local = dt.datetime.fromtimestamp(minute * _SECONDS_PER_MINUTE, self._time_zone)
        local_minute = local.hour * _MINUTES_PER_HOUR + local.minute
        self.minute = minute
        self.patience_s = self._group.default_patience_s
        for window in self._group.windows:
            if _contains(window, local_minute):
                self.patience_s = window.patience_s


class _PrefixMap:
    """The networks of one prefix length."""

    __slots__ = ("_groups", "_shift")

    def __init__(self, length: int) -> None:
        self._shift = _ADDRESS_BITS - length
        self._groups: dict[int, _GroupPatience] = {}

    def add(self, address: int, group: _GroupPatience) -> None:
        self._groups[address >> self._shift] = group

    def find(self, address: int) -> _GroupPatience | None:
        return self._groups.get(address >> self._shift)


def _ip_to_int(ip: str) -> int:
    return int.from_bytes(socket.inet_aton(ip), "big")


class PatienceTable:
    """Looks up a caller's patience by longest prefix match on its address.

    Time zones are loaded when the table is built, so that lookups do no I/O. A
    configuration that was validated by a peer may name a time zone that is missing in
    this host's database. Its windows then follow UTC, and :attr:`unknown_time_zones`
    contains the name.

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
        self._by_length: dict[int, _PrefixMap] = {}
        self._unknown_time_zones: set[str] = set()
        for group in groups:
            self._add(group)
        self._prefixes_longest_first = [
            self._by_length[n] for n in sorted(self._by_length, reverse=True)
        ]

    @property
    def unknown_time_zones(self) -> frozenset[str]:
        """The time zones that are missing in this host's database."""
        return frozenset(self._unknown_time_zones)

    def group_of(self, caller_ip: str) -> GroupName | None:
        """Return the name of the caller's group, or None if it belongs to no group."""
        group = self._find(_ip_to_int(caller_ip))
        return group.name if group else None

    def patience_s(self, caller_ip: str, wall_time_utc_s: float) -> Seconds:
        """Return how long the caller waits for a response, in seconds.

        ``wall_time_utc_s`` is the time since the epoch. A window includes its start and
        excludes its end.
        """
        group = self._find(_ip_to_int(caller_ip))
        if group is None:
            return self._default_patience_s
        minute = int(wall_time_utc_s // _SECONDS_PER_MINUTE)
        if group.minute != minute:
            group.cache_minute(minute)
        return group.patience_s

    def _add(self, group: CallerGroup) -> None:
        time_zone = _load_time_zone(group.time_zone)
        if time_zone is None:
            self._unknown_time_zones.add(group.time_zone)
        patience = _GroupPatience(group, time_zone or dt.UTC)
        for network in group.networks:
            ip, _, length_text = network.partition("/")
            length = int(length_text)
            prefixes = self._by_length.setdefault(length, _PrefixMap(length))
            prefixes.add(_ip_to_int(ip), patience)

    def _find(self, address: int) -> _GroupPatience | None:
        for prefixes in self._prefixes_longest_first:
            group = prefixes.find(address)
            if group is not None:
                return group
        return None
