"""Demo of the balancer on the operators' platform: a few hosts, and each planned change once.

    python -m bench.steering.demo

Stand-ins for the store, upstreams and callers of packet flows run on loopback. Hosts
are restarted, an upstream is drained, a data centre is taken out of service and back,
the configuration changes, and the store is unavailable for a while. Exits with 0 only
if no invariant was violated.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

from absl import app

from bench.steering.fleet import SERVICE, BalancerProcess, Fleet
from bench.steering.promises import InvariantChecker
from bench.steering.router import Router
from bench.steering.store import StoreFault
from bench.steering.work import Workload

HOSTS = 3
CALLERS = 8
SEED = 1
STEP_INTERVAL_S = 1.5
DRAIN_WAIT_S = 3.0
RECOVERY_S = 3.0
ROUTE = (SERVICE, "orders")


def _print_step(description: str) -> None:
    print(f"  {description}", flush=True)


class Demo:
    """Runs the fleet of the demo, its callers, and the planned changes."""

    def __init__(self, folder: Path) -> None:
        self.fleet = Fleet(folder, HOSTS)
        self.checker = InvariantChecker()
        self.router = Router(self.fleet.hosts)
        self.workload = Workload(self.fleet, self.router, self.checker, random.Random(SEED))

    async def run(self) -> InvariantChecker:
        """Make the changes; return the checker with the outcomes and violations."""
        try:
            await self.fleet.start()
            await self.fleet.configure(1, ROUTE)
            for name in ("i-a1", "i-a2", "i-a3"):
                await self.fleet.add_upstream(name)
            await self.fleet.start_hosts()
            self.router.start()
            await asyncio.sleep(STEP_INTERVAL_S)
            self.workload.start(CALLERS)
            await self._make_changes()
            self.workload.is_fault_free = True
            await asyncio.sleep(RECOVERY_S)
            self.workload.stop()
            self.checker.check_fleet(self.fleet)
        finally:
            self.router.stop()
            await self.fleet.close()
        return self.checker

    async def _make_changes(self) -> None:
        for host in self.fleet.hosts:
            await self._restart(host)
        _print_step("upstream i-a4 is added, and i-a1 is drained")
        await self.fleet.add_upstream("i-a4")
        await self.fleet.register("i-a1", state="draining")
        await asyncio.sleep(DRAIN_WAIT_S)
        _print_step("a new configuration takes effect")
        await self.fleet.configure(2, ROUTE)
        await asyncio.sleep(STEP_INTERVAL_S)
        _print_step("data centre north is taken out of service and put back")
        await self.fleet.register("i-a3", zone="south")
        await self.fleet.store.put("op/evacuate/north", {})
        await asyncio.sleep(STEP_INTERVAL_S)
        await self.fleet.store.delete("op/evacuate/north")
        _print_step("the store responds to every call with status 503 for a while")
        self.fleet.store.fault = StoreFault.BUSY
        await asyncio.sleep(STEP_INTERVAL_S)
        self.fleet.store.fault = StoreFault.NONE
        await asyncio.sleep(STEP_INTERVAL_S)

    async def _restart(self, host: BalancerProcess) -> None:
        _print_step(f"{host.plan.name} is stopped and restarted")
        host.signal(signal.SIGTERM)
        await host.wait()
        host.start()
        await host.wait_for_status(200)
        await asyncio.sleep(STEP_INTERVAL_S)


def main(argv: list[str]) -> None:
    """Run the demo and exit with 1 if an invariant was violated."""
    del argv
    print(f"{HOSTS} hosts on the operators' platform, with callers sending requests:", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        checker = asyncio.run(Demo(Path(folder)).run())
    for outcome, count in sorted(checker.outcomes.items()):
        print(f"{outcome:30} {count}")
    for violation in checker.violations:
        print(f"VIOLATION {violation.invariant}: {violation.detail}")
    print("something was broken" if checker.violations else "nothing was broken")
    sys.exit(1 if checker.violations else 0)


if __name__ == "__main__":
    app.run(main)
