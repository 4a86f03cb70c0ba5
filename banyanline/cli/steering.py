"""The program ``banyanline-balancer`` on the operators' platform."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from banyanline.platform.early import PATH_VARIABLE, bind_packet_socket, ignore_reload

if TYPE_CHECKING:
    import socket

NAME = "banyanline-balancer"
EXIT_PROBLEM = 1
EXIT_USAGE = 2
UNUSED_MODULE = "ssl"
"""asyncio does without it. The platform speaks plain HTTP, and each host would pay for it."""


def main() -> int:
    """Run the balancer with the settings that the platform has put in place."""
    ignore_reload()
    sys.modules[UNUSED_MODULE] = None  # type: ignore[assignment]
    return _run(bind_packet_socket())


def _run(packets: socket.socket | None) -> int:
    # Loaded now, as packets already wait in the socket.
    import asyncio

    from banyanline.net.logs import configure_logs
    from banyanline.net.output import NonBlockingOutput
    from banyanline.net.steering.process import serve
    from banyanline.platform.boot import SettingsFault, read_settings, settings_path

    path = settings_path()
    if path is None:
        return _refuse(f"{PATH_VARIABLE} is not set")
    settings = read_settings(path)
    if isinstance(settings, SettingsFault):
        return _refuse(str(settings))
    output = NonBlockingOutput(sys.stdout.fileno())
    configure_logs("info", host=settings.host, output=output)
    try:
        asyncio.run(serve(settings, path, output, packets))
    except OSError as error:
        return _refuse(str(error), EXIT_PROBLEM)
    return 0


def _refuse(message: str, status: int = EXIT_USAGE) -> int:
    print(f"{NAME}: {message}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
