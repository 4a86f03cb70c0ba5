"""The failure detector: probes, suspicion, incarnations and the lease of this process.

It follows SWIM (Das, Gupta and Motivala, 2002) with two ideas of Lifeguard (Dadgar,
Phillips and Currey, 2017): suspicions that confirm each other shorten the wait, and a
process that sees signs of its own slowness waits longer before it suspects others.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod

from banyanline.core.membership.contacts import ContactTable, host_identity
from banyanline.core.membership.effects import (
    MembershipEffect,
    RevisionSeen,
    SendProbeMessage,
    ViewChanged,
)
from banyanline.core.membership.messages import (
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from banyanline.core.membership.schedule import ProbeSchedule
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.table import MemberTable, Record
from banyanline.core.membership.update_queue import UpdateQueue, encoded_bytes
from banyanline.core.membership.view import View
from banyanline.core.types import Host, HostName, Seconds

_ANNOUNCEMENT_FANOUT = 4
"""Peers that hear at once that this process is leaving or has declared a host dead."""

_SEQUENCE_BITS = 31
"""The first sequence is random, so that no late datagram answers a restarted process."""

_CHECKS_AT_ONCE = 2
"""Hosts suspected by others that this process probes at the same time."""

_FILLED_BELOW = 1
"""A probe with fewer updates carries what is held of one random host as well."""


@dataclass(slots=True)
class _Outstanding:
    """A probe without an acknowledgement yet."""

    target: HostName
    sent_at: Seconds
    indirect_at: Seconds
    fail_at: Seconds


@dataclass(slots=True)
class _Relayed:
    """A probe sent on behalf of ``requester``, which knows it as ``sequence``."""

    requester: HostName
    sequence: int
    expires_at: Seconds


class Membership:
    """One balancer's part in the failure detector.

    The caller passes datagrams to :meth:`receive`, calls :meth:`tick` at
    :attr:`next_tick_at` or soon after, and runs the effects that the methods return.
    ``now`` is the monotonic clock in seconds. ``incarnation`` has to grow from one start
    of the process to the next; the wall clock in milliseconds does.
    """

    def __init__(
        self,
        local: Host,
        settings: MembershipSettings,
        rng: random.Random,
        now: Seconds,
        incarnation: int,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._table = MemberTable(local, incarnation, now)
        self._queue = UpdateQueue()
        self._contacts = ContactTable(local.name, settings.lease_s, rng)
        self._schedule = ProbeSchedule(local.name, settings.ring_every, rng)
        self._outstanding: dict[int, _Outstanding] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._revision = 0
        self._health_penalty = 0
        self._answered_at = now
        self._state_answers = 0
        self._is_seeded = False
        self._next_probe_at = now + rng.random() * settings.probe_interval_s
        self._next_reconnect_at = now + settings.reconnect_interval_s
        self._due_at = now
        self._view = View(0, self._table.members)
        self._removable_incarnation = incarnation
        self._table_version = -1
        self._standing_version = -1
        self._majorities: frozenset[str] = frozenset()
        self._queue.put(self._table.local.update(with_place=True))
        self._refresh(now, [])

    @property
    def local(self) -> Host:
        """The host of this process."""
        return self._table.local.host

    @property
    def incarnation(self) -> int:
        """The incarnation under which this process is a member."""
        return self._table.local.incarnation

    @property
    def view(self) -> View:
        """The last view that was announced by :class:`ViewChanged`."""
        return self._view

    @property
    def settings(self) -> MembershipSettings:
        """The intervals in use."""
        return self._settings

    @property
    def takeover_wait_s(self) -> Seconds:
        """How long a new home or owner waits after the removal of the previous one."""
        return self._settings.takeover_wait_s

    @property
    def next_tick_at(self) -> Seconds:
        """When :meth:`tick` has something to do next."""
        return self._due_at

    def lease_fresh(self, now: Seconds) -> bool:
        """Whether no other process can have taken over from this one at ``now``."""
        return self._is_seeded and self._contacts.is_fresh(now)

    def lease_since(self, now: Seconds) -> Seconds | None:
        """Return since when the lease has been fresh without a break, if it is fresh.

        Between two spells of a fresh lease others may have been home or owner.
        """
        return self._contacts.fresh_since(now) if self._is_seeded else None

    def has_majority(self, fabric_group: str, now: Seconds) -> bool:
        """Whether more than half of the hosts of ``fabric_group`` are alive in the view.

        Hosts count that are listed by the platform or known otherwise, unless they have
        left. A process that has never seen a list has no majority.
        """
        return self._is_seeded and fabric_group in self._majorities

    def set_revision(self, revision: int) -> None:
        """Tell peers from now on that this process holds configuration ``revision``."""
        self._revision = revision

    def learn_hosts(self, hosts: tuple[Host, ...], now: Seconds) -> list[MembershipEffect]:
        """Take over the platform's list of hosts.

        The first list says who is probably alive. Later a host that is new to the list
        counts as alive only once it was heard of.
        """
        effects: list[MembershipEffect] = []
        status = MemberStatus.DEAD if self._is_seeded else MemberStatus.ALIVE
        self._table.list_hosts(hosts, status, now)
        self._is_seeded = self._is_seeded or bool(hosts)
        self._refresh(now, effects)
        return effects

    def announce_leaving(self, now: Seconds) -> list[MembershipEffect]:
        """Tell the peers that this process takes no new work."""
        effects: list[MembershipEffect] = []
        local = self._table.local
        if not local.is_leaving:
            self._table.leave(now)
            self._queue.put(local.update(with_place=True))
            self._announce(now, effects)
        self._refresh(now, effects)
        return effects

    def tick(self, now: Seconds) -> list[MembershipEffect]:
        """Send what is due and draw conclusions from what did not come."""
        effects: list[MembershipEffect] = []
        self._notice_stall(now)
        self._expire_probes(now, effects)
        self._expire_suspicions(now, effects)
        self._check_suspicions(now, effects)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._settings.probe_interval_s
            self._probe_next(now, effects)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + self._settings.reconnect_interval_s
            self._table.forget_unlisted(now - self._settings.forget_after_s)
            self._probe_dead(now, effects)
        self._refresh(now, effects)
        return effects

    def receive(self, message: MembershipMessage, now: Seconds) -> list[MembershipEffect]:
        """Take over what a peer's datagram says, and answer it."""
        effects: list[MembershipEffect] = []
        self._notice_stall(now)
        if message.sender != self.local.name:
            self._note_sender(message, now, effects)
            for update in message.updates:
                self._apply(update, now)
            self._answer(message, now, effects)
        self._refresh(now, effects)
        return effects

    def _note_sender(
        self, message: MembershipMessage, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        record = self._table.get(message.sender)
        if record is not None and message.incarnation > record.incarnation:
            status = MemberStatus.LEAVING if message.is_leaving else MemberStatus.ALIVE
            self._apply(MemberUpdate(message.sender, status, message.incarnation), now)
        if message.revision > self._revision:
            effects.append(RevisionSeen(message.sender, message.revision))

    @singledispatchmethod
    def _answer(
        self, message: MembershipMessage, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        raise AssertionError(f"no answer to {message!r}")

    @_answer.register
    def _(self, message: Probe, now: Seconds, effects: list[MembershipEffect]) -> None:
        record = self._table.get(message.sender)
        if record is not None:
            updates = self._state_updates() if message.wants_state else None
            effects.append(self._ack(record, message.sequence, now, updates))

    @_answer.register
    def _(self, message: ProbeRequest, now: Seconds, effects: list[MembershipEffect]) -> None:
        target = self._table.get(message.target)
        if target is None:
            return
        effects.append(self._probe(target, now, outstanding=False))
        expires_at = now + self._settings.probe_failed_s
        self._relayed[self._sequence] = _Relayed(message.sender, message.sequence, expires_at)

    @_answer.register
    def _(self, message: ProbeAck, now: Seconds, effects: list[MembershipEffect]) -> None:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            requester = self._table.get(relayed.requester)
            if requester is not None:
                effects.append(self._ack(requester, relayed.sequence, now, None))
        probe = self._outstanding.pop(message.sequence, None)
        if probe is None:
            return
        self._answered_at = now
        self._health_penalty = max(0, self._health_penalty - 1)
        self._state_answers += 1
        self._restart_suspicion(probe.target, now)
        self._contacts.record(probe.target, probe.sent_at)
        self._contacts.merge(message.contacts, probe.sent_at, now)

    def _apply(self, update: MemberUpdate, now: Seconds) -> None:
        if update.name == self.local.name:
            self._defend(update, now)
            return
        if not self._table.apply(update, now):
            return
        record = self._table.get(update.name)
        if record is not None and record.status is MemberStatus.ALIVE:
            update = record.update(with_place=not record.is_listed)
        self._queue.put(update)

    def _defend(self, update: MemberUpdate, now: Seconds) -> None:
        """Refute a claim about this process that would win over its own."""
        local = self._table.local
        if update.status is MemberStatus.DEAD and update.incarnation >= self._removable_incarnation:
            self._removable_incarnation = update.incarnation + 1
            self._contacts.clear(now)
        if (update.incarnation, update.status) > local.claim:
            self._table.refute(update.incarnation, now)
            self._queue.put(local.update(with_place=True))

    def _notice_stall(self, now: Seconds) -> None:
        """Draw no conclusion about others from a time in which this process stood still."""
        stalled_s = now - self._due_at
        if stalled_s < self._settings.stall_s:
            return
        self._outstanding.clear()
        self._relayed.clear()
        for record in self._table.suspects:
            if record.suspicion is not None:
                record.suspicion.since += stalled_s
                record.suspicion.is_checked = False
        self._health_penalty = self._settings.max_health_penalty
        self._next_probe_at = now
        self._due_at = now

    def _expire_probes(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        for sequence, probe in list(self._outstanding.items()):
            if now >= probe.fail_at:
                del self._outstanding[sequence]
                self._probe_failed(probe, now, effects)
            elif now >= probe.indirect_at:
                probe.indirect_at = math.inf
                self._ask_others(sequence, probe, effects)
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.expires_at:
                del self._relayed[sequence]

    def _ask_others(
        self, sequence: int, probe: _Outstanding, effects: list[MembershipEffect]
    ) -> None:
        helpers = [
            record
            for record in self._table.peers()
            if record.status is MemberStatus.ALIVE and record.host.name != probe.target
        ]
        count = min(self._settings.indirect_probes, len(helpers))
        for helper in self._rng.sample(helpers, count):
            request = ProbeRequest(
                self.local.name,
                self.incarnation,
                self._table.local.is_leaving,
                self._revision,
                sequence,
                probe.target,
                self._piggyback(helper),
            )
            effects.append(SendProbeMessage(helper.host.name, helper.host.peer_endpoint, request))

    def _probe_failed(
        self, probe: _Outstanding, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        if self._answered_at < probe.sent_at:
            penalty = self._health_penalty + 1
            self._health_penalty = min(penalty, self._settings.max_health_penalty)
        record = self._table.get(probe.target)
        if record is None or not record.is_live:
            return
        suspect = MemberUpdate(
            probe.target,
            MemberStatus.SUSPECT,
            record.incarnation,
            host_identity(self.local.name),
        )
        self._apply(suspect, now)
        if record.suspicion is not None:
            record.suspicion.is_own = True
        effects.append(self._probe(record, now))

    def _expire_suspicions(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Declare hosts dead that have not refuted their suspicion in time."""
        expired = [
            record for record in self._table.suspects if now >= self._suspicion_deadline(record)
        ]
        for record in expired:
            self._apply(MemberUpdate(record.host.name, MemberStatus.DEAD, record.incarnation), now)
        if expired:
            self._announce(now, effects)

    def _announce(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe some peers at once, so that the latest updates spread without delay."""
        peers = [record for record in self._table.peers() if record.status is MemberStatus.ALIVE]
        for record in self._rng.sample(peers, min(_ANNOUNCEMENT_FANOUT, len(peers))):
            effects.append(self._probe(record, now))

    def _check_suspicions(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe hosts that others suspect, a few at once, before this process agrees."""
        at_once = sum(
            record.suspicion is not None and record.suspicion.is_checked
            for record in self._table.suspects
        )
        for record in self._table.suspects:
            if at_once == _CHECKS_AT_ONCE:
                return
            if record.suspicion is not None and now >= self._check_at(record):
                record.suspicion.is_checked = True
                at_once += 1
                effects.append(self._probe(record, now))

    def _restart_suspicion(self, name: HostName, now: Seconds) -> None:
        """Hold nothing against a host that has answered but has not refuted yet."""
        record = self._table.get(name)
        if record is not None and record.suspicion is not None:
            record.suspicion.since = now
            record.suspicion.is_own = False
            record.suspicion.is_checked = False

    def _check_at(self, record: Record) -> Seconds:
        """Return when a host that others suspect is to be probed."""
        suspicion = record.suspicion
        if suspicion is None or suspicion.is_own or suspicion.is_checked:
            return math.inf
        return suspicion.since + self._settings.suspicion_min_s

    def _suspicion_deadline(self, record: Record) -> Seconds:
        """Return when a host is declared dead by this process."""
        if record.suspicion is None or not record.suspicion.is_own:
            return math.inf
        settings = self._settings
        return record.suspicion.deadline(
            settings.suspicion_min_s,
            settings.suspicion_max_s,
            settings.suspicion_confirmations,
        )

    def _probe_next(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        name = self._schedule.next_target()
        record = None if name is None else self._table.get(name)
        if record is not None:
            effects.append(self._probe(record, now))

    def _probe_dead(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe one dead host, so that views merge once it can be reached again."""
        dead = [record for record in self._table.peers() if not record.is_live]
        if dead:
            effects.append(self._probe(self._rng.choice(dead), now))

    def _probe(self, record: Record, now: Seconds, *, outstanding: bool = True) -> SendProbeMessage:
        self._sequence += 1
        if outstanding:
            stretch = 1 + self._health_penalty
            self._outstanding[self._sequence] = _Outstanding(
                record.host.name,
                now,
                now + self._settings.ack_timeout_s * stretch if record.is_live else math.inf,
                now + self._settings.probe_failed_s * stretch,
            )
        message = Probe(
            self.local.name,
            self.incarnation,
            self._table.local.is_leaving,
            self._revision,
            self._sequence,
            self._piggyback(record),
            self._state_answers < self._settings.state_answers,
        )
        return SendProbeMessage(record.host.name, record.host.peer_endpoint, message)

    def _ack(
        self,
        record: Record,
        sequence: int,
        now: Seconds,
        updates: tuple[MemberUpdate, ...] | None,
    ) -> SendProbeMessage:
        message = ProbeAck(
            self.local.name,
            self.incarnation,
            self._table.local.is_leaving,
            self._revision,
            sequence,
            self._piggyback(record) if updates is None else updates,
            self._contacts.pack(now, self._settings.contact_entries),
        )
        return SendProbeMessage(record.host.name, record.host.peer_endpoint, message)

    def _piggyback(self, receiver: Record) -> tuple[MemberUpdate, ...]:
        """Return the updates that ride on a message to ``receiver``."""
        updates: list[MemberUpdate] = []
        if receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update(with_place=False))
        limit = self._settings.transmit_factor * len(self._table).bit_length()
        updates += self._queue.take(self._settings.update_bytes, limit)
        if len(updates) < _FILLED_BELOW:
            updates.append(self._random_update())
        return tuple(updates)

    def _random_update(self) -> MemberUpdate:
        """Return what is held of a random host, which repairs updates that were lost."""
        record = self._rng.choice(list(self._table))
        return record.update(with_place=not record.is_listed)

    def _state_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the latest changes, as many as fit, for a process that has just started."""
        budget = self._settings.state_bytes
        updates: list[MemberUpdate] = []
        for record in sorted(self._table, key=lambda record: -record.changed_at):
            update = record.update(with_place=record.is_live)
            budget -= encoded_bytes(update)
            if budget < 0:
                break
            updates.append(update)
        return tuple(updates)

    def _refresh(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Announce the view if its shape has changed, and set when the next tick is due."""
        if self._table.version != self._table_version:
            self._table_version = self._table.version
            self._view = View(self._view.version + 1, self._table.members)
            if self._table.standing_version != self._standing_version:
                self._standing_version = self._table.standing_version
                self._rebuild(now)
            effects.append(ViewChanged(self._view))
        probes = self._outstanding.values()
        suspects = self._table.suspects
        self._due_at = min(
            self._next_probe_at,
            self._next_reconnect_at,
            *(min(probe.indirect_at, probe.fail_at) for probe in probes),
            *(self._suspicion_deadline(record) for record in suspects),
        )

    def _rebuild(self, now: Seconds) -> None:
        """Find anew whom to probe, whose contacts count and which groups have a majority."""
        peers: dict[bool, list[HostName]] = {True: [], False: []}
        voters: list[HostName] = []
        votes: Counter[str] = Counter()
        own_group = self.local.fabric_group
        for record in self._table:
            group = record.host.fabric_group
            if record.is_live and record.host.name != self.local.name:
                peers[group == own_group].append(record.host.name)
            if not record.has_left:
                votes[group] += 1 if record.is_live else -1
                if group == own_group:
                    voters.append(record.host.name)
        self._majorities = frozenset(group for group, lead in votes.items() if lead > 0)
        self._schedule.rebuild(group=peers[True], others=peers[False])
        self._contacts.set_voters(voters, now)
