"""Open-loop arrivals: requests start at their times whether or not others have ended."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from bench.scenarios.deployments import Deployment, ServiceSize, full_rate
from bench.standins.caller import Caller
from bench.standins.streams import Stream
from bench.standins.udp_flow import UdpFlow

BLOCKS_OF_A_SHEET = 5


class Load:
    """The callers' work on all services of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        callers: list[Caller],
        udp_flows: list[UdpFlow],
        rng: random.Random,
        share: float,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._udp_flows = udp_flows
        self._rng = rng
        self._share = share
        self._drivers: list[asyncio.Task[None]] = []
        self._streams: list[Stream] = []
        self._stream_tasks: list[asyncio.Task[None]] = []
        self._requests: set[asyncio.Task[None]] = set()

    @property
    def share(self) -> float:
        """The offered load as a share of the upstreams' full capacity."""
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        self._share = share

    @property
    def open_streams(self) -> int:
        """Streams that are established and unbroken."""
        open_flows = sum(flow.is_open for flow in self._udp_flows)
        return open_flows + sum(stream.is_open for stream in self._streams)

    def start_streams(self) -> None:
        """Open the streams and flows of all services, spread over the callers."""
        for flow in self._udp_flows:
            self._stream_tasks.append(asyncio.create_task(flow.run()))
        for service in self._deployment.services:
            if service.protocol != "coap":
                continue
            for idx in range(service.streams):
                stream = Stream(self._callers[idx % len(self._callers)], service.name)
                self._streams.append(stream)
                self._stream_tasks.append(asyncio.create_task(stream.run()))

    def start_requests(self) -> None:
        """Start the arrivals of all services."""
        for service in self._deployment.services:
            for kind in service.kinds:
                self._drivers.append(asyncio.create_task(self._drive(service, kind)))

    async def stop_requests(self) -> None:
        """End the arrivals and wait for open requests."""
        for task in self._drivers:
            task.cancel()
        await asyncio.gather(*self._drivers, return_exceptions=True)
        if self._requests:
            await asyncio.wait(self._requests)

    async def stop_streams(self) -> None:
        """Close the streams and flows."""
        for task in self._stream_tasks:
            task.cancel()
        await asyncio.gather(*self._stream_tasks, return_exceptions=True)

    async def _drive(self, service: ServiceSize, kind: str) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            rate = full_rate(service) * self._share / len(service.kinds)
            if kind == "sheet":
                rate /= BLOCKS_OF_A_SHEET
            next_at += self._rng.expovariate(rate)
            await asyncio.sleep(next_at - loop.time())
            task = asyncio.create_task(self._request(service.name, kind))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def _request(self, service: str, kind: str) -> Coroutine[Any, Any, None]:
        caller = self._rng.choice(self._callers)
        if kind == "post":
            return caller.post(service)
        if kind == "sheet":
            return caller.download(service)
        return caller.get(service)
