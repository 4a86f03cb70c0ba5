"""Runs a fleet of real balancer processes against platform stand-ins on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from banyanline.core.types import Endpoint
from banyanline.platform.endpoints import METRICS_PORT, METRICS_TARGET, READY_TARGET
from banyanline.transport.http import HttpResponse, http_get
from bench.network.addresses import AddressPlan
from bench.steering.caller import PacketCaller
from bench.steering.proxy import FaultProxy
from bench.steering.store import StandInStore, StoreCopy
from bench.steering.upstream import PacketUpstream

PACKETS_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
UPSTREAM_PORT = 8080
SERVICE = ("198.18.0.1", 8443)
OTHER_SERVICE = ("198.18.0.2", 8443)
START_TIMEOUT_S = 20.0
POLL_S = 0.02
METRICS_POLL_S = 0.2
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
    """Name, address and data centre of one host of the fleet."""

    name: str
    ip: str
    zone: str = "north"

    @property
    def packet_address(self) -> tuple[str, int]:
        """Address and port at which the host receives callers' packets."""
        return self.ip, PACKETS_PORT


class BalancerProcess:
    """A balancer process, started with a settings file as the platform starts it."""

    def __init__(self, plan: HostPlan, folder: Path) -> None:
        self.plan = plan
        self.settings = folder / f"{plan.name}.toml"
        self.output = folder / f"{plan.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id of the last start."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_text(self) -> str:
        """All output of the host's processes so far."""
        return self.output.read_text()

    def start(self, output: int | None = None) -> None:
        """Start the process; append its output to the log, or write it to a file descriptor."""
        with self.output.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "banyanline.cli.steering"],
                env=os.environ | {"BANYANLINE_BOOT": str(self.settings)},
                stdout=log if output is None else output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it is running, and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            await self.wait()

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit status."""
        process = self._process
        assert process is not None
        while process.poll() is None:
            await asyncio.sleep(POLL_S)
        return process.returncode

    async def status(self, timeout_s: float = 1.0) -> int | None:
        """Return the status code of the readiness page, or None without a response."""
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

    async def wait_for_metric(self, line: str) -> None:
        """Wait until the metrics page contains this line, while the process runs."""
        while line not in (await self.metrics()).splitlines():
            await asyncio.sleep(METRICS_POLL_S)

    async def wait_for_status(self, status: int | None, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the readiness page has this status code; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while await self.status() != status:
                await asyncio.sleep(POLL_S)


class Fleet:
    """A store, upstreams, callers and hosts; ``close`` ends them all."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 1,
        hint: int = 0,
        *,
        with_store_proxies: bool = False,
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
        self._with_store_proxies = with_store_proxies
        self._change_bound_ms = change_bound_ms
        self.store_proxies: list[FaultProxy] = []
        self._store_addresses: list[tuple[str, int]] = []
        self._writes: Counter[str] = Counter()

    async def start(self) -> None:
        """Start the store and write the hosts' settings, without starting any host."""
        address = await self.store.start(self.plan.platform(0))
        for idx, host in enumerate(self.hosts):
            self._store_addresses.append(await self._start_store_route(idx, address))
            self.write_settings(host)

    async def _start_store_route(self, idx: int, store: tuple[str, int]) -> tuple[str, int]:
        """Return the store address for a host; with proxies, start one for it and return that."""
        if not self._with_store_proxies:
            return store
        proxy = FaultProxy(store)
        self.store_proxies.append(proxy)
        return await proxy.start(self.plan.platform(1 + idx))

    def write_settings(self, host: BalancerProcess, *, grace_s: float = 4.0) -> None:
        """Write the settings file of a host."""
        seed_hosts = self.hosts[:MAX_SEEDS]
        seeds = ",".join(f'"{each.plan.ip}:{CONTROL_PORT}"' for each in seed_hosts)
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
            await host.wait_for_status(200)

    async def add_upstream(self, name: str, service: str = "orders") -> PacketUpstream:
        """Start an upstream and register it in the store."""
        address = (self.plan.upstream(len(self.upstreams)), UPSTREAM_PORT)
        self.upstreams[name] = PacketUpstream(name, address, PACKETS_PORT)
        await self.register(name, service)
        return self.upstreams[name]

    async def register(self, name: str, service: str = "orders", **fields: Any) -> None:
        """Write the registration entry of an upstream; ``fields`` replace its defaults."""
        ip, port = self.upstreams[name].address
        self._writes[name] += 1
        entry = {
            "service": service,
            "address": f"{ip}:{port}",
            "zone": "north",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._writes[name],
            "born": 1,
        }
        await self.store.put(f"servers/{name}", entry | fields)

    async def restore_store(self, copy: StoreCopy) -> StoreCopy:
        """Restore the store from a copy; return its state before."""
        lost = self.store.copy()
        await self.store.restore(copy)
        return lost

    async def write_again(self, lost: StoreCopy, copy: StoreCopy) -> None:
        """Write what was lost when the store was restored, and has not been written since."""
        for key in lost.items.keys() | copy.items.keys():
            before, restored = lost.items.get(key), copy.items.get(key)
            if before == restored or self.store.copy().items.get(key) != restored:
                continue
            if before is None:
                await self.store.delete(key)
            else:
                await self.store.put(key, self._next_write(key, before.value))

    def _next_write(self, key: str, value: bytes) -> bytes:
        name = key.removeprefix("servers/")
        if name not in self.upstreams:
            return value
        self._writes[name] += 1
        return json.dumps(json.loads(value) | {"sequence": self._writes[name]}).encode()

    async def configure(self, version: int, *services: tuple[tuple[str, int], str]) -> None:
        """Write a configuration with a route for each ``((ip, port), service)``."""
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

    def add_caller(self) -> PacketCaller:
        """Start a caller of ``SERVICE``."""
        ip = self.plan.caller(len(self._callers))
        caller = PacketCaller((ip, PACKETS_PORT), SERVICE)
        self._callers.append(caller)
        return caller

    async def close(self) -> None:
        """Stop all processes and stand-ins, and release the addresses."""
        for host in self.hosts:
            await host.kill()
        for caller in self._callers:
            caller.close()
        for upstream in self.upstreams.values():
            upstream.close()
        for proxy in self.store_proxies:
            await proxy.close()
        await self.store.close()
        self.plan.release()
