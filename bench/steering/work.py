"""What callers do while things change: they open flows, ask on them, and judge what they get."""

from __future__ import annotations

import asyncio
import itertools
import random

from bench.steering.caller import FlowRefusedError, PacketCaller
from bench.steering.fleet import Fleet
from bench.steering.promises import Promises
from bench.steering.router import Router

ANSWER_TIMEOUT_S = 8.0
MAX_REQUESTS = 5


class Work:
    """Callers at work through a router.

    ``excused`` are upstreams whose open flows may end. While the fleet ``is_calm``, all
    that callers ask for has to be served.
    """

    def __init__(self, fleet: Fleet, router: Router, promises: Promises, rng: random.Random):
        self.excused: set[str] = set()
        self.is_calm = False
        self._fleet = fleet
        self._router = router
        self._promises = promises
        self._rng = rng
        self._bodies = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, callers: int) -> None:
        """Let callers begin."""
        self._tasks = [
            asyncio.create_task(self._work(self._fleet.caller())) for _ in range(callers)
        ]

    def stop(self) -> None:
        """End the work; raises what a caller stumbled over, if one did."""
        for task in self._tasks:
            if task.done():
                task.result()
            task.cancel()

    async def _work(self, caller: PacketCaller) -> None:
        while True:
            await self._one_flow(caller)
            await asyncio.sleep(self._rng.uniform(0.0, 0.1))

    async def _one_flow(self, caller: PacketCaller) -> None:
        """Open a flow, ask a few times and end it."""
        calm = self.is_calm
        label = f"{caller.ip}:{next(self._bodies)}"
        try:
            flow = await caller.open(lambda: self._router.pick(label))
        except (FlowRefusedError, TimeoutError) as error:
            self._count("open", type(error).__name__, calm, "")
            return
        name = ""
        for _ in range(self._rng.randrange(1, MAX_REQUESTS)):
            body = f"request {next(self._bodies)}".encode()
            try:
                answer = await flow.ask(
                    body, lambda: self._router.pick(label), timeout_s=ANSWER_TIMEOUT_S
                )
            except (FlowRefusedError, TimeoutError) as error:
                self._count("ask", type(error).__name__, calm, name)
                return
            self._promises.check_answer(body, answer, name)
            name = answer.partition(b":")[0].decode()
            self._promises.outcomes["answered"] += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        flow.end(self._router.pick(label))

    def _count(self, step: str, outcome: str, calm: bool, upstream: str) -> None:
        """Count what was not served; in calm times, or on a living upstream, it is a fault."""
        self._promises.outcomes[f"{step}_{outcome}"] += 1
        if calm and self.is_calm:
            self._promises.break_("not_served_in_calm_time", f"{step} {outcome} {upstream}")
        elif step == "ask" and upstream and upstream not in self.excused:
            self._promises.break_("living_flow_cut", f"{outcome} at {upstream}")
