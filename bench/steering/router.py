"""The platform's routers in small: they ask hosts for readiness and pick one for each flow."""

from __future__ import annotations

import asyncio
import zlib

from bench.steering.fleet import BalancerProcess

CHECK_INTERVAL_S = 0.5
MISSES = 2
CHECK_TIMEOUT_S = 0.4


class Router:
    """Hashes flows over the hosts in rotation; over all, if fewer than half are."""

    def __init__(self, hosts: list[BalancerProcess]) -> None:
        self._hosts = hosts
        self._misses = dict.fromkeys(range(len(hosts)), MISSES)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> list[tuple[str, int]]:
        """Where the hosts in rotation take packets."""
        ready = [
            host.plan.packets for idx, host in enumerate(self._hosts) if self._misses[idx] < MISSES
        ]
        everyone = [host.plan.packets for host in self._hosts]
        return ready if 2 * len(ready) >= len(everyone) else everyone

    def start(self) -> None:
        """Begin to ask."""
        self._tasks = [asyncio.create_task(self._ask(idx)) for idx in range(len(self._hosts))]

    def stop(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()

    def pick(self, flow: str) -> tuple[str, int]:
        """Return the host that gets the packets of a flow now."""
        ready = self.ready
        return ready[zlib.crc32(flow.encode()) % len(ready)]

    async def _ask(self, idx: int) -> None:
        while True:
            status = await self._hosts[idx].status(CHECK_TIMEOUT_S)
            self._misses[idx] = 0 if status == 200 else self._misses[idx] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)
