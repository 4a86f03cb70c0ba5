from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from bench.measure.roles import HOSTS, Fleet
from bench.network.addresses import AddressPlan

MEMORY_BUDGET_KB = 64 * 1000


def descriptor_targets(pid: int) -> list[str]:
    directory = f"/proc/{pid}/fd"
    targets = []
    for name in os.listdir(directory):
        with suppress(OSError):
            targets.append(os.readlink(f"{directory}/{name}"))
    return targets


def resident_kb(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))


async def test_idle_balancer_has_no_io_uring_no_child_process_and_stays_within_memory_budget(
    tmp_path,
):
    plan = AddressPlan.acquire(hint=50)
    fleet = Fleet(plan, tmp_path, None)
    try:
        await fleet.start()
        for host in HOSTS:
            pid = fleet.pids[host]
            targets = descriptor_targets(pid)
            assert any("socket:" in target for target in targets)
            assert not [
                target for target in targets if "io_uring" in target or "/dev/shm" in target
            ]
            assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""
            assert resident_kb(pid) < MEMORY_BUDGET_KB
    finally:
        await fleet.stop()
        plan.release()
