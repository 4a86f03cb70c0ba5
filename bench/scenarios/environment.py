"""The environment of one run: platform, fabric, upstreams, callers and balancer processes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bench.network.addresses import CALLER_PORT, AddressPlan
from bench.network.fabric import Fabric, ServiceRoute
from bench.network.link import Faults, Link, NetworkPartitions
from bench.network.relay import PeerRelay
from bench.scenarios.configuration import ConfigurationDocument
from bench.scenarios.deployments import (
    Deployment,
    service_routes,
    upstream_spec,
    upstream_specs,
)
from bench.scenarios.fleet import CONFIGURATION_KEY, HOSTS_KEY, Balancer, Fleet
from bench.scenarios.load import LoadGenerator
from bench.scenarios.observations import Observations
from bench.scenarios.timeline import Timeline
from bench.standins.caller import Caller, CallerTiming
from bench.standins.coap_upstream import CoapUpstream
from bench.standins.execution_log import ExecutionLog
from bench.standins.platform import Platform
from bench.standins.prober import Prober
from bench.standins.udp_flow import UdpFlow
from bench.standins.udp_upstream import UdpUpstream
from bench.standins.upstream import Upstream, UpstreamSpec

CALLER_COUNT = 60
HOSTS_LIST_DELAY_S = 0.5
CALLER_JITTER_S = 0.0005
READY_TIMEOUT_S = 20.0
JOIN_TIMEOUT_S = 8.0
READY_POLL_INTERVAL_S = 0.2
BALANCER_MODULE = "banyanline.cli.balancer"
BASELINE_MODULE = "bench.standins.baseline"


class Options(NamedTuple):
    """Parameters of an environment."""

    deployment: Deployment
    seed: int
    is_baseline: bool = False
    is_relayed: bool = False
    load_factor: float = 0.4
    ack_timeout_s: float = 2.0
    faults: Faults = Faults()


class NotReadyError(Exception):
    """A balancer did not answer requests in time."""


class Environment:
    """All components of a run; scenarios make their changes through it."""

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        deployment = options.deployment
        self.rng = random.Random(f"{options.seed} {deployment.name}")
        self.plan = AddressPlan.acquire(hint=options.seed * 7 + (time.time_ns() // 1000) % 200)
        self.partitions = NetworkPartitions()
        self.executions = ExecutionLog()
        self.observations = Observations()
        self.timeline = Timeline()
        self.upstreams: dict[str, Upstream] = {}
        self.platform = Platform()
        self.platform.set_lag(HOSTS_KEY, HOSTS_LIST_DELAY_S)
        self._specs = upstream_specs(deployment, self.plan)
        self._next_address = len(self._specs)
        self._protocols = {service.name: service.protocol for service in deployment.services}
        self.document = ConfigurationDocument(deployment, self.plan, self._specs)
        self._routes = service_routes(deployment, self.plan)
        self.fabric = self._new_fabric()
        module = BASELINE_MODULE if options.is_baseline else BALANCER_MODULE
        self.fleet = Fleet(
            self.plan,
            self.platform,
            self.fabric,
            directory,
            module=module,
            is_relayed=options.is_relayed,
        )
        peer_link = Link(self._new_rng(), options.faults)
        self.relay = PeerRelay(peer_link, self.partitions, lambda: self.fleet.balancers)
        self.prober = Prober((self.plan.caller(CALLER_COUNT), CALLER_PORT), self._new_rng())
        self.callers = self._new_callers({route.name: route for route in self._routes})
        self.udp_flows = self._new_udp_flows()
        self.load = LoadGenerator(
            deployment, self.callers, self.udp_flows, self._new_rng(), options.load_factor
        )

    @property
    def routes(self) -> tuple[ServiceRoute, ...]:
        """The address and host port of each service."""
        return self._routes

    async def start(self) -> None:
        """Start upstreams and balancers; return when every balancer answers requests."""
        self.start_upstreams()
        self.publish()
        deployment = self.options.deployment
        balancers = [
            self.fleet.new_balancer(data_centre)
            for data_centre in deployment.data_centres
            for _ in range(deployment.balancers_per_data_centre)
        ]
        for balancer in balancers:
            await self.start_balancer(balancer)
        await self.wait_until_ready(balancers)
        for balancer in balancers:
            self.fleet.add_to_fabric(balancer)

    def start_upstreams(self) -> None:
        """Start the upstreams of the deployment as warm ones."""
        for spec in self._specs:
            self._start_upstream(spec, cold=False)

    async def start_balancer(self, balancer: Balancer) -> None:
        """Start a balancer process, and its relay if traffic is relayed."""
        if self.options.is_relayed:
            await self.relay.listen(balancer)
        await self.fleet.start(balancer)

    async def wait_until_ready(
        self, balancers: list[Balancer], timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until each balancer answers requests; raise NotReadyError on timeout or exit."""
        deadline = time.monotonic() + timeout_s
        for balancer in balancers:
            while not await self._is_ready(balancer):
                if time.monotonic() > deadline or not balancer.is_running:
                    raise NotReadyError(f"{balancer.name}:\n{self.fleet.read_log(balancer)}")
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def add_balancer(self, data_centre: str) -> Balancer:
        """Start another balancer and add it to the fabric when it answers requests.

        One that is running but does not answer within ``JOIN_TIMEOUT_S`` is added anyway, so
        that the requests it loses show in the result.
        """
        balancer = self.fleet.new_balancer(data_centre)
        self.timeline.record_event(f"start {balancer.name}")
        await self.start_balancer(balancer)
        try:
            await self.wait_until_ready([balancer], JOIN_TIMEOUT_S)
        except NotReadyError:
            if not balancer.is_running:
                raise
            self.timeline.record_event(f"{balancer.name} does not answer yet")
        self.fleet.add_to_fabric(balancer)
        return balancer

    def add_upstream(self, service: str) -> Upstream:
        """Start a cold upstream and publish it."""
        count = sum(u.spec.service == service for u in self.upstreams.values())
        spec = upstream_spec(self.options.deployment, self.plan, service, count, self._next_address)
        self._next_address += 1
        upstream = self._start_upstream(spec, cold=True)
        self.document.add_upstream(spec)
        self.publish()
        self.timeline.record_event(f"add {spec.name}")
        return upstream

    def drain_upstream(self, name: str) -> None:
        """Publish the upstream as leaving."""
        self.document.mark_leaving(name)
        self.timeline.leaving_at[name] = time.monotonic()
        self.publish()
        self.timeline.record_event(f"drain {name}")

    def take_out_of_service(self, data_centre: str) -> None:
        """Publish the data centre as out of service."""
        self.document.take_out_of_service(data_centre)
        self.timeline.record_out_of_service(data_centre, time.monotonic())
        self.publish()
        self.timeline.record_event(f"out {data_centre}")

    def return_to_service(self, data_centre: str) -> None:
        """Publish the data centre as back in service."""
        self.document.return_to_service(data_centre)
        self.timeline.record_back_in_service(data_centre, time.monotonic())
        self.publish()
        self.timeline.record_event(f"back {data_centre}")

    def publish(self) -> None:
        """Write the current configuration to the platform."""
        self.platform.set(CONFIGURATION_KEY, self.document.encode())

    async def close(self) -> None:
        """End all processes and close all sockets."""
        await self.fleet.kill_all()
        await self.platform.close()
        self.relay.close()
        self.fabric.close()
        self.prober.close()
        for caller in self.callers:
            caller.close()
        for flow in self.udp_flows:
            flow.close()
        for upstream in self.upstreams.values():
            upstream.stop()
        self.plan.release()

    def _start_upstream(self, spec: UpstreamSpec, *, cold: bool) -> Upstream:
        protocol = self._protocols[spec.service]
        kind = UdpUpstream if protocol == "udp" else CoapUpstream
        is_partitioned = self._partition_check(spec.data_centre)
        upstream = kind(spec, self.executions, self._new_rng(), is_partitioned, cold=cold)
        self.upstreams[spec.name] = upstream
        return upstream

    def _partition_check(self, data_centre: str) -> Callable[[str], bool]:
        """Return a predicate: whether a balancer address is partitioned from ``data_centre``."""

        def is_partitioned(ip: str) -> bool:
            if not self.partitions.is_active:
                return False
            return self.partitions.is_blocked(self.fleet.data_centre_of(ip), data_centre)

        return is_partitioned

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.random())

    def _new_fabric(self) -> Fabric:
        deployment = self.options.deployment
        faults = self.options.faults._replace(
            delay_s=deployment.caller_delay_s, jitter_s=CALLER_JITTER_S
        )
        return Fabric(
            self.plan,
            self._routes,
            deployment.data_centres,
            Link(self._new_rng(), faults),
            self.partitions,
            self._new_rng(),
        )

    def _new_callers(self, routes: dict[str, ServiceRoute]) -> list[Caller]:
        options = self.options
        times = CallerTiming(options.deployment.patience_s, options.ack_timeout_s)
        return [
            Caller(
                f"c{idx}",
                (self.plan.caller(idx), CALLER_PORT),
                routes,
                self.observations,
                times,
                self._new_rng(),
            )
            for idx in range(CALLER_COUNT)
        ]

    def _new_udp_flows(self) -> list[UdpFlow]:
        services = {service.name: service for service in self.options.deployment.services}
        flows: list[UdpFlow] = []
        for route in self._routes:
            if services[route.name].protocol != "udp":
                continue
            for _ in range(services[route.name].streams):
                address = (self.plan.caller(CALLER_COUNT + 1 + len(flows)), CALLER_PORT)
                name = f"u{len(flows)}"
                flows.append(UdpFlow(name, address, route, self.observations))
        return flows

    async def _is_ready(self, balancer: Balancer) -> bool:
        for route in self._routes:
            if self._protocols[route.name] != "coap":
                continue
            if not await self.prober.serves(balancer.ip, route):
                return False
        return True
