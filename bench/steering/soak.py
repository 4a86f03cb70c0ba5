"""Soak test: randomised runs of real balancer processes under faults injected from outside.

    python -m bench.steering.soak --seeds 50
    python -m bench.steering.soak --minutes 5

Each seed starts a fleet and callers, and injects faults one after another that may
overlap: signals, restarts, store errors, a proxy that disturbs connections to the
store, upstreams that crash, stall and restart, and configuration changes. Then it ends
all faults, and every request has to be served again. With reports, the hosts also have to
hear each other again.
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
from bench.steering.invariants import InvariantChecker
from bench.steering.proxy import FaultProxy, ProxyFault
from bench.steering.router import Router
from bench.steering.store import StoreFault
from bench.steering.upstream import PacketUpstream
from bench.steering.workload import Workload

FLAGS = flags.FLAGS
HOSTS = 3
CALLERS = 8
FAULT_PERIOD_S = 8.0
RECOVERY_S = 4.0
"""Time from the end of the last fault until all hosts have to serve."""

DRAIN_EFFECT_S = 3.0
"""Without faults, a draining upstream gets no new flows this long after its store entry changed."""

PEERS_HEARD_S = 15.0
"""Time limit after the recovery until the hosts hear each other; longer than a retry interval."""

CHANGE_BOUND_MS = 3000
CHANGE_BOUND_WITH_REPORTS_MS = 5000
"""Hosts poll seeds in place of the store from this bound on changes on."""

FAULT_INTERVAL_S = (0.1, 1.2)
DEREGISTRATION_DELAY_S = 2.0

Injection: TypeAlias = Callable[["SoakRun"], Awaitable[None]]


class SoakRun:
    """Runs one seed: a fleet, its callers, and the faults injected into it."""

    def __init__(self, seed: int, folder: Path, *, with_reports: bool) -> None:
        self.rng = random.Random(seed)
        self.with_reports = with_reports
        bound_ms = CHANGE_BOUND_WITH_REPORTS_MS if with_reports else CHANGE_BOUND_MS
        self.fleet = Fleet(
            folder, HOSTS, hint=seed, with_store_proxies=True, change_bound_ms=bound_ms
        )
        self.checker = InvariantChecker()
        self.router = Router(self.fleet.hosts)
        self.workload = Workload(self.fleet, self.router, self.checker, self.rng)
        self._upstream_numbers = itertools.count(0x100)
        self._versions = itertools.count(10)
        self._crashed: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> InvariantChecker:
        """Run the seed; return the checker with the outcomes and violations."""
        try:
            await self.fleet.start()
            await self.configure()
            for _ in range(4):
                await self.add_upstream()
            await self.fleet.start_hosts()
            self.router.start()
            self.workload.start(CALLERS)
            await self._inject_faults()
            await self._end_faults()
            await self._check_invariants()
        finally:
            self.router.stop()
            for task in self._tasks:
                task.cancel()
            await self.fleet.close()
        return self.checker

    @property
    def running_upstreams(self) -> list[str]:
        """Names of the upstreams that have not crashed."""
        return [name for name in self.fleet.upstreams if name not in self._crashed]

    async def configure(self) -> None:
        """Write a new configuration, sometimes with a second route."""
        routes = [(SERVICE, "orders")]
        if self.rng.random() < 0.5:
            routes.append((OTHER_SERVICE, "orders"))
        await self.fleet.configure(next(self._versions), *routes)

    async def add_upstream(self) -> None:
        """Start an upstream under a new name."""
        await self.fleet.add_upstream(f"i-{next(self._upstream_numbers):x}")

    def schedule(self, delay_s: float, action: Callable[[], Awaitable[object]]) -> None:
        """Run an action after a delay, unless the seed has ended."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            await action()

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + FAULT_PERIOD_S
        while loop.time() < ends_at:
            await self.rng.choice(INJECTIONS)(self)
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))

    async def _end_faults(self) -> None:
        """End all faults and wait for the recovery."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        self.fleet.store.fault = StoreFault.NONE
        for proxy in self.fleet.store_proxies:
            proxy.fault = ProxyFault.NONE
        if not self.running_upstreams:
            await self.add_upstream()
        for host in self.fleet.hosts:
            host.signal(signal.SIGCONT)
            if not host.is_running:
                host.start()
        await asyncio.sleep(RECOVERY_S)
        self.workload.is_fault_free = True

    async def _check_invariants(self) -> None:
        draining = self.rng.choice(self.running_upstreams)
        await self.add_upstream()
        await self.fleet.register(draining, state="draining")
        await asyncio.sleep(DRAIN_EFFECT_S)
        opened_count = len(self.fleet.upstreams[draining].opened)
        await asyncio.sleep(1.0)
        if len(self.fleet.upstreams[draining].opened) != opened_count:
            self.checker.record_violation("flow_placed_on_leaving_upstream", draining)
        if self.with_reports:
            await self._check_peers()
        self.workload.stop()
        self.checker.check_fleet(self.fleet)

    async def _check_peers(self) -> None:
        """Check that each host hears all others."""
        try:
            async with asyncio.timeout(PEERS_HEARD_S):
                for host in self.fleet.hosts:
                    await host.wait_for_metric(f"banyanline_peers {HOSTS - 1}")
        except TimeoutError:
            self.checker.record_violation("hosts_do_not_hear_each_other", host.plan.name)

    def crash_upstream(self) -> None:
        """Crash an upstream, which then drops or resets all packets; remove its entry later."""
        if len(self.running_upstreams) < 3:
            return
        name = self.rng.choice(self.running_upstreams)
        self._crashed.add(name)
        self.workload.disrupted_upstreams.add(name)
        upstream = self.fleet.upstreams[name]
        if self.rng.random() < 0.5:
            upstream.close()
        else:
            upstream.crash()
        self.schedule(DEREGISTRATION_DELAY_S, lambda: self.fleet.store.delete(f"servers/{name}"))

    async def restart_upstream(self) -> None:
        """Restart an upstream under the same name; it loses all its flows."""
        name = self.rng.choice(self.running_upstreams)
        self.workload.disrupted_upstreams.add(name)
        self.fleet.upstreams[name].restart()
        await self.fleet.register(name, born=int(time.time() * 1000))


async def _kill(soak: SoakRun) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    await host.kill()
    soak.schedule(soak.rng.uniform(0.1, 1.0), lambda: _start(host))


async def _kill_all(soak: SoakRun) -> None:
    for host in soak.fleet.hosts:
        await host.kill()
        soak.schedule(soak.rng.uniform(0.3, 0.6), partial(_start, host))


async def _start(host: BalancerProcess) -> None:
    if not host.is_running:
        host.start()


async def _stop(soak: SoakRun) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    host.signal(signal.SIGTERM)
    if soak.rng.random() < 0.3:
        host.signal(signal.SIGTERM)
    soak.schedule(0.0, lambda: _restart_after_stop(host))


async def _restart_after_stop(host: BalancerProcess) -> None:
    await host.wait()
    await _start(host)


async def _pause(soak: SoakRun) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    host.signal(signal.SIGSTOP)
    soak.schedule(soak.rng.uniform(0.2, 2.0), lambda: _resume(host))


async def _resume(host: BalancerProcess) -> None:
    host.signal(signal.SIGCONT)


async def _reload(soak: SoakRun) -> None:
    host = soak.rng.choice(soak.fleet.hosts)
    if soak.rng.random() < 0.5:
        soak.fleet.write_settings(host)
    host.signal(signal.SIGHUP)


async def _store_fault(soak: SoakRun) -> None:
    soak.fleet.store.fault = soak.rng.choice(list(StoreFault))
    soak.schedule(soak.rng.uniform(0.3, 3.0), lambda: _clear_store_fault(soak))


async def _clear_store_fault(soak: SoakRun) -> None:
    soak.fleet.store.fault = StoreFault.NONE


async def _discard_store_history(soak: SoakRun) -> None:
    soak.fleet.store.discard_history()


async def _restore_store(soak: SoakRun) -> None:
    """Restore the store from a copy; what was written in between is written again later."""
    copy = soak.fleet.store.copy()

    async def restore() -> None:
        lost = await soak.fleet.restore_store(copy)
        soak.schedule(soak.rng.uniform(0.1, 2.0), lambda: soak.fleet.write_again(lost, copy))

    soak.schedule(soak.rng.uniform(0.5, 3.0), restore)


async def _proxy_fault(soak: SoakRun) -> None:
    proxy = soak.rng.choice(soak.fleet.store_proxies)
    proxy.fault = soak.rng.choice(list(ProxyFault))
    soak.schedule(soak.rng.uniform(0.3, 3.0), lambda: _clear_proxy_fault(proxy))


async def _clear_proxy_fault(proxy: FaultProxy) -> None:
    proxy.fault = ProxyFault.NONE


async def _crash_upstream(soak: SoakRun) -> None:
    soak.crash_upstream()


async def _stall_upstream(soak: SoakRun) -> None:
    """Make a running upstream drop all packets for a while; its flows must survive that."""
    name = soak.rng.choice(soak.running_upstreams)
    upstream = soak.fleet.upstreams[name]
    upstream.is_unresponsive = True
    soak.schedule(soak.rng.uniform(0.3, 2.0), lambda: _resume_upstream(upstream))


async def _resume_upstream(upstream: PacketUpstream) -> None:
    upstream.is_unresponsive = False


async def _restart_upstream(soak: SoakRun) -> None:
    await soak.restart_upstream()


async def _add_upstream(soak: SoakRun) -> None:
    await soak.add_upstream()


async def _configure(soak: SoakRun) -> None:
    await soak.configure()


async def _malformed_entry(soak: SoakRun) -> None:
    await soak.fleet.store.put("servers/i-f00", {"service": 7})


INJECTIONS: tuple[Injection, ...] = (
    _kill,
    _kill_all,
    _stop,
    _stop,
    _pause,
    _reload,
    _store_fault,
    _discard_store_history,
    _restore_store,
    _proxy_fault,
    _crash_upstream,
    _stall_upstream,
    _restart_upstream,
    _add_upstream,
    _configure,
    _malformed_entry,
)


def run_seed(seed: int, folder: Path, *, with_reports: bool = False) -> InvariantChecker:
    """Run one seed; the hosts' logs and settings stay in ``folder``."""
    return asyncio.run(SoakRun(seed, folder, with_reports=with_reports).run())


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 0, "Number of seeds to run; 0 for as many as the time allows.")
    flags.DEFINE_boolean("reports", True, "Let the hosts exchange reports.")
    flags.DEFINE_float("minutes", 5.0, "Start no new seed after this time.", lower_bound=0.0)


def main(argv: list[str]) -> None:
    """Run one seed after another; exit with 1 if any invariant was violated."""
    del argv
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(1))
    ends_at = time.monotonic() + 60.0 * FLAGS.minutes
    failed_seeds = []
    seed = FLAGS.seed
    while seed - FLAGS.seed < FLAGS.seeds or (not FLAGS.seeds and time.monotonic() < ends_at):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        checker = run_seed(seed, folder, with_reports=FLAGS.reports)
        print(seed, dict(checker.outcomes), *checker.violations[:5], sep=" ", flush=True)
        if checker.violations:
            failed_seeds.append(seed)
            print(f"seed {seed}: logs in {folder}")
        seed += 1
    print(f"{seed - FLAGS.seed} seeds, {len(failed_seeds)} with violations: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    define_flags()
    app.run(main)
