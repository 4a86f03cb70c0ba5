"""Shows the path on the operators' platform: a few hosts, and each planned change once.

    python -m bench.steering.demo

A stand-in for the store, upstreams and callers of packet flows work on loopback while
hosts are stopped and started, upstreams leave, a data centre goes out and back, the
configuration changes, and the store is away. Exits with 0 only if nothing was broken.
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
from bench.steering.promises import Promises
from bench.steering.router import Router
from bench.steering.store import Fault
from bench.steering.work import Work

HOSTS = 3
CALLERS = 8
SEED = 1
STEP_S = 1.5
LEAVES_AFTER_S = 3.0
MEND_S = 3.0
ROUTE = (SERVICE, "orders")


def _say(what: str) -> None:
    print(f"  {what}", flush=True)


class Demo:
    """The fleet of the demo, its callers, and the changes."""

    def __init__(self, folder: Path) -> None:
        self.fleet = Fleet(folder, HOSTS)
        self.promises = Promises()
        self.router = Router(self.fleet.hosts)
        self.work = Work(self.fleet, self.router, self.promises, random.Random(SEED))

    async def run(self) -> Promises:
        """Make the changes and return what was found."""
        try:
            await self.fleet.start()
            await self.fleet.configure(1, ROUTE)
            for name in ("i-a1", "i-a2", "i-a3"):
                await self.fleet.add_upstream(name)
            await self.fleet.start_hosts()
            self.router.start()
            await asyncio.sleep(STEP_S)
            self.work.start(CALLERS)
            await self._changes()
            self.work.is_calm = True
            await asyncio.sleep(MEND_S)
            self.work.stop()
            self.promises.check_fleet(self.fleet)
        finally:
            self.router.stop()
            await self.fleet.close()
        return self.promises

    async def _changes(self) -> None:
        for host in self.fleet.hosts:
            await self._restart(host)
        _say("upstream i-a4 is added, and i-a1 leaves")
        await self.fleet.add_upstream("i-a4")
        await self.fleet.register("i-a1", state="draining")
        await asyncio.sleep(LEAVES_AFTER_S)
        _say("a new configuration comes into force")
        await self.fleet.configure(2, ROUTE)
        await asyncio.sleep(STEP_S)
        _say("data centre north is taken out of service and back")
        await self.fleet.register("i-a3", zone="south")
        await self.fleet.store.put("op/evacuate/north", {})
        await asyncio.sleep(STEP_S)
        await self.fleet.store.delete("op/evacuate/north")
        _say("the store turns everybody away for a while")
        self.fleet.store.fault = Fault.BUSY
        await asyncio.sleep(STEP_S)
        self.fleet.store.fault = Fault.NONE
        await asyncio.sleep(STEP_S)

    async def _restart(self, host: BalancerProcess) -> None:
        _say(f"{host.plan.name} is stopped and started again")
        host.signal(signal.SIGTERM)
        await host.wait()
        host.start()
        await host.become(200)
        await asyncio.sleep(STEP_S)


def main(argv: list[str]) -> None:
    """Run the demo and exit with 1 when something broke."""
    del argv
    print(f"{HOSTS} hosts on the operators' platform, callers at work:", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        promises = asyncio.run(Demo(Path(folder)).run())
    for outcome, count in sorted(promises.outcomes.items()):
        print(f"{outcome:30} {count}")
    for violation in promises.violations:
        print(f"VIOLATION {violation.promise}: {violation.detail}")
    print("something was broken" if promises.violations else "nothing was broken")
    sys.exit(1 if promises.violations else 0)


if __name__ == "__main__":
    app.run(main)
