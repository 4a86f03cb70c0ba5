"""Case 6: cold targets get an opening packet from every host at once when the warm ones go.

All hosts know how many they are. Two targets are in their cold period, two others are warm.
The zone of the warm ones is evacuated (not with ``TROUBLE=0``).

Exits with 1 if FAILBACK was broken, 0 if it held, and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path
from typing import NamedTuple

from standins.client import Client
from standins.fleet import PACKETS_PORT, STORE_PORT, TARGET_PORT, Block, Fleet
from standins.store import Store
from standins.target import Opening, Target

HOSTS = {"zone-a": 4, "zone-b": 5, "zone-c": 3}
"""The 9 machines of the small deployment rasvjeta-st and the spare one of each of its zones."""

SERVICE = "power"
COLD_ZONE = "zone-a"
EVACUATED_ZONE = "zone-b"
WARMUP_S = 20.0
WARMUP_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
LIMIT = WARMUP_PER_S * COLD_OVERAGE + COLD_SLACK
WINDOW_S = 1.0

REQUESTS_PER_S = 60.0
SETTLE_S = 8.0
COLD_BEFORE_S = 12.0
OBSERVED_S = 6.0
RECORD = Path(__file__).with_name("record.txt")


class Taken(NamedTuple):
    """An opening packet that a cold target took."""

    target: str
    sent_at: float
    arrived_at: float


def busiest_second(openings: list[Taken]) -> tuple[int, str, float]:
    """Return the most openings sent and taken within one second at one target, with its start."""
    best = (0, "", 0.0)
    for first in openings:
        count = sum(
            each.target == first.target
            and each.sent_at >= first.sent_at
            and each.arrived_at <= first.sent_at + WINDOW_S
            for each in openings
        )
        best = max(best, (count, first.target, first.sent_at))
    return best


class Case:
    """The fleet, its stand-ins, and the course of the case."""

    def __init__(self, *, has_trouble: bool) -> None:
        self._has_trouble = has_trouble
        self._rng = random.Random(6)
        self._block = Block()
        self._store = Store((self._block.ip(8, 1), STORE_PORT))
        self._fleet = Fleet(self._block, HOSTS, self._store.address)
        self._openings: list[Opening] = []
        self._targets: list[Target] = []
        self._clients: list[Client] = []
        self._requests: set[asyncio.Task[bool]] = set()
        self._answered = 0
        self._clock = asyncio.get_running_loop().time
        self._began_at = self._clock()
        self._evacuated_at: float | None = None

    async def run(self) -> bool:
        """Run the case; return whether FAILBACK held."""
        try:
            await self._store.start()
            self._configure()
            await self._add_targets(EVACUATED_ZONE, cold_s=0.0)
            await self._fleet.start()
            traffic = asyncio.create_task(self._send_requests())
            await asyncio.sleep(SETTLE_S)
            await self._add_targets(COLD_ZONE, cold_s=WARMUP_S)
            await asyncio.sleep(COLD_BEFORE_S)
            if self._has_trouble:
                self._store.put(f"op/evacuate/{EVACUATED_ZONE}", {})
                self._evacuated_at = self._clock()
            await asyncio.sleep(OBSERVED_S)
            traffic.cancel()
            await asyncio.wait(self._requests)
            return self._report()
        finally:
            self._close()

    def _configure(self) -> None:
        route = {
            "name": "r-1",
            "hostname": self._block.ip(9, 1),
            "prefix": "/8443/",
            "route_type": "safe",
            "timeout_ms": 1200,
            "aim_ms": 120,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": 2000,
            "protocol": "h1",
            "tls": False,
            "warmup_s": WARMUP_S,
            "warmup_per_s": WARMUP_PER_S,
        }
        limits = {"idle_timeout_ms": 15000}
        document = {"version": 7, "routes": [route], "services": [service], "limits": limits}
        self._store.put("op/config", document)

    async def _add_targets(self, zone: str, cold_s: float) -> None:
        """Start two targets in a zone."""
        for _ in range(2):
            number = len(self._targets) + 1
            address = (self._block.ip(4, number), TARGET_PORT)
            target = Target(
                f"i-7f3a91c{number}",
                address,
                SERVICE,
                zone,
                self._store,
                self._openings.append,
                cold_s=cold_s,
            )
            self._targets.append(target)
            await target.start()

    async def _send_requests(self) -> None:
        """Send requests of a client in each zone at ``REQUESTS_PER_S`` in total."""
        route = (self._block.ip(9, 1), 8443)
        zones = list(HOSTS)
        for net, zone in enumerate(zones):
            address = (self._block.ip(16 + net, 1), PACKETS_PORT)
            picker = _Picker(self._fleet, zone)
            self._clients.append(Client(address, route, picker.pick))
        while True:
            client = self._rng.choice(self._clients)
            task = asyncio.create_task(client.request())
            self._requests.add(task)
            task.add_done_callback(self._on_request)
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_S))

    def _on_request(self, task: asyncio.Task[bool]) -> None:
        if not task.cancelled() and task.result():
            self._answered += 1

    def _report(self) -> bool:
        sent_at = {flow: at for client in self._clients for flow, at in client.syn_sent_at.items()}
        cold = [
            Taken(each.target, sent_at[each.flow], each.at)
            for each in self._openings
            if each.was_cold
        ]
        count, target, start = busiest_second(cold)
        holds = count <= LIMIT
        with RECORD.open("w") as record:
            record.write("at_s: seconds since the start; one line an attempt\n")
            for client in self._clients:
                for attempt in client.attempts:
                    at_s = attempt.sent_at - self._began_at
                    took_s = attempt.ended_at - attempt.sent_at
                    ip, port = attempt.flow
                    record.write(
                        f"attempt at_s={at_s:.3f} flow={ip}:{port} "
                        f"outcome={attempt.outcome} took_s={took_s:.3f}\n"
                    )
            for taken in cold:
                record.write(
                    f"cold target={taken.target} sent_s={taken.sent_at - self._began_at:.3f} "
                    f"taken_s={taken.arrived_at - self._began_at:.3f}\n"
                )
            for each in self._targets:
                record.write(
                    f"target {each.name} address={each.address[0]} requests_run={len(each.runs)} "
                    f"altered_packets={each.altered}\n"
                )
            if self._evacuated_at is not None:
                record.write(f"evacuated at_s={self._evacuated_at - self._began_at:.3f}\n")
            record.write(f"requests={len(self._requests)} answered={self._answered}\n")
            where = f" at {target} in the second from {start - self._began_at:.3f}" if count else ""
            verdict = (
                f"FAILBACK {'held' if holds else 'broken'}: "
                f"{count} openings{where}, limit {LIMIT:g}\n"
            )
            record.write(verdict)
        print(verdict, end="")
        return holds

    def _close(self) -> None:
        self._fleet.close()
        for target in self._targets:
            target.close()
        for client in self._clients:
            client.close()
        self._store.close()
        self._block.release()


class _Picker:
    """Routes the packets of the clients in one zone."""

    def __init__(self, fleet: Fleet, zone: str) -> None:
        self._fleet = fleet
        self._zone = zone

    def pick(self, src: tuple[str, int], dst: tuple[str, int]) -> tuple[str, int]:
        """Return the host for a packet."""
        return self._fleet.pick(self._zone, src, dst)


async def main() -> int:
    """Run the case; return the exit status."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return 0 if await Case(has_trouble=os.environ.get("TROUBLE") != "0").run() else 1
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
