"""Finds the processes that own the TCP sockets of this machine."""

from __future__ import annotations

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

TCP_TABLE = Path("/proc/net/tcp")
LOCAL_FIELD = 1
INODE_FIELD = 9


def ports_by_inode(table: str) -> dict[str, int]:
    r"""Return the local port of each socket in the text of ``/proc/net/tcp``.

    >>> row = "0: 0100007F:1BBD 0200007F:1BBD 01 0:0 00:0 0 0 0 4711 1"
    >>> ports_by_inode("header\n" + row)
    {'socket:[4711]': 7101}
    """
    ports = {}
    for line in table.splitlines()[1:]:
        fields = line.split()
        port = int(fields[LOCAL_FIELD].rpartition(":")[2], 16)
        ports[f"socket:[{fields[INODE_FIELD]}]"] = port
    return ports


def owners_by_port(pids: Iterable[int]) -> dict[int, int]:
    """Return the owner of each local TCP port among the processes, by port."""
    ports = ports_by_inode(TCP_TABLE.read_text())
    owners = {}
    for pid in pids:
        for target in _descriptor_targets(pid):
            if target in ports:
                owners[ports[target]] = pid
    return owners


def _descriptor_targets(pid: int) -> list[str]:
    targets = []
    with suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with suppress(OSError):
                targets.append(os.readlink(entry.path))
    return targets
