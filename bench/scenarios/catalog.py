"""The scenarios: what is done to the system while callers are at work."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bench.network.link import Faults
from bench.scenarios import faults
from bench.scenarios.mixture import all_at_once
from bench.scenarios.world import World
from bench.standins.health import HealthFault
from bench.standins.platform import ReaderView

PAUSE_S = 10.0
CHURN_INTERVAL_S = 0.5
OVERLOAD_SHARE = 2.0

Act = Callable[[World, float], Awaitable[None]]


class Scenario(NamedTuple):
    """A named scenario; ``act`` runs for the given seconds while callers are at work."""

    name: str
    act: Act
    is_planned: bool
    """Whether it holds planned changes only, in which no flow may break."""
    is_relayed: bool = False
    faults: Faults = Faults()


async def steady(world: World, seconds: float) -> None:
    """Do nothing."""
    del world
    await asyncio.sleep(seconds)


async def roll_balancers(world: World, seconds: float) -> None:
    """Replace every balancer, one after the other."""
    old = list(world.fleet.balancers)
    interval_s = seconds / (len(old) + 1)
    for balancer in old:
        await asyncio.sleep(interval_s / 2)
        await world.add_balancer(balancer.data_centre)
        await asyncio.sleep(interval_s / 2)
        world.chronicle.note(f"stop {balancer.name}")
        await world.fleet.stop(balancer)
    await asyncio.sleep(interval_s)


async def crash_balancers(world: World, seconds: float, count: int) -> None:
    """Kill ``count`` balancers at once, and replace them later."""
    await asyncio.sleep(seconds / 3)
    victims = world.rng.sample(world.fleet.balancers, count)
    await faults.crash(world, victims)
    await asyncio.sleep(seconds / 3)
    for victim in victims:
        await world.add_balancer(victim.data_centre)
    await asyncio.sleep(seconds / 3)


async def crash_balancer(world: World, seconds: float) -> None:
    """Kill one balancer."""
    await crash_balancers(world, seconds, 1)


async def crash_two(world: World, seconds: float) -> None:
    """Kill two balancers at once."""
    await crash_balancers(world, seconds, 2)


async def pause_balancer(world: World, seconds: float) -> None:
    """Stop a balancer with SIGSTOP for 10 s, or half the time if that is less."""
    await asyncio.sleep(seconds / 4)
    victim = world.rng.choice(world.fleet.balancers)
    await faults.pause(world, victim, min(PAUSE_S, seconds / 2))
    await asyncio.sleep(seconds / 4)


async def add_upstream(world: World, seconds: float) -> None:
    """Add a cold upstream to each service."""
    await asyncio.sleep(seconds / 4)
    for service in world.options.deployment.services:
        world.add_upstream(service.name)
    await asyncio.sleep(seconds * 3 / 4)


async def drain_upstream(world: World, seconds: float) -> None:
    """Let one upstream of each service leave."""
    await asyncio.sleep(seconds / 4)
    for service in world.options.deployment.services:
        names = [u.spec.name for u in world.upstreams.values() if u.spec.service == service.name]
        world.drain_upstream(world.rng.choice(names))
    await asyncio.sleep(seconds * 3 / 4)


async def cold_restart(world: World, seconds: float) -> None:
    """Restart an upstream of each service without warning, twice."""
    await asyncio.sleep(seconds / 4)
    for _ in range(2):
        victims = []
        for service in world.options.deployment.services:
            candidates = [u for u in world.upstreams.values() if u.spec.service == service.name]
            victims.append(world.rng.choice(candidates).spec.name)
        await asyncio.gather(*(faults.restart_upstream(world, name) for name in victims))
        await asyncio.sleep(seconds * 3 / 8 - faults.UPSTREAM_DOWN_S)


async def config_churn(world: World, seconds: float) -> None:
    """Publish a new revision twice a second; upstreams are added and leave meanwhile."""
    ends_at = asyncio.get_running_loop().time() + seconds
    number = 0
    services = [service.name for service in world.options.deployment.services]
    while asyncio.get_running_loop().time() < ends_at:
        number += 1
        if number % 8 == 2:
            world.add_upstream(services[number // 8 % len(services)])
        elif number % 8 == 6 and number < 24:
            _drain_one(world)
        else:
            world.document.touch()
            world.publish()
        await asyncio.sleep(CHURN_INTERVAL_S)


def _drain_one(world: World) -> None:
    """Let an upstream leave, but for the last two of its service."""
    candidates = []
    for upstream in world.upstreams.values():
        service = upstream.spec.service
        staying = [
            other
            for other in world.upstreams.values()
            if other.spec.service == service and other.spec.name not in world.chronicle.leaving_at
        ]
        if upstream in staying and len(staying) > 2:
            candidates.append(upstream.spec.name)
    if candidates:
        world.drain_upstream(world.rng.choice(candidates))


async def dc_out_and_back(world: World, seconds: float) -> None:
    """Take a data centre out of service and bring it back."""
    await asyncio.sleep(seconds / 4)
    data_centre = world.rng.choice(world.options.deployment.data_centres)
    world.take_out(data_centre)
    await asyncio.sleep(seconds / 2)
    world.bring_back(data_centre)
    await asyncio.sleep(seconds / 4)


async def platform_down(world: World, seconds: float) -> None:
    """Take the platform down for all readers, and replace a balancer meanwhile."""
    await asyncio.sleep(seconds / 5)
    _set_views(world, ReaderView(is_down=True))
    world.chronicle.note("platform down")
    await asyncio.sleep(seconds / 5)
    victim = world.rng.choice(world.fleet.balancers)
    world.chronicle.note(f"stop {victim.name}")
    await world.fleet.stop(victim)
    await asyncio.sleep(seconds / 5)
    _set_views(world, ReaderView())
    world.chronicle.note("platform up")
    await world.add_balancer(victim.data_centre)
    await asyncio.sleep(seconds * 2 / 5)


async def platform_stale(world: World, seconds: float) -> None:
    """Show half of the readers an old state while an upstream leaves; some start anew."""
    await asyncio.sleep(seconds / 6)
    stale_index = world.platform.index
    await drain_now(world)
    await asyncio.sleep(seconds / 6)
    for balancer in world.fleet.balancers[::2]:
        reader = world.plan.platform(balancer.idx)
        world.platform.set_view(reader, ReaderView(stale_index=stale_index))
    world.chronicle.note("platform stale")
    await asyncio.sleep(seconds / 6)
    victim = world.rng.choice(world.fleet.balancers)
    await world.add_balancer(victim.data_centre)
    world.chronicle.note(f"stop {victim.name}")
    await world.fleet.stop(victim)
    await asyncio.sleep(seconds / 6)
    _set_views(world, ReaderView())
    world.chronicle.note("platform fresh")
    await asyncio.sleep(seconds / 3)


async def drain_now(world: World) -> None:
    """Let one upstream of the first service leave."""
    service = world.options.deployment.services[0].name
    names = [u.spec.name for u in world.upstreams.values() if u.spec.service == service]
    world.drain_upstream(world.rng.choice(names))


async def partition_dc(world: World, seconds: float) -> None:
    """Cut one data centre off from the others and from the platform, then heal."""
    await asyncio.sleep(seconds / 4)
    lone = world.rng.choice(world.options.deployment.data_centres)
    _set_views(world, ReaderView(is_down=True), lone)
    await faults.cut_off(world, lone, seconds / 2)
    _set_views(world, ReaderView())
    await asyncio.sleep(seconds / 4)


async def overload(world: World, seconds: float) -> None:
    """Offer twice the capacity for the middle half of the time."""
    usual = world.load.share
    await asyncio.sleep(seconds / 4)
    world.load.share = OVERLOAD_SHARE
    world.chronicle.note("overload begins")
    await asyncio.sleep(seconds / 2)
    world.load.share = usual
    world.chronicle.note("overload ends")
    await asyncio.sleep(seconds / 4)


async def lying_upstream(world: World, seconds: float) -> None:
    """Let one upstream report no load at all and another that it is draining."""
    service = world.options.deployment.services[0].name
    upstreams = [u for u in world.upstreams.values() if u.spec.service == service]
    idle, draining = world.rng.sample(upstreams, 2)
    await asyncio.sleep(seconds / 4)
    idle.health.fault = HealthFault(load=0.0, state="warm")
    draining.health.fault = HealthFault(load=1.0, state="draining")
    world.chronicle.note(f"{idle.spec.name} and {draining.spec.name} mislead")
    await asyncio.sleep(seconds * 3 / 4)


def _set_views(world: World, view: ReaderView, data_centre: str | None = None) -> None:
    for balancer in world.fleet.balancers:
        if data_centre in (None, balancer.data_centre):
            world.platform.set_view(world.plan.platform(balancer.idx), view)


MIXTURE_FAULTS = Faults(loss=0.005, duplication=0.005, reordering=0.02)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", steady, is_planned=True),
        Scenario("roll-balancers", roll_balancers, is_planned=True),
        Scenario("crash-balancer", crash_balancer, is_planned=False),
        Scenario("crash-two", crash_two, is_planned=False),
        Scenario("pause-balancer", pause_balancer, is_planned=False),
        Scenario("add-upstream", add_upstream, is_planned=True),
        Scenario("drain-upstream", drain_upstream, is_planned=True),
        Scenario("cold-restart", cold_restart, is_planned=False),
        Scenario("config-churn", config_churn, is_planned=True),
        Scenario("dc-out-and-back", dc_out_and_back, is_planned=True),
        Scenario("platform-down", platform_down, is_planned=True),
        Scenario("platform-stale", platform_stale, is_planned=True),
        Scenario("partition-dc", partition_dc, is_planned=False, is_relayed=True),
        Scenario("overload", overload, is_planned=True),
        Scenario("lying-upstream", lying_upstream, is_planned=True),
        Scenario(
            "all-at-once",
            all_at_once,
            is_planned=False,
            is_relayed=True,
            faults=MIXTURE_FAULTS,
        ),
    )
}
