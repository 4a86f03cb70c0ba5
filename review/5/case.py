"""All hosts are killed at the same time while the targets of a service are cold.

The targets were replaced by plan some seconds before: the new ones start first, then the old
ones drain. FAILBACK is broken if a new target gets more opening packets in one second of its
cold period than ``warmup_per_s`` x ``cold_overage`` + ``cold_slack``.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from fleet import configuration, route
from scene import TROUBLE, Scene, busiest_second, run_case

HOSTS = {"a": 3, "b": 4, "c": 2}
ROUTE = ("198.18.0.1", 8443)
FLOWS_PER_S = 20.0
"""New flows per second in each data centre."""

BUDGET_S = 1.2
WARMUP_S = 10
WARMUP_PER_S = 1.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
DOWN_S = 0.7


async def kill_all(scene: Scene) -> None:
    """Kill all hosts, and start them again."""
    scene.record.write("kill-all")
    for host in scene.hosts:
        host.kill()
    await asyncio.sleep(DOWN_S)
    for host in scene.hosts:
        scene.start_host(host)


async def play(scene: Scene) -> None:
    """Play the case."""
    record = scene.record
    await scene.open_store()
    document = configuration(7, [route("r", ROUTE, "svc")], ["svc"], warmup_per_s=WARMUP_PER_S)
    document["services"][0]["warmup_s"] = WARMUP_S
    scene.store.put("op/config", document)
    old = [scene.target(f"i-1{idx:07x}", "svc", zone) for idx, zone in enumerate(HOSTS)]
    for target in old:
        await scene.start_target(target)
    await scene.start_hosts()
    for zone in HOSTS:
        scene.spawn(scene.load(zone, ROUTE, FLOWS_PER_S, BUDGET_S))
    await asyncio.sleep(4.0)
    new = [scene.target(f"i-2{idx:07x}", "svc", zone) for idx, zone in enumerate(HOSTS)]
    released_at = record.now()
    for target in new:
        scene.register(target, cold_remaining_ms=WARMUP_S * 1000)
        await target.start()
    for target in old:
        scene.register(target, state="draining", sequence=2)
    await asyncio.sleep(3.5)
    if TROUBLE:
        await kill_all(scene)
    await asyncio.sleep(5.0)
    bound = WARMUP_PER_S * COLD_OVERAGE + COLD_SLACK
    for target in new:
        openings = scene.openings.get(target.name, [])
        most, at = busiest_second(openings, released_at, released_at + WARMUP_S)
        record.write("busiest-second", target=target.name, openings=most, at=f"{at:.3f}")
        if most > bound:
            record.violate("FAILBACK", target=target.name, openings=most, bound=bound)


sys.exit(run_case(Path(__file__).parent, HOSTS, play))
