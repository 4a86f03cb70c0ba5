"""How lately a majority of a fabric group was in contact, which is this process's lease."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from operator import itemgetter

import xxhash

from banyanline.core.types import HostName, Seconds

_ENTRY = struct.Struct("!HB")
_AGE_UNIT_S: Seconds = 1 / 64
_MAX_AGE_UNITS = 255
_SPARE_ENTRIES = 8
_IDENTITY_MASK = 0xFFFF


def host_identity(name: HostName) -> int:
    """Return a 16-bit identity of a host name; two names can share one."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _IDENTITY_MASK


class ContactTable:
    """Times at which the voters of a fabric group were in contact with this process.

    A contact at time ``t`` means that the voter sent something after ``t`` that has
    reached this process since, through others perhaps. Only acknowledgements of own
    probes count, reckoned from the time at which the probe was sent. A datagram that
    was long on its way can therefore never make a contact look younger than it is.
    """

    def __init__(self, local: HostName, lease_s: Seconds) -> None:
        self._local = local
        self._lease_s = lease_s
        self._contacts: dict[HostName, Seconds] = {}
        self._names: dict[int, HostName] = {}
        self._identities: dict[HostName, int] = {}
        self._fresh_since: Seconds = -math.inf
        self._fresh_until: Seconds = -math.inf

    def is_fresh(self, now: Seconds) -> bool:
        """Whether a majority was in contact within the last ``lease_s`` seconds."""
        return now < self._fresh_until

    def fresh_since(self, now: Seconds) -> Seconds | None:
        """Return since when the lease has been fresh without a break, if it is."""
        return self._fresh_since if self.is_fresh(now) else None

    def set_voters(self, voters: Iterable[HostName], now: Seconds) -> None:
        """Replace the voters; the local host is one of them.

        Voters whose identities collide are known by their own acknowledgements alone.
        """
        others = [name for name in voters if name != self._local]
        self._contacts = {name: self._contacts.get(name, -math.inf) for name in others}
        self._identities = {}
        self._names = {}
        ambiguous: set[int] = set()
        for name in others:
            identity = host_identity(name)
            if identity in self._names:
                ambiguous.add(identity)
            self._names[identity] = name
            self._identities[name] = identity
        for identity in ambiguous:
            del self._names[identity]
        self._renew(now)

    def record(self, name: HostName, sent_at: Seconds) -> None:
        """Note that ``name`` answered a probe that was sent at ``sent_at``."""
        known = self._contacts.get(name)
        if known is not None and sent_at > known:
            self._contacts[name] = sent_at

    def merge(self, packed: bytes, sent_at: Seconds, now: Seconds) -> None:
        """Take over another host's contacts, packed after ``sent_at``, and renew the lease."""
        if len(packed) % _ENTRY.size == 0:
            for identity, age in _ENTRY.iter_unpack(packed):
                name = self._names.get(identity)
                if name is not None:
                    self.record(name, sent_at - age * _AGE_UNIT_S)
        self._renew(now)

    def pack(self, now: Seconds, max_entries: int) -> bytes:
        """Return identities and ages of the latest contacts.

        A few more than half of the voters suffice, as the receiver needs a majority.
        """
        oldest = now - min(self._lease_s, _MAX_AGE_UNITS * _AGE_UNIT_S)
        count = min(max_entries, len(self._contacts) // 2 + _SPARE_ENTRIES)
        latest = sorted(self._contacts.items(), key=itemgetter(1), reverse=True)[:count]
        return b"".join(
            _ENTRY.pack(self._identities[name], math.ceil((now - at) / _AGE_UNIT_S))
            for name, at in latest
            if at > oldest
        )

    def clear(self, now: Seconds) -> None:
        """Give up the lease, since others may have removed this process."""
        self._contacts = dict.fromkeys(self._contacts, -math.inf)
        self._fresh_until = -math.inf
        self._renew(now)

    def _renew(self, now: Seconds) -> None:
        lapsed = not self.is_fresh(now)
        self._fresh_until = self._majority_contact() + self._lease_s
        if lapsed and self.is_fresh(now):
            self._fresh_since = now

    def _majority_contact(self) -> Seconds:
        """Return the latest time since when a majority was in contact, itself included."""
        needed = (len(self._contacts) + 1) // 2
        if needed == 0:
            return math.inf
        return sorted(self._contacts.values(), reverse=True)[needed - 1]
