"""Shared keys with which balancers authenticate each other's frames."""

from __future__ import annotations

from typing import NamedTuple

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64


class Key(NamedTuple):
    """A shared secret of ``MIN_SECRET_BYTES`` to ``MAX_SECRET_BYTES``, with its identity."""

    identity: str
    secret: bytes

    def __repr__(self) -> str:
        """Return the key without its secret, so that it can be logged."""
        return f"Key(identity={self.identity!r}, secret=...)"


class KeyRing(NamedTuple):
    """The active keys: the first one signs, and all of them verify.

    To rotate a key, append the new one on every host, then move it to the first
    place on every host, and finally remove the old one.

    >>> ring = KeyRing((Key("new", b"x" * 32), Key("old", b"y" * 32)))
    >>> ring.signing.identity
    'new'
    """

    keys: tuple[Key, ...]

    @property
    def signing(self) -> Key:
        """The key that signs the frames sent by this host."""
        return self.keys[0]
