"""The scenario ``all-at-once``: a seeded random mix of concurrent changes and faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from bench.scenarios import faults
from bench.scenarios.environment import Environment, NotReadyError
from bench.scenarios.fleet import Balancer
from bench.standins.health import HealthFault
from bench.standins.platform import ReaderView

MEAN_ACTION_INTERVAL_S = 1.5
MAX_PAUSE_S = 6.0
MAX_PARTITION_S = 6.0
MAX_OUTAGE_S = 6.0
MIN_UPSTREAMS = 2

Action = Callable[[Environment, random.Random], Awaitable[None]]


async def all_at_once(environment: Environment, seconds: float) -> None:
    """Start random changes and faults at random times for ``seconds``; they may overlap."""
    rng = random.Random(environment.rng.random())
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    running: set[asyncio.Task[None]] = set()
    while loop.time() < ends_at:
        action = rng.choice(ACTIONS)
        task = asyncio.create_task(_run_action(action, environment, rng))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(rng.expovariate(1 / MEAN_ACTION_INTERVAL_S))
    if running:
        await asyncio.gather(*running)


async def _run_action(action: Action, environment: Environment, rng: random.Random) -> None:
    await action(environment, rng)


def _removable_balancers(environment: Environment) -> list[Balancer]:
    """Return the balancers that may be disrupted; none if too few others would remain."""
    serving = {member.name for member in environment.fabric.members}
    balancers = [
        balancer
        for balancer in environment.fleet.balancers
        if balancer.name in serving and not balancer.is_disrupted
    ]
    minimum = len(environment.options.deployment.data_centres) + 1
    return balancers if len(balancers) > minimum else []


async def _add_balancer(environment: Environment, data_centre: str) -> None:
    """Start a balancer; one that is not ready in time because of other faults stays unused."""
    try:
        await environment.add_balancer(data_centre)
    except NotReadyError:
        environment.timeline.record_event(f"a new balancer in {data_centre} does not serve")


async def _replace_balancer(environment: Environment, rng: random.Random) -> None:
    candidates = _removable_balancers(environment)
    if not candidates:
        return
    victim = rng.choice(candidates)
    victim.is_disrupted = True
    environment.timeline.record_event(f"stop {victim.name}")
    await environment.fleet.stop(victim)
    await _add_balancer(environment, victim.data_centre)


async def _crash_balancer(environment: Environment, rng: random.Random) -> None:
    candidates = _removable_balancers(environment)
    if not candidates:
        return
    victim = rng.choice(candidates)
    victim.is_disrupted = True
    await faults.crash(environment, [victim])
    await _add_balancer(environment, victim.data_centre)


async def _pause_balancer(environment: Environment, rng: random.Random) -> None:
    candidates = _removable_balancers(environment)
    if not candidates:
        return
    victim = rng.choice(candidates)
    victim.is_disrupted = True
    await faults.pause(environment, victim, rng.uniform(0.5, MAX_PAUSE_S))
    victim.is_disrupted = False


def _in_service(environment: Environment, service: str) -> list[str]:
    return [
        upstream.spec.name
        for upstream in environment.upstreams.values()
        if upstream.spec.service == service
        and upstream.spec.name not in environment.timeline.leaving_at
        and upstream.spec.data_centre not in environment.document.out_of_service
    ]


async def _add_upstream(environment: Environment, rng: random.Random) -> None:
    environment.add_upstream(rng.choice(environment.options.deployment.services).name)


async def _drain_upstream(environment: Environment, rng: random.Random) -> None:
    names = _in_service(environment, rng.choice(environment.options.deployment.services).name)
    if len(names) > MIN_UPSTREAMS:
        environment.drain_upstream(rng.choice(names))


async def _restart_upstream(environment: Environment, rng: random.Random) -> None:
    names = _in_service(environment, rng.choice(environment.options.deployment.services).name)
    if names:
        await faults.restart_upstream(environment, rng.choice(names))


async def _take_out_data_centre(environment: Environment, rng: random.Random) -> None:
    if environment.document.out_of_service:
        return
    data_centre = rng.choice(environment.options.deployment.data_centres)
    environment.take_out_of_service(data_centre)
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    environment.return_to_service(data_centre)


async def _partition(environment: Environment, rng: random.Random) -> None:
    if environment.partitions.is_active:
        return
    isolated = rng.choice(environment.options.deployment.data_centres)
    await faults.partition(environment, isolated, rng.uniform(1.0, MAX_PARTITION_S))


async def _platform_fault(environment: Environment, rng: random.Random) -> None:
    index = environment.platform.index
    views = (ReaderView(is_down=True), ReaderView(stale_index=index), ReaderView(lag_s=2.0))
    readers = [environment.plan.platform(balancer.idx) for balancer in environment.fleet.balancers]
    affected = rng.sample(readers, rng.randint(1, len(readers)))
    for reader in affected:
        environment.platform.set_view(reader, rng.choice(views))
    environment.timeline.record_event(f"platform fault for {len(affected)} readers")
    await asyncio.sleep(rng.uniform(1.0, MAX_OUTAGE_S))
    for reader in affected:
        environment.platform.set_view(reader, ReaderView())
    environment.timeline.record_event("platform fault ends")


async def _set_health_fault(environment: Environment, rng: random.Random) -> None:
    upstream = rng.choice(list(environment.upstreams.values()))
    upstream.health.fault = rng.choice(
        (
            HealthFault(load=0.0, state="warm"),
            HealthFault(load=1.0, state="draining"),
            HealthFault(lag_s=3.0),
            HealthFault(),
        )
    )
    environment.timeline.record_event(f"{upstream.spec.name} misleads")


ACTIONS: tuple[Action, ...] = (
    _replace_balancer,
    _crash_balancer,
    _pause_balancer,
    _add_upstream,
    _drain_upstream,
    _restart_upstream,
    _take_out_data_centre,
    _partition,
    _platform_fault,
    _set_health_fault,
)
