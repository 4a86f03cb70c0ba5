"""Validation errors of a configuration document, returned as values."""

from __future__ import annotations

from dataclasses import dataclass

_MAX_REPR_LENGTH = 80


def short_repr(value: object) -> str:
    """Return the ``repr`` of ``value`` for an error message, truncated if it is long.

    >>> short_repr("x" * 100)[-6:]
    'xxx...'
    """
    text = repr(value)
    return text if len(text) <= _MAX_REPR_LENGTH else text[: _MAX_REPR_LENGTH - 3] + "..."


@dataclass(frozen=True)
class ConfigurationError:
    """One invalid value, with its path in the document.

    >>> print(ConfigurationError("services[2].upstreams[0].slots", "0", "a whole number"))
    services[2].upstreams[0].slots: got 0, accepted: a whole number
    """

    path: str
    got: str
    accepted: str

    def __str__(self) -> str:
        """Return the error in one line."""
        return f"{self.path or 'document'}: got {self.got}, accepted: {self.accepted}"


@dataclass(frozen=True)
class ConfigurationErrors:
    """All errors of one document, in the order in which they were found."""

    errors: tuple[ConfigurationError, ...]

    def __str__(self) -> str:
        """Return the errors, one per line."""
        return "\n".join(map(str, self.errors))
