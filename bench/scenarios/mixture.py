"""The scenario ``all-at-once``: a seeded random mixture of changes and faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from bench.scenarios import faults
from bench.scenarios.fleet import Balancer
from bench.scenarios.world import NotReadyError, World
from bench.standins.health import HealthFault
from bench.standins.platform import ReaderView

MEAN_PAUSE_S = 1.5
LONGEST_FREEZE_S = 6.0
LONGEST_CUT_S = 6.0
LONGEST_OUTAGE_S = 6.0
FEWEST_UPSTREAMS = 2

Action = Callable[[World, random.Random], Awaitable[None]]


async def all_at_once(world: World, seconds: float) -> None:
    """Start random changes and faults at random times, several at once, until the end."""
    rng = random.Random(world.rng.random())
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    running: set[asyncio.Task[None]] = set()
    while loop.time() < ends_at:
        action = rng.choice(ACTIONS)
        task = asyncio.create_task(_run_action(action, world, rng))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
    if running:
        await asyncio.gather(*running)


async def _run_action(action: Action, world: World, rng: random.Random) -> None:
    await action(world, rng)


def _spare_balancers(world: World) -> list[Balancer]:
    """Return balancers that serve, if enough others of the fleet do too."""
    serving = {member.name for member in world.fabric.members}
    balancers = [
        balancer
        for balancer in world.fleet.balancers
        if balancer.name in serving and not balancer.is_busy
    ]
    minimum = len(world.options.deployment.data_centres) + 1
    return balancers if len(balancers) > minimum else []


async def _add_balancer(world: World, data_centre: str) -> None:
    """Start a balancer; one that cannot serve, as faults are under way, stays unused."""
    try:
        await world.add_balancer(data_centre)
    except NotReadyError:
        world.chronicle.note(f"a new balancer in {data_centre} does not serve")


async def _replace(world: World, rng: random.Random) -> None:
    spare = _spare_balancers(world)
    if not spare:
        return
    victim = rng.choice(spare)
    victim.is_busy = True
    world.chronicle.note(f"stop {victim.name}")
    await world.fleet.stop(victim)
    await _add_balancer(world, victim.data_centre)


async def _crash(world: World, rng: random.Random) -> None:
    spare = _spare_balancers(world)
    if not spare:
        return
    victim = rng.choice(spare)
    victim.is_busy = True
    await faults.crash(world, [victim])
    await _add_balancer(world, victim.data_centre)


async def _pause(world: World, rng: random.Random) -> None:
    spare = _spare_balancers(world)
    if not spare:
        return
    victim = rng.choice(spare)
    victim.is_busy = True
    await faults.pause(world, victim, rng.uniform(0.5, LONGEST_FREEZE_S))
    victim.is_busy = False


def _in_service(world: World, service: str) -> list[str]:
    return [
        upstream.spec.name
        for upstream in world.upstreams.values()
        if upstream.spec.service == service
        and upstream.spec.name not in world.chronicle.leaving_at
        and upstream.spec.data_centre not in world.document.out
    ]


async def _add_upstream(world: World, rng: random.Random) -> None:
    world.add_upstream(rng.choice(world.options.deployment.services).name)


async def _drain_upstream(world: World, rng: random.Random) -> None:
    names = _in_service(world, rng.choice(world.options.deployment.services).name)
    if len(names) > FEWEST_UPSTREAMS:
        world.drain_upstream(rng.choice(names))


async def _restart_upstream(world: World, rng: random.Random) -> None:
    names = _in_service(world, rng.choice(world.options.deployment.services).name)
    if names:
        await faults.restart_upstream(world, rng.choice(names))


async def _out_and_back(world: World, rng: random.Random) -> None:
    if world.document.out:
        return
    data_centre = rng.choice(world.options.deployment.data_centres)
    world.take_out(data_centre)
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    world.bring_back(data_centre)


async def _cut(world: World, rng: random.Random) -> None:
    if world.cuts.is_active:
        return
    lone = rng.choice(world.options.deployment.data_centres)
    await faults.cut_off(world, lone, rng.uniform(1.0, LONGEST_CUT_S))


async def _platform_fault(world: World, rng: random.Random) -> None:
    index = world.platform.index
    views = (ReaderView(is_down=True), ReaderView(stale_index=index), ReaderView(lag_s=2.0))
    readers = [world.plan.platform(balancer.idx) for balancer in world.fleet.balancers]
    touched = rng.sample(readers, rng.randint(1, len(readers)))
    for reader in touched:
        world.platform.set_view(reader, rng.choice(views))
    world.chronicle.note(f"platform fault for {len(touched)} readers")
    await asyncio.sleep(rng.uniform(1.0, LONGEST_OUTAGE_S))
    for reader in touched:
        world.platform.set_view(reader, ReaderView())
    world.chronicle.note("platform fault ends")


async def _mislead(world: World, rng: random.Random) -> None:
    upstream = rng.choice(list(world.upstreams.values()))
    upstream.health.fault = rng.choice(
        (
            HealthFault(load=0.0, state="warm"),
            HealthFault(load=1.0, state="draining"),
            HealthFault(lag_s=3.0),
            HealthFault(),
        )
    )
    world.chronicle.note(f"{upstream.spec.name} misleads")


ACTIONS: tuple[Action, ...] = (
    _replace,
    _crash,
    _pause,
    _add_upstream,
    _drain_upstream,
    _restart_upstream,
    _out_and_back,
    _cut,
    _platform_fault,
    _mislead,
)
