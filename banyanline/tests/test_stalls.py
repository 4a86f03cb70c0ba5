from __future__ import annotations

import asyncio

import pytest

from banyanline.net.stalls import CHECK_INTERVAL_S, StallMonitor


@pytest.mark.parametrize(
    ("late_s", "stalls"),
    [
        pytest.param(0.0, 0, id="in time"),
        pytest.param(0.1, 0, id="a little late"),
        pytest.param(0.25, 1, id="at the bound"),
        pytest.param(10.0, 1, id="paused"),
    ],
)
async def test_late_wake_up_is_told(late_s, stalls):
    now_s = [100.0]
    told: list[float] = []
    monitor = StallMonitor(told.append, clock=lambda: now_s[0])
    monitor.start()
    now_s[0] += CHECK_INTERVAL_S + late_s
    monitor.check()
    monitor.stop()
    assert told == pytest.approx([late_s] * stalls)


async def test_monitor_wakes_up_again_and_again_until_stopped():
    checks: list[float] = []

    def clock():
        checks.append(0.0)
        return 0.0

    monitor = StallMonitor(lambda late_s: None, clock=clock)
    monitor.start()
    async with asyncio.timeout(10):
        while len(checks) < 5:
            await asyncio.sleep(0.01)
    monitor.stop()
    seen = len(checks)
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    assert len(checks) == seen
