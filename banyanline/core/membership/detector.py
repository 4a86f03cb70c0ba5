"""The failure detector: probes, suspicions, incarnations and the lease of this process.

It implements SWIM (Das, Gupta and Motivala, 2002) with two extensions from Lifeguard
(Dadgar, Phillips and Currey, 2017): independent confirmations shorten the timeout of a
suspicion, and a process that detects that it is slow itself uses longer probe timeouts.
"""

from __future__ import annotations

import math
import random
from functools import singledispatchmethod

from banyanline.core.membership.composer import Composer
from banyanline.core.membership.contacts import ContactTable, host_hash
from banyanline.core.membership.effects import (
    MembershipEffect,
    RevisionSeen,
    SendProbeMessage,
    ViewChanged,
)
from banyanline.core.membership.fleet_summary import summarize_fleet
from banyanline.core.membership.messages import (
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from banyanline.core.membership.pending_probes import PendingProbes
from banyanline.core.membership.schedule import ProbeSchedule
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.suspicions import Suspicions
from banyanline.core.membership.table import HostRecord, MemberTable
from banyanline.core.membership.view import View
from banyanline.core.types import Host, HostName, Seconds

_ANNOUNCEMENT_FANOUT = 4
"""Peers probed at once when this process starts to leave, is ready, or declares a host dead."""


class Membership:
    """The failure detector of one balancer, without I/O of its own.

    The node passes received messages to :meth:`receive`, calls :meth:`tick` at
    :attr:`next_tick_at` or soon after, and carries out the effects that the methods return.
    ``now`` is the monotonic clock in seconds. ``incarnation`` must increase from one start
    of the process to the next; the wall clock in milliseconds meets this.
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
        self._pending_probes = PendingProbes(settings, rng, now)
        self._suspicions = Suspicions(self._table, settings)
        self._composer = Composer(self._table, self._contacts, settings, rng)
        self._state_replies = 0
        self._knows_locations = False
        self._digest_differs_since = math.inf
        self._has_host_list = False
        self._min_removal_incarnation = incarnation
        self._seen_table_version = -1
        self._seen_summary_version = -1
        self._majorities: frozenset[str] = frozenset()
        self._next_probe_at = now + rng.random() * settings.probe_interval_s
        self._next_reconnect_at = now + settings.reconnect_interval_s
        self._next_announcement_at = now
        self._due_at = now
        self._view = View(0, self._table.members)
        self._composer.queue_update(self._table.local.update(with_location=True))
        self._refresh(now, [])

    @property
    def local(self) -> Host:
        """The host of this process."""
        return self._table.local.host

    @property
    def incarnation(self) -> int:
        """The current incarnation of this process."""
        return self._table.local.incarnation

    @property
    def view(self) -> View:
        """The latest view, as last reported by :class:`ViewChanged`."""
        return self._view

    @property
    def settings(self) -> MembershipSettings:
        """The settings of the failure detector."""
        return self._settings

    @property
    def takeover_wait_s(self) -> Seconds:
        """How long a new home or owner waits after the previous one was removed."""
        return self._settings.takeover_wait_s

    @property
    def next_tick_at(self) -> Seconds:
        """When :meth:`tick` has to be called next."""
        return self._due_at

    def lease_fresh(self, now: Seconds) -> bool:
        """Whether the lease is fresh, so that no other process can have taken over by ``now``."""
        return self._has_host_list and self._contacts.is_fresh(now)

    def lease_fresh_since(self, now: Seconds) -> Seconds | None:
        """Return since when the lease has been continuously fresh, or None if it is not fresh.

        While the lease was not fresh, other hosts may have been home or owner.
        """
        return self._contacts.fresh_since(now) if self._has_host_list else None

    def has_majority(self, fabric_group: str, now: Seconds) -> bool:
        """Whether more than half of the hosts of ``fabric_group`` are alive in the view.

        All known hosts of the group count, listed by the platform or not, unless they have
        left. A process that has not received any list has no majority.
        """
        return self._has_host_list and fabric_group in self._majorities

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision of this process that is sent to peers."""
        self._composer.set_revision(revision)

    def apply_host_list(self, hosts: tuple[Host, ...], now: Seconds) -> list[MembershipEffect]:
        """Apply the platform's list of hosts.

        Unknown hosts in the first list are assumed to be alive. Unknown hosts in later
        lists are considered dead until an update or message shows that they are alive.
        """
        effects: list[MembershipEffect] = []
        status = MemberStatus.DEAD if self._has_host_list else MemberStatus.ALIVE
        self._table.merge_host_list(hosts, status, now)
        self._has_host_list = self._has_host_list or bool(hosts)
        self._refresh(now, effects)
        return effects

    def announce_leaving(self, now: Seconds) -> list[MembershipEffect]:
        """Mark this process as leaving, which takes no new work, and announce it to peers."""
        effects: list[MembershipEffect] = []
        local = self._table.local
        if not local.is_leaving:
            self._table.leave(now)
            self._composer.queue_update(local.update(with_location=True))
            self._announce(now, effects)
        self._refresh(now, effects)
        return effects

    def mark_not_ready(self) -> None:
        """Take no work until :meth:`announce_ready` is called at the end of the startup period."""
        self._table.mark_not_ready()
        self._composer.queue_update(self._table.local.update(with_location=True))
        self._view = View(self._view.version + 1, self._table.members)

    def announce_ready(self, now: Seconds) -> list[MembershipEffect]:
        """Mark this process as ready to take work and announce it to peers."""
        effects: list[MembershipEffect] = []
        local = self._table.local
        if local.is_leaving:
            self._table.mark_ready(now)
            self._composer.queue_update(local.update(with_location=True))
            self._announce(now, effects)
        self._refresh(now, effects)
        return effects

    def tick(self, now: Seconds) -> list[MembershipEffect]:
        """Send due probes, and process expired probes and suspicions."""
        effects: list[MembershipEffect] = []
        self._detect_pause(now)
        self._expire_probes(now, effects)
        self._expire_suspicions(now, effects)
        effects += [self._probe(record, now) for record in self._suspicions.take_unprobed(now)]
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._settings.probe_interval_s
            self._probe_next(now, effects)
        if now >= self._next_reconnect_at:
            self._next_reconnect_at = now + self._settings.reconnect_interval_s
            self._table.remove_unlisted(now - self._settings.remove_unlisted_after_s)
            self._probe_dead(now, effects)
        self._refresh(now, effects)
        return effects

    def receive(self, message: MembershipMessage, now: Seconds) -> list[MembershipEffect]:
        """Process a peer's message and reply to it."""
        effects: list[MembershipEffect] = []
        self._detect_pause(now)
        if message.sender != self.local.name:
            self._process_sender(message, now, effects)
            for update in message.updates:
                self._apply(update, now)
            self._compare_views(message, now)
            self._reply(message, now, effects)
        self._refresh(now, effects)
        return effects

    def _process_sender(
        self, message: MembershipMessage, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        record = self._table.get(message.sender)
        if record is not None and message.incarnation > record.incarnation:
            status = MemberStatus.LEAVING if message.is_leaving else MemberStatus.ALIVE
            self._apply(MemberUpdate(message.sender, status, message.incarnation), now)
        if message.revision > self._composer.revision:
            effects.append(RevisionSeen(message.sender, message.revision))

    def _compare_views(self, message: MembershipMessage, now: Seconds) -> None:
        """Request state again if peers' digests have differed for ``reconnect_interval_s``."""
        if isinstance(message, ProbeRequest):
            return
        if message.digest == self._table.digest:
            self._digest_differs_since = math.inf
        elif now - self._digest_differs_since >= self._settings.reconnect_interval_s:
            self._digest_differs_since = now
            self._state_replies = min(self._state_replies, self._settings.state_replies - 1)
        else:
            self._digest_differs_since = min(self._digest_differs_since, now)

    @singledispatchmethod
    def _reply(
        self, message: MembershipMessage, now: Seconds, effects: list[MembershipEffect]
    ) -> None:
        raise AssertionError(f"no handler for message {message!r}")

    @_reply.register
    def _(self, message: Probe, now: Seconds, effects: list[MembershipEffect]) -> None:
        sender = self._table.get(message.sender)
        if sender is not None:
            ack = self._composer.build_ack(sender, message.sequence, now, message)
            effects.append(ack)

    @_reply.register
    def _(self, message: ProbeRequest, now: Seconds, effects: list[MembershipEffect]) -> None:
        target = self._table.get(message.target)
        if target is not None:
            sequence = self._pending_probes.add_relayed(message.sender, message.sequence, now)
            effects.append(self._composer.build_probe(target, sequence))

    @_reply.register
    def _(self, message: ProbeAck, now: Seconds, effects: list[MembershipEffect]) -> None:
        relayed = self._pending_probes.acknowledge_relayed(message.sequence)
        requester = None if relayed is None else self._table.get(relayed.requester)
        if relayed is not None and requester is not None:
            effects.append(self._composer.build_ack(requester, relayed.sequence, now))
        probe = self._pending_probes.acknowledge(message.sequence, now)
        if probe is not None:
            self._state_replies += 1
            self._knows_locations |= self._state_replies >= self._settings.state_replies
            self._suspicions.restart(probe.target, now)
            self._contacts.record(probe.target, probe.sent_at)
            was_fresh = self._contacts.is_fresh(now)
            self._contacts.merge(message.contacts, probe.sent_at, now)
            if not was_fresh and self._contacts.is_fresh(now):
                self._state_replies = 0

    def _apply(self, update: MemberUpdate, now: Seconds) -> None:
        if update.name == self.local.name:
            self._apply_to_local(update, now)
            return
        if not self._table.apply(update, now):
            return
        record = self._table.get(update.name)
        if record is not None and record.status is MemberStatus.ALIVE:
            update = record.update(with_location=not record.is_listed)
        self._composer.queue_update(update)

    def _apply_to_local(self, update: MemberUpdate, now: Seconds) -> None:
        """Refute a claim about this process that takes precedence over its own."""
        local = self._table.local
        if (
            update.status is MemberStatus.DEAD
            and update.incarnation >= self._min_removal_incarnation
        ):
            self._min_removal_incarnation = update.incarnation + 1
            self._contacts.clear(now)
        if (update.incarnation, update.status) > local.claim:
            self._table.refute(update.incarnation, now)
            self._composer.queue_update(local.update(with_location=True))

    def _detect_pause(self, now: Seconds) -> None:
        """Reset all probes and suspicions after a process pause.

        Nothing can be concluded about other hosts from a time in which this process did not run.
        """
        if now - self._due_at < self._settings.pause_threshold_s:
            return
        self._pending_probes.clear_all()
        self._suspicions.restart_all(now)
        self._next_probe_at = now
        self._due_at = now

    def _expire_probes(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        for probe in self._pending_probes.take_failed(now):
            self._suspect(probe.target, now, effects)
        for sequence, probe in self._pending_probes.take_unacknowledged(now):
            self._request_indirect_probes(sequence, probe.target, effects)

    def _request_indirect_probes(
        self, sequence: int, target: HostName, effects: list[MembershipEffect]
    ) -> None:
        count = 1 if self._suspicions.is_mass_event else self._settings.indirect_probes
        for helper in self._sample_alive(count, target):
            effects.append(self._composer.build_probe_request(helper, sequence, target))

    def _sample_alive(self, count: int, exclude: HostName = "") -> list[HostRecord]:
        peers = [
            record
            for record in self._table.peers()
            if record.status is MemberStatus.ALIVE and record.host.name != exclude
        ]
        return self._rng.sample(peers, min(count, len(peers)))

    def _suspect(self, name: HostName, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Suspect a host after a failed probe, and probe it again at once."""
        record = self._table.get(name)
        if record is None or not record.is_live:
            return
        origin = host_hash(self.local.name)
        suspect = MemberUpdate(name, MemberStatus.SUSPECT, record.incarnation, origin)
        self._apply(suspect, now)
        self._suspicions.record_own_failure(record)
        if not self._suspicions.is_mass_event:
            effects.append(self._probe(record, now))

    def _expire_suspicions(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Declare hosts dead that have not refuted their suspicion before its deadline."""
        expired = self._suspicions.take_expired(now)
        for record in expired:
            self._apply(MemberUpdate(record.host.name, MemberStatus.DEAD, record.incarnation), now)
        if expired and now >= self._next_announcement_at:
            self._next_announcement_at = now + self._settings.reconnect_interval_s
            self._announce(now, effects)

    def _announce(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe some peers at once so that the latest updates are disseminated without delay."""
        for record in self._sample_alive(_ANNOUNCEMENT_FANOUT):
            effects.append(self._probe(record, now))

    def _probe_next(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        name = self._schedule.next_target()
        record = None if name is None else self._table.get(name)
        if record is not None:
            effects.append(self._probe(record, now))

    def _probe_dead(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Probe one dead host so that the views merge once it is reachable again."""
        dead = [record for record in self._table.peers() if not record.is_live]
        if dead:
            effects.append(self._probe(self._rng.choice(dead), now))

    def _probe(self, record: HostRecord, now: Seconds) -> SendProbeMessage:
        sequence = self._pending_probes.add(record.host.name, now, allow_indirect=record.is_live)
        wants_state = self._state_replies < self._settings.state_replies
        return self._composer.build_probe(
            record,
            sequence,
            wants_state=wants_state,
            wants_locations=wants_state and not self._knows_locations,
        )

    def _refresh(self, now: Seconds, effects: list[MembershipEffect]) -> None:
        """Report the view if it has changed, and schedule the next tick."""
        if self._table.version != self._seen_table_version:
            self._seen_table_version = self._table.version
            self._view = View(self._view.version + 1, self._table.members)
            if self._table.summary_version != self._seen_summary_version:
                self._seen_summary_version = self._table.summary_version
                self._rebuild(now)
            effects.append(ViewChanged(self._view))
        self._due_at = min(
            self._next_probe_at,
            self._next_reconnect_at,
            self._pending_probes.due_at,
            self._suspicions.due_at,
        )

    def _rebuild(self, now: Seconds) -> None:
        """Recompute probe targets, voters, and the groups with a majority."""
        summary = summarize_fleet(self._table)
        self._majorities = summary.majorities
        self._schedule.rebuild(summary.group_peers, summary.other_peers)
        self._contacts.set_voters(summary.voters, now)
