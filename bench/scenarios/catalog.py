"""The scenarios: changes made to the system, and faults injected, under load."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bench.network.link import Faults
from bench.scenarios import faults
from bench.scenarios.environment import Environment
from bench.scenarios.random_faults import all_at_once
from bench.standins.health import HealthFault
from bench.standins.platform import ReaderView

BALANCER_PAUSE_S = 10.0
CHURN_INTERVAL_S = 0.5
OVERLOAD_FACTOR = 2.0

ScenarioFunction = Callable[[Environment, float], Awaitable[None]]


class Scenario(NamedTuple):
    """A named scenario; ``run`` changes the environment for the given seconds under load."""

    name: str
    run: ScenarioFunction
    is_planned: bool
    """Whether all changes are planned ones, which must not break any flow."""
    is_relayed: bool = False
    faults: Faults = Faults()
    may_refuse: bool = False
    """Whether more requests are offered than the upstreams in service can run."""


async def steady(environment: Environment, seconds: float) -> None:
    """Change nothing."""
    del environment
    await asyncio.sleep(seconds)


async def roll_balancers(environment: Environment, seconds: float) -> None:
    """Replace the balancers one after the other (rolling restart)."""
    old = list(environment.fleet.balancers)
    interval_s = seconds / (len(old) + 1)
    for balancer in old:
        await asyncio.sleep(interval_s / 2)
        await environment.add_balancer(balancer.data_centre)
        await asyncio.sleep(interval_s / 2)
        environment.timeline.record_event(f"stop {balancer.name}")
        await environment.fleet.stop(balancer)
    await asyncio.sleep(interval_s)


async def crash_balancers(environment: Environment, seconds: float, count: int) -> None:
    """Kill ``count`` balancers at once, and replace them later."""
    await asyncio.sleep(seconds / 3)
    victims = environment.rng.sample(environment.fleet.balancers, count)
    await faults.crash(environment, victims)
    await asyncio.sleep(seconds / 3)
    for victim in victims:
        await environment.add_balancer(victim.data_centre)
    await asyncio.sleep(seconds / 3)


async def crash_balancer(environment: Environment, seconds: float) -> None:
    """Kill one balancer."""
    await crash_balancers(environment, seconds, 1)


async def crash_two(environment: Environment, seconds: float) -> None:
    """Kill two balancers at once."""
    await crash_balancers(environment, seconds, 2)


async def pause_balancer(environment: Environment, seconds: float) -> None:
    """Pause a balancer with SIGSTOP for 10 s, or for half of ``seconds`` if that is less."""
    await asyncio.sleep(seconds / 4)
    victim = environment.rng.choice(environment.fleet.balancers)
    await faults.pause(environment, victim, min(BALANCER_PAUSE_S, seconds / 2))
    await asyncio.sleep(seconds / 4)


async def add_upstream(environment: Environment, seconds: float) -> None:
    """Add a cold upstream to each service."""
    await asyncio.sleep(seconds / 4)
    for service in environment.options.deployment.services:
        environment.add_upstream(service.name)
    await asyncio.sleep(seconds * 3 / 4)


async def drain_upstream(environment: Environment, seconds: float) -> None:
    """Drain one upstream of each service."""
    await asyncio.sleep(seconds / 4)
    for service in environment.options.deployment.services:
        names = [
            u.spec.name for u in environment.upstreams.values() if u.spec.service == service.name
        ]
        environment.drain_upstream(environment.rng.choice(names))
    await asyncio.sleep(seconds * 3 / 4)


async def cold_restart(environment: Environment, seconds: float) -> None:
    """Restart one upstream of each service without draining it, twice."""
    await asyncio.sleep(seconds / 4)
    for _ in range(2):
        victims = []
        for service in environment.options.deployment.services:
            candidates = [
                u for u in environment.upstreams.values() if u.spec.service == service.name
            ]
            victims.append(environment.rng.choice(candidates).spec.name)
        await asyncio.gather(*(faults.restart_upstream(environment, name) for name in victims))
        await asyncio.sleep(seconds * 3 / 8 - faults.UPSTREAM_DOWNTIME_S)


async def config_churn(environment: Environment, seconds: float) -> None:
    """Publish a new configuration revision twice a second; some add or drain an upstream."""
    ends_at = asyncio.get_running_loop().time() + seconds
    number = 0
    services = [service.name for service in environment.options.deployment.services]
    while asyncio.get_running_loop().time() < ends_at:
        number += 1
        if number % 8 == 2:
            environment.add_upstream(services[number // 8 % len(services)])
        elif number % 8 == 6 and number < 24:
            _drain_surplus_upstream(environment)
        else:
            environment.document.bump_revision()
            environment.publish()
        await asyncio.sleep(CHURN_INTERVAL_S)


def _drain_surplus_upstream(environment: Environment) -> None:
    """Drain an upstream of a service that keeps at least two others in service."""
    candidates = []
    for upstream in environment.upstreams.values():
        service = upstream.spec.service
        staying = [
            other
            for other in environment.upstreams.values()
            if other.spec.service == service
            and other.spec.name not in environment.timeline.leaving_at
        ]
        if upstream in staying and len(staying) > 2:
            candidates.append(upstream.spec.name)
    if candidates:
        environment.drain_upstream(environment.rng.choice(candidates))


async def dc_out_and_back(environment: Environment, seconds: float) -> None:
    """Take a data centre out of service and bring it back."""
    await asyncio.sleep(seconds / 4)
    data_centre = environment.rng.choice(environment.options.deployment.data_centres)
    environment.take_out_of_service(data_centre)
    await asyncio.sleep(seconds / 2)
    environment.return_to_service(data_centre)
    await asyncio.sleep(seconds / 4)


async def platform_down(environment: Environment, seconds: float) -> None:
    """Take the platform down for all readers, and replace a balancer during the outage."""
    await asyncio.sleep(seconds / 5)
    _set_reader_views(environment, ReaderView(is_down=True))
    environment.timeline.record_event("platform down")
    await asyncio.sleep(seconds / 5)
    victim = environment.rng.choice(environment.fleet.balancers)
    environment.timeline.record_event(f"stop {victim.name}")
    await environment.fleet.stop(victim)
    await asyncio.sleep(seconds / 5)
    _set_reader_views(environment, ReaderView())
    environment.timeline.record_event("platform up")
    await environment.add_balancer(victim.data_centre)
    await asyncio.sleep(seconds * 2 / 5)


async def platform_stale(environment: Environment, seconds: float) -> None:
    """Serve half of the readers stale data while an upstream drains, and replace a balancer."""
    await asyncio.sleep(seconds / 6)
    stale_index = environment.platform.index
    await drain_one_upstream(environment)
    await asyncio.sleep(seconds / 6)
    for balancer in environment.fleet.balancers[::2]:
        reader = environment.plan.platform(balancer.idx)
        environment.platform.set_view(reader, ReaderView(stale_index=stale_index))
    environment.timeline.record_event("platform stale")
    await asyncio.sleep(seconds / 6)
    victim = environment.rng.choice(environment.fleet.balancers)
    await environment.add_balancer(victim.data_centre)
    environment.timeline.record_event(f"stop {victim.name}")
    await environment.fleet.stop(victim)
    await asyncio.sleep(seconds / 6)
    _set_reader_views(environment, ReaderView())
    environment.timeline.record_event("platform fresh")
    await asyncio.sleep(seconds / 3)


async def drain_one_upstream(environment: Environment) -> None:
    """Drain one upstream of the first service."""
    service = environment.options.deployment.services[0].name
    names = [u.spec.name for u in environment.upstreams.values() if u.spec.service == service]
    environment.drain_upstream(environment.rng.choice(names))


async def partition_dc(environment: Environment, seconds: float) -> None:
    """Partition one data centre from the others and from the platform, then heal the partition."""
    await asyncio.sleep(seconds / 4)
    isolated = environment.rng.choice(environment.options.deployment.data_centres)
    _set_reader_views(environment, ReaderView(is_down=True), isolated)
    await faults.partition(environment, isolated, seconds / 2)
    _set_reader_views(environment, ReaderView())
    await asyncio.sleep(seconds / 4)


async def overload(environment: Environment, seconds: float) -> None:
    """Offer twice the capacity during the middle half of the time."""
    normal_load_factor = environment.load.load_factor
    await asyncio.sleep(seconds / 4)
    environment.load.load_factor = OVERLOAD_FACTOR
    environment.timeline.record_event("overload begins")
    await asyncio.sleep(seconds / 2)
    environment.load.load_factor = normal_load_factor
    environment.timeline.record_event("overload ends")
    await asyncio.sleep(seconds / 4)


async def misreporting_upstream(environment: Environment, seconds: float) -> None:
    """Let one upstream report zero load and another falsely report that it is draining."""
    service = environment.options.deployment.services[0].name
    upstreams = [u for u in environment.upstreams.values() if u.spec.service == service]
    idle, draining = environment.rng.sample(upstreams, 2)
    await asyncio.sleep(seconds / 4)
    idle.health.fault = HealthFault(load=0.0, state="warm")
    draining.health.fault = HealthFault(load=1.0, state="draining")
    environment.timeline.record_event(f"{idle.spec.name} and {draining.spec.name} mislead")
    await asyncio.sleep(seconds * 3 / 4)


def _set_reader_views(
    environment: Environment, view: ReaderView, data_centre: str | None = None
) -> None:
    for balancer in environment.fleet.balancers:
        if data_centre in (None, balancer.data_centre):
            environment.platform.set_view(environment.plan.platform(balancer.idx), view)


ALL_AT_ONCE_FAULTS = Faults(loss=0.005, duplication=0.005, reordering=0.02)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", steady, is_planned=True),
        Scenario("roll-balancers", roll_balancers, is_planned=True),
        Scenario("crash-balancer", crash_balancer, is_planned=False),
        Scenario("crash-two", crash_two, is_planned=False),
        Scenario("pause-balancer", pause_balancer, is_planned=False),
        Scenario("add-upstream", add_upstream, is_planned=True),
        Scenario("drain-upstream", drain_upstream, is_planned=True),
        Scenario("cold-restart", cold_restart, is_planned=False),
        Scenario("config-churn", config_churn, is_planned=True),
        Scenario("dc-out-and-back", dc_out_and_back, is_planned=True, may_refuse=True),
        Scenario("platform-down", platform_down, is_planned=True),
        Scenario("platform-stale", platform_stale, is_planned=True),
        Scenario("partition-dc", partition_dc, is_planned=False, is_relayed=True),
        Scenario("overload", overload, is_planned=True, may_refuse=True),
        Scenario("lying-upstream", misreporting_upstream, is_planned=True, may_refuse=True),
        Scenario(
            "all-at-once",
            all_at_once,
            is_planned=False,
            is_relayed=True,
            faults=ALL_AT_ONCE_FAULTS,
        ),
    )
}
