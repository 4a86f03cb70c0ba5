"""The failure detector: probes, suspicion, incarnations and the lease of this process.

It follows SWIM (Das, Gupta and Motivala, 2002) with two ideas of Lifeguard (Dadgar,
Phillips and Currey, 2017): suspicions that confirm each other shorten the wait, and a
process that sees signs of its own slowness waits longer before it suspects others.
"""

from __future__ import annotations

import math
import random
from functools import singledispatchmethod

from banyanline.core.membership.composer import Composer
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
from banyanline.core.membership.probe_ledger import ProbeLedger
from banyanline.core.membership.schedule import ProbeSchedule
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.standing import standing_of
from banyanline.core.membership.suspicions import Suspicions
from banyanline.core.membership.table import MemberTable, Record
from banyanline.core.membership.view import View
from banyanline.core.types import Host, HostName, Seconds

_ANNOUNCEMENT_FANOUT = 4
"""Peers that hear at once that this process is leaving or has declared a host dead."""


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
        self._contacts = ContactTable(local.name, settings.lease_s)
        self._schedule = ProbeSchedule(local.name, settings.ring_every, rng)
        self._ledger = ProbeLedger(settings, rng, now)
        self._suspicions = Suspicions(self._table, settings)
        self._composer = Composer(self._table, self._contacts, settings, rng)
        self._state_answers = 0
        self._knows_places = False
        self._differs_since = math.inf
        self._is_seeded = False
        self._removable_incarnation = incarnation
        self._table_version = -1
        self._standing_version = -1
        self._majorities: frozenset[str] = frozenset()
        self._next_probe_at = now + rng.random() * settings.probe_interval_s
        self._next_reconnect_at = now + settings.reconnect_interval_s
        self._next_announcement_at = now
        self._due_at = now
        self._view = View(0, self._table.members)
        self._composer.spread(self._table.local.update(with_place=True))
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
        self._composer.set_revision(revision)

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
            self._composer.spread(local.update(with_place=True))
            self._announce(now, effects)
        self._refresh(now, effects)
        return effects

    def stand_by(self) -> None:
        """Take no work until :meth:`announce_ready`; for a process that has just started."""
        self._table.stand_by()
        self._composer.spread(self._table.local.update(with_place=True))
        self._view = View(self._view.version + 1, self._table.members)

    def announce_ready(self, now: Seconds) -> list[MembershipEffect]:
        """Tell the peers that this process takes work from now on."""
        effects: list[MembershipEffect] = []
        local = self._table.local
        if local.is_leaving:
            self._table.become_ready(now)
            self._composer.spread(local.update(with_place=True))
            self._announce(now, effects)
        self._refresh(now, effects)
        return effects

    def tick(self, now: Seconds) -> list[MembershipEffect]:
        """Send what is due and draw conclusions from what did not come."""
        effects: list[MembershipEffect] = []
        self._notice_stall(now)
        self._expire_probes(now, effects)
        self._expire_suspicions(now, effects)
        effects += [self._probe(record, now) for record in self._suspicions.take_unchecked(now)]
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
            self._compare_views(message, now)
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
        if message.revision > self._composer.revision:
            effects.append(RevisionSeen(message.sender, message.revision))

    def _compare_views(self, message: MembershipMessage, now: Seconds) -> None:
        """Ask for state anew if the view differs from those of peers for some time."""
        if isinstance(message, ProbeRequest):
            return
        if message.digest == self._table.digest:
            self._differs_since = math.inf
        elif now - self._differs_since >= self._settings.reconnect_interval_s:
            self._differs_since = now
            self._state_answers = min(self._state_answers, self._settings.state_answers - 1)
        else:
            self._differs_since = min(self._differs_since, now)

    @singledispatchmethod
    def _answer(
        self, message: MembershipMessage, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        raise AssertionError(f"no answer to {message!r}")

    @_answer.register
    def _(self, message: Probe, now: Seconds, effects: list[MembershipEffect]) -> None:
        sender = self._table.get(message.sender)
        if sender is not None:
            ack = self._composer.ack(sender, message.sequence, now, message)
            effects.append(ack)

    @_answer.register
    def _(self, message: ProbeRequest, now: Seconds, effects: list[MembershipEffect]) -> None:
        target = self._table.get(message.target)
        if target is not None:
            sequence = self._ledger.add_relayed(message.sender, message.sequence, now)
            effects.append(self._composer.probe(target, sequence))

    @_answer.register
    def _(self, message: ProbeAck, now: Seconds, effects: list[MembershipEffect]) -> None:
        relayed = self._ledger.acknowledge_relayed(message.sequence)
        requester = None if relayed is None else self._table.get(relayed.requester)
        if relayed is not None and requester is not None:
            effects.append(self._composer.ack(requester, relayed.sequence, now))
        probe = self._ledger.acknowledge(message.sequence, now)
        if probe is not None:
            self._state_answers += 1
            self._knows_places |= self._state_answers >= self._settings.state_answers
            self._suspicions.restart(probe.target, now)
            self._contacts.record(probe.target, probe.sent_at)
            was_fresh = self._contacts.is_fresh(now)
            self._contacts.merge(message.contacts, probe.sent_at, now)
            if not was_fresh and self._contacts.is_fresh(now):
                self._state_answers = 0

    def _apply(self, update: MemberUpdate, now: Seconds) -> None:
        if update.name == self.local.name:
            self._defend(update, now)
            return
        if not self._table.apply(update, now):
            return
        record = self._table.get(update.name)
        if record is not None and record.status is MemberStatus.ALIVE:
            update = record.update(with_place=not record.is_listed)
        self._composer.spread(update)

    def _defend(self, update: MemberUpdate, now: Seconds) -> None:
        """Refute a claim about this process that would win over its own."""
        local = self._table.local
        if update.status is MemberStatus.DEAD and update.incarnation >= self._removable_incarnation:
            self._removable_incarnation = update.incarnation + 1
            self._contacts.clear(now)
        if (update.incarnation, update.status) > local.claim:
            self._table.refute(update.incarnation, now)
            self._composer.spread(local.update(with_place=True))

    def _notice_stall(self, now: Seconds) -> None:
        """Draw no conclusion about others from a time in which this process stood still."""
        if now - self._due_at < self._settings.stall_s:
            return
        self._ledger.start_over()
        self._suspicions.restart_all(now)
        self._next_probe_at = now
        self._due_at = now

    def _expire_probes(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        for probe in self._ledger.take_failed(now):
            self._suspect(probe.target, now, effects)
        for sequence, probe in self._ledger.take_unanswered(now):
            self._ask_others(sequence, probe.target, effects)

    def _ask_others(self, sequence: int, target: HostName, effects: list[MembershipEffect]) -> None:
        count = 1 if self._suspicions.is_mass_event else self._settings.indirect_probes
        for helper in self._sample_alive(count, target):
            effects.append(self._composer.request(helper, sequence, target))

    def _sample_alive(self, count: int, besides: HostName = "") -> list[Record]:
        peers = [
            record
            for record in self._table.peers()
            if record.status is MemberStatus.ALIVE and record.host.name != besides
        ]
        return self._rng.sample(peers, min(count, len(peers)))

    def _suspect(self, name: HostName, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Suspect a host whose probe has failed, and probe it again at once."""
        record = self._table.get(name)
        if record is None or not record.is_live:
            return
        origin = host_identity(self.local.name)
        suspect = MemberUpdate(name, MemberStatus.SUSPECT, record.incarnation, origin)
        self._apply(suspect, now)
        self._suspicions.confirm(record)
        if not self._suspicions.is_mass_event:
            effects.append(self._probe(record, now))

    def _expire_suspicions(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Declare hosts dead that have not refuted their suspicion in time."""
        expired = self._suspicions.take_expired(now)
        for record in expired:
            self._apply(MemberUpdate(record.host.name, MemberStatus.DEAD, record.incarnation), now)
        if expired and now >= self._next_announcement_at:
            self._next_announcement_at = now + self._settings.reconnect_interval_s
            self._announce(now, effects)

    def _announce(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe some peers at once, so that the latest updates spread without delay."""
        for record in self._sample_alive(_ANNOUNCEMENT_FANOUT):
            effects.append(self._probe(record, now))

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

    def _probe(self, record: Record, now: Seconds) -> SendProbeMessage:
        sequence = self._ledger.add(record.host.name, now, may_ask_others=record.is_live)
        wants_state = self._state_answers < self._settings.state_answers
        return self._composer.probe(
            record,
            sequence,
            wants_state=wants_state,
            wants_places=wants_state and not self._knows_places,
        )

    def _refresh(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Announce the view if its shape has changed, and set when the next tick is due."""
        if self._table.version != self._table_version:
            self._table_version = self._table.version
            self._view = View(self._view.version + 1, self._table.members)
            if self._table.standing_version != self._standing_version:
                self._standing_version = self._table.standing_version
                self._rebuild(now)
            effects.append(ViewChanged(self._view))
        self._due_at = min(
            self._next_probe_at,
            self._next_reconnect_at,
            self._ledger.due_at,
            self._suspicions.due_at,
        )

    def _rebuild(self, now: Seconds) -> None:
        """Find anew whom to probe, whose contacts count and which groups have a majority."""
        standing = standing_of(self._table)
        self._majorities = standing.majorities
        self._schedule.rebuild(standing.group_peers, standing.other_peers)
        self._contacts.set_voters(standing.voters, now)
