"""The one error that stops a process: an invariant of the program does not hold."""

from __future__ import annotations


class InvariantError(AssertionError):
    """A rule that the program relies on was broken by the program itself."""


def require(is_met: bool, rule: str) -> None:
    """Raise :class:`InvariantError` with ``rule`` unless ``is_met``.

    >>> require(1 + 1 == 2, "sums are right")
    """
    if not is_met:
        raise InvariantError(rule)
