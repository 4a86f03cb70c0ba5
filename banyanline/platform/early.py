"""What a process does before the rest of the program is loaded.

It binds the socket for callers' packets: those that come in the meantime wait in
the kernel. After a loss of power on many hosts they are those of callers that have
waited longest. And it ignores the signal to reload, which would end a process that
has not read its settings yet.
"""

from __future__ import annotations

import os
import signal
import tomllib
from typing import TYPE_CHECKING

from banyanline.core.types import Endpoint
from banyanline.transport.datagram import open_socket

if TYPE_CHECKING:
    import socket

PATH_VARIABLE = "BANYANLINE_BOOT"


def ignore_reload() -> None:
    """Let SIGHUP pass until there is something to reload."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def bind_packet_socket() -> socket.socket | None:
    """Return the bound socket, or None if the settings do not lead to one.

    What is wrong with them is told when they are read in full.
    """
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as file:
            address = tomllib.load(file)["listen"]["datagram_address"]
        ip, _, port = address.rpartition(":")
        return open_socket(Endpoint(ip, int(port)))
    except (KeyError, TypeError, AttributeError, ValueError, OSError, OverflowError):
        return None
