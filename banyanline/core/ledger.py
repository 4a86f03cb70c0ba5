"""Deduplication ledgers: the state that a home and an owner keep for each request key.

Both keep a key for the request lifetime after it was first seen, so that a
retransmission gets the same response and is never run again. A full ledger refuses
new keys; it does not evict old ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from banyanline.core.messages import (
    NO_BALLOT,
    Answered,
    Ballot,
    NotRun,
    Outcome,
    Pending,
    RequestKey,
)
from banyanline.core.types import HostName, Seconds, UpstreamName

V = TypeVar("V")


class LedgerFull(NamedTuple):
    """The ledger has reached its limit of keys."""

    limit: int


class KeyTable(Generic[V]):
    """Values by request key, each kept for ``lifetime_s`` after it was added.

    >>> table = KeyTable(limit=1, lifetime_s=10.0)
    >>> key = RequestKey("orders", "192.0.2.1", 40000, 7, b"t")
    >>> table.add(key, "value", now=0.0)
    >>> table.add(key._replace(message_id=8), "value", now=5.0)
    LedgerFull(limit=1)
    >>> table.expire(now=11.0), table.get(key)
    (1, None)
    """

    def __init__(self, limit: int, lifetime_s: float) -> None:
        self._limit = limit
        self._lifetime_s = lifetime_s
        self._values: dict[RequestKey, V] = {}
        self._order: deque[tuple[float, RequestKey]] = deque()

    @property
    def lifetime_s(self) -> float:
        """How long a key is kept, in seconds."""
        return self._lifetime_s

    def __len__(self) -> int:
        """Return the number of keys kept."""
        return len(self._values)

    def __contains__(self, key: RequestKey) -> bool:
        """Whether the key is kept."""
        return key in self._values

    def get(self, key: RequestKey) -> V | None:
        """Return the value of the key."""
        return self._values.get(key)

    def items(self) -> Iterator[tuple[RequestKey, V]]:
        """Iterate over keys and values in insertion order."""
        return iter(self._values.items())

    def add(self, key: RequestKey, value: V, now: Seconds) -> LedgerFull | None:
        """Add a new key with ``value``, unless the table is full."""
        if len(self._values) >= self._limit:
            return LedgerFull(self._limit)
        self._values[key] = value
        self._order.append((now + self._lifetime_s, key))
        return None

    def expire(self, now: Seconds) -> int:
        """Remove the keys whose lifetime has passed and return their number."""
        order = self._order
        removed_count = 0
        while order and order[0][0] <= now:
            key = order.popleft()[1]
            del self._values[key]
            removed_count += 1
        return removed_count


class Attempt(NamedTuple):
    """An attempt to run a request: the home that dispatched it and the attempt's number."""

    home: HostName
    number: int


NO_ATTEMPT = Attempt("", 0)


class KeyRecord:
    """State of one key at an owner.

    ``outcome`` is ``None`` for a key that was claimed but not dispatched, and
    :class:`Pending` while the request is queued or running. ``waiters`` are the
    dispatches that await the outcome, as pairs of home and serial. ``last_attempt`` is
    the attempt that was last accepted, or recorded as refused. ``runs_elsewhere`` says that
    the outcome was imported from a previous owner of the upstream.
    """

    __slots__ = ("ballot", "last_attempt", "outcome", "runs_elsewhere", "upstream", "waiters")

    def __init__(self, ballot: Ballot) -> None:
        self.ballot = ballot
        self.outcome: Outcome | None = None
        self.upstream: UpstreamName = ""
        self.last_attempt = NO_ATTEMPT
        self.waiters: list[tuple[HostName, int]] = []
        self.runs_elsewhere = False

    @property
    def is_dispatched(self) -> bool:
        """Whether a dispatch of the request was ever accepted or refused."""
        return self.outcome is not None

    @property
    def is_pending(self) -> bool:
        """Whether the request is queued or running."""
        return isinstance(self.outcome, Pending)


class LedgerRejection(Enum):
    """Why the ledger rejected a claim or a dispatch."""

    SUPERSEDED = "superseded"
    FULL = "full"


class Admitted(NamedTuple):
    """The dispatch is the first of its key at this owner and may be run."""

    record: KeyRecord


class Duplicate(NamedTuple):
    """A dispatch of the key was recorded before; ``record`` has the outcome."""

    record: KeyRecord


