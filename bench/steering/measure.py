"""Measures what packets, flows and log lines cost one balancer process.

    python -m bench.steering.measure

Prints processor time for each packet and the growth of memory with open flows, as
slopes between two sizes.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import NamedTuple

import psutil

from bench.standins.sockets import UdpSocket
from bench.steering.fleet import SERVICE, BalancerProcess, Fleet
from bench.steering.segments import Flag, Segment, encode

BATCH = 20
PAUSE_S = 0.002
SETTLE_S = 0.5
PACKETS = (5_000, 25_000)
FLOWS = (2_000, 12_000)


class Usage(NamedTuple):
    """What a process has used so far."""

    cpu_s: float
    rss_bytes: int


def usage(host: BalancerProcess) -> Usage:
    """Return what a balancer has used."""
    process = psutil.Process(host.pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss)


class Load:
    """Sends packets of many flows to one host, and reads no answers."""

    def __init__(self, fleet: Fleet, host: BalancerProcess) -> None:
        self._host = host
        self._ip = fleet.plan.caller(0)
        self._socket = UdpSocket((self._ip, 9), lambda _data, _source: None)

    async def send(self, segments: list[Segment]) -> Usage:
        """Send packets in small batches; return what they cost."""
        before = usage(self._host)
        for start in range(0, len(segments), BATCH):
            for segment in segments[start : start + BATCH]:
                self._socket.send(encode(segment), self._host.plan.packets)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(SETTLE_S)
        after = usage(self._host)
        return Usage(after.cpu_s - before.cpu_s, after.rss_bytes - before.rss_bytes)

    def openings(self, first: int, count: int) -> list[Segment]:
        """Return opening packets of new flows."""
        return [self._segment(Flag.SYN, flow, 1_000, 0) for flow in range(first, first + count)]

    def requests(self, flows: int, count: int, cookie: int) -> list[Segment]:
        """Return packets with 100 bytes of data on flows in turn."""
        return [
            self._segment(Flag.ACK, number % flows, 1_001 + 100 * (number // flows), cookie)
            for number in range(count)
        ]

    def _segment(self, flags: Flag, flow: int, seq: int, cookie: int) -> Segment:
        source = (f"100.64.{flow // 50_000}.1", 1_000 + flow % 50_000)
        data = b"" if flags & Flag.SYN else b"x" * 100
        return Segment(flags, source, SERVICE, seq, 500, cookie, data)


async def measure(folder: Path) -> None:
    """Start one host before one upstream and print its slopes."""
    fleet = Fleet(folder, hint=60)
    try:
        await fleet.start()
        await fleet.configure(1, (SERVICE, "orders"))
        upstream = await fleet.add_upstream("i-a0")
        await fleet.start_hosts()
        host = fleet.hosts[0]
        idle = usage(host)
        print(f"ready after {idle.cpu_s:.2f} s of processor time, {idle.rss_bytes / 1e6:.1f} MB")
        load = Load(fleet, host)
        few = await load.send(load.requests(1_000, PACKETS[0], upstream.number))
        many = await load.send(load.requests(1_000, PACKETS[1], upstream.number))
        slope_us = 1e6 * (many.cpu_s - few.cpu_s) / (PACKETS[1] - PACKETS[0])
        print(f"{slope_us:.1f} us of processor time a packet of an open flow")
        few = await load.send(load.openings(10_000, FLOWS[0]))
        many = await load.send(load.openings(20_000, FLOWS[1]))
        count = FLOWS[1] - FLOWS[0]
        print(f"{1e6 * (many.cpu_s - few.cpu_s) / count:.1f} us a new flow, its log line included")
        print(f"{(many.rss_bytes - few.rss_bytes) / count:.0f} bytes a remembered flow")
    finally:
        await fleet.close()


def main() -> None:
    """Run the measurement in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder)))


if __name__ == "__main__":
    main()
