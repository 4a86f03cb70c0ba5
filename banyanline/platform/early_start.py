"""First steps of a process, before the rest of the program is imported.

Binds the socket for callers' packets, so that the kernel buffers packets that arrive
during start-up: after a power loss on many hosts, they come from the callers that have
waited longest. Also ignores SIGHUP, the reload signal, which by default would terminate a
process that has not read its settings yet.
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

SETTINGS_PATH_VARIABLE = "BANYANLINE_BOOT"


def ignore_reload() -> None:
    """Ignore SIGHUP until the process has settings to reload."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def bind_packet_socket() -> socket.socket | None:
    """Return the bound socket, or None if the settings are unusable or the bind fails.

    Errors are reported later, when the settings are read in full.
    """
    try:
        with open(os.environ[SETTINGS_PATH_VARIABLE], "rb") as file:
            address = tomllib.load(file)["listen"]["datagram_address"]
        ip, _, port = address.rpartition(":")
        return open_socket(Endpoint(ip, int(port)))
    except (KeyError, TypeError, AttributeError, ValueError, OSError, OverflowError):
        return None
