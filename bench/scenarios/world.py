"""One run's world: platform, fabric, upstreams, callers and balancer processes."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bench.network.addresses import CALLER_PORT, AddressPlan
from bench.network.fabric import Fabric, ServiceRoute
from bench.network.link import Cuts, Faults, Link
from bench.network.relay import PeerRelay
from bench.scenarios.chronicle import Chronicle
from bench.scenarios.configuration import ConfigurationDocument
from bench.scenarios.deployments import (
    Deployment,
    service_routes,
    upstream_spec,
    upstream_specs,
)
from bench.scenarios.fleet import CONFIGURATION_KEY, HOSTS_KEY, Balancer, Fleet
from bench.scenarios.load import Load
from bench.scenarios.observations import Observations
from bench.standins.caller import Caller, CallerTimes
from bench.standins.coap_upstream import CoapUpstream
from bench.standins.platform import Platform
from bench.standins.prober import Prober
from bench.standins.runlog import RunLog
from bench.standins.udp_flow import UdpFlow
from bench.standins.udp_upstream import UdpUpstream
from bench.standins.upstream import Upstream, UpstreamSpec

CALLERS = 60
HOSTS_LAG_S = 0.5
JITTER_S = 0.0005
READY_LIMIT_S = 20.0
ADMIT_LIMIT_S = 8.0
READY_PAUSE_S = 0.2
BALANCER_MODULE = "banyanline.cli.balancer"
BASELINE_MODULE = "bench.standins.baseline"


class Options(NamedTuple):
    """What tells one run from another."""

    deployment: Deployment
    seed: int
    is_baseline: bool = False
    is_relayed: bool = False
    load_share: float = 0.4
    ack_timeout_s: float = 2.0
    faults: Faults = Faults()


class NotReadyError(Exception):
    """The balancers did not answer in time."""


class World:
    """Everything of a run; scenarios act on it."""

    def __init__(self, options: Options, directory: Path) -> None:
        self.options = options
        deployment = options.deployment
        self.rng = random.Random(f"{options.seed} {deployment.name}")
        self.plan = AddressPlan.acquire(hint=options.seed * 7 + (time.time_ns() // 1000) % 200)
        self.cuts = Cuts()
        self.runs = RunLog()
        self.observations = Observations()
        self.chronicle = Chronicle()
        self.upstreams: dict[str, Upstream] = {}
        self.platform = Platform()
        self.platform.set_lag(HOSTS_KEY, HOSTS_LAG_S)
        self._specs = upstream_specs(deployment, self.plan)
        self._next_address = len(self._specs)
        self._protocols = {size.name: size.protocol for size in deployment.services}
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
        self.relay = PeerRelay(peer_link, self.cuts, lambda: self.fleet.balancers)
        self.prober = Prober((self.plan.caller(CALLERS), CALLER_PORT), self._new_rng())
        self.callers = self._new_callers({route.name: route for route in self._routes})
        self.udp_flows = self._new_udp_flows()
        self.load = Load(
            deployment, self.callers, self.udp_flows, self._new_rng(), options.load_share
        )

    @property
    def routes(self) -> tuple[ServiceRoute, ...]:
        """The service addresses and their host ports."""
        return self._routes

    async def start(self) -> None:
        """Start upstreams and balancers; return when every balancer answers."""
        self.start_upstreams()
        self.publish()
        deployment = self.options.deployment
        balancers = [
            self.fleet.new_balancer(data_centre)
            for data_centre in deployment.data_centres
            for _ in range(deployment.balancers_per_data_centre)
        ]
        for balancer in balancers:
            await self.launch(balancer)
        await self.wait_ready(balancers)
        for balancer in balancers:
            self.fleet.admit(balancer)

    def start_upstreams(self) -> None:
        """Start the upstreams of the deployment, warm."""
        for spec in self._specs:
            self._start_upstream(spec, cold=False)

    async def launch(self, balancer: Balancer) -> None:
        """Start a balancer process and its relay."""
        if self.options.is_relayed:
            await self.relay.listen(balancer)
        await self.fleet.start(balancer)

    async def wait_ready(self, balancers: list[Balancer], limit_s: float = READY_LIMIT_S) -> None:
        """Wait until each balancer answers a caller's request; raise NotReadyError."""
        deadline = time.monotonic() + limit_s
        for balancer in balancers:
            while not await self._probe(balancer):
                if time.monotonic() > deadline or not balancer.is_running:
                    raise NotReadyError(f"{balancer.name}:\n{self.fleet.log_of(balancer)}")
                await asyncio.sleep(READY_PAUSE_S)

    async def add_balancer(self, data_centre: str) -> Balancer:
        """Start one more balancer and let the fabric take it in when it answers.

        One that runs and does not answer in time is taken in all the same: what
        callers lose by it is then seen in the result.
        """
        balancer = self.fleet.new_balancer(data_centre)
        self.chronicle.note(f"start {balancer.name}")
        await self.launch(balancer)
        try:
            await self.wait_ready([balancer], ADMIT_LIMIT_S)
        except NotReadyError:
            if not balancer.is_running:
                raise
            self.chronicle.note(f"{balancer.name} does not answer yet")
        self.fleet.admit(balancer)
        return balancer

    def add_upstream(self, service: str) -> Upstream:
        """Start a cold upstream and publish it."""
        count = sum(u.spec.service == service for u in self.upstreams.values())
        spec = upstream_spec(self.options.deployment, self.plan, service, count, self._next_address)
        self._next_address += 1
        upstream = self._start_upstream(spec, cold=True)
        self.document.add_upstream(spec)
        self.publish()
        self.chronicle.note(f"add {spec.name}")
        return upstream

    def drain_upstream(self, name: str) -> None:
        """Publish that the upstream leaves."""
        self.document.set_leaving(name)
        self.chronicle.leaving_at[name] = time.monotonic()
        self.publish()
        self.chronicle.note(f"drain {name}")

    def take_out(self, data_centre: str) -> None:
        """Publish that the data centre is out of service."""
        self.document.set_out(data_centre)
        self.chronicle.begin_out(data_centre, time.monotonic())
        self.publish()
        self.chronicle.note(f"out {data_centre}")

    def bring_back(self, data_centre: str) -> None:
        """Publish that the data centre is back in service."""
        self.document.set_in_service(data_centre)
        self.chronicle.end_out(data_centre, time.monotonic())
        self.publish()
        self.chronicle.note(f"back {data_centre}")

    def publish(self) -> None:
        """Write the configuration as it stands to the platform."""
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
        is_cut = self._cut_test(spec.data_centre)
        upstream = kind(spec, self.runs, self._new_rng(), is_cut, cold=cold)
        self.upstreams[spec.name] = upstream
        return upstream

    def _cut_test(self, data_centre: str) -> Callable[[str], bool]:
        """Return the test whether a balancer address is cut off from ``data_centre``."""

        def is_cut(ip: str) -> bool:
            if not self.cuts.is_active:
                return False
            return self.cuts.is_blocked(self.fleet.data_centre_of(ip), data_centre)

        return is_cut

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.random())

    def _new_fabric(self) -> Fabric:
        deployment = self.options.deployment
        faults = self.options.faults._replace(delay_s=deployment.caller_delay_s, jitter_s=JITTER_S)
        return Fabric(
            self.plan,
            self._routes,
            deployment.data_centres,
            Link(self._new_rng(), faults),
            self.cuts,
            self._new_rng(),
        )

    def _new_callers(self, routes: dict[str, ServiceRoute]) -> list[Caller]:
        options = self.options
        times = CallerTimes(options.deployment.patience_s, options.ack_timeout_s)
        return [
            Caller(
                f"c{idx}",
                (self.plan.caller(idx), CALLER_PORT),
                routes,
                self.observations,
                times,
                self._new_rng(),
            )
            for idx in range(CALLERS)
        ]

    def _new_udp_flows(self) -> list[UdpFlow]:
        sizes = {size.name: size for size in self.options.deployment.services}
        flows: list[UdpFlow] = []
        for route in self._routes:
            if sizes[route.name].protocol != "udp":
                continue
            for _ in range(sizes[route.name].streams):
                address = (self.plan.caller(CALLERS + 1 + len(flows)), CALLER_PORT)
                name = f"u{len(flows)}"
                flows.append(UdpFlow(name, address, route, self.observations))
        return flows

    async def _probe(self, balancer: Balancer) -> bool:
        for route in self._routes:
            if self._protocols[route.name] != "coap":
                continue
            if not await self.prober.serves(balancer.ip, route):
                return False
        return True
