from __future__ import annotations

import asyncio
import random

from banyanline.core.types import Endpoint
from banyanline.platform.consul import ConsulReader, WatchTiming
from bench.network.addresses import AddressPlan
from bench.standins.platform import Platform

PORT = 8500
TIMEOUT_S = 10.0


async def test_watch_returns_each_change_of_the_platform_stand_in():
    plan = AddressPlan.acquire(hint=40)
    platform = Platform()
    platform.set("banyanline/configuration", b"0")
    await platform.listen(plan.platform(0), PORT)
    reader = ConsulReader(
        [Endpoint(plan.platform(0), PORT)],
        random.Random(1),
        WatchTiming(wait_s=0.5, retry_interval_s=60),
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            values = []
            async for value in reader.watch("banyanline/configuration"):
                values.append(value.value)
                if len(values) == 3:
                    break
                platform.set("banyanline/configuration", b"%d" % len(values))
        assert values == [b"0", b"1", b"2"]
        assert reader.failures == {}
    finally:
        await platform.close()
        plan.release()
