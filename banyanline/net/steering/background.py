"""Background tasks that continue after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESTART_DELAY_S = 0.5
"""An error that recurs must not use up the processor."""


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task that should never end, and start it again if it fails.

    Without its background tasks a host would serve on with data that no longer changes.
    Each failure is passed to the event loop's exception handler.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            await run()
        except Exception as error:
            message = f"background task {name} failed"
            loop.call_exception_handler({"message": message, "exception": error})
        await asyncio.sleep(RESTART_DELAY_S)
