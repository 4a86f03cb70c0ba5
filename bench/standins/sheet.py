"""Content of the block-wise downloads, derived from who served it.

A sheet depends on the upstream, the version and the request's key, so blocks of
two upstreams, two versions or two requests never fit together unnoticed.
"""

from __future__ import annotations

import hashlib

SHEET_BYTES = 2300
BLOCK_EXPONENT = 5
"""Blocks of 512 bytes."""

_DIGEST_BYTES = 64


def sheet_content(upstream: str, version: str, key: str) -> bytes:
    """Return the whole sheet.

    >>> sheet_content("a", "1", "k") == sheet_content("b", "1", "k")
    False
    >>> is_sheet_whole(sheet_content("a", "1", "k"), "k")
    True
    """
    header = f"{key} {upstream} {version}\n".encode()
    chunks = [header]
    for number in range(SHEET_BYTES // _DIGEST_BYTES + 1):
        chunks.append(hashlib.blake2b(header + number.to_bytes(4, "big")).digest())
    return b"".join(chunks)[:SHEET_BYTES]


def sheet_etag(upstream: str, version: str) -> bytes:
    """Return the entity tag of a sheet (RFC 7252, section 5.10.6)."""
    return hashlib.blake2b(f"{upstream} {version}".encode(), digest_size=8).digest()


def is_sheet_whole(content: bytes, key: str) -> bool:
    """Whether ``content`` is one upstream's whole sheet for the request ``key``."""
    header, _, _ = content.partition(b"\n")
    try:
        words = header.decode().split(" ")
    except UnicodeDecodeError:
        return False
    if len(words) != 3 or words[0] != key:
        return False
    return content == sheet_content(words[1], words[2], key)
