"""Schedule of suspected hosts: when to probe one again and when to declare it dead."""

from __future__ import annotations

import math

from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.table import HostRecord, MemberTable
from banyanline.core.types import HostName, Seconds

_MAX_CONCURRENT_PROBES = 2
"""Maximum number of hosts suspected by peers that this process probes at the same time."""

_MASS_EVENT_THRESHOLD = 4
"""With more suspects than this, fewer datagrams are sent per suspect."""


class Suspicions:
    """Schedules probes and expiry for the suspected hosts of a table.

    A process declares a host dead only if its own probe of that host has failed. Other
    processes accept that claim, but on a relayed suspicion they probe the host themselves
    first. A suspicion that is disseminated faster than its refutation therefore does no harm.
    """

    def __init__(self, table: MemberTable, settings: MembershipSettings) -> None:
        self._table = table
        self._settings = settings

    @property
    def is_mass_event(self) -> bool:
        """Whether so many hosts are suspected that fewer datagrams are sent for each."""
        return len(self._table.suspects) > _MASS_EVENT_THRESHOLD

    @property
    def due_at(self) -> Seconds:
        """When the next suspicion expires and its host is to be declared dead."""
        return min((self._deadline(record) for record in self._table.suspects), default=math.inf)

    def take_expired(self, now: Seconds) -> list[HostRecord]:
        """Return hosts that have not refuted their suspicion before its deadline."""
        return [record for record in self._table.suspects if now >= self._deadline(record)]

    def take_unprobed(self, now: Seconds) -> list[HostRecord]:
        """Mark and return hosts that peers suspect and that this process should probe now.

        The number of such probes at the same time is limited.
        """
        suspicions = [(record, record.suspicion) for record in self._table.suspects]
        limit = 1 if self.is_mass_event else _MAX_CONCURRENT_PROBES
        free = limit - sum(
            suspicion is not None and suspicion.own_probe_sent for _, suspicion in suspicions
        )
        oldest = now - self._settings.suspicion_min_s
        taken: list[HostRecord] = []
        for record, suspicion in suspicions:
            if (
                suspicion is None
                or suspicion.own_probe_failed
                or suspicion.own_probe_sent
                or suspicion.since > oldest
            ):
                continue
            if len(taken) < free:
                suspicion.own_probe_sent = True
                taken.append(record)
        return taken

    def record_own_failure(self, record: HostRecord) -> None:
        """Record that this process's own probe of a suspected host has failed."""
        if record.suspicion is not None:
            record.suspicion.own_probe_failed = True

    def restart(self, name: HostName, now: Seconds) -> None:
        """Restart the suspicion of a host: clear its failed probe and probe it again later."""
        record = self._table.get(name)
        if record is not None and record.suspicion is not None:
            record.suspicion.since = now
            record.suspicion.own_probe_failed = False
            record.suspicion.own_probe_sent = False

    def restart_all(self, now: Seconds) -> None:
        """Restart all suspicions, since this process was paused."""
        for record in self._table.suspects:
            self.restart(record.host.name, now)

    def _deadline(self, record: HostRecord) -> Seconds:
        if record.suspicion is None or not record.suspicion.own_probe_failed:
            return math.inf
        settings = self._settings
        return record.suspicion.deadline(
            settings.suspicion_min_s,
            settings.suspicion_max_s,
            settings.suspicion_confirmations,
        )
