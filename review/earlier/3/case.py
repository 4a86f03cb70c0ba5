"""The store comes back from a copy, and the operator writes again what was lost 10 s later."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
from pathlib import Path

from client import Client, Result
from fleet import SMALL_BOUNDS, Host, Network, configuration, route
from packets import Packet
from record import Record
from store import Store
from targets import Target

BOUND_S = SMALL_BOUNDS["evacuation_ms"] / 1000.0
CONTACT_S = SMALL_BOUNDS["contact_ms"] / 1000.0
AWAY_S = 0.3
COPY_AGE_S = 3.0
WRITTEN_AGAIN_AFTER_S = 10.0
CALM_S = 8.0
OPENING_INTERVAL_S = 0.04
HEARTBEAT_S = 1.2

ZONES = ("north", "centre", "south")
ROUTE = ("198.18.0.1", 443)


class Case:
    """One run of the case."""

    def __init__(self, folder: Path, record: Record, *, has_trouble: bool) -> None:
        self._record = record
        self._has_trouble = has_trouble
        self._network = network = Network()
        self._store = Store(20.0)
        self._hosts = [
            Host(f"front-{idx}", ZONES[idx % 3], network.address(0, idx), network, folder)
            for idx in range(6)
        ]
        self._targets = [self._target(idx) for idx in range(6)]
        self._client = Client(network.address(2, 0), network.ports.packets, record)
        self._numbers = itertools.count()
        self._evacuated_at: float | None = None
        self._core_stable_at = 0.0
        self._served = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def _target(self, idx: int) -> Target:
        network = self._network
        return Target(
            f"i-{0x7F3A9100 + idx:x}",
            "lamps",
            ZONES[idx % 3],
            (network.address(1, idx), network.ports.packets + 5),
            network.ports.packets,
            self._record,
            self._on_opening,
        )

    async def run(self) -> None:
        """Play the case."""
        try:
            await self._start()
            traffic = asyncio.create_task(self._send_traffic())
            await asyncio.sleep(CALM_S)
            copy = self._store.copy()
            await asyncio.sleep(0.5)
            self._store.put("op/evacuate/south", {})
            self._evacuated_at = self._record.write("evacuation-acked", zone="south")
            await asyncio.sleep(COPY_AGE_S - 0.5)
            if self._has_trouble:
                self._store.is_away = True
                self._store.restore(copy)
                self._record.write("store-away")
                await asyncio.sleep(AWAY_S)
                self._store.is_away = False
                self._core_stable_at = self._record.write("store-back") + CONTACT_S
            await asyncio.sleep(HEARTBEAT_S)
            for target in self._targets:
                self._store.put(f"servers/{target.name}", target.entry(sequence=9))
            await asyncio.sleep(WRITTEN_AGAIN_AFTER_S - HEARTBEAT_S)
            if self._has_trouble:
                self._store.put("op/evacuate/south", {})
                self._record.write("evacuation-written-again", zone="south")
            await asyncio.sleep(4.0)
            traffic.cancel()
            if not all(host.is_running for host in self._hosts) or self._served < 100:
                raise RuntimeError(f"hosts ended or no traffic: {self._served} served")
        finally:
            for host in self._hosts:
                host.kill()
            for target in self._targets:
                target.stop()
            self._client.stop()
            await self._store.close()

    async def _start(self) -> None:
        for target in self._targets:
            await target.start()
            self._store.put(f"servers/{target.name}", target.entry())
        document = configuration(7, [route("r-lamps", ROUTE, "lamps")], ["lamps"])
        self._store.put("op/config", document)
        await self._client.start()
        seeds = [host.ip for host in self._hosts[:3]]
        for host in self._hosts:
            address = await self._store.listen(self._network.address(3, 0))
            host.write_settings(address, seeds, SMALL_BOUNDS)
            host.start()
        for host in self._hosts:
            await host.wait_until_ready()
        self._record.write("hosts-ready", hosts=len(self._hosts))

    async def _send_traffic(self) -> None:
        hosts = itertools.cycle(self._hosts)
        while True:
            task = asyncio.create_task(self._run_flow(next(hosts)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(OPENING_INTERVAL_S)

    async def _run_flow(self, host: Host) -> None:
        flow = self._client.flow(ROUTE, lambda: host.packets)
        result = await flow.open()
        if result is Result.SERVED:
            result = await flow.request(f"q{next(self._numbers)}", 1.2)
            self._served += result is Result.SERVED
        self._record.write("end", caller=flow.caller[1], result=result.value, host=host.name)
        flow.close()

    def _on_opening(self, target: Target, packet: Packet, host: str) -> None:
        now = self._record.write(
            "opening", target=target.name, zone=target.zone, caller=packet.src[1], host=host
        )
        if self._evacuated_at is None or target.zone != "south" or now < self._core_stable_at:
            return
        late_s = now - self._evacuated_at
        if late_s > BOUND_S:
            self._record.violate("EVAC", target=target.name, host=host, after_ack_s=f"{late_s:.3f}")


def main() -> int:
    """Run the case; return the exit status."""
    record = Record(Path(__file__).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("start", trouble=has_trouble)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record, has_trouble=has_trouble)
        try:
            asyncio.run(case.run())
        except (RuntimeError, OSError, TimeoutError) as error:
            record.write("not-run", reason=repr(error))
            record.close()
            return 2
    return record.close()


if __name__ == "__main__":
    sys.exit(main())
