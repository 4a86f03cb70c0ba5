"""The active configuration and the history of its revisions.

A :class:`RevisionHistory` replaces its configuration only by one with a higher
revision, whatever the platform or a peer offers. It answers peers that hold an older
revision with the parts that have changed since.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, ClassVar, NamedTuple, TypeAlias, cast

import msgspec

from banyanline.core.invariants import require
from banyanline.core.model import Configuration
from banyanline.core.updates import (
    ConfigurationUpdate,
    Delta,
    FullDocument,
    NoUpdate,
    Part,
    PartKey,
    digest_of,
    join_parts,
    split_parts,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

HISTORY_DEPTH = 512
"""Number of revisions kept for deltas; a peer with an older one gets the full document."""

NO_REVISION = 0
_EMPTY = Configuration(NO_REVISION, (), (), ())


class RevisionOutcome(StrEnum):
    """Outcome of offering a configuration; the values are metric labels."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "conflicting"
    WRONG_BASE = "wrong_base"
    WRONG_DIGEST = "wrong_digest"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class Accepted:
    """The configuration was accepted and is now active.

    ``changed`` and ``removed`` are the keys of the parts in which it differs from the
    previous one.
    """

    revision: int
    changed: frozenset[PartKey]
    removed: frozenset[PartKey]
    outcome: ClassVar = RevisionOutcome.ACCEPTED


@dataclass(frozen=True)
class Same:
    """The same configuration is already active."""

    revision: int
    outcome: ClassVar = RevisionOutcome.SAME


@dataclass(frozen=True)
class Older:
    """A higher revision is active."""

    revision: int
    in_force: int
    outcome: ClassVar = RevisionOutcome.OLDER


@dataclass(frozen=True)
class Conflicting:
    """A different configuration with the same revision is active and is kept."""

    revision: int
    outcome: ClassVar = RevisionOutcome.CONFLICTING


@dataclass(frozen=True)
class WrongBase:
    """The delta's base revision has not been reached; the full document is needed."""

    base_revision: int
    in_force: int
    outcome: ClassVar = RevisionOutcome.WRONG_BASE


@dataclass(frozen=True)
class WrongDigest:
    """The resulting parts do not match the sender's digest; the full document is needed."""

    revision: int
    outcome: ClassVar = RevisionOutcome.WRONG_DIGEST


@dataclass(frozen=True)
class Malformed:
    """A part could not be decoded."""

    revision: int
    detail: str
    outcome: ClassVar = RevisionOutcome.MALFORMED


AcceptOutcome: TypeAlias = Accepted | Same | Older | Conflicting
UpdateOutcome: TypeAlias = AcceptOutcome | WrongBase | WrongDigest | Malformed


class AcceptedConfiguration(NamedTuple):
    """An active configuration, with its parts as they are sent to peers.

    Data centres, caller groups and services are each sorted by name, so that
    configurations with equal contents compare equal.
    """

    configuration: Configuration
    parts: Mapping[PartKey, Part]
    digest: bytes

    @property
    def revision(self) -> int:
        """The revision of the configuration."""
        return self.configuration.revision


class _RevisionChange(NamedTuple):
    """The keys of the parts that one accepted revision changed or removed."""

    revision: int
    keys: frozenset[PartKey]


