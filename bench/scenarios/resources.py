"""CPU and memory usage of the balancer processes."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import NamedTuple

import psutil

from bench.scenarios.fleet import Balancer

BYTES_PER_MB = 1_000_000


class Snapshot(NamedTuple):
    """CPU time and memory of one process at a point in time."""

    at: float
    cpu_s: float
    rss_mb: float


class Usage(NamedTuple):
    """The mean share of a CPU core between two snapshots, and the largest resident memory."""

    cpu_share: float
    rss_mb: float


def snapshots(balancers: list[Balancer]) -> dict[str, Snapshot]:
    """Return a snapshot of each running process, by host name."""
    taken: dict[str, Snapshot] = {}
    for balancer in balancers:
        with suppress(psutil.Error):
            process = psutil.Process(balancer.pid)
            times = process.cpu_times()
            rss_mb = process.memory_info().rss / BYTES_PER_MB
            cpu_s = times.user + times.system
            taken[balancer.name] = Snapshot(time.monotonic(), cpu_s, rss_mb)
    return taken


def usage(before: dict[str, Snapshot], after: dict[str, Snapshot]) -> Usage:
    """Return the CPU usage of processes in both snapshots, and the memory in ``after``.

    >>> one, two = Snapshot(0.0, 1.0, 40.0), Snapshot(10.0, 2.0, 50.0)
    >>> usage({"a": one}, {"a": two})
    Usage(cpu_share=0.1, rss_mb=50.0)
    """
    names = before.keys() & after.keys()
    rss_mb = max((one.rss_mb for one in after.values()), default=0.0)
    shares = [
        (after[name].cpu_s - before[name].cpu_s) / (after[name].at - before[name].at)
        for name in names
    ]
    return Usage(sum(shares) / len(shares) if shares else 0.0, rss_mb)
