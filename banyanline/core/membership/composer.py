"""Builds the failure detector's messages and piggybacks membership updates on them."""

from __future__ import annotations

import random

from banyanline.core.membership.contacts import ContactTable
from banyanline.core.membership.effects import SendProbeMessage
from banyanline.core.membership.messages import (
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeAck,
    ProbeRequest,
)
from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.membership.table import HostRecord, MemberTable
from banyanline.core.membership.update_queue import UpdateQueue, encoded_bytes
from banyanline.core.types import HostName, Seconds


class Composer:
    """Builds messages to peers, limiting the updates in each to what fits in a datagram."""

    def __init__(
        self,
        table: MemberTable,
        contacts: ContactTable,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._contacts = contacts
        self._settings = settings
        self._rng = rng
        self._queue = UpdateQueue()
        self._revision = 0

    @property
    def revision(self) -> int:
        """The configuration revision that is sent to peers."""
        return self._revision

    def set_revision(self, revision: int) -> None:
        """Send ``revision`` to peers from now on."""
        self._revision = revision

    def queue_update(self, update: MemberUpdate) -> None:
        """Queue ``update`` to be piggybacked on the next messages."""
        self._queue.put(update)

    def build_probe(
        self,
        receiver: HostRecord,
        sequence: int,
        *,
        wants_state: bool = False,
        wants_locations: bool = False,
    ) -> SendProbeMessage:
        """Return a probe of ``receiver``, optionally asking for its state and host locations."""
        local = self._table.local
        message = Probe(
            local.host.name,
            local.incarnation,
            local.is_leaving,
            self._revision,
            sequence,
            self._updates_for(receiver),
            wants_state,
            wants_locations,
            self._table.digest,
        )
        return _send(receiver, message)

    def build_ack(
        self, receiver: HostRecord, sequence: int, now: Seconds, probe: Probe | None = None
    ) -> SendProbeMessage:
        """Return the acknowledgement of a probe, with the state if ``probe`` asks for it."""
        local = self._table.local
        message = ProbeAck(
            local.host.name,
            local.incarnation,
            local.is_leaving,
            self._revision,
            sequence,
            self._state(probe) if probe and probe.wants_state else self._updates_for(receiver),
            self._contacts.pack(now, self._settings.contact_entries),
            self._table.digest,
        )
        return _send(receiver, message)

    def build_probe_request(
        self, receiver: HostRecord, sequence: int, target: HostName
    ) -> SendProbeMessage:
        """Return a request to ``receiver`` to probe ``target``."""
        local = self._table.local
        message = ProbeRequest(
            local.host.name,
            local.incarnation,
            local.is_leaving,
            self._revision,
            sequence,
            target,
            self._updates_for(receiver),
        )
        return _send(receiver, message)

    def _updates_for(self, receiver: HostRecord) -> tuple[MemberUpdate, ...]:
        """Return the updates to send, including any suspicion or death claim about the receiver."""
        updates: list[MemberUpdate] = []
        if receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update(with_location=False))
        max_transmissions = self._settings.transmit_factor * len(self._table).bit_length()
        updates += self._queue.take(self._settings.update_bytes, max_transmissions)
        if not updates:
            updates.append(self._random_update())
        return tuple(updates)

    def _random_update(self) -> MemberUpdate:
        """Return the claim about a random host, to make up for lost updates (anti-entropy)."""
        record = self._rng.choice(list(self._table))
        return record.update(with_location=not record.is_listed)

    def _state(self, probe: Probe) -> tuple[MemberUpdate, ...]:
        """Return the latest changes and random other hosts, each in one half of the budget."""
        budget = self._settings.state_bytes // 2
        latest = sorted(self._table, key=lambda record: -record.changed_at)
        updates, rest = _take_fitting(latest, budget, probe.wants_locations)
        self._rng.shuffle(rest)
        others, _ = _take_fitting(rest, budget, probe.wants_locations)
        return tuple(updates + others)


def _take_fitting(
    records: list[HostRecord], budget: int, wants_locations: bool
) -> tuple[list[MemberUpdate], list[HostRecord]]:
    """Split ``records`` into updates of at most ``budget`` bytes and the records left over."""
    updates: list[MemberUpdate] = []
    for idx, record in enumerate(records):
        with_location = record.is_live and (wants_locations or not record.is_listed)
        update = record.update(with_location=with_location)
        budget -= encoded_bytes(update)
        if budget < 0:
            return updates, records[idx:]
        updates.append(update)
    return updates, []


def _send(receiver: HostRecord, message: MembershipMessage) -> SendProbeMessage:
    return SendProbeMessage(receiver.host.name, receiver.host.peer_endpoint, message)
