"""What all cases share: the fleet, the targets and clients, and the record of a run."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

from standins.client import Client
from standins.fleet import PACKETS_PORT, STORE_PORT, TARGET_PORT, Block, Fleet
from standins.packet import Address
from standins.store import Store
from standins.target import Opening, Target

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
"""Whether the case is played with its disruption."""

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
SERVICE = "power"
ROUTE_PORT = 8443
OTHER_SERVICE = "sheets"
OTHER_ROUTE_PORT = 8444


class Scene:
    """A store, targets, clients in each zone and hosts; ``close`` ends them all."""

    def __init__(self, hosts_by_zone: dict[str, int], seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.block = Block()
        self.store = Store((self.block.ip(8, 1), STORE_PORT))
        self.fleet = Fleet(self.block, hosts_by_zone, self.store.address)
        self.openings: list[Opening] = []
        self.targets: list[Target] = []
        self.clients: dict[str, Client] = {}
        self._zones = list(hosts_by_zone)
        self._began_at = self.clock()
        self._notes: list[str] = []
        self._requests: set[asyncio.Task[bool]] = set()

    async def start(self, *, warmup_s: float, warmup_per_s: float) -> None:
        """Start the store with a configuration, then the hosts and the clients."""
        await self.store.start()
        self.store.put("op/config", self._configuration(warmup_s, warmup_per_s))
        await self.fleet.start()
        route = (self.block.ip(9, 1), ROUTE_PORT)
        for net, zone in enumerate(self._zones):
            address = (self.block.ip(16 + net, 1), PACKETS_PORT)
            self.clients[zone] = Client(address, route, self._picker(zone))

    async def add_target(self, zone: str, cold_s: float = 0.0, service: str = SERVICE) -> Target:
        """Start a target in a zone."""
        number = len(self.targets) + 1
        target = Target(
            f"i-7f3a91c{number:x}",
            (self.block.ip(4, number), TARGET_PORT),
            service,
            zone,
            self.store,
            self.openings.append,
            cold_s=cold_s,
        )
        self.targets.append(target)
        await target.start()
        return target

    def note(self, what: str) -> float:
        """Add an event to the record; return its time."""
        now = self.clock()
        self._notes.append(f"event at_s={self.since_start(now):.3f} {what}\n")
        return now

    def since_start(self, at: float) -> float:
        """Return a time in seconds since the start of the case."""
        return at - self._began_at

    async def send_requests(self, per_s: float) -> None:
        """Send requests of the clients in all zones, at random times, until cancelled."""
        while True:
            client = self.rng.choice(list(self.clients.values()))
            self.spawn(client.request())
            await asyncio.sleep(self.rng.expovariate(per_s))

    def spawn(self, request: Awaitable[bool]) -> asyncio.Task[bool]:
        """Start a request, which :meth:`finish_requests` waits for."""
        task = asyncio.ensure_future(request)
        assert isinstance(task, asyncio.Task)
        self._requests.add(task)
        return task

    async def finish_requests(self) -> None:
        """Wait for the requests that have started."""
        await asyncio.wait(self._requests)

    def sent_at(self, opening: Opening) -> float:
        """Return when the client first sent the opening packet that a target took."""
        sent = [client.syn_sent_at.get(opening.flow, []) for client in self.clients.values()]
        return max((at for times in sent for at in times if at <= opening.at), default=opening.at)

    def write_record(self, folder: Path, lines: Iterable[str], verdict: str) -> None:
        """Write what was sent, answered and run, and print the verdict."""
        answered = sum(not task.cancelled() and task.result() for task in self._requests)
        with (folder / "record.txt").open("w") as record:
            record.write("at_s: seconds since the start of the case\n")
            record.writelines(self._notes)
            record.writelines(self._attempt_lines())
            record.writelines(lines)
            for target in self.targets:
                record.write(
                    f"target {target.name} address={target.address[0]} zone={target.zone} "
                    f"requests_run={len(target.runs)} altered_packets={target.altered}\n"
                )
            record.write(f"requests={len(self._requests)} answered={answered}\n")
            record.write(verdict + "\n")
        print(verdict)

    def close(self) -> None:
        """End all processes and close all sockets."""
        self.fleet.close()
        for target in self.targets:
            target.close()
        for client in self.clients.values():
            client.close()
        self.store.close()
        self.block.release()

    def _attempt_lines(self) -> Iterable[str]:
        for client in self.clients.values():
            for attempt in client.attempts:
                ip, port = attempt.flow
                yield (
                    f"attempt at_s={self.since_start(attempt.sent_at):.3f} flow={ip}:{port} "
                    f"outcome={attempt.outcome} took_s={attempt.ended_at - attempt.sent_at:.3f}\n"
                )

    def _picker(self, zone: str) -> Callable[[Address, Address], Address]:
        def pick(src: Address, dst: Address) -> Address:
            return self.fleet.pick(zone, src, dst)

        return pick

    def _configuration(self, warmup_s: float, warmup_per_s: float) -> dict[str, Any]:
        ports = {SERVICE: ROUTE_PORT, OTHER_SERVICE: OTHER_ROUTE_PORT}
        routes = [
            {
                "name": f"r-{service}",
                "hostname": self.block.ip(9, 1),
                "prefix": f"/{port}/",
                "route_type": "safe",
                "timeout_ms": 1200,
                "aim_ms": 120,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for service, port in ports.items()
        ]
        services = [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": 2000,
                "protocol": "h1",
                "tls": False,
                "warmup_s": warmup_s,
                "warmup_per_s": warmup_per_s,
            }
            for service in ports
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        return {"version": 7, "routes": routes, "services": services, "limits": limits}


def run_case(
    seed: int, hosts_by_zone: dict[str, int], play: Callable[[Scene], Awaitable[bool]]
) -> int:
    """Play a case, which returns whether the rule held; return the exit status."""
    return asyncio.run(_run(seed, hosts_by_zone, play))


async def _run(
    seed: int, hosts_by_zone: dict[str, int], play: Callable[[Scene], Awaitable[bool]]
) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        scene = Scene(hosts_by_zone, seed)
    except OSError as error:
        print(f"could not run: {error!r}")
        return EXIT_NOT_RUN
    try:
        return EXIT_HELD if await play(scene) else EXIT_BROKEN
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        scene.close()
