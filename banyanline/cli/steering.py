"""The program ``banyanline-balancer`` on the operators' platform, with a fast start."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from banyanline.platform.early_start import (
    SETTINGS_PATH_VARIABLE,
    bind_packet_socket,
    ignore_reload,
)

if TYPE_CHECKING:
    import socket

NAME = "banyanline-balancer"
EXIT_FAILURE = 1
EXIT_USAGE = 2
BLOCKED_MODULE = "ssl"
"""Its import is blocked to save its cost on each host.

asyncio works without it, and the platform uses plain HTTP.
"""


def main() -> int:
    """Run the balancer with the settings file provided by the platform; return the exit status."""
    ignore_reload()
    sys.modules[BLOCKED_MODULE] = None  # type: ignore[assignment]
    return _run(bind_packet_socket())


def _run(packets: socket.socket | None) -> int:
    # Imported only now: the socket is already bound, so packets queue in it meanwhile.
    import asyncio

    from banyanline.net.logs import configure_logs
    from banyanline.net.output import NonBlockingOutput
    from banyanline.net.steering.process import serve
    from banyanline.platform.host_settings import HostSettingsError, read_settings, settings_path

    path = settings_path()
    if path is None:
        return _print_startup_error(f"{SETTINGS_PATH_VARIABLE} is not set")
    settings = read_settings(path)
    if isinstance(settings, HostSettingsError):
        return _print_startup_error(str(settings))
    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logs("info", host=settings.host, output=output)
    try:
        asyncio.run(serve(settings, path, output, packets))
    except OSError as error:
        return _print_startup_error(str(error), EXIT_FAILURE)
    return 0


def _print_startup_error(message: str, status: int = EXIT_USAGE) -> int:
    print(f"{NAME}: {message}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
