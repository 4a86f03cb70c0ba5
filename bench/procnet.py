"""Tells which process owns the other end of a TCP connection on this machine."""

from __future__ import annotations

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")
LOCAL_FIELD = 1
INODE_FIELD = 9


def inode_of_port(table: str, port: int) -> str:
    r"""Return the inode of the socket with the local ``port``, or an empty string.

    >>> row = "0: 0100007F:1BBD 0200007F:1BBD 01 0:0 00:0 0 0 0 4711 1"
    >>> inode_of_port("header\n" + row, 7101)
    '4711'
    """
    suffix = f":{port:04X}"
    for line in table.splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_FIELD].endswith(suffix) and fields[INODE_FIELD] != "0":
            return fields[INODE_FIELD]
    return ""


def owner_of_port(port: int, pids: Iterable[int]) -> int | None:
    """Return which of the processes has a TCP socket with the local ``port``."""
    inode = inode_of_port(TCP_TABLE.read_text(), port)
    if not inode:
        return None
    target = f"socket:[{inode}]"
    for pid in pids:
        with suppress(OSError):
            for entry in os.scandir(f"/proc/{pid}/fd"):
                if _link_of(entry.path) == target:
                    return pid
    return None


def _link_of(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
