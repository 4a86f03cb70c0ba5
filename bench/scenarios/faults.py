"""Faults that a scenario causes, noted with their times for the judge and the plots."""

from __future__ import annotations

import asyncio

from bench.scenarios.fleet import Balancer
from bench.scenarios.world import World

UPSTREAM_DOWN_S = 1.5


async def crash(world: World, victims: list[Balancer]) -> None:
    """Kill balancers at once."""
    for victim in victims:
        world.chronicle.note(f"crash {victim.name}")
    with world.chronicle.fault():
        await asyncio.gather(*(world.fleet.crash(victim) for victim in victims))


async def pause(world: World, victim: Balancer, duration_s: float) -> None:
    """Stop a balancer's process with SIGSTOP for a while."""
    world.chronicle.note(f"pause {victim.name}")
    with world.chronicle.fault():
        await world.fleet.pause(victim, duration_s)
    world.chronicle.note(f"resume {victim.name}")


async def restart_upstream(world: World, name: str) -> None:
    """Let an upstream go down without warning and come back cold."""
    world.chronicle.note(f"restart {name}")
    with world.chronicle.fault():
        world.upstreams[name].restart(UPSTREAM_DOWN_S)
        await asyncio.sleep(UPSTREAM_DOWN_S)


async def cut_off(world: World, lone: str, duration_s: float) -> None:
    """Cut one data centre off from the others for a while."""
    others = [name for name in world.options.deployment.data_centres if name != lone]
    world.chronicle.note(f"cut {lone}")
    with world.chronicle.fault():
        world.cuts.separate([lone], others)
        await asyncio.sleep(duration_s)
        world.cuts.heal()
    world.chronicle.note("healed")
