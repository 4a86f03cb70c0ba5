"""The keys that balancers share to seal what they send to each other."""

from __future__ import annotations

import re
from dataclasses import dataclass

from banyanline.core.keys import MAX_SECRET_BYTES, MIN_SECRET_BYTES, Key, KeyRing

MOST_KEYS = 8

_IDENTITY = re.compile(r"[A-Za-z0-9._-]{1,32}")
_HEX = re.compile(r"(?:[0-9A-Fa-f]{2})+")
_ACCEPTED_LINE = (
    f"an identity and a key of {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes in hexadecimal"
)


@dataclass(frozen=True)
class KeysError:
    """A line of a key file that is not accepted; line 0 stands for the whole file.

    The text of the line is left out, as it may hold a secret.
    """

    line: int
    accepted: str

    def __str__(self) -> str:
        """Return the error in one line."""
        place = f"line {self.line}: " if self.line else ""
        return f"{place}not accepted; accepted: {self.accepted}"


def _parse_line(line: str) -> Key | None:
    words = line.split()
    if len(words) != 2 or not _IDENTITY.fullmatch(words[0]) or not _HEX.fullmatch(words[1]):
        return None
    secret = bytes.fromhex(words[1])
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return None
    return Key(words[0], secret)


def parse_keys(text: str) -> KeyRing | KeysError:
    """Return the keys in the text of a key file: lines of an identity and a key.

    Empty lines and lines that start with ``#`` count for nothing. To replace a
    key without a stop, add the new one as second line on all hosts, then put it
    first on all hosts, then remove the old one.

    >>> ring = parse_keys("2026-12 00112233445566778899aabbccddeeff")
    >>> ring.signing.identity
    '2026-12'
    >>> print(parse_keys("2026-12 0011"))
    line 1: not accepted; accepted: an identity and a key of 16 to 64 bytes in hexadecimal
    """
    keys: dict[str, Key] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key = _parse_line(line)
        if key is None:
            return KeysError(number, _ACCEPTED_LINE)
        if key.identity in keys:
            return KeysError(number, f"each identity once, and {key.identity} stands above")
        keys[key.identity] = key
    if not 1 <= len(keys) <= MOST_KEYS:
        return KeysError(0, f"1 to {MOST_KEYS} lines with {_ACCEPTED_LINE}")
    return KeyRing(tuple(keys.values()))
