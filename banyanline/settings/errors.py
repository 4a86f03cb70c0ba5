"""Errors in settings, returned as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsError:
    """One invalid setting, with its file, section and key.

    ``section`` and ``key`` are empty if the error concerns the whole file. ``got`` is
    None if the setting is missing.

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
        location = f" [{self.section}]" if self.section else ""
        location += f" {self.key}" if self.key else ""
        got = "nothing" if self.got is None else repr(self.got)
        return (
            f"{self.file}:{location}{':' if location else ''} got {got}, accepted: {self.accepted}"
        )
