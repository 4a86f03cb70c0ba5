"""The balancer processes of a run: started, stopped, killed, paused, replaced."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

from bench.network.addresses import ADMIN_PORT, CONTROL_PORT, PEER_PORT, PLATFORM_PORT, AddressPlan
from bench.network.fabric import Fabric, Member
from bench.standins.platform import Platform

CONFIGURATION_KEY = "banyanline/configuration"
HOSTS_KEY = "banyanline/hosts"
FABRIC_GROUP = "fabric"
FABRIC_LAG_S = 0.5
STOP_GRACE_S = 10.0
STOP_LIMIT_S = 20.0
REPOSITORY = Path(__file__).resolve().parent.parent.parent


class StopRecord(NamedTuple):
    """A planned stop, from the signal to the end of the process."""

    name: str
    signalled_at: float
    ended_at: float
    exit_status: int | None


class Balancer:
    """One balancer process and where it listens."""

    def __init__(self, name: str, data_centre: str, idx: int, plan: AddressPlan) -> None:
        self.name = name
        self.data_centre = data_centre
        self.idx = idx
        self.ip = plan.balancer(idx)
        self.alias = plan.alias(idx)
        self.state = "live"
        self.is_busy = False
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The process ID."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """All balancers of a run, the hosts list and the fabric's members."""

    def __init__(
        self,
        plan: AddressPlan,
        platform: Platform,
        fabric: Fabric,
        directory: Path,
        *,
        module: str,
        is_relayed: bool,
    ) -> None:
        self._plan = plan
        self._platform = platform
        self._fabric = fabric
        self._directory = directory
        self._module = module
        self._is_relayed = is_relayed
        self._balancers: list[Balancer] = []
        self._stops: list[StopRecord] = []
        self._started = 0
        self._key_file = directory / "peer.key"
        self._key_file.write_text(f"k1 {secrets.token_hex(32)}\n")

    @property
    def balancers(self) -> list[Balancer]:
        """Balancers that run."""
        return [balancer for balancer in self._balancers if balancer.is_running]

    @property
    def stops(self) -> list[StopRecord]:
        """Planned stops so far."""
        return self._stops

    def data_centre_of(self, ip: str) -> str | None:
        """Return the data centre of the balancer with the address ``ip``, or None."""
        for balancer in self._balancers:
            if ip in (balancer.ip, balancer.alias):
                return balancer.data_centre
        return None

    def new_balancer(self, data_centre: str) -> Balancer:
        """Return a balancer with a fresh name and address, listed but not started."""
        self._started += 1
        name = f"{data_centre}-{self._started}"
        balancer = Balancer(name, data_centre, self._started - 1, self._plan)
        self._balancers.append(balancer)
        return balancer

    async def start(self, balancer: Balancer) -> None:
        """Start the process; the fabric takes it in after its lag."""
        await self._platform.listen(self._plan.platform(balancer.idx), PLATFORM_PORT)
        settings = self._write_settings(balancer)
        log = (self._directory / f"{balancer.name}.log").open("wb")
        balancer.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            "--settings",
            str(settings),
            cwd=REPOSITORY,
            env={**os.environ, "PYTHONPATH": str(REPOSITORY)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.publish_hosts()

    def admit(self, balancer: Balancer) -> None:
        """Let the fabric spray to the balancer."""
        self._fabric.add(Member(balancer.name, balancer.data_centre, balancer.ip))

    async def stop(self, balancer: Balancer) -> StopRecord:
        """Stop gracefully: leaving in the hosts list, SIGTERM, out of the fabric, wait."""
        assert balancer.process is not None
        signalled_at = time.monotonic()
        balancer.state = "leaving"
        self.publish_hosts()
        balancer.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(FABRIC_LAG_S)
        self._fabric.remove(balancer.name)
        try:
            await asyncio.wait_for(balancer.process.wait(), STOP_LIMIT_S)
        except TimeoutError:
            balancer.process.kill()
            await balancer.process.wait()
        status = balancer.process.returncode
        record = StopRecord(balancer.name, signalled_at, time.monotonic(), status)
        self._stops.append(record)
        self._forget(balancer)
        return record

    async def crash(self, balancer: Balancer) -> None:
        """Kill at once; fabric and hosts list notice after the fabric's lag."""
        assert balancer.process is not None
        if balancer.is_running:
            balancer.process.kill()
            await balancer.process.wait()
        await asyncio.sleep(FABRIC_LAG_S)
        self._fabric.remove(balancer.name)
        self._forget(balancer)

    async def pause(self, balancer: Balancer, duration_s: float) -> None:
        """Stop the process with SIGSTOP for ``duration_s`` seconds; the fabric keeps it."""
        assert balancer.process is not None
        balancer.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(FABRIC_LAG_S)
            self._fabric.remove(balancer.name)
            await asyncio.sleep(max(0.0, duration_s - FABRIC_LAG_S))
        finally:
            if balancer.is_running:
                balancer.process.send_signal(signal.SIGCONT)
        self.admit(balancer)

    async def kill_all(self) -> None:
        """End every process of this fleet by its own handle."""
        for balancer in self.balancers:
            assert balancer.process is not None
            balancer.process.send_signal(signal.SIGCONT)
            balancer.process.kill()
            await balancer.process.wait()

    def publish_hosts(self) -> None:
        """Write the list of live and leaving hosts to the platform."""
        hosts = [
            {
                "name": balancer.name,
                "data_centre": balancer.data_centre,
                "fabric_group": FABRIC_GROUP,
                "address": self._advertised(balancer),
                "peer_port": PEER_PORT,
                "control_port": CONTROL_PORT,
                "state": balancer.state,
            }
            for balancer in self._balancers
        ]
        self._platform.set(HOSTS_KEY, json.dumps(hosts).encode())

    def log_of(self, balancer: Balancer) -> str:
        """Return what the process printed."""
        return (self._directory / f"{balancer.name}.log").read_text(errors="replace")

    def _forget(self, balancer: Balancer) -> None:
        self._balancers.remove(balancer)
        self.publish_hosts()

    def _advertised(self, balancer: Balancer) -> str:
        return balancer.alias if self._is_relayed else balancer.ip

    def _write_settings(self, balancer: Balancer) -> Path:
        path = self._directory / f"{balancer.name}.ini"
        bind_line = f"bind_address = {balancer.ip}\n" if self._is_relayed else ""
        path.write_text(
            "[host]\n"
            f"name = {balancer.name}\n"
            f"data_centre = {balancer.data_centre}\n"
            f"fabric_group = {FABRIC_GROUP}\n"
            f"address = {self._advertised(balancer)}\n"
            f"{bind_line}"
            f"peer_port = {PEER_PORT}\n"
            f"control_port = {CONTROL_PORT}\n"
            f"admin_port = {ADMIN_PORT}\n"
            "[fabric]\ndelivery = host\n"
            "[platform]\n"
            f"addresses = {self._plan.platform(balancer.idx)}:{PLATFORM_PORT}\n"
            f"configuration_key = {CONFIGURATION_KEY}\n"
            f"hosts_key = {HOSTS_KEY}\n"
            f"[keys]\nfile = {self._key_file}\n"
            f"[stop]\ngrace_s = {STOP_GRACE_S}\n"
        )
        return path
