"""Content of the block-wise downloads (resource ``sheet``).

The content depends on the upstream, the version and the request's key, so that a
download mixed from blocks of two upstreams, versions or requests is detected.
"""

from __future__ import annotations

import hashlib

DOWNLOAD_BYTES = 2300
BLOCK_EXPONENT = 5
"""Blocks of 512 bytes."""

_DIGEST_BYTES = 64


def download_content(upstream: str, version: str, key: str) -> bytes:
    """Return the whole content of a download.

    >>> download_content("a", "1", "k") == download_content("b", "1", "k")
    False
    >>> is_complete_download(download_content("a", "1", "k"), "k")
    True
    """
    header = f"{key} {upstream} {version}\n".encode()
    chunks = [header]
    for number in range(DOWNLOAD_BYTES // _DIGEST_BYTES + 1):
        chunks.append(hashlib.blake2b(header + number.to_bytes(4, "big")).digest())
    return b"".join(chunks)[:DOWNLOAD_BYTES]


def block_request_key(key: str, attempt: int, number: int) -> str:
    """Return the key of the request for one block; each attempt and later block has its own.

    >>> block_request_key("c1-7", 0, 0), block_request_key("c1-7", 1, 2)
    ('c1-7', 'c1-7~1/2')
    """
    begun = f"{key}~{attempt}" if attempt else key
    return f"{begun}/{number}" if number else begun


def download_etag(upstream: str, version: str) -> bytes:
    """Return the entity tag of the content (RFC 7252, section 5.10.6)."""
    return hashlib.blake2b(f"{upstream} {version}".encode(), digest_size=8).digest()


def is_complete_download(content: bytes, key: str) -> bool:
    """Whether ``content`` is one upstream's whole content for the request ``key``."""
    header, _, _ = content.partition(b"\n")
    try:
        fields = header.decode().split(" ")
    except UnicodeDecodeError:
        return False
    if len(fields) != 3 or fields[0] != key:
        return False
    return content == download_content(fields[1], fields[2], key)
