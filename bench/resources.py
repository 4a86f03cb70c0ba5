"""What the balancer processes use: processor time, memory and control bytes."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import psutil

from bench.addresses import ADMIN_PORT
from bench.fleet import Balancer

METRICS_WAIT_S = 2.0
CONTROL_BYTES_METRIC = "banyanline_control_bytes"
"""Prefix of the counters of bytes that balancers send each other for control."""
BYTES_PER_MB = 1_000_000


class Snapshot(NamedTuple):
    """One process at one moment."""

    at: float
    cpu_s: float
    rss_mb: float
    control_bytes: float | None


class Usage(NamedTuple):
    """Means over all processes between two snapshots; ``rss_mb`` is the largest."""

    cpu_share: float
    rss_mb: float
    control_bytes_per_s: float | None


async def snapshot(balancer: Balancer) -> Snapshot | None:
    """Return what the process has used so far, or None when it has ended."""
    control_bytes = await _read_control_bytes(balancer)
    with suppress(psutil.Error):
        process = psutil.Process(balancer.pid)
        times = process.cpu_times()
        rss_mb = process.memory_info().rss / BYTES_PER_MB
        return Snapshot(time.monotonic(), times.user + times.system, rss_mb, control_bytes)
    return None


async def snapshots(balancers: list[Balancer]) -> dict[str, Snapshot]:
    """Return a snapshot of each process that runs, by host name."""
    taken = {balancer.name: await snapshot(balancer) for balancer in balancers}
    return {name: one for name, one in taken.items() if one is not None}


def usage(before: dict[str, Snapshot], after: dict[str, Snapshot]) -> Usage:
    """Return what the processes in both snapshots used in between.

    >>> one, two = Snapshot(0.0, 1.0, 40.0, 100.0), Snapshot(10.0, 2.0, 50.0, 1100.0)
    >>> usage({"a": one}, {"a": two})
    Usage(cpu_share=0.1, rss_mb=50.0, control_bytes_per_s=100.0)
    """
    names = before.keys() & after.keys()
    rss_mb = max((one.rss_mb for one in after.values()), default=0.0)
    if not names:
        return Usage(0.0, rss_mb, None)
    shares = []
    rates = []
    for name in names:
        one, two = before[name], after[name]
        elapsed_s = two.at - one.at
        shares.append((two.cpu_s - one.cpu_s) / elapsed_s)
        if one.control_bytes is not None and two.control_bytes is not None:
            rates.append((two.control_bytes - one.control_bytes) / elapsed_s)
    rate = sum(rates) / len(rates) if rates else None
    return Usage(sum(shares) / len(shares), rss_mb, rate)


async def write_pages(balancers: list[Balancer], directory: Path) -> None:
    """Write the status page of each running balancer into ``directory``."""
    for balancer in balancers:
        try:
            page = await _read_page(balancer, "/status")
        except (OSError, TimeoutError):
            continue
        (directory / f"{balancer.name}.status.json").write_text(page.partition("\r\n\r\n")[2])


async def read_metrics(balancer: Balancer) -> str:
    """Return the text of the balancer's metrics; raise OSError when there is none."""
    return await _read_page(balancer, "/metrics")


async def _read_page(balancer: Balancer, path: str) -> str:
    opening = asyncio.open_connection(balancer.ip, ADMIN_PORT)
    reader, writer = await asyncio.wait_for(opening, METRICS_WAIT_S)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n".encode())
        raw = await asyncio.wait_for(reader.read(-1), METRICS_WAIT_S)
    finally:
        writer.close()
    return raw.decode("utf-8", "replace")


async def _read_control_bytes(balancer: Balancer) -> float | None:
    try:
        text = await read_metrics(balancer)
    except (OSError, TimeoutError):
        return None
    found = [
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(CONTROL_BYTES_METRIC)
    ]
    return sum(found) if found else None
