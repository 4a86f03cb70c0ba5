"""The balancer processes of a run: start, graceful stop, crash and pause."""

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
from bench.network.fabric import Fabric, FabricMember
from bench.standins.platform import Platform

CONFIGURATION_KEY = "banyanline/configuration"
HOSTS_KEY = "banyanline/hosts"
FABRIC_GROUP = "fabric"
FABRIC_UPDATE_DELAY_S = 0.5
STOP_GRACE_S = 10.0
STOP_TIMEOUT_S = 20.0
REPOSITORY = Path(__file__).resolve().parent.parent.parent


class StopRecord(NamedTuple):
    """One graceful stop: when SIGTERM was sent and when the process exited."""

    name: str
    signalled_at: float
    ended_at: float
    exit_status: int | None


class Balancer:
    """One balancer process and its addresses."""

    def __init__(self, name: str, data_centre: str, idx: int, plan: AddressPlan) -> None:
        self.name = name
        self.data_centre = data_centre
        self.idx = idx
        self.ip = plan.balancer(idx)
        self.alias = plan.alias(idx)
        self.state = "live"
        self.is_disrupted = False  # set while ``all-at-once`` stops, crashes or pauses it
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The process ID."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """All balancers of a run; keeps the hosts list and the fabric members up to date."""

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
        self._start_count = 0
        self._key_file = directory / "peer.key"
        self._key_file.write_text(f"k1 {secrets.token_hex(32)}\n")

    @property
    def balancers(self) -> list[Balancer]:
        """The balancers whose process is running."""
        return [balancer for balancer in self._balancers if balancer.is_running]

    @property
    def stops(self) -> list[StopRecord]:
        """Graceful stops so far."""
        return self._stops

    def data_centre_of(self, ip: str) -> str | None:
        """Return the data centre of the balancer with the address ``ip``, or None."""
        for balancer in self._balancers:
            if ip in (balancer.ip, balancer.alias):
                return balancer.data_centre
        return None

    def new_balancer(self, data_centre: str) -> Balancer:
        """Register and return a balancer with a new name and address; it is not started yet."""
        self._start_count += 1
        name = f"{data_centre}-{self._start_count}"
        balancer = Balancer(name, data_centre, self._start_count - 1, self._plan)
        self._balancers.append(balancer)
        return balancer

    async def start(self, balancer: Balancer) -> None:
        """Start the process and publish it in the hosts list; the fabric does not use it yet."""
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

    def add_to_fabric(self, balancer: Balancer) -> None:
        """Add the balancer to the members that the fabric sprays datagrams to."""
        self._fabric.add(FabricMember(balancer.name, balancer.data_centre, balancer.ip))

    async def stop(self, balancer: Balancer) -> StopRecord:
        """Stop gracefully: publish as leaving, send SIGTERM, remove from the fabric, wait for exit.

        A process that has not exited after ``STOP_TIMEOUT_S`` is killed.
        """
        assert balancer.process is not None
        signalled_at = time.monotonic()
        balancer.state = "leaving"
        self.publish_hosts()
        balancer.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
        self._fabric.remove(balancer.name)
        try:
            await asyncio.wait_for(balancer.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            balancer.process.kill()
            await balancer.process.wait()
        status = balancer.process.returncode
        record = StopRecord(balancer.name, signalled_at, time.monotonic(), status)
        self._stops.append(record)
        self._remove(balancer)
        return record

    async def crash(self, balancer: Balancer) -> None:
        """Kill the process with SIGKILL.

        It leaves the fabric and the hosts list ``FABRIC_UPDATE_DELAY_S`` later.
        """
        assert balancer.process is not None
        if balancer.is_running:
            balancer.process.kill()
            await balancer.process.wait()
        await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
        self._fabric.remove(balancer.name)
        self._remove(balancer)

    async def pause(self, balancer: Balancer, duration_s: float) -> None:
        """Pause the process with SIGSTOP for ``duration_s`` seconds; the hosts list keeps it.

        The fabric removes it ``FABRIC_UPDATE_DELAY_S`` after the pause starts and adds it
        again at the end.
        """
        assert balancer.process is not None
        balancer.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
            self._fabric.remove(balancer.name)
            await asyncio.sleep(max(0.0, duration_s - FABRIC_UPDATE_DELAY_S))
        finally:
            if balancer.is_running:
                balancer.process.send_signal(signal.SIGCONT)
        self.add_to_fabric(balancer)

    async def kill_all(self) -> None:
        """Kill every running process of this fleet through its own process handle."""
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
                "address": self._advertised_address(balancer),
                "peer_port": PEER_PORT,
                "control_port": CONTROL_PORT,
                "state": balancer.state,
            }
            for balancer in self._balancers
        ]
        self._platform.set(HOSTS_KEY, json.dumps(hosts).encode())

    def read_log(self, balancer: Balancer) -> str:
        """Return the output of the process."""
        return (self._directory / f"{balancer.name}.log").read_text(errors="replace")

    def _remove(self, balancer: Balancer) -> None:
        self._balancers.remove(balancer)
        self.publish_hosts()

    def _advertised_address(self, balancer: Balancer) -> str:
        return balancer.alias if self._is_relayed else balancer.ip

    def _write_settings(self, balancer: Balancer) -> Path:
        path = self._directory / f"{balancer.name}.ini"
        bind_line = f"bind_address = {balancer.ip}\n" if self._is_relayed else ""
        path.write_text(
            "[host]\n"
            f"name = {balancer.name}\n"
            f"data_centre = {balancer.data_centre}\n"
            f"fabric_group = {FABRIC_GROUP}\n"
            f"address = {self._advertised_address(balancer)}\n"
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
