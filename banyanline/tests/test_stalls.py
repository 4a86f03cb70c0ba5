from __future__ import annotations

import asyncio

import pytest

from banyanline.net.stalls import CHECK_INTERVAL_S, StallMonitor


@pytest.mark.parametrize(
    ("late_s", "stalls"),
    [
        pytest.param(0.0, 0, id="on time"),
        pytest.param(0.1, 0, id="below the threshold"),
        pytest.param(0.25, 1, id="at the threshold"),
        pytest.param(10.0, 1, id="paused"),
    ],
)
async def test_late_wake_up_is_reported(late_s, stalls):
    now_s = [100.0]
    reported_s: list[float] = []
    monitor = StallMonitor(reported_s.append, clock=lambda: now_s[0])
    monitor.start()
    now_s[0] += CHECK_INTERVAL_S + late_s
    monitor.check()
    monitor.stop()
    assert reported_s == pytest.approx([late_s] * stalls)


async def test_monitor_wakes_up_periodically_until_stopped():
    clock_reads: list[float] = []

    def clock():
        clock_reads.append(0.0)
        return 0.0

    monitor = StallMonitor(lambda late_s: None, clock=clock)
    monitor.start()
    async with asyncio.timeout(10):
        while len(clock_reads) < 5:
            await asyncio.sleep(0.01)
    monitor.stop()
    reads_at_stop = len(clock_reads)
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    assert len(clock_reads) == reads_at_stop