class RevisionHistory:
    """Holds the active configuration and the changes of the revisions before it.

    >>> from banyanline.core.model import DataCentre
    >>> history = RevisionHistory()
    >>> history.accept(Configuration(7, (DataCentre("north"),), (), ())).revision
    7
    >>> history.accept(Configuration(6, (), (), ()))
    Older(revision=6, in_force=7)
    """

    def __init__(self, depth: int = HISTORY_DEPTH) -> None:
        self._in_force = AcceptedConfiguration(_EMPTY, {}, digest_of(NO_REVISION, {}))
        self._changes: deque[_RevisionChange] = deque(maxlen=depth)
        self._oldest_delta_base = NO_REVISION
        self._outcomes: Counter[RevisionOutcome] = Counter()

    @property
    def in_force(self) -> AcceptedConfiguration | None:
        """The active configuration, or None before the first one."""
        return self._in_force if self.revision != NO_REVISION else None

    @property
    def revision(self) -> int:
        """The active revision, 0 before the first one."""
        return self._in_force.revision

    @property
    def outcomes(self) -> Mapping[RevisionOutcome, int]:
        """The number of offered configurations, by outcome."""
        return self._outcomes

    def accept(self, configuration: Configuration) -> AcceptOutcome:
        """Activate a validated configuration if its revision is higher."""
        outcome = self._replace(configuration.revision, split_parts(configuration))
        require(
            isinstance(outcome, Accepted | Same | Older | Conflicting),
            "a configuration encoded by this process can be decoded by it",
        )
        self._outcomes[outcome.outcome] += 1
        return cast("AcceptOutcome", outcome)

    def apply(self, update: Delta | FullDocument) -> UpdateOutcome:
        """Apply a peer's update if its revision is higher.

        After :class:`WrongBase` or :class:`WrongDigest` this host should request the full
        document, which the peer's :meth:`update_since` returns for revision 0.
        """
        outcome = self._apply_update(update)
        self._outcomes[outcome.outcome] += 1
        return outcome

    def update_since(self, revision: int) -> ConfigurationUpdate:
        """Return the update for a peer that holds ``revision``, or 0 if it holds none.

        A delta is correct for a peer whose configuration was once active here. It is
        also correct for a revision that other balancers had between two revisions that
        were active here, unless a part was changed back. The peer verifies the result
        with the digest.
        """
        in_force = self._in_force
        if revision >= in_force.revision:
            return NoUpdate(in_force.revision)
        if revision < self._oldest_delta_base:
            return FullDocument(in_force.revision, in_force.digest, tuple(in_force.parts.values()))
        changed_keys = {
            key for change in self._changes if change.revision > revision for key in change.keys
        }
        return Delta(
            base_revision=revision,
            revision=in_force.revision,
            digest=in_force.digest,
            changed=tuple(
                in_force.parts[key] for key in sorted(changed_keys & in_force.parts.keys())
            ),
            removed=tuple(sorted(changed_keys - in_force.parts.keys())),
        )

    def _apply_update(self, update: Delta | FullDocument) -> UpdateOutcome:
        if isinstance(update, FullDocument):
            parts = {part.key: part for part in update.parts}
            return self._replace(update.revision, parts, update.digest)
        if update.revision == self.revision:
            is_same = update.digest == self._in_force.digest
            return Same(update.revision) if is_same else Conflicting(update.revision)
        if update.base_revision > self.revision:
            return WrongBase(update.base_revision, self.revision)
        parts = {**self._in_force.parts, **{part.key: part for part in update.changed}}
        for key in update.removed:
            parts.pop(key, None)
        return self._replace(update.revision, parts, update.digest)

    def _replace(
        self, revision: int, parts: Mapping[PartKey, Part], expected_digest: bytes | None = None
    ) -> UpdateOutcome:
        """Activate ``parts``, decoding only those that differ from the active ones."""
        old = self._in_force
        if revision < old.revision:
            return Older(revision, old.revision)
        digest = digest_of(revision, parts)
        if revision == old.revision:
            return Same(revision) if digest == old.digest else Conflicting(revision)
        if expected_digest is not None and digest != expected_digest:
            return WrongDigest(revision)
        changed = {key: part for key, part in parts.items() if old.parts.get(key) != part}
        removed = frozenset(old.parts.keys() - parts.keys())
        try:
            configuration = join_parts(revision, old.configuration, changed, removed)
        except msgspec.DecodeError as error:
            return Malformed(revision, str(error))
        self._activate(AcceptedConfiguration(configuration, parts, digest), removed.union(changed))
        return Accepted(revision, frozenset(changed), removed)

    def _activate(self, accepted: AcceptedConfiguration, changed_keys: frozenset[PartKey]) -> None:
        require(accepted.revision > self.revision, "the active revision only increases")
        if self.revision == NO_REVISION:
            self._oldest_delta_base = accepted.revision
        else:
            if len(self._changes) == self._changes.maxlen:
                self._oldest_delta_base = self._changes[0].revision
            self._changes.append(_RevisionChange(accepted.revision, changed_keys))
        self._in_force = accepted
