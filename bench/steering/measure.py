"""Measures what packets, flows and log lines cost one balancer in processor time and memory.

    python -m bench.steering.measure

Prints the processor time per packet and per new flow (including its log line), and the
memory per flow. Each figure is the slope between a small and a large run.
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

BATCH_PACKETS = 20
BATCH_INTERVAL_S = 0.002
SETTLE_S = 0.5
PACKET_COUNTS = (5_000, 25_000)
FLOW_COUNTS = (2_000, 12_000)


class Usage(NamedTuple):
    """Processor time and resident memory of a process."""

    cpu_s: float
    rss_bytes: int


def read_usage(host: BalancerProcess) -> Usage:
    """Return the resources that a balancer has used so far."""
    process = psutil.Process(host.pid)
    times = process.cpu_times()
    return Usage(times.user + times.system, process.memory_info().rss)


class LoadGenerator:
    """Sends packets of many flows to one host and ignores the responses."""

    def __init__(self, fleet: Fleet, host: BalancerProcess) -> None:
        self._host = host
        self._ip = fleet.plan.caller(0)
        self._socket = UdpSocket((self._ip, 9), lambda _data, _source: None)

    async def send(self, segments: list[Segment]) -> Usage:
        """Send packets in small batches; return the growth in processor time and memory."""
        before = read_usage(self._host)
        for start in range(0, len(segments), BATCH_PACKETS):
            for segment in segments[start : start + BATCH_PACKETS]:
                self._socket.send(encode(segment), self._host.plan.packet_address)
            await asyncio.sleep(BATCH_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)
        after = read_usage(self._host)
        return Usage(after.cpu_s - before.cpu_s, after.rss_bytes - before.rss_bytes)

    def opening_packets(self, first: int, count: int) -> list[Segment]:
        """Return opening packets of new flows."""
        return [self._segment(Flag.SYN, flow, 1_000, 0) for flow in range(first, first + count)]

    def request_packets(self, flows: int, count: int, cookie: int) -> list[Segment]:
        """Return packets with 100 bytes of data each, over the flows in turn."""
        return [
            self._segment(Flag.ACK, number % flows, 1_001 + 100 * (number // flows), cookie)
            for number in range(count)
        ]

    def _segment(self, flags: Flag, flow: int, seq: int, cookie: int) -> Segment:
        source = (f"100.64.{flow // 50_000}.1", 1_000 + flow % 50_000)
        data = b"" if flags & Flag.SYN else b"x" * 100
        return Segment(flags, source, SERVICE, seq, 500, cookie, data)


async def measure(folder: Path) -> None:
    """Start one host with one upstream, and print the costs of packets and flows."""
    fleet = Fleet(folder, hint=60)
    try:
        await fleet.start()
        await fleet.configure(1, (SERVICE, "orders"))
        upstream = await fleet.add_upstream("i-a0")
        await fleet.start_hosts()
        host = fleet.hosts[0]
        idle = read_usage(host)
        print(f"ready after {idle.cpu_s:.2f} s of processor time, {idle.rss_bytes / 1e6:.1f} MB")
        load = LoadGenerator(fleet, host)
        small_run = await load.send(load.request_packets(1_000, PACKET_COUNTS[0], upstream.number))
        large_run = await load.send(load.request_packets(1_000, PACKET_COUNTS[1], upstream.number))
        slope_us = 1e6 * (large_run.cpu_s - small_run.cpu_s) / (PACKET_COUNTS[1] - PACKET_COUNTS[0])
        print(f"{slope_us:.1f} us of processor time per packet of an open flow")
        small_run = await load.send(load.opening_packets(10_000, FLOW_COUNTS[0]))
        large_run = await load.send(load.opening_packets(20_000, FLOW_COUNTS[1]))
        count = FLOW_COUNTS[1] - FLOW_COUNTS[0]
        print(
            f"{1e6 * (large_run.cpu_s - small_run.cpu_s) / count:.1f} us of processor time "
            "per new flow, including its log line"
        )
        print(
            f"{(large_run.rss_bytes - small_run.rss_bytes) / count:.0f} bytes of memory "
            "per tracked flow"
        )
    finally:
        await fleet.close()


def main() -> None:
    """Run the measurement in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder)))


if __name__ == "__main__":
    main()
