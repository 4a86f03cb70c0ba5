"""The keys that balancers share to recognise each other's frames."""

from __future__ import annotations

from typing import NamedTuple

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64


class Key(NamedTuple):
    """A shared secret, ``MIN_SECRET_BYTES`` to ``MAX_SECRET_BYTES`` long, and its identity."""

    identity: str
    secret: bytes

    def __repr__(self) -> str:
        """Return the key without its secret, as logs may show it."""
        return f"Key(identity={self.identity!r}, secret=...)"


class KeyRing(NamedTuple):
    """The keys in force: the first one signs, and all of them verify.

    To rotate a key, first append the new one on every host, then put it first
    on every host, and then remove the old one.

    >>> ring = KeyRing((Key("new", b"x" * 32), Key("old", b"y" * 32)))
    >>> ring.signing.identity
    'new'
    """

    keys: tuple[Key, ...]

    @property
    def signing(self) -> Key:
        """The key that seals what this host sends."""
        return self.keys[0]
