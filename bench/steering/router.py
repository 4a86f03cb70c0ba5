"""A model of the platform's routers: health-checks the hosts and picks one for each flow."""

from __future__ import annotations

import asyncio
import zlib

from bench.steering.fleet import BalancerProcess

CHECK_INTERVAL_S = 0.5
UNHEALTHY_THRESHOLD = 2
CHECK_TIMEOUT_S = 0.4


class Router:
    """Hashes flows over the hosts in rotation, or over all hosts if fewer than half are."""

    def __init__(self, hosts: list[BalancerProcess]) -> None:
        self._hosts = hosts
        self._failed_checks = dict.fromkeys(range(len(hosts)), UNHEALTHY_THRESHOLD)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def targets(self) -> list[tuple[str, int]]:
        """Packet addresses of the hosts that flows are hashed over."""
        ready = [
            host.plan.packet_address
            for idx, host in enumerate(self._hosts)
            if self._failed_checks[idx] < UNHEALTHY_THRESHOLD
        ]
        all_hosts = [host.plan.packet_address for host in self._hosts]
        return ready if 2 * len(ready) >= len(all_hosts) else all_hosts

    def start(self) -> None:
        """Start the health checks."""
        self._tasks = [asyncio.create_task(self._poll(idx)) for idx in range(len(self._hosts))]

    def stop(self) -> None:
        """Stop the health checks."""
        for task in self._tasks:
            task.cancel()

    def pick(self, flow: str) -> tuple[str, int]:
        """Return the address of the host that currently gets the packets of a flow."""
        targets = self.targets
        return targets[zlib.crc32(flow.encode()) % len(targets)]

    async def _poll(self, idx: int) -> None:
        while True:
            status = await self._hosts[idx].status(CHECK_TIMEOUT_S)
            self._failed_checks[idx] = 0 if status == 200 else self._failed_checks[idx] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)
