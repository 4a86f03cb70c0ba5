"""Workload of a soak or demo run: callers that open flows, send requests and check responses."""

from __future__ import annotations

import asyncio
import itertools
import random

from bench.steering.caller import FlowRefusedError, PacketCaller
from bench.steering.fleet import Fleet
from bench.steering.promises import InvariantChecker
from bench.steering.router import Router

RESPONSE_TIMEOUT_S = 8.0
MAX_REQUESTS = 5


class Workload:
    """Runs callers that send requests through a router.

    Open flows may break only on ``disrupted_upstreams``. While ``is_fault_free`` is set,
    every flow and request has to be served.
    """

    def __init__(self, fleet: Fleet, router: Router, checker: InvariantChecker, rng: random.Random):
        self.disrupted_upstreams: set[str] = set()
        self.is_fault_free = False
        self._fleet = fleet
        self._router = router
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, callers: int) -> None:
        """Start this many callers."""
        self._tasks = [
            asyncio.create_task(self._run_caller(self._fleet.add_caller())) for _ in range(callers)
        ]

    def stop(self) -> None:
        """Stop all callers; raises the exception of a caller that failed with one."""
        for task in self._tasks:
            if task.done():
                task.result()
            task.cancel()

    async def _run_caller(self, caller: PacketCaller) -> None:
        while True:
            await self._run_flow(caller)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def _run_flow(self, caller: PacketCaller) -> None:
        """Open a flow, send a few requests on it and close it."""
        was_fault_free = self.is_fault_free
        label = f"{caller.ip}:{next(self._numbers)}"
        try:
            flow = await caller.open(lambda: self._router.pick(label))
        except (FlowRefusedError, TimeoutError) as error:
            self._record_failure("open", type(error).__name__, was_fault_free, "")
            return
        upstream = ""
        for _ in range(self._rng.randrange(1, MAX_REQUESTS)):
            body = f"request {next(self._numbers)}".encode()
            try:
                response = await flow.request(
                    body, lambda: self._router.pick(label), timeout_s=RESPONSE_TIMEOUT_S
                )
            except (FlowRefusedError, TimeoutError) as error:
                self._record_failure("ask", type(error).__name__, was_fault_free, upstream)
                return
            self._checker.check_response(body, response, upstream)
            upstream = response.partition(b":")[0].decode()
            self._checker.outcomes["answered"] += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        flow.close(self._router.pick(label))

    def _record_failure(self, step: str, outcome: str, was_fault_free: bool, upstream: str) -> None:
        """Count a failure; record a violation if it was not to be expected.

        No failure may happen on a fault-free fleet, and no open flow may break on an
        upstream that was not disrupted.
        """
        self._checker.outcomes[f"{step}_{outcome}"] += 1
        if was_fault_free and self.is_fault_free:
            self._checker.record_violation(
                "not_served_in_calm_time", f"{step} {outcome} {upstream}"
            )
        elif step == "ask" and upstream and upstream not in self.disrupted_upstreams:
            self._checker.record_violation("living_flow_cut", f"{outcome} at {upstream}")
