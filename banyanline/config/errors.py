"""What is wrong with a configuration document, as values."""

from __future__ import annotations

from dataclasses import dataclass

_LONGEST_SHOWN = 80


def shown(value: object) -> str:
    """Return ``value`` as an error shows it, shortened.

    >>> shown("x" * 100)[-6:]
    'xxx...'
    """
    text = repr(value)
    return text if len(text) <= _LONGEST_SHOWN else text[: _LONGEST_SHOWN - 3] + "..."


@dataclass(frozen=True)
class ConfigurationError:
    """One value that is not accepted, and its path in the document.

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
    """All errors of one document, in the order of their places."""

    errors: tuple[ConfigurationError, ...]

    def __str__(self) -> str:
        """Return the errors, one a line."""
        return "\n".join(map(str, self.errors))
