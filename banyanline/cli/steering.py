"""The program ``banyanline-balancer`` on the operators' platform."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from banyanline.platform.early import PATH_VARIABLE, bind_packet_socket

if TYPE_CHECKING:
    import socket

NAME = "banyanline-balancer"
EXIT_USAGE = 2


def main() -> int:
    """Run the balancer with the settings that the platform has put in place."""
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
    asyncio.run(serve(settings, path, output, packets))
    return 0


def _refuse(message: str) -> int:
    print(f"{NAME}: {message}", file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
