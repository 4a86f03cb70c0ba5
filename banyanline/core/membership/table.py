"""Table of the known hosts and their status, and the precedence of conflicting claims."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from banyanline.core.membership.messages import (
    MemberStatus,
    MemberUpdate,
    host_from_location,
    location_of,
)
from banyanline.core.membership.view import Member
from banyanline.core.types import Host, HostName, HostState, Seconds

LISTED_INCARNATION = 0
"""Incarnation of a host that is known only from the platform's list."""


@dataclass(slots=True)
class Suspicion:
    """When a host came under suspicion, and which balancers suspected it independently.

    ``own_probe_failed`` means that a probe by this process has failed too; only then may
    it declare the host dead. ``own_probe_sent`` means that such a probe is in flight.
    """

    since: Seconds
    origins: set[int] = field(default_factory=set)
    own_probe_failed: bool = False
    own_probe_sent: bool = False

    def deadline(self, min_s: Seconds, max_s: Seconds, confirmations: int) -> Seconds:
        """Return when the host is to be declared dead (Lifeguard, section IV-B).

        The timeout shrinks from ``max_s`` to ``min_s`` with the logarithm of the
        number of confirmations by other balancers, and is shortest once there are
        ``confirmations`` of them.
        """
        confirmed = min(max(len(self.origins) - 1, 0), confirmations)
        share = math.log(confirmed + 1) / math.log(confirmations + 1)
        return self.since + max_s - (max_s - min_s) * share


@dataclass(slots=True)
class HostRecord:
    """State of one host. ``status`` is never ``LEAVING``: ``is_leaving`` records that."""

    host: Host
    status: MemberStatus
    incarnation: int
    changed_at: Seconds
    is_leaving: bool = False
    is_listed: bool = False
    is_listed_leaving: bool = False
    unlisted_since: Seconds = -math.inf
    suspicion: Suspicion | None = None

    @property
    def is_live(self) -> bool:
        """Whether the host is considered running."""
        return self.status is not MemberStatus.DEAD

    @property
    def has_left(self) -> bool:
        """Whether the host is dead and was leaving before, so that it has no vote."""
        return not self.is_live and (self.is_leaving or self.is_listed_leaving)

    @property
    def summary_inputs(self) -> tuple[str, bool, bool]:
        """The fields on which probe targets, votes and majorities depend."""
        return self.host.fabric_group, self.is_live, self.is_leaving or self.is_listed_leaving

    @property
    def claim(self) -> tuple[int, MemberStatus]:
        """Incarnation and status. The greater pair wins."""
        if self.status is MemberStatus.ALIVE and self.is_leaving:
            return self.incarnation, MemberStatus.LEAVING
        return self.incarnation, self.status

    def member(self) -> Member:
        """Return the record as a member of a view."""
        return Member(
            self.host,
            self.claim[1],
            self.incarnation,
            self.is_leaving or self.is_listed_leaving,
        )

    def update(self, *, with_location: bool) -> MemberUpdate:
        """Return the record as an update to send to peers."""
        incarnation, status = self.claim
        location = location_of(self.host) if with_location else None
        return MemberUpdate(self.host.name, status, incarnation, location=location)


def _fingerprint(member: Member) -> int:
    if not member.is_live:
        return 0
    identity = f"{member.host.name} {member.incarnation}"
    return xxhash.xxh32_intdigest(identity.encode())


