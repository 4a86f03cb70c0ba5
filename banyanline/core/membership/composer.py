"""Builds the datagrams of the failure detector, with the updates that ride on them."""

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
from banyanline.core.membership.table import MemberTable, Record
from banyanline.core.membership.update_queue import UpdateQueue, encoded_bytes
from banyanline.core.types import HostName, Seconds


class Composer:
    """What this process says to its peers, and how much of it fits in a datagram."""

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
        """The configuration revision that peers are told."""
        return self._revision

    def set_revision(self, revision: int) -> None:
        """Tell peers ``revision`` from now on."""
        self._revision = revision

    def spread(self, update: MemberUpdate) -> None:
        """Let ``update`` ride on the next datagrams."""
        self._queue.put(update)

    def probe(
        self,
        receiver: Record,
        sequence: int,
        *,
        wants_state: bool = False,
        wants_places: bool = False,
    ) -> SendProbeMessage:
        """Return a probe of ``receiver``, which may ask for its state and where hosts are."""
        local = self._table.local
        message = Probe(
            local.host.name,
            local.incarnation,
            local.is_leaving,
            self._revision,
            sequence,
            self._updates_for(receiver),
            wants_state,
            wants_places,
            self._table.digest,
        )
        return _send(receiver, message)

    def ack(
        self, receiver: Record, sequence: int, now: Seconds, probe: Probe | None = None
    ) -> SendProbeMessage:
        """Return the acknowledgement of a probe by ``receiver``, with what ``probe`` asks for."""
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

    def request(self, receiver: Record, sequence: int, target: HostName) -> SendProbeMessage:
        """Return a request that ``receiver`` probe ``target``."""
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

    def _updates_for(self, receiver: Record) -> tuple[MemberUpdate, ...]:
        """Return the updates to send; a host always learns what is held against it."""
        updates: list[MemberUpdate] = []
        if receiver.status is not MemberStatus.ALIVE:
            updates.append(receiver.update(with_place=False))
        max_transmissions = self._settings.transmit_factor * len(self._table).bit_length()
        updates += self._queue.take(self._settings.update_bytes, max_transmissions)
        if not updates:
            updates.append(self._random_update())
        return tuple(updates)

    def _random_update(self) -> MemberUpdate:
        """Return what is held of a random host, which repairs updates that were lost."""
        record = self._rng.choice(list(self._table))
        return record.update(with_place=not record.is_listed)

    def _state(self, probe: Probe) -> tuple[MemberUpdate, ...]:
        """Return the latest changes and, in the second half, what is held of other hosts."""
        budget = self._settings.state_bytes // 2
        latest = sorted(self._table, key=lambda record: -record.changed_at)
        updates, rest = _fitting(latest, budget, probe.wants_places)
        self._rng.shuffle(rest)
        others, _ = _fitting(rest, budget, probe.wants_places)
        return tuple(updates + others)


def _fitting(
    records: list[Record], budget: int, wants_places: bool
) -> tuple[list[MemberUpdate], list[Record]]:
    """Return the first records as updates of at most ``budget`` bytes, and the other records."""
    updates: list[MemberUpdate] = []
    for idx, record in enumerate(records):
        with_place = record.is_live and (wants_places or not record.is_listed)
        update = record.update(with_place=with_place)
        budget -= encoded_bytes(update)
        if budget < 0:
            return updates, records[idx:]
        updates.append(update)
    return updates, []


def _send(receiver: Record, message: MembershipMessage) -> SendProbeMessage:
    return SendProbeMessage(receiver.host.name, receiver.host.peer_endpoint, message)