class OwnerLedger:
    """Deduplication and fencing at an owner.

    Each key is run at most once, and only for the highest ballot, which serves as the
    fencing token. The order in which a claim and a dispatch arrive at one owner decides
    between two homes: the reply to a claim reports a dispatch that arrived earlier, and
    a dispatch that arrives later has a lower ballot and is refused.
    """

    def __init__(self, limit: int, lifetime_s: float) -> None:
        self._table: KeyTable[KeyRecord] = KeyTable(limit, lifetime_s)

    def __len__(self) -> int:
        """Return the number of keys kept."""
        return len(self._table)

    def get(self, key: RequestKey) -> KeyRecord | None:
        """Return the record of the key."""
        return self._table.get(key)

    def items(self) -> Iterator[tuple[RequestKey, KeyRecord]]:
        """Iterate over all keys and records."""
        return self._table.items()

    def expire(self, now: Seconds) -> int:
        """Remove keys past their lifetime and return their number."""
        return self._table.expire(now)

    def claim(self, key: RequestKey, ballot: Ballot, now: Seconds) -> KeyRecord | LedgerRejection:
        """Record a claim; the record returned tells whether the key was dispatched before."""
        record = self._table.get(key)
        if record is None:
            record = KeyRecord(ballot)
            if self._table.add(key, record, now) is not None:
                return LedgerRejection.FULL
            return record
        if ballot < record.ballot:
            return LedgerRejection.SUPERSEDED
        record.ballot = ballot
        return record

    def admit(
        self, key: RequestKey, ballot: Ballot, upstream: UpstreamName, now: Seconds
    ) -> Admitted | Duplicate | LedgerRejection:
        """Accept a dispatch if it is the first of its key and its ballot is not stale."""
        record = self._table.get(key)
        if record is None:
            record = KeyRecord(ballot)
            if self._table.add(key, record, now) is not None:
                return LedgerRejection.FULL
        elif record.is_dispatched:
            return Duplicate(record)
        elif ballot < record.ballot:
            return LedgerRejection.SUPERSEDED
        record.ballot = max(record.ballot, ballot)
        record.upstream = upstream
        record.outcome = Pending()
        record.runs_elsewhere = False
        return Admitted(record)

    def record_refusal(
        self, key: RequestKey, attempt: Attempt, outcome: Outcome, now: Seconds
    ) -> bool:
        """Record that an attempt was refused, so that no copy of it is run later.

        Returns false if the ledger is full; the refusal must not be sent then.
        """
        record = self._table.get(key)
        if record is None:
            record = KeyRecord(NO_BALLOT)
            if self._table.add(key, record, now) is not None:
                return False
        if not record.is_dispatched:
            record.outcome = outcome
            record.last_attempt = attempt
        return True

    def restart_attempt(
        self, record: KeyRecord, ballot: Ballot, attempt: Attempt, upstream: UpstreamName
    ) -> bool:
        """Set a key to pending for another attempt; false if the attempt is not allowed.

        An attempt by the same home must have a higher attempt number. Another home needs
        a higher ballot.
        """
        last = record.last_attempt
        if ballot < record.ballot:
            return False
        is_same_home = last.home in (attempt.home, NO_ATTEMPT.home)
        if ballot == record.ballot and not (is_same_home and attempt.number > last.number):
            return False
        record.ballot = ballot
        record.upstream = upstream
        record.outcome = Pending()
        record.runs_elsewhere = False
        record.waiters.clear()
        return True

    def import_key(
        self,
        key: RequestKey,
        upstream: UpstreamName,
        outcome: Outcome | None,
        ballot: Ballot,
        now: Seconds,
    ) -> KeyRecord | None:
        """Add a key from the upstream's previous owner; ``None`` if the ledger is full.

        A request may have had several attempts at different upstreams, whose owners report
        their outcomes in any order. That one of them did not run it says nothing of the
        others, so such an outcome never replaces another attempt's.
        """
        record = self._table.get(key)
        if record is None:
            record = KeyRecord(ballot)
            if self._table.add(key, record, now) is not None:
                return None
        record.ballot = max(record.ballot, ballot)
        if outcome is not None and _supersedes(record, upstream, outcome):
            record.upstream = upstream
            record.outcome = outcome
            record.runs_elsewhere = True
        return record


def _supersedes(record: KeyRecord, upstream: UpstreamName, outcome: Outcome) -> bool:
    """Whether the outcome of an attempt at ``upstream`` replaces the one in the record."""
    known = record.outcome
    if known is None:
        return True
    if isinstance(known, Pending):
        ends_it = record.runs_elsewhere and record.upstream == upstream
        return isinstance(outcome, Answered) or (ends_it and not isinstance(outcome, Pending))
    if not isinstance(known, NotRun) or isinstance(outcome, NotRun):
        return False
    return not isinstance(outcome, Pending) or record.upstream != upstream
