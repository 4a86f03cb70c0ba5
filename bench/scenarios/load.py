"""Open-loop load generator: requests start on schedule, even if earlier ones are in flight."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from bench.scenarios.deployments import Deployment, ServiceSpec, service_capacity
from bench.standins.caller import Caller
from bench.standins.streams import Stream
from bench.standins.udp_flow import UdpFlow

BLOCKS_PER_SHEET = 5


class LoadGenerator:
    """Generates the requests, streams and UDP flows of all services of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        callers: list[Caller],
        udp_flows: list[UdpFlow],
        rng: random.Random,
        load_factor: float,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._udp_flows = udp_flows
        self._rng = rng
        self._load_factor = load_factor
        self._arrival_tasks: list[asyncio.Task[None]] = []
        self._streams: list[Stream] = []
        self._stream_tasks: list[asyncio.Task[None]] = []
        self._request_tasks: set[asyncio.Task[None]] = set()

    @property
    def load_factor(self) -> float:
        """The offered load, as a multiple of the capacity of the warm upstreams."""
        return self._load_factor

    @load_factor.setter
    def load_factor(self, load_factor: float) -> None:
        self._load_factor = load_factor

    @property
    def open_streams(self) -> int:
        """The number of open streams and UDP flows."""
        open_flows = sum(flow.is_open for flow in self._udp_flows)
        return open_flows + sum(stream.is_open for stream in self._streams)

    def start_streams(self) -> None:
        """Open the UDP flows, and the streams of all services spread over the callers."""
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
        """Start to generate requests to all services."""
        for service in self._deployment.services:
            for kind in service.request_kinds:
                self._arrival_tasks.append(
                    asyncio.create_task(self._generate_arrivals(service, kind))
                )

    async def stop_requests(self) -> None:
        """Stop generating requests and wait for those in flight."""
        for task in self._arrival_tasks:
            task.cancel()
        await asyncio.gather(*self._arrival_tasks, return_exceptions=True)
        if self._request_tasks:
            await asyncio.wait(self._request_tasks)

    async def stop_streams(self) -> None:
        """Close the streams and UDP flows."""
        for task in self._stream_tasks:
            task.cancel()
        await asyncio.gather(*self._stream_tasks, return_exceptions=True)

    async def _generate_arrivals(self, service: ServiceSpec, kind: str) -> None:
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        while True:
            rate = service_capacity(service) * self._load_factor / len(service.request_kinds)
            if kind == "sheet":
                rate /= BLOCKS_PER_SHEET
            next_at += self._rng.expovariate(rate)
            await asyncio.sleep(next_at - loop.time())
            task = asyncio.create_task(self._new_request(service.name, kind))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    def _new_request(self, service: str, kind: str) -> Coroutine[Any, Any, None]:
        caller = self._rng.choice(self._callers)
        if kind == "post":
            return caller.post(service)
        if kind == "sheet":
            return caller.download(service)
        return caller.get(service)
