"""The claims that a balancer holds about the hosts of the fleet, and which claim wins."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from banyanline.core.membership.messages import (
    MemberStatus,
    MemberUpdate,
    host_at,
    place_of,
)
from banyanline.core.membership.view import Member
from banyanline.core.types import Host, HostName, HostState, Seconds

LISTED_INCARNATION = 0
"""Incarnation of a host that is known from the platform's list alone."""


@dataclass(slots=True)
class Suspicion:
    """When a host was suspected, and by which balancers independently.

    ``is_own`` says that a probe of this process has failed too. Only then may it declare
    the host dead. ``is_checked`` says that such a probe is on its way.
    """

    since: Seconds
    origins: set[int] = field(default_factory=set)
    is_own: bool = False
    is_checked: bool = False

    def deadline(self, shortest_s: Seconds, longest_s: Seconds, confirmations: int) -> Seconds:
        """Return when the host is declared dead (Lifeguard, section IV-B).

        The time shrinks from ``longest_s`` to ``shortest_s`` with the logarithm of the
        confirmations by other balancers, and is shortest from ``confirmations`` on.
        """
        confirmed = min(max(len(self.origins) - 1, 0), confirmations)
        share = math.log(confirmed + 1) / math.log(confirmations + 1)
        return self.since + longest_s - (longest_s - shortest_s) * share


@dataclass(slots=True)
class Record:
    """What is held of one host. ``status`` is never ``LEAVING``; ``is_leaving`` says so."""

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
        """Whether the host counts as running."""
        return self.status is not MemberStatus.DEAD

    @property
    def has_left(self) -> bool:
        """Whether the host ended after it had been leaving."""
        return not self.is_live and (self.is_leaving or self.is_listed_leaving)

    @property
    def standing(self) -> tuple[str, bool, bool]:
        """The part of the record that decides whom to probe and who has a vote."""
        return self.host.fabric_group, self.is_live, self.is_leaving or self.is_listed_leaving

    @property
    def claim(self) -> tuple[int, MemberStatus]:
        """Incarnation and status, in the order in which claims win."""
        if self.status is MemberStatus.ALIVE and self.is_leaving:
            return self.incarnation, MemberStatus.LEAVING
        return self.incarnation, self.status

    def member(self) -> Member:
        """Return the record as a view shows it."""
        return Member(
            self.host,
            self.claim[1],
            self.incarnation,
            self.is_leaving or self.is_listed_leaving,
        )

    def update(self, *, with_place: bool) -> MemberUpdate:
        """Return the record as a claim to send."""
        incarnation, status = self.claim
        place = place_of(self.host) if with_place else None
        return MemberUpdate(self.host.name, status, incarnation, place=place)


def _fingerprint(member: Member) -> int:
    if not member.is_live:
        return 0
    identity = f"{member.host.name} {member.incarnation}"
    return xxhash.xxh32_intdigest(identity.encode())


