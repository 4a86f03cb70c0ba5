"""A data centre loses power; the targets of a service there come back cold, one after the other.

Targets and hosts of the data centre are back within 1.5 s, each target under the id that it
had. A target writes its entry, with its cold period, before it opens its sockets. FAILBACK is
broken if one of these targets gets more opening packets in one second of its cold period than
``warmup_per_s`` x ``cold_overage`` + ``cold_slack``.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from fleet import Host, configuration, route
from scene import TROUBLE, Scene, busiest_second, run_case
from targets import Target

HOSTS = {"a": 3, "b": 4, "c": 2}
LOST_ZONE = "b"
LOST_TARGETS = 3
ROUTE = ("127.198.0.1", 8443)
FLOWS_PER_S = 20.0
"""New flows per second in each data centre."""

BUDGET_S = 1.2
RETRIES = 2
WARMUP_S = 10
WARMUP_PER_S = 1.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
DARK_S = 0.6
STEP_S = 0.2
"""Time between the returns of two targets, and of two hosts."""


async def lose_power(scene: Scene, targets: list[Target], hosts: list[Host]) -> float:
    """Stop targets and hosts, and start them again; return when the first target is back."""
    record = scene.record
    record.write("power-loss", zone=LOST_ZONE)
    for target in targets:
        target.stop()
    for host in hosts:
        host.kill()
    await asyncio.sleep(DARK_S)
    back_at = record.now()
    for idx in range(max(len(targets), len(hosts))):
        if idx < len(hosts):
            scene.start_host(hosts[idx])
        if idx < len(targets):
            targets[idx].born += 60_000
            scene.register(targets[idx], cold_remaining_ms=WARMUP_S * 1000)
            await targets[idx].start()
        await asyncio.sleep(STEP_S)
    return back_at


async def play(scene: Scene) -> None:
    """Play the case."""
    record = scene.record
    await scene.open_store()
    document = configuration(
        7,
        [route("r", ROUTE, "svc"), route("other", ("127.198.0.2", 8443), "other")],
        ["svc", "other"],
        warmup_per_s=WARMUP_PER_S,
    )
    for service in document["services"]:
        service["warmup_s"] = WARMUP_S
    scene.store.put("op/config", document)
    targets = [scene.target(f"i-1{number:07x}", "svc", LOST_ZONE) for number in range(LOST_TARGETS)]
    others = [scene.target(f"i-2{idx:07x}", "other", zone) for idx, zone in enumerate(HOSTS)]
    for target in (*targets, *others):
        await scene.start_target(target)
    await scene.start_hosts()
    for zone in HOSTS:
        scene.spawn(scene.load(zone, ROUTE, FLOWS_PER_S, BUDGET_S, 1 + RETRIES))
    await asyncio.sleep(4.0)
    if TROUBLE:
        lost = [*targets, next(each for each in others if each.zone == LOST_ZONE)]
        hosts = [each for each in scene.hosts if each.zone == LOST_ZONE]
        back_at = await lose_power(scene, lost, hosts)
        await asyncio.sleep(5.0)
        judge(scene, targets, back_at)
    else:
        await asyncio.sleep(6.0)
    record.write("end")


def judge(scene: Scene, targets: list[Target], back_at: float) -> None:
    """Compare the openings at each target with the bound."""
    bound = WARMUP_PER_S * COLD_OVERAGE + COLD_SLACK
    for target in targets:
        openings = scene.openings.get(target.name, [])
        most, at = busiest_second(openings, back_at, back_at + WARMUP_S)
        scene.record.write("busiest-second", target=target.name, openings=most, at=f"{at:.3f}")
        if most > bound:
            scene.record.violate("FAILBACK", target=target.name, openings=most, bound=bound)


sys.exit(run_case(Path(__file__).parent, HOSTS, play))
