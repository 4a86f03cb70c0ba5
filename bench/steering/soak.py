"""Randomised runs of real balancers under faults that are injected from outside them.

    python -m bench.steering.soak --seeds 50
    python -m bench.steering.soak --minutes 5

Each seed starts a fleet, lets callers work, and injects faults that come in series
and overlap: signals, restarts, a store that misbehaves or is cut off by a proxy,
upstreams that leave, crash and return, configurations that change. Then all is
mended and each caller has to be served again.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import TypeAlias

from absl import app, flags

from bench.steering.fleet import OTHER_SERVICE, SERVICE, BalancerProcess, Fleet
from bench.steering.promises import Promises
from bench.steering.proxy import FaultyLink, LinkFault
from bench.steering.router import Router
from bench.steering.store import Fault
from bench.steering.upstream import PacketUpstream
from bench.steering.work import Work

FLAGS = flags.FLAGS
HOSTS = 3
CALLERS = 8
TROUBLE_S = 8.0
MEND_S = 4.0
"""Time after which all hosts have to serve, from the end of the last fault on."""

SETTLED_S = 3.0
"""A leaving upstream gets no new flows this long after the store knew, on calm hosts."""

FAULT_GAP_S = (0.1, 1.2)
LEAVES_AFTER_S = 2.0

Injection: TypeAlias = Callable[["Soak"], Awaitable[None]]


class Soak:
    """One seed: a fleet, its callers, and the faults that befall it."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet(folder, HOSTS, hint=seed, through_proxies=True)
        self.promises = Promises()
        self.router = Router(self.fleet.hosts)
        self.work = Work(self.fleet, self.router, self.promises, self.rng)
        self._names = itertools.count(0x100)
        self._version = itertools.count(10)
        self._crashed: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Promises:
        """Play the seed and return what was found."""
        try:
            await self.fleet.start()
            await self.configure()
            for _ in range(4):
                await self.add_upstream()
            await self.fleet.start_hosts()
            self.router.start()
            self.work.start(CALLERS)
            await self._trouble()
            await self._mend()
            await self._judge()
        finally:
            self.router.stop()
            for task in self._tasks:
                task.cancel()
            await self.fleet.close()
        return self.promises

    @property
    def living(self) -> list[str]:
        """Names of the upstreams that run and have not said that they leave."""
        return [name for name in self.fleet.upstreams if name not in self._crashed]

    async def configure(self) -> None:
        """Write a new configuration, sometimes with a second route."""
        routes = [(SERVICE, "orders")]
        if self.rng.random() < 0.5:
            routes.append((OTHER_SERVICE, "orders"))
        await self.fleet.configure(next(self._version), *routes)

    async def add_upstream(self) -> None:
        """Start an upstream under a new name."""
        await self.fleet.add_upstream(f"i-{next(self._names):x}")

    def later(self, delay_s: float, action: Callable[[], Awaitable[object]]) -> None:
        """Do something after a delay, unless the seed has ended."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await action()

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _trouble(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + TROUBLE_S
        while loop.time() < ends_at:
            await self.rng.choice(INJECTIONS)(self)
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))

    async def _mend(self) -> None:
        """End all faults and wait until everything has settled."""
        for task in list(self._tasks):
            await task
        self.fleet.store.fault = Fault.NONE
        for link in self.fleet.links:
            link.fault = LinkFault.NONE
        if not self.living:
            await self.add_upstream()
        for host in self.fleet.hosts:
            host.signal(signal.SIGCONT)
            if not host.is_running:
                host.start()
        await asyncio.sleep(MEND_S)
        self.work.is_calm = True

    async def _judge(self) -> None:
        leaving = self.rng.choice(self.living)
        await self.add_upstream()
        await self.fleet.register(leaving, state="draining")
        await asyncio.sleep(SETTLED_S)
        opened = len(self.fleet.upstreams[leaving].opened)
        await asyncio.sleep(1.0)
        if len(self.fleet.upstreams[leaving].opened) != opened:
            self.promises.break_("flow_placed_on_leaving_upstream", leaving)
        self.work.stop()
        self.promises.check_fleet(self.fleet)

    def crash_upstream(self) -> None:
        """Let an upstream die, in silence or refusing flows; its entry goes a little later."""
        if len(self.living) < 3:
            return
        name = self.rng.choice(self.living)
        self._crashed.add(name)
        self.work.excused.add(name)
        upstream = self.fleet.upstreams[name]
        if self.rng.random() < 0.5:
            upstream.close()
        else:
            upstream.crash()
        self.later(LEAVES_AFTER_S, lambda: self.fleet.store.delete(f"servers/{name}"))

    async def restart_upstream(self) -> None:
        """Let an upstream start again under its name; it holds none of its flows."""
        name = self.rng.choice(self.living)
        self.work.excused.add(name)
        self.fleet.upstreams[name].restart()
        await self.fleet.register(name, born=int(time.time() * 1000))


async def _kill(soak: Soak) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    await host.kill()
    soak.later(soak.rng.uniform(0.1, 1.0), lambda: _start(host))


async def _kill_all(soak: Soak) -> None:
    for host in soak.fleet.hosts:
        await host.kill()
        soak.later(soak.rng.uniform(0.3, 0.6), partial(_start, host))


async def _start(host: BalancerProcess) -> None:
    if not host.is_running:
        host.start()


async def _stop(soak: Soak) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    host.signal(signal.SIGTERM)
    if soak.rng.random() < 0.3:
        host.signal(signal.SIGTERM)
    soak.later(0.0, lambda: _restart_after_stop(host))


async def _restart_after_stop(host: BalancerProcess) -> None:
    await host.wait()
    await _start(host)


async def _pause(soak: Soak) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    host.signal(signal.SIGSTOP)
    soak.later(soak.rng.uniform(0.2, 2.0), lambda: _resume(host))


async def _resume(host: BalancerProcess) -> None:
    host.signal(signal.SIGCONT)


async def _reload(soak: Soak) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    if soak.rng.random() < 0.5:
        soak.fleet.write_settings(host)
    host.signal(signal.SIGHUP)


async def _store_fault(soak: Soak) -> None:
    soak.fleet.store.fault = soak.rng.choice(list(Fault))
    soak.later(soak.rng.uniform(0.3, 3.0), lambda: _mend_store(soak))


async def _mend_store(soak: Soak) -> None:
    soak.fleet.store.fault = Fault.NONE


async def _forget_history(soak: Soak) -> None:
    soak.fleet.store.forget_history()


async def _link_fault(soak: Soak) -> None:
    link = soak.rng.choice(soak.fleet.links)
    link.fault = soak.rng.choice(list(LinkFault))
    soak.later(soak.rng.uniform(0.3, 3.0), lambda: _mend_link(link))


async def _mend_link(link: FaultyLink) -> None:
    link.fault = LinkFault.NONE


async def _crash_upstream(soak: Soak) -> None:
    soak.crash_upstream()


async def _stall_upstream(soak: Soak) -> None:
    """Let a living upstream answer nothing for a while; its flows must outlast that."""
    name = soak.rng.choice(soak.living)
    upstream = soak.fleet.upstreams[name]
    upstream.silent = True
    soak.later(soak.rng.uniform(0.3, 2.0), lambda: _resume_upstream(upstream))


async def _resume_upstream(upstream: PacketUpstream) -> None:
    upstream.silent = False


async def _restart_upstream(soak: Soak) -> None:
    await soak.restart_upstream()


async def _add_upstream(soak: Soak) -> None:
    await soak.add_upstream()


async def _configure(soak: Soak) -> None:
    await soak.configure()


async def _strange_entry(soak: Soak) -> None:
    await soak.fleet.store.put("servers/i-f00", {"service": 7})


INJECTIONS: tuple[Injection, ...] = (
    _kill,
    _kill_all,
    _stop,
    _stop,
    _pause,
    _reload,
    _store_fault,
    _forget_history,
    _link_fault,
    _crash_upstream,
    _stall_upstream,
    _restart_upstream,
    _add_upstream,
    _configure,
    _strange_entry,
)


def run_seed(seed: int, folder: Path) -> Promises:
    """Play one seed; logs and settings of the hosts are left in ``folder``."""
    return asyncio.run(Soak(seed, folder).run())


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 0, "How many seeds to play; 0 for as many as the time allows.")
    flags.DEFINE_float("minutes", 5.0, "Start no new seed after this time.", lower_bound=0.0)


def main(argv: list[str]) -> None:
    """Play seed after seed, and exit with 1 if any promise was broken."""
    del argv
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(1))
    ends_at = time.monotonic() + 60.0 * FLAGS.minutes
    failed = []
    seed = FLAGS.seed
    while seed - FLAGS.seed < FLAGS.seeds or (not FLAGS.seeds and time.monotonic() < ends_at):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        promises = run_seed(seed, folder)
        print(seed, dict(promises.outcomes), *promises.violations[:5], sep=" ", flush=True)
        if promises.violations:
            failed.append(seed)
            print(f"seed {seed}: logs in {folder}")
        seed += 1
    print(f"{seed - FLAGS.seed} seeds, {len(failed)} with violations: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    define_flags()
    app.run(main)
