"""Many changes of a large configuration in quick succession, then one change of each kind.

The changes of the burst are harmless. Some seconds later the operator drops a route and takes a
zone out of service, and a target begins to drain. All machines and the store are sound.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

from client import Client, Result
from fleet import SMALL_BOUNDS, Host, Network, configuration, route
from packets import Address, Packet
from record import Record
from store import Store
from targets import Target

BOUNDS = SMALL_BOUNDS | {
    "contact_ms": 6000,
    "ack_timeout_ms": 10000,
    "catch_up_s": 6,
    "drain_ms": 6000,
    "config_apply_ms": 6000,
    "outer_ms": 20000,
    "evacuation_ms": 5000,
    "recovery_s": 15,
}
"""The bounds of the sheet of rasvjeta-st-large."""

HISTORY_S = 20.0
IDLE_ROUTES = 120
ADDED_ROUTES = 1680
"""``count`` of big_config, here in force from the start."""

BURST_GAP_S = 0.06
BURST_S = 1.5
CALM_S = 8.0
WATCHED_S = 18.0
OPENING_INTERVAL_S = 0.04

ZONES = ("north", "centre", "south")
KEPT = ("198.18.0.1", 443)
OTHER = ("198.18.0.2", 443)
DROPPED = ("198.18.0.3", 443)


class Case:
    """One run of the case."""

    def __init__(self, folder: Path, record: Record, *, has_trouble: bool) -> None:
        self._record = record
        self._has_trouble = has_trouble
        self._network = network = Network()
        self._store = Store(HISTORY_S)
        self._hosts = [
            Host(f"front-{idx}", ZONES[idx % 3], network.address(0, idx), network, folder)
            for idx in range(4)
        ]
        self._targets = [self._target(idx) for idx in range(6)]
        self._client = Client(network.address(2, 0), network.ports.packets, record)
        self._numbers = itertools.count()
        self._sent_at: dict[Address, float] = {}
        self._dropped_at: float | None = None
        self._evacuated_at: float | None = None
        self._draining_at: float | None = None
        self._draining = self._targets[1]
        self._version = 5
        self._served = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def _target(self, idx: int) -> Target:
        network = self._network
        return Target(
            f"i-{0x7F3A9100 + idx:x}",
            "lamps" if idx < 3 else "sheets",
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
            if self._has_trouble:
                await self._burst()
            await asyncio.sleep(2.0)
            self._change_everything()
            await asyncio.sleep(WATCHED_S)
            traffic.cancel()
            self._check_that_it_ran()
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
        self._configure()
        await self._client.start()
        seeds = [host.ip for host in self._hosts[:3]]
        for host in self._hosts:
            address = await self._store.listen(self._network.address(3, 0))
            host.write_settings(address, seeds, BOUNDS)
            host.start()
        for host in self._hosts:
            await host.wait_until_ready()
        self._record.write("hosts-ready", hosts=len(self._hosts))

    def _configure(self, *, idle_timeout_ms: int = 15000, has_dropped: bool = True) -> float:
        """Write the next version; return the time of its acknowledgement."""
        self._version += 3
        routes = [route("r-kept", KEPT, "lamps"), route("r-other", OTHER, "sheets")]
        if has_dropped:
            routes.append(route("r-dropped", DROPPED, "lamps"))
        for idx in range(IDLE_ROUTES + ADDED_ROUTES):
            address = (f"198.19.{idx // 200}.{idx % 200 + 1}", 8443)
            routes.append(route(f"r-idle{idx}", address, "lamps" if idx % 2 else "sheets"))
        document = configuration(
            self._version, routes, ["lamps", "sheets"], idle_timeout_ms=idle_timeout_ms
        )
        self._store.put("op/config", document)
        return self._record.write(
            "config-acked", version=self._version, routes=len(routes), has_dropped=has_dropped
        )

    async def _burst(self) -> None:
        """Change the idle timeout every 60 ms for 1.5 s."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for idx in range(int(BURST_S / BURST_GAP_S)):
            await asyncio.sleep(max(0.0, began_at + idx * BURST_GAP_S - loop.time()))
            self._configure(idle_timeout_ms=15000 + 100 * (idx + 1))

    def _change_everything(self) -> None:
        """Drop a route, take a zone out of service, and let a target begin to drain."""
        self._dropped_at = self._configure(has_dropped=False)
        self._store.put("op/evacuate/south", {})
        self._evacuated_at = self._record.write("evacuation-acked", zone="south")
        draining = self._draining
        self._store.put(f"servers/{draining.name}", draining.entry(state="draining", sequence=2))
        self._draining_at = self._record.write("draining-acked", target=draining.name)

    async def _send_traffic(self) -> None:
        routes = itertools.cycle((KEPT, OTHER, DROPPED))
        hosts = itertools.cycle(self._hosts)
        while True:
            task = asyncio.create_task(self._run_flow(next(routes), next(hosts)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(OPENING_INTERVAL_S)

    async def _run_flow(self, address: Address, host: Host) -> None:
        flow = self._client.flow(address, lambda: host.packets)
        self._sent_at[flow.caller] = self._record.now()
        result = await flow.open()
        if result is Result.SERVED:
            request = f"q{next(self._numbers)}"
            result = await flow.request(request, 1.2)
            self._record.write(
                "answer", request=request, result=result.value, route=address[0], host=host.name
            )
            self._served += result is Result.SERVED
        else:
            self._record.write("no-flow", result=result.value, route=address[0], host=host.name)
        flow.close()

    def _on_opening(self, target: Target, packet: Packet, host: str) -> None:
        now = self._record.write(
            "opening", target=target.name, zone=target.zone, route=packet.dst[0], host=host
        )
        sent_at = self._sent_at[packet.src]
        fields: dict[str, Any] = {"target": target.name, "host": host}
        if self._dropped_at is not None and packet.dst == DROPPED:
            late_s = sent_at - self._dropped_at
            if late_s > BOUNDS["config_apply_ms"] / 1000.0:
                self._record.violate("CONFIG", sent_after_ack_s=f"{late_s:.3f}", **fields)
        if self._evacuated_at is not None and target.zone == "south":
            late_s = now - self._evacuated_at
            if late_s > BOUNDS["evacuation_ms"] / 1000.0:
                self._record.violate("EVAC", after_ack_s=f"{late_s:.3f}", **fields)
        if self._draining_at is not None and target is self._draining:
            late_s = now - self._draining_at
            if late_s > BOUNDS["drain_ms"] / 1000.0:
                self._record.violate("DRAIN", after_ack_s=f"{late_s:.3f}", **fields)

    def _check_that_it_ran(self) -> None:
        if not all(host.is_running for host in self._hosts) or self._served < 100:
            raise RuntimeError(f"hosts ended or no traffic: {self._served} served")


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
        if os.environ.get("KEEP_LOGS"):
            for log in Path(folder).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
    return record.close()


if __name__ == "__main__":
    sys.exit(main())