class MemberTable:
    """All known hosts, including the local one, which is never dead in its own table."""

    def __init__(self, local: Host, incarnation: int, now: Seconds) -> None:
        self._records = {local.name: HostRecord(local, MemberStatus.ALIVE, incarnation, now)}
        self._local_name = local.name
        self._members = {local.name: self.local.member()}
        self._digest = _fingerprint(self.local.member())
        self._suspects: dict[HostName, HostRecord] = {}
        self._version = 0
        self._summary_version = 0

    def __iter__(self) -> Iterator[HostRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def local(self) -> HostRecord:
        """The record of this process."""
        return self._records[self._local_name]

    @property
    def version(self) -> int:
        """Increases with :attr:`summary_version`, and when an incarnation or location changes."""
        return self._version

    @property
    def summary_version(self) -> int:
        """Increases whenever a host is added, removed, dies, recovers or starts to leave."""
        return self._summary_version

    @property
    def digest(self) -> int:
        """A 32-bit hash of the live hosts and their incarnations."""
        return self._digest

    @property
    def members(self) -> dict[HostName, Member]:
        """The members of a view, as a copy."""
        return self._members.copy()

    @property
    def suspects(self) -> tuple[HostRecord, ...]:
        """The hosts that are currently suspected."""
        return tuple(self._suspects.values())

    def get(self, name: HostName) -> HostRecord | None:
        """Return the record of ``name``, or None if the host is unknown."""
        return self._records.get(name)

    def peers(self) -> Iterator[HostRecord]:
        """Iterate over all hosts except the local one."""
        return (record for name, record in self._records.items() if name != self._local_name)

    def apply(self, update: MemberUpdate, now: Seconds) -> bool:
        """Apply a claim about another host if it takes precedence; return whether it was new.

        A claim about an unknown host is new only if the host is alive or leaving and the
        claim includes its location.
        """
        record = self._records.get(update.name)
        if record is None:
            return self._add_from_update(update, now)
        if (update.incarnation, update.status) <= record.claim:
            return self._count_confirmation(record, update)
        before = record.summary_inputs
        self._set_status(record, update, now)
        if update.location is not None:
            record.host = host_from_location(update.name, update.location)
        record.incarnation = update.incarnation
        record.changed_at = now
        self._record_change(record, before)
        return True

    def refute(self, incarnation: int, now: Seconds) -> None:
        """Raise the local incarnation above ``incarnation``, so that the local claim wins."""
        self.local.incarnation = incarnation + 1
        self.local.changed_at = now
        self._record_change(self.local, self.local.summary_inputs)

    def leave(self, now: Seconds) -> None:
        """Mark the local host as leaving."""
        before = self.local.summary_inputs
        self.local.is_leaving = True
        self.local.incarnation += 1
        self.local.changed_at = now
        self._record_change(self.local, before)

    def mark_not_ready(self) -> None:
        """Mark the local host as not ready to take work yet."""
        before = self.local.summary_inputs
        self.local.is_leaving = True
        self._record_change(self.local, before)

    def mark_ready(self, now: Seconds) -> None:
        """Mark the local host as ready to take work."""
        before = self.local.summary_inputs
        self.local.is_leaving = False
        self.local.incarnation += 1
        self.local.changed_at = now
        self._record_change(self.local, before)

    def merge_host_list(self, hosts: Iterable[Host], status: MemberStatus, now: Seconds) -> None:
        """Merge the platform's list into the table; previously unknown hosts get ``status``."""
        listed: set[HostName] = set()
        for host in hosts:
            listed.add(host.name)
            self._merge_listed_host(host, status, now)
        for record in self._records.values():
            if record.is_listed and record.host.name not in listed:
                before = record.summary_inputs
                record.is_listed = False
                record.is_listed_leaving = False
                record.unlisted_since = now
                self._record_change(record, before)

    def remove_unlisted(self, before: Seconds) -> None:
        """Remove hosts that have been both dead and unlisted since before ``before``."""
        gone = [
            record.host.name
            for record in self.peers()
            if not record.is_live
            and not record.is_listed
            and max(record.unlisted_since, record.changed_at) < before
        ]
        for name in gone:
            del self._records[name]
            del self._members[name]
        self._version += len(gone)
        self._summary_version += len(gone)

    def _merge_listed_host(self, host: Host, status: MemberStatus, now: Seconds) -> None:
        record = self._records.get(host.name)
        if record is None:
            self._add(HostRecord(host, status, LISTED_INCARNATION, now))
            record = self._records[host.name]
        before = record.summary_inputs
        if record.incarnation == LISTED_INCARNATION or not record.is_live:
            record.host = host._replace(state=HostState.LIVE)
        record.is_listed = True
        record.is_listed_leaving = host.state is HostState.LEAVING
        self._record_change(record, before)

    def _add(self, record: HostRecord) -> None:
        self._records[record.host.name] = record
        self._members[record.host.name] = record.member()
        self._digest ^= _fingerprint(record.member())
        self._version += 1
        self._summary_version += 1

    def _record_change(self, record: HostRecord, before: tuple[str, bool, bool]) -> None:
        """Update the member and the digest for ``record``, and the versions that are affected."""
        name = record.host.name
        old, new = self._members[name], record.member()
        if old == new:
            return
        self._members[name] = new
        self._digest ^= _fingerprint(old) ^ _fingerprint(new)
        has_new_identity = (old.host, old.incarnation) != (new.host, new.incarnation)
        has_summary_change = record.summary_inputs != before
        self._version += has_new_identity or has_summary_change
        self._summary_version += has_summary_change

    def _set_status(self, record: HostRecord, update: MemberUpdate, now: Seconds) -> None:
        record.suspicion = None
        self._suspects.pop(update.name, None)
        if update.status is MemberStatus.SUSPECT:
            record.status = MemberStatus.SUSPECT
            record.suspicion = Suspicion(now, {update.origin})
            self._suspects[update.name] = record
        elif update.status is MemberStatus.DEAD:
            record.status = MemberStatus.DEAD
        else:
            record.status = MemberStatus.ALIVE
            record.is_leaving = update.status is MemberStatus.LEAVING

    def _add_from_update(self, update: MemberUpdate, now: Seconds) -> bool:
        if update.location is None or update.status >= MemberStatus.SUSPECT:
            return False
        record = HostRecord(
            host_from_location(update.name, update.location),
            MemberStatus.ALIVE,
            update.incarnation,
            now,
            is_leaving=update.status is MemberStatus.LEAVING,
            unlisted_since=now,
        )
        self._add(record)
        return True

    def _count_confirmation(self, record: HostRecord, update: MemberUpdate) -> bool:
        """Count an independent confirmation of a suspicion; return whether it was new."""
        suspicion = record.suspicion
        is_same = (update.incarnation, update.status) == record.claim
        if suspicion is None or not is_same or update.origin in suspicion.origins:
            return False
        suspicion.origins.add(update.origin)
        return True
