"""The claims that a balancer holds about the hosts of the fleet, and which claim wins."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

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
    """When a host was suspected, and by which balancers independently."""

    since: Seconds
    origins: set[int] = field(default_factory=set)

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
    def shape(self) -> tuple[Host, int, bool, bool]:
        """The part of the record whose change makes a new view."""
        is_leaving = self.is_leaving or self.is_listed_leaving
        return self.host, self.incarnation, self.is_live, is_leaving

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


class MemberTable:
    """All hosts that are known. The local host is one of them and never dead here."""

    def __init__(self, local: Host, incarnation: int, now: Seconds) -> None:
        self._records = {local.name: Record(local, MemberStatus.ALIVE, incarnation, now)}
        self._local_name = local.name
        self._suspects: dict[HostName, Record] = {}
        self._version = 0

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
        """Grows whenever a host comes, goes, dies, restarts, moves or starts to leave."""
        return self._version

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
        before = record.shape
        self._set_status(record, update, now)
        if update.place is not None:
            record.host = host_at(update.name, update.place)
        record.incarnation = update.incarnation
        record.changed_at = now
        if record.shape != before:
            self._version += 1
        return True

    def refute(self, incarnation: int, now: Seconds) -> None:
        """Make the local host's claim win over one of ``incarnation``."""
        self.local.incarnation = incarnation + 1
        self.local.changed_at = now
        self._version += 1

    def leave(self, now: Seconds) -> None:
        """Mark the local host as leaving."""
        self.local.is_leaving = True
        self.refute(self.local.incarnation, now)

    def list_hosts(self, hosts: Iterable[Host], status: MemberStatus, now: Seconds) -> None:
        """Take over the platform's list; a host not known before gets ``status``."""
        listed: set[HostName] = set()
        for host in hosts:
            listed.add(host.name)
            self._list_host(host, status, now)
        for record in self._records.values():
            if record.is_listed and record.host.name not in listed:
                record.is_listed = False
                record.unlisted_since = now
                self._version += record.is_listed_leaving
                record.is_listed_leaving = False

    def forget_unlisted(self, before: Seconds) -> bool:
        """Drop hosts that have been dead and unlisted since ``before``; return whether any."""
        gone = [
            record.host.name
            for record in self.peers()
            if not record.is_live
            and not record.is_listed
            and max(record.unlisted_since, record.changed_at) < before
        ]
        for name in gone:
            del self._records[name]
        self._version += len(gone)
        return bool(gone)

    def _list_host(self, host: Host, status: MemberStatus, now: Seconds) -> None:
        record = self._records.get(host.name)
        if record is None:
            record = Record(host, status, LISTED_INCARNATION, now)
            self._records[host.name] = record
            self._version += 1
        before = record.shape
        if record.incarnation == LISTED_INCARNATION or not record.is_live:
            record.host = host._replace(state=HostState.LIVE)
        record.is_listed = True
        record.is_listed_leaving = host.state is HostState.LEAVING
        if record.shape != before:
            self._version += 1

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
        self._records[update.name] = Record(
            host_at(update.name, update.place),
            MemberStatus.ALIVE,
            update.incarnation,
            now,
            is_leaving=update.status is MemberStatus.LEAVING,
            unlisted_since=now,
        )
        self._version += 1
        return True

    def _confirm(self, record: Record, update: MemberUpdate) -> bool:
        """Count an independent suspicion of a host that is suspected already."""
        suspicion = record.suspicion
        is_same = (update.incarnation, update.status) == record.claim
        if suspicion is None or not is_same or update.origin in suspicion.origins:
            return False
        suspicion.origins.add(update.origin)
        return True
