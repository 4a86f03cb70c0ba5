"""Fault injection; each fault is recorded in the timeline for the evaluation and the plots."""

from __future__ import annotations

import asyncio

from bench.scenarios.environment import Environment
from bench.scenarios.fleet import Balancer

UPSTREAM_DOWNTIME_S = 1.5


async def crash(environment: Environment, victims: list[Balancer]) -> None:
    """Kill balancers with SIGKILL, all at the same time."""
    for victim in victims:
        environment.timeline.record_event(f"crash {victim.name}")
    with environment.timeline.record_fault():
        await asyncio.gather(*(environment.fleet.crash(victim) for victim in victims))


async def pause(environment: Environment, victim: Balancer, duration_s: float) -> None:
    """Pause a balancer's process with SIGSTOP for ``duration_s`` seconds."""
    environment.timeline.record_event(f"pause {victim.name}")
    with environment.timeline.record_fault():
        await environment.fleet.pause(victim, duration_s)
    environment.timeline.record_event(f"resume {victim.name}")


async def restart_upstream(environment: Environment, name: str) -> None:
    """Stop an upstream without draining it, and start it again cold."""
    environment.timeline.record_event(f"restart {name}")
    with environment.timeline.record_fault():
        environment.upstreams[name].restart(UPSTREAM_DOWNTIME_S)
        await asyncio.sleep(UPSTREAM_DOWNTIME_S)


async def partition(environment: Environment, isolated: str, duration_s: float) -> None:
    """Partition one data centre from the others for ``duration_s`` seconds."""
    others = [name for name in environment.options.deployment.data_centres if name != isolated]
    environment.timeline.record_event(f"cut {isolated}")
    with environment.timeline.record_fault():
        environment.partitions.separate([isolated], others)
        await asyncio.sleep(duration_s)
        environment.partitions.heal()
    environment.timeline.record_event("healed")
