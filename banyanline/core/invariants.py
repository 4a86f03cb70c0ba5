"""Checks whose failure stops the process."""

from __future__ import annotations


class InvariantError(AssertionError):
    """A rule that must always hold was broken; the process has to stop."""


def ensure(condition: bool, broken: str) -> None:
    """Raise :class:`InvariantError` with the text ``broken`` unless ``condition`` holds.

    >>> ensure(1 + 1 == 2, "arithmetic")
    """
    if not condition:
        raise InvariantError(broken)
