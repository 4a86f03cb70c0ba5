"""Lease of this process, based on recent contact with a majority of its fabric group."""

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
_HOST_HASH_MASK = 0xFFFF


def host_hash(name: HostName) -> int:
    """Return a 16-bit hash of a host name; two names can collide."""
    return xxhash.xxh3_64_intdigest(name.encode()) & _HOST_HASH_MASK


class ContactTable:
    """Last contact times of the voters of a fabric group, and the lease derived from them.

    A contact at time ``t`` means that the voter sent a message after ``t`` that has
    reached this process, possibly through other hosts. Contacts come only from
    acknowledgements of this process's probes and are dated to the time at which the probe
    was sent. A delayed datagram can therefore never make a contact look more recent than
    it is.
    """

    def __init__(self, local: HostName, lease_s: Seconds) -> None:
        self._local = local
        self._lease_s = lease_s
        self._contacts: dict[HostName, Seconds] = {}
        self._names_by_hash: dict[int, HostName] = {}
        self._hashes: dict[HostName, int] = {}
        self._fresh_since: Seconds = -math.inf
        self._fresh_until: Seconds = -math.inf

    def is_fresh(self, now: Seconds) -> bool:
        """Whether a majority has been in contact within the last ``lease_s`` seconds."""
        return now < self._fresh_until

    def fresh_since(self, now: Seconds) -> Seconds | None:
        """Return since when the lease has been continuously fresh, or None if it is not fresh."""
        return self._fresh_since if self.is_fresh(now) else None

    def set_voters(self, voters: Iterable[HostName], now: Seconds) -> None:
        """Replace the voters, which include the local host.

        Of voters whose hashes collide, only direct acknowledgements count.
        """
        others = [name for name in voters if name != self._local]
        self._contacts = {name: self._contacts.get(name, -math.inf) for name in others}
        self._hashes = {}
        self._names_by_hash = {}
        ambiguous: set[int] = set()
        for name in others:
            name_hash = host_hash(name)
            if name_hash in self._names_by_hash:
                ambiguous.add(name_hash)
            self._names_by_hash[name_hash] = name
            self._hashes[name] = name_hash
        for name_hash in ambiguous:
            del self._names_by_hash[name_hash]
        self._renew(now)

    def record(self, name: HostName, sent_at: Seconds) -> None:
        """Record that ``name`` acknowledged a probe that was sent at ``sent_at``."""
        known = self._contacts.get(name)
        if known is not None and sent_at > known:
            self._contacts[name] = sent_at

    def merge(self, packed: bytes, sent_at: Seconds, now: Seconds) -> None:
        """Merge a peer's contacts, packed after ``sent_at``, and renew the lease."""
        if len(packed) % _ENTRY.size == 0:
            for name_hash, age in _ENTRY.iter_unpack(packed):
                name = self._names_by_hash.get(name_hash)
                if name is not None:
                    self.record(name, sent_at - age * _AGE_UNIT_S)
        self._renew(now)

    def pack(self, now: Seconds, max_entries: int) -> bytes:
        """Return the hashes and ages of the latest contacts.

        A few more than half of the voters are enough, since the receiver needs a majority.
        """
        oldest = now - min(self._lease_s, _MAX_AGE_UNITS * _AGE_UNIT_S)
        count = min(max_entries, len(self._contacts) // 2 + _SPARE_ENTRIES)
        latest = sorted(self._contacts.items(), key=itemgetter(1), reverse=True)[:count]
        return b"".join(
            _ENTRY.pack(self._hashes[name], math.ceil((now - at) / _AGE_UNIT_S))
            for name, at in latest
            if at > oldest
        )

    def clear(self, now: Seconds) -> None:
        """Drop the lease because peers may have removed this process."""
        self._contacts = dict.fromkeys(self._contacts, -math.inf)
        self._fresh_until = -math.inf
        self._renew(now)

    def _renew(self, now: Seconds) -> None:
        lapsed = not self.is_fresh(now)
        self._fresh_until = self._majority_contact() + self._lease_s
        if lapsed and self.is_fresh(now):
            self._fresh_since = now

    def _majority_contact(self) -> Seconds:
        """Return the latest time since which a majority, including this host, was in contact."""
        needed = (len(self._contacts) + 1) // 2
        if needed == 0:
            return math.inf
        return sorted(self._contacts.values(), reverse=True)[needed - 1]
