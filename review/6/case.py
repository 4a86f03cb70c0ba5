"""Case 6: opening packets from ports that are used again reach an evacuated zone without end.

Each caller opens a flow for each request from its one port, and both ends close it; the next
one follows some seconds later. One zone is evacuated (not with ``TROUBLE=0``). With ``REUSE=0``
each flow comes from a new port.

Exits with 1 if EVAC was broken, 0 if it held, and 2 if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Iterator
from pathlib import Path

from standins.client import Client
from standins.scene import HAS_TROUBLE, Scene, run_case
from standins.target import Opening

HOSTS = {"zone-a": 3, "zone-b": 4, "zone-c": 2}
"""The 9 machines of the small deployment rasvjeta-st."""

EVACUATED_ZONE = "zone-b"
TARGETS_PER_ZONE = 2
CALLERS_PER_ZONE = 12
FIRST_PORT = 61_000
REST_S = 7.0
"""Time from the end of a caller's flow to its next one, below ``idle_timeout_ms``."""

EVACUATED_AFTER_S = 12.0
EVACUATION_S = 5.0
"""The bound ``evacuation_ms``."""

OBSERVED_S = 22.0
REUSES_PORTS = os.environ.get("REUSE") != "0"


async def call(scene: Scene, client: Client, port: int, ends_at: float) -> None:
    """Send requests of one caller, one after the other."""
    await asyncio.sleep(scene.rng.uniform(0.0, REST_S))
    while scene.clock() < ends_at:
        await scene.spawn(client.request(port if REUSES_PORTS else None))
        await asyncio.sleep(REST_S)


async def play(scene: Scene) -> bool:
    """Play the case; return whether EVAC held."""
    await scene.start(warmup_s=2.0, warmup_per_s=0.0)
    for zone in HOSTS:
        for _ in range(TARGETS_PER_ZONE):
            await scene.add_target(zone)
    await asyncio.sleep(1.0)
    ends_at = scene.clock() + EVACUATED_AFTER_S + OBSERVED_S
    calls = [
        asyncio.create_task(call(scene, client, FIRST_PORT + number, ends_at))
        for client in scene.clients.values()
        for number in range(CALLERS_PER_ZONE)
    ]
    await asyncio.sleep(EVACUATED_AFTER_S)
    evacuated_at = float("inf")
    if HAS_TROUBLE:
        scene.store.put(f"op/evacuate/{EVACUATED_ZONE}", {})
        evacuated_at = scene.note(f"{EVACUATED_ZONE} evacuated")
    await asyncio.gather(*calls)
    await scene.finish_requests()
    return _check(scene, evacuated_at)


def _check(scene: Scene, evacuated_at: float) -> bool:
    """Write the record; return whether no target of the zone took a later opening packet."""
    zones = {target.name: target.zone for target in scene.targets}
    late = [
        each
        for each in scene.openings
        if zones[each.target] == EVACUATED_ZONE and each.at > evacuated_at + EVACUATION_S
    ]
    last = f", the last {max(each.at for each in late) - evacuated_at:.1f} s after" if late else ""
    verdict = f"EVAC {'broken' if late else 'held'}: {len(late)} openings later than 5 s{last}"
    scene.write_record(Path(__file__).parent, _lines(scene, late), verdict)
    return not late


def _lines(scene: Scene, late: list[Opening]) -> Iterator[str]:
    for each in late:
        ip, port = each.flow
        yield (
            f"late target={each.target} flow={ip}:{port} taken_s={scene.since_start(each.at):.3f}\n"
        )


if __name__ == "__main__":
    sys.exit(run_case(6, HOSTS, play))
