"""The key file: secrets that balancers share to seal the messages between them."""

from __future__ import annotations

import re
from dataclasses import dataclass

from banyanline.core.keys import MAX_SECRET_BYTES, MIN_SECRET_BYTES, Key, KeyRing

MAX_KEYS = 8

_IDENTITY = re.compile(r"[A-Za-z0-9._-]{1,32}")
_HEX = re.compile(r"(?:[0-9A-Fa-f]{2})+")
_ACCEPTED_LINE = (
    f"an identity and a key of {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes in hexadecimal"
)


@dataclass(frozen=True)
class KeyFileError:
    """An invalid line of a key file; line 0 means the whole file.

    The text of the line is not included, because it may contain a secret.
    """

    line: int
    accepted: str

    def __str__(self) -> str:
        """Return the error in one line."""
        location = f"line {self.line}: " if self.line else ""
        return f"{location}not accepted; accepted: {self.accepted}"


def _parse_line(line: str) -> Key | None:
    words = line.split()
    if len(words) != 2 or not _IDENTITY.fullmatch(words[0]) or not _HEX.fullmatch(words[1]):
        return None
    secret = bytes.fromhex(words[1])
    if not MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return None
    return Key(words[0], secret)


def parse_keys(text: str) -> KeyRing | KeyFileError:
    """Parse the text of a key file: one identity and one key per line.

    Empty lines and lines that start with ``#`` are ignored. The first key signs and all
    keys verify. To rotate a key without downtime, add the new key as the second line on
    all hosts, then move it to the first line on all hosts, then remove the old key.

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
            return KeyFileError(number, _ACCEPTED_LINE)
        if key.identity in keys:
            return KeyFileError(
                number, f"unique identities, but {key.identity} is already used above"
            )
        keys[key.identity] = key
    if not 1 <= len(keys) <= MAX_KEYS:
        return KeyFileError(0, f"1 to {MAX_KEYS} lines with {_ACCEPTED_LINE}")
    return KeyRing(tuple(keys.values()))
