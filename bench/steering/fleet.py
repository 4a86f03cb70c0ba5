"""Real balancer processes before stand-ins of the platform, on loopback addresses of one fleet."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

from banyanline.core.types import Endpoint
from banyanline.platform.served import METRICS_PORT, METRICS_TARGET, READY_TARGET
from banyanline.transport.http import HttpResponse, http_get
from bench.network.addresses import AddressPlan
from bench.steering.caller import PacketCaller
from bench.steering.proxy import FaultyLink
from bench.steering.store import StandInStore
from bench.steering.upstream import PacketUpstream

PACKETS_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
UPSTREAM_PORT = 8080
SERVICE = ("198.18.0.1", 8443)
OTHER_SERVICE = ("198.18.0.2", 8443)
START_TIMEOUT_S = 20.0
POLL_S = 0.02
MAX_SEEDS = 3

_SETTINGS = """\
node_name = "{name}"
zone = "{zone}"
internal_port_range = [7720,7735]
seeds = [{seeds}]
heartbeat_ms = 770
[listen]
datagram_address = "{ip}:{packets}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[bounds]
contact_ms = 4000
grace_s = {grace_s}
drain_ms = {change_bound_ms}
config_apply_ms = {change_bound_ms}
evacuation_ms = {change_bound_ms}
[platform]
address = "{store}"
"""


class HostPlan(NamedTuple):
    """One host of the fleet."""

    name: str
    ip: str
    zone: str = "north"

    @property
    def packets(self) -> tuple[str, int]:
        """Where the host takes callers' packets."""
        return self.ip, PACKETS_PORT


class BalancerProcess:
    """A balancer as the platform starts it."""

    def __init__(self, plan: HostPlan, folder: Path) -> None:
        self.plan = plan
        self.settings = folder / f"{plan.name}.toml"
        self.output = folder / f"{plan.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_text(self) -> str:
        """What the process has written so far."""
        return self.output.read_text()

    def start(self, output: int | None = None) -> None:
        """Start the process; its output is appended to the log, or goes to a descriptor."""
        with self.output.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "banyanline.cli.steering"],
                env=os.environ | {"BANYANLINE_BOOT": str(self.settings)},
                stdout=log if output is None else output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once, if it lives."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self.wait()

    async def wait(self) -> int:
        """Wait until the present process has ended; return its exit status."""
        process = self._process
        assert process is not None
        while process.poll() is None:
            await asyncio.sleep(POLL_S)
        return process.returncode

    async def status(self, timeout_s: float = 1.0) -> int | None:
        """Return the status of the readiness page, or None without an answer."""
        result = await http_get(
            Endpoint(self.plan.ip, READY_PORT),
            READY_TARGET,
            timeout_s=timeout_s,
            max_body_bytes=1000,
        )
        return result.status if isinstance(result, HttpResponse) else None

    async def metrics(self) -> str:
        """Return the text of the metrics page."""
        result = await http_get(
            Endpoint(self.plan.ip, METRICS_PORT),
            METRICS_TARGET,
            timeout_s=5.0,
            max_body_bytes=1 << 20,
        )
        assert isinstance(result, HttpResponse), result
        return result.body.decode()

    async def become(self, status: int | None, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the readiness page has this status; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while await self.status() != status:
                await asyncio.sleep(POLL_S)


class Fleet:
    """A store, upstreams, callers and hosts, to be closed at the end."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 1,
        hint: int = 0,
        *,
        through_proxies: bool = False,
        change_bound_ms: int = 3000,
    ) -> None:
        self.plan = AddressPlan.acquire(hint=hint)
        self.store = StandInStore()
        self.upstreams: dict[str, PacketUpstream] = {}
        self.hosts = [
            BalancerProcess(HostPlan(f"host-{idx}", self.plan.balancer(idx)), folder)
            for idx in range(hosts)
        ]
        self._callers: list[PacketCaller] = []
        self._through_proxies = through_proxies
        self._change_bound_ms = change_bound_ms
        self.links: list[FaultyLink] = []
        self._store_addresses: list[tuple[str, int]] = []

    async def start(self) -> None:
        """Start the store; hosts are started one by one."""
        address = await self.store.start(self.plan.platform(0))
        for idx, host in enumerate(self.hosts):
            self._store_addresses.append(await self._way_to_store(idx, address))
            self.write_settings(host)

    async def _way_to_store(self, idx: int, store: tuple[str, int]) -> tuple[str, int]:
        """Return where a host reaches the store, through a proxy of its own if there is one."""
        if not self._through_proxies:
            return store
        link = FaultyLink(store)
        self.links.append(link)
        return await link.start(self.plan.platform(1 + idx))

    def write_settings(self, host: BalancerProcess, *, grace_s: float = 4.0) -> None:
        """Write the settings file of a host."""
        named = self.hosts[:MAX_SEEDS]
        seeds = ",".join(f'"{each.plan.ip}:{CONTROL_PORT}"' for each in named)
        ip, port = self._store_addresses[self.hosts.index(host)]
        text = _SETTINGS.format(
            name=host.plan.name,
            zone=host.plan.zone,
            seeds=seeds,
            ip=host.plan.ip,
            packets=PACKETS_PORT,
            ready=READY_PORT,
            control=CONTROL_PORT,
            grace_s=grace_s,
            change_bound_ms=self._change_bound_ms,
            store=f"{ip}:{port}",
        )
        host.settings.write_text(text)

    async def start_hosts(self) -> None:
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.become(200)

    async def add_upstream(self, name: str, service: str = "orders") -> PacketUpstream:
        """Start an upstream and let it register."""
        address = (self.plan.upstream(len(self.upstreams)), UPSTREAM_PORT)
        self.upstreams[name] = PacketUpstream(name, address, PACKETS_PORT)
        await self.register(name, service)
        return self.upstreams[name]

    async def register(self, name: str, service: str = "orders", **fields: Any) -> None:
        """Write the entry of an upstream."""
        ip, port = self.upstreams[name].address
        entry = {
            "service": service,
            "address": f"{ip}:{port}",
            "zone": "north",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        await self.store.put(f"servers/{name}", entry | fields)

    async def configure(self, version: int, *services: tuple[tuple[str, int], str]) -> None:
        """Write a configuration with these routes."""
        routes = [
            {
                "name": f"r-{ip}",
                "hostname": ip,
                "prefix": f"/{port}/",
                "route_type": "safe",
                "timeout_ms": 1200,
                "aim_ms": 120,
                "priority": 1,
                "service": service,
            }
            for (ip, port), service in services
        ]
        document = {"version": version, "routes": routes, "services": [], "limits": {}}
        await self.store.put("op/config", document)

    def caller(self) -> PacketCaller:
        """Return a new caller of the service."""
        ip = self.plan.caller(len(self._callers))
        caller = PacketCaller((ip, PACKETS_PORT), SERVICE)
        self._callers.append(caller)
        return caller

    async def close(self) -> None:
        """End all that was started."""
        for host in self.hosts:
            await host.kill()
        for caller in self._callers:
            caller.close()
        for upstream in self.upstreams.values():
            upstream.close()
        for link in self.links:
            await link.close()
        await self.store.close()
        self.plan.release()
