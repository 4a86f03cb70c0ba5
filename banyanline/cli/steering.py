"""The program ``banyanline-balancer`` on the operators' platform."""

from __future__ import annotations

import asyncio
import sys

from banyanline.net.logs import configure_logs
from banyanline.net.steering.process import serve
from banyanline.platform.boot import PATH_VARIABLE, SettingsFault, read_settings, settings_path


def main() -> int:
    """Run the balancer with the settings that the platform has put in place."""
    path = settings_path()
    if path is None:
        print(f"banyanline-balancer: {PATH_VARIABLE} is not set", file=sys.stderr)
        return 2
    settings = read_settings(path)
    if isinstance(settings, SettingsFault):
        print(f"banyanline-balancer: {settings}", file=sys.stderr)
        return 2
    configure_logs("info", host=settings.host, output=sys.stdout)
    asyncio.run(serve(settings, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
