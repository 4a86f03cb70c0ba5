"""The configuration in force and the revisions that led to it.

A :class:`RevisionHistory` replaces its configuration by one with a greater
revision and never the reverse, whatever the platform or a peer shows. It answers
peers that hold an older revision with the parts that changed since.
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
"""Revisions back to which a delta can be made; older ones get the whole document."""

NO_REVISION = 0
_EMPTY = Configuration(NO_REVISION, (), (), ())


class RevisionOutcome(StrEnum):
    """What became of a configuration that was offered, as metrics name it."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "conflicting"
    WRONG_BASE = "wrong_base"
    WRONG_DIGEST = "wrong_digest"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class Accepted:
    """The configuration is in force now.

    ``changed`` and ``removed`` name the parts in which it differs from the one before.
    """

    revision: int
    changed: frozenset[PartKey]
    removed: frozenset[PartKey]
    outcome: ClassVar = RevisionOutcome.ACCEPTED


@dataclass(frozen=True)
class Same:
    """This configuration is in force already."""

    revision: int
    outcome: ClassVar = RevisionOutcome.SAME


@dataclass(frozen=True)
class Older:
    """A greater revision is in force."""

    revision: int
    in_force: int
    outcome: ClassVar = RevisionOutcome.OLDER


@dataclass(frozen=True)
class Conflicting:
    """Another configuration with the same revision is in force; it stays."""

    revision: int
    outcome: ClassVar = RevisionOutcome.CONFLICTING


@dataclass(frozen=True)
class WrongBase:
    """The delta builds on a revision that is not reached yet; the whole document is needed."""

    base_revision: int
    in_force: int
    outcome: ClassVar = RevisionOutcome.WRONG_BASE


@dataclass(frozen=True)
class WrongDigest:
    """The parts do not add up to what the sender holds; the whole document is needed."""

    revision: int
    outcome: ClassVar = RevisionOutcome.WRONG_DIGEST


@dataclass(frozen=True)
class Malformed:
    """A part does not decode."""

    revision: int
    detail: str
    outcome: ClassVar = RevisionOutcome.MALFORMED


AcceptOutcome: TypeAlias = Accepted | Same | Older | Conflicting
UpdateOutcome: TypeAlias = AcceptOutcome | WrongBase | WrongDigest | Malformed


class AcceptedConfiguration(NamedTuple):
    """A configuration in force, with its parts as peers get them.

    Data centres, caller groups and services are each sorted by name, so that
    equal contents are equal values.
    """

    configuration: Configuration
    parts: Mapping[PartKey, Part]
    digest: bytes

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision


class _Step(NamedTuple):
    """The parts that one acceptance changed or removed."""

    revision: int
    keys: frozenset[PartKey]


class RevisionHistory:
    """Holds the configuration in force, and what changed on the way to it.

    >>> from banyanline.core.model import DataCentre
    >>> history = RevisionHistory()
    >>> history.accept(Configuration(7, (DataCentre("north"),), (), ())).revision
    7
    >>> history.accept(Configuration(6, (), (), ()))
    Older(revision=6, in_force=7)
    """

    def __init__(self, depth: int = HISTORY_DEPTH) -> None:
        self._in_force = AcceptedConfiguration(_EMPTY, {}, digest_of(NO_REVISION, {}))
        self._steps: deque[_Step] = deque(maxlen=depth)
        self._floor = NO_REVISION
        self._outcomes: Counter[RevisionOutcome] = Counter()

    @property
    def in_force(self) -> AcceptedConfiguration | None:
        """The configuration in force, or None before the first one."""
        return self._in_force if self.revision != NO_REVISION else None

    @property
    def revision(self) -> int:
        """The revision in force, 0 before the first one."""
        return self._in_force.revision

    @property
    def outcomes(self) -> Mapping[RevisionOutcome, int]:
        """How many configurations were offered, by what became of them."""
        return self._outcomes

    def accept(self, configuration: Configuration) -> AcceptOutcome:
        """Put a checked configuration in force if its revision is greater."""
        outcome = self._replace(configuration.revision, split_parts(configuration))
        require(
            isinstance(outcome, Accepted | Same | Older | Conflicting),
            "a configuration that was encoded here decodes here",
        )
        self._outcomes[outcome.outcome] += 1
        return cast("AcceptOutcome", outcome)

    def apply(self, update: Delta | FullDocument) -> UpdateOutcome:
        """Put a peer's update in force if its revision is greater.

        After :class:`WrongBase` or :class:`WrongDigest` the whole document should be
        asked for, which is what :meth:`update_since` answers to revision 0.
        """
        outcome = self._outcome_of(update)
        self._outcomes[outcome.outcome] += 1
        return outcome

    def update_since(self, revision: int) -> ConfigurationUpdate:
        """Return what a peer needs that holds ``revision``, or 0 if it holds none.

        The delta is right for a peer that holds what was in force here, or what any
        balancer had between the revisions in force here if no part was changed back.
        The digest tells the peer.
        """
        in_force = self._in_force
        if revision >= in_force.revision:
            return NoUpdate(in_force.revision)
        if revision < self._floor:
            return FullDocument(in_force.revision, in_force.digest, tuple(in_force.parts.values()))
        touched = {key for step in self._steps if step.revision > revision for key in step.keys}
        return Delta(
            base_revision=revision,
            revision=in_force.revision,
            digest=in_force.digest,
            changed=tuple(in_force.parts[key] for key in sorted(touched & in_force.parts.keys())),
            removed=tuple(sorted(touched - in_force.parts.keys())),
        )

    def _outcome_of(self, update: Delta | FullDocument) -> UpdateOutcome:
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
        """Put ``parts`` in force, which decode only where they differ from those in force."""
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
        self._put(AcceptedConfiguration(configuration, parts, digest), removed.union(changed))
        return Accepted(revision, frozenset(changed), removed)

    def _put(self, accepted: AcceptedConfiguration, touched: frozenset[PartKey]) -> None:
        require(accepted.revision > self.revision, "the revision in force only grows")
        if self.revision == NO_REVISION:
            self._floor = accepted.revision
        else:
            if len(self._steps) == self._steps.maxlen:
                self._floor = self._steps[0].revision
            self._steps.append(_Step(accepted.revision, touched))
        self._in_force = accepted
