"""What is wrong with settings, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsError:
    """One setting that is not accepted, and where it stands.

    ``section`` and ``key`` are empty if the error concerns the file as a whole,
    and ``got`` is None if nothing was there.

    >>> print(SettingsError("b.ini", "limits", "flows", "many", "a whole number"))
    b.ini: [limits] flows: got 'many', accepted: a whole number
    """

    file: str
    section: str
    key: str
    got: str | None
    accepted: str

    def __str__(self) -> str:
        """Return the error in one line."""
        place = f" [{self.section}]" if self.section else ""
        place += f" {self.key}" if self.key else ""
        got = "nothing" if self.got is None else repr(self.got)
        return f"{self.file}:{place}{':' if place else ''} got {got}, accepted: {self.accepted}"