class MemberTable:
    """All hosts that are known. The local host is one of them and never dead here."""

    def __init__(self, local: Host, incarnation: int, now: Seconds) -> None:
        self._records = {local.name: Record(local, MemberStatus.ALIVE, incarnation, now)}
        self._local_name = local.name
        self._members = {local.name: self.local.member()}
        self._digest = _fingerprint(self.local.member())
        self._suspects: dict[HostName, Record] = {}
        self._version = 0
        self._standing_version = 0

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def local(self) -> Record:
        """The record of this process."""
        return self._records[self._local_name]

    @property
    def version(self) -> int:
        """Grows like :attr:`standing_version`, and when a host restarts or moves as well."""
        return self._version

    @property
    def standing_version(self) -> int:
        """Grows whenever a host comes, goes, dies, returns or starts to leave."""
        return self._standing_version

    @property
    def digest(self) -> int:
        """A hash of the live hosts and their incarnations, 32 bits."""
        return self._digest

    @property
    def members(self) -> dict[HostName, Member]:
        """A copy of what a view shows."""
        return self._members.copy()

    @property
    def suspects(self) -> tuple[Record, ...]:
        """The hosts that are suspected at present."""
        return tuple(self._suspects.values())

    def get(self, name: HostName) -> Record | None:
        """Return what is held of ``name``, if it is known."""
        return self._records.get(name)

    def peers(self) -> Iterator[Record]:
        """Iterate over all hosts but the local one."""
        return (record for name, record in self._records.items() if name != self._local_name)

    def apply(self, update: MemberUpdate, now: Seconds) -> bool:
        """Take over a claim about another host if it wins; return whether it was news.

        A claim about an unknown host is news only if it says that the host is running
        and where it is.
        """
        record = self._records.get(update.name)
        if record is None:
            return self._admit(update, now)
        if (update.incarnation, update.status) <= record.claim:
            return self._confirm(record, update)
        before = record.standing
        self._set_status(record, update, now)
        if update.place is not None:
            record.host = host_at(update.name, update.place)
        record.incarnation = update.incarnation
        record.changed_at = now
        self._note_change(record, before)
        return True

    def refute(self, incarnation: int, now: Seconds) -> None:
        """Make the local host's claim win over one of ``incarnation``."""
        self.local.incarnation = incarnation + 1
        self.local.changed_at = now
        self._note_change(self.local, self.local.standing)

    def leave(self, now: Seconds) -> None:
        """Mark the local host as leaving."""
        before = self.local.standing
        self.local.is_leaving = True
        self.local.incarnation += 1
        self.local.changed_at = now
        self._note_change(self.local, before)

    def stand_by(self) -> None:
        """Mark the local host as taking no work yet."""
        before = self.local.standing
        self.local.is_leaving = True
        self._note_change(self.local, before)

    def become_ready(self, now: Seconds) -> None:
        """Mark the local host as taking work."""
        before = self.local.standing
        self.local.is_leaving = False
        self.local.incarnation += 1
        self.local.changed_at = now
        self._note_change(self.local, before)

    def list_hosts(self, hosts: Iterable[Host], status: MemberStatus, now: Seconds) -> None:
        """Take over the platform's list; a host not known before gets ``status``."""
        listed: set[HostName] = set()
        for host in hosts:
            listed.add(host.name)
            self._list_host(host, status, now)
        for record in self._records.values():
            if record.is_listed and record.host.name not in listed:
                before = record.standing
                record.is_listed = False
                record.is_listed_leaving = False
                record.unlisted_since = now
                self._note_change(record, before)

    def forget_unlisted(self, before: Seconds) -> None:
        """Drop hosts that have been dead and unlisted since ``before``."""
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
        self._standing_version += len(gone)

    def _list_host(self, host: Host, status: MemberStatus, now: Seconds) -> None:
        record = self._records.get(host.name)
        if record is None:
            self._add(Record(host, status, LISTED_INCARNATION, now))
            record = self._records[host.name]
        before = record.standing
        if record.incarnation == LISTED_INCARNATION or not record.is_live:
            record.host = host._replace(state=HostState.LIVE)
        record.is_listed = True
        record.is_listed_leaving = host.state is HostState.LEAVING
        self._note_change(record, before)

    def _add(self, record: Record) -> None:
        self._records[record.host.name] = record
        self._members[record.host.name] = record.member()
        self._digest ^= _fingerprint(record.member())
        self._version += 1
        self._standing_version += 1

    def _note_change(self, record: Record, before: tuple[str, bool, bool]) -> None:
        """Renew what the view shows of ``record``, and the versions if need be."""
        name = record.host.name
        old, new = self._members[name], record.member()
        if old == new:
            return
        self._members[name] = new
        self._digest ^= _fingerprint(old) ^ _fingerprint(new)
        is_news = (old.host, old.incarnation) != (new.host, new.incarnation)
        has_moved = record.standing != before
        self._version += is_news or has_moved
        self._standing_version += has_moved

    def _set_status(self, record: Record, update: MemberUpdate, now: Seconds) -> None:
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

    def _admit(self, update: MemberUpdate, now: Seconds) -> bool:
        if update.place is None or update.status >= MemberStatus.SUSPECT:
            return False
        record = Record(
            host_at(update.name, update.place),
            MemberStatus.ALIVE,
            update.incarnation,
            now,
            is_leaving=update.status is MemberStatus.LEAVING,
            unlisted_since=now,
        )
        self._add(record)
        return True

    def _confirm(self, record: Record, update: MemberUpdate) -> bool:
        """Count an independent suspicion of a host that is suspected already."""
        suspicion = record.suspicion
        is_same = (update.incarnation, update.status) == record.claim
        if suspicion is None or not is_same or update.origin in suspicion.origins:
            return False
        suspicion.origins.add(update.origin)
        return True
