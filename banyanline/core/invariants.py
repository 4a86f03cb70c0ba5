"""Invariant checks; a violated invariant is the only error that stops a process."""

from __future__ import annotations


class InvariantError(AssertionError):
    """The program violated one of its own invariants."""


def require(is_met: bool, rule: str) -> None:
    """Raise :class:`InvariantError` with ``rule`` unless ``is_met``.

    >>> require(1 + 1 == 2, "sums are right")
    """
    if not is_met:
        raise InvariantError(rule)
