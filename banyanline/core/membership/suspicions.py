"""When suspected hosts are probed again, declared dead, or given another chance."""

from __future__ import annotations

import math

from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.table import MemberTable, Record
from banyanline.core.types import HostName, Seconds

_CHECKS_AT_ONCE = 2
"""Hosts suspected by others that this process probes at the same time."""

_FEW_SUSPECTS = 4
"""With more suspects than that, each costs fewer datagrams."""


class Suspicions:
    """The suspected hosts of a table and what this process owes them.

    A host is declared dead only by a process whose own probe of it has failed, or on the
    word of one. Who merely hears of a suspicion probes the host first. A suspicion that
    spreads faster than its refutation does no harm then.
    """

    def __init__(self, table: MemberTable, settings: MembershipSettings) -> None:
        self._table = table
        self._settings = settings

    @property
    def is_mass_event(self) -> bool:
        """Whether so many hosts are suspected that one has to save datagrams."""
        return len(self._table.suspects) > _FEW_SUSPECTS

    @property
    def due_at(self) -> Seconds:
        """When the next suspected host is to be declared dead."""
        return min((self._deadline(record) for record in self._table.suspects), default=math.inf)

    def take_expired(self, now: Seconds) -> list[Record]:
        """Return hosts that have not refuted their suspicion in time."""
        return [record for record in self._table.suspects if now >= self._deadline(record)]

    def take_unchecked(self, now: Seconds) -> list[Record]:
        """Return hosts that others suspect and that are to be probed now, a few at once."""
        suspicions = [(record, record.suspicion) for record in self._table.suspects]
        limit = 1 if self.is_mass_event else _CHECKS_AT_ONCE
        free = limit - sum(held is not None and held.is_checked for _, held in suspicions)
        oldest = now - self._settings.suspicion_min_s
        taken: list[Record] = []
        for record, held in suspicions:
            if held is None or held.is_own or held.is_checked or held.since > oldest:
                continue
            if len(taken) < free:
                held.is_checked = True
                taken.append(record)
        return taken

    def confirm(self, record: Record) -> None:
        """Note that a probe of this process to a suspected host has failed."""
        if record.suspicion is not None:
            record.suspicion.is_own = True

    def restart(self, name: HostName, now: Seconds) -> None:
        """Hold nothing against a host that has answered but has not refuted yet."""
        record = self._table.get(name)
        if record is not None and record.suspicion is not None:
            record.suspicion.since = now
            record.suspicion.is_own = False
            record.suspicion.is_checked = False

    def postpone(self, stalled_s: Seconds) -> None:
        """Do not count a time in which this process stood still."""
        for record in self._table.suspects:
            if record.suspicion is not None:
                record.suspicion.since += stalled_s
                record.suspicion.is_checked = False

    def _deadline(self, record: Record) -> Seconds:
        if record.suspicion is None or not record.suspicion.is_own:
            return math.inf
        settings = self._settings
        return record.suspicion.deadline(
            settings.suspicion_min_s,
            settings.suspicion_max_s,
            settings.suspicion_confirmations,
        )
