"""Measures the processor time per datagram of a ``udp`` service in each role, and of a bare echo.

Three balancers run as separate processes. Only flows whose ingress, home and owner are
three different hosts are used, so that each process has one role:

    caller -> ingress -> home -> owner -> upstream -> owner -> caller

The upstream is the bare echo of :mod:`bench.measure.hops`. The cost of a role is compared
with two costs of that echo: ``echo_us`` as the upstream, where datagrams arrive one by one as
they do at the balancers, and ``direct_echo_us`` for datagrams that callers send to it directly
in batches, just before, so that one wake-up reads many. An ingress and a home handle one
datagram in each round trip, an owner two. Run it as ``python -m bench.measure.roles``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import secrets
import socket
import sys
import tempfile
import time
from collections.abc import Iterable
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

from banyanline.core.types import Endpoint
from banyanline.transport.http import HttpFailed, http_get
from bench.measure.hops import US_PER_S, serve_echo
from bench.network.addresses import ADMIN_PORT, CONTROL_PORT, PEER_PORT, PLATFORM_PORT, AddressPlan
from bench.scenarios.fleet import CONFIGURATION_KEY, HOSTS_KEY, REPOSITORY
from bench.standins.platform import Platform

HOSTS = ("north-1", "north-2", "north-3")
SERVICE = "telemetry"
HOST_PORT = 6000
PAYLOAD = bytes(200)
FLOWS = 16
WINDOW = 32
ROUND_TRIPS = 20_000
REPEATS = 3
FIRST_CALLER_PORT = 41_000
CALLER_PORTS = 2_000
READY_TIMEOUT_S = 20.0
REPLY_TIMEOUT_S = 0.3
ADMIN_TIMEOUT_S = 2.0
NS_PER_S = 1_000_000_000
DATAGRAMS_PER_ROUND_TRIP = {"ingress": 1, "home": 1, "owner": 2}
"""Datagrams that a role handles in one round trip."""


class Roles(NamedTuple):
    """The host in each role, and the caller ports whose flows have these hosts."""

    ingress: str
    home: str
    owner: str
    caller_ports: tuple[int, ...]


class RoundTrips(NamedTuple):
    """Result of one repeat: processor time in seconds by process, and round trips answered.

    ``direct_echo_s`` is the echo's processor time for one datagram sent directly to it.
    """

    cpu_s: dict[str, float]
    answered: int
    elapsed_s: float
    direct_echo_s: float


def cpu_time_s(pid: int) -> float:
    """Return the processor time in seconds of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task")
    ran_ns = (
        int((tasks / task / "schedstat").read_text().split()[0]) for task in os.listdir(tasks)
    )
    return sum(ran_ns) / NS_PER_S


def _configuration(plan: AddressPlan, upstream: Endpoint) -> bytes:
    document = {
        "schema_version": 1,
        "revision": 1,
        "data_centres": [{"name": "north", "state": "in_service"}],
        "caller_groups": [],
        "services": [
            {
                "name": SERVICE,
                "address": f"{plan.service(0)}:{HOST_PORT}",
                "host_port": HOST_PORT,
                "protocol": "udp",
                "upstreams": [
                    {"name": "telemetry-1", "data_centre": "north", "address": str(upstream)}
                ],
            }
        ],
    }
    return json.dumps(document).encode()


def _hosts(plan: AddressPlan) -> bytes:
    return json.dumps(
        [
            {
                "name": name,
                "data_centre": "north",
                "fabric_group": "g",
                "address": plan.balancer(idx),
                "peer_port": PEER_PORT,
                "control_port": CONTROL_PORT,
                "state": "live",
            }
            for idx, name in enumerate(HOSTS)
        ]
    ).encode()


def _settings(plan: AddressPlan, idx: int, key_file: Path) -> str:
    return (
        f"[host]\nname = {HOSTS[idx]}\ndata_centre = north\nfabric_group = g\n"
        f"address = {plan.balancer(idx)}\npeer_port = {PEER_PORT}\n"
        f"control_port = {CONTROL_PORT}\nadmin_port = {ADMIN_PORT}\n"
        "[fabric]\ndelivery = host\n"
        f"[platform]\naddresses = {plan.platform(idx)}:{PLATFORM_PORT}\n"
        f"configuration_key = {CONFIGURATION_KEY}\nhosts_key = {HOSTS_KEY}\n"
        f"[keys]\nfile = {key_file}\n"
    )


class Fleet:
    """Three balancer processes, a stand-in for the platform, and an echo process as upstream."""

    def __init__(self, plan: AddressPlan, directory: Path, profiled_host: str | None) -> None:
        self._plan = plan
        self._directory = directory
        self._profiled_host = profiled_host
        self._platform = Platform()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        context = get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._echo = context.Process(target=serve_echo, args=("bare echo", child_pipe))
        self._echo_address = ("127.0.0.1", 0)

    @property
    def pids(self) -> dict[str, int]:
        """Process IDs by host name; that of the upstream is under ``echo``."""
        echo_pid = self._echo.pid
        assert echo_pid is not None
        return {
            **{name: process.pid for name, process in self._processes.items()},
            "echo": echo_pid,
        }

    @property
    def echo_address(self) -> tuple[str, int]:
        """IP address and port of the echo."""
        return self._echo_address

    async def start(self) -> None:
        """Start all processes and wait until each balancer has the others in its view.

        Raises TimeoutError after ``READY_TIMEOUT_S``.
        """
        self._echo.start()
        upstream = Endpoint("127.0.0.1", await asyncio.to_thread(self._pipe.recv))
        self._echo_address = (upstream.ip, upstream.port)
        self._platform.set(CONFIGURATION_KEY, _configuration(self._plan, upstream))
        self._platform.set(HOSTS_KEY, _hosts(self._plan))
        key_file = self._directory / "key"
        key_file.write_text(f"1 {secrets.token_hex(32)}\n")
        for idx, name in enumerate(HOSTS):
            await self._platform.listen(self._plan.platform(idx), PLATFORM_PORT)
            settings = self._directory / f"{name}.ini"
            settings.write_text(_settings(self._plan, idx, key_file))
            self._processes[name] = await self._start_balancer(name, settings)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all([await self._is_ready(idx) for idx in range(len(HOSTS))]):
                await asyncio.sleep(0.2)

    async def _start_balancer(self, name: str, settings: Path) -> asyncio.subprocess.Process:
        arguments = ["-m", "banyanline.cli.balancer", "--settings", str(settings)]
        if name == self._profiled_host:
            arguments = ["-m", "cProfile", "-o", str(self.profile_path), *arguments]
        with (self._directory / f"{name}.log").open("wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=REPOSITORY,
                env={**os.environ, "PYTHONPATH": str(REPOSITORY)},
                stdout=log,
                stderr=log,
            )

    @property
    def profile_path(self) -> Path:
        """File to which the profiled balancer writes its profile when it exits."""
        return self._directory / "profile"

    async def _is_ready(self, idx: int) -> bool:
        status = await self.fetch_page(idx, "/status")
        return status is not None and status["revision"] > 0 and len(status["view"]) == len(HOSTS)

    async def fetch_page(self, idx: int, target: str) -> Any:
        """Return the JSON of an admin page, or None if the request fails."""
        endpoint = Endpoint(self._plan.balancer(idx), ADMIN_PORT)
        response = await http_get(
            endpoint, target, timeout_s=ADMIN_TIMEOUT_S, max_body_bytes=1_000_000
        )
        if isinstance(response, HttpFailed) or response.status != 200:
            return None
        return json.loads(response.body)

    async def find_roles(self, caller_ip: str) -> Roles:
        """Return three different hosts for the roles, and ``FLOWS`` caller ports with these roles.

        Raises RuntimeError if there are too few such flows.
        """
        ports_by_hosts: dict[tuple[str, str], list[int]] = {}
        for port in range(FIRST_CALLER_PORT, FIRST_CALLER_PORT + CALLER_PORTS):
            target = f"/why?caller={caller_ip}:{port}&service={SERVICE}"
            page = await self.fetch_page(0, target)
            if page is None or page["home"] == page["owner"]:
                continue
            ports = ports_by_hosts.setdefault((page["home"], page["owner"]), [])
            ports.append(port)
            if len(ports) == FLOWS:
                home, owner = page["home"], page["owner"]
                (ingress,) = set(HOSTS) - {home, owner}
                return Roles(ingress, home, owner, tuple(ports))
        raise RuntimeError("too few flows whose ingress, home and owner are three different hosts")

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self._processes.values():
            if process.returncode is None:
                process.terminate()
        for process in self._processes.values():
            await process.wait()
        self._pipe.send("stop")
        self._echo.join()
        await self._platform.close()


def exchange(sockets: list[socket.socket], address: tuple[str, int], round_trips: int) -> int:
    """Send on the sockets in turn, ``WINDOW`` datagrams at a time; return the replies received."""
    answered = 0
    for first in range(0, round_trips, WINDOW):
        batch = [sockets[(first + number) % len(sockets)] for number in range(WINDOW)]
        for sock in batch:
            sock.sendto(PAYLOAD, address)
        for sock in batch:
            try:
                sock.recv(65535)
            except TimeoutError:
                continue
            answered += 1
    return answered


def _measure_round_trips(
    fleet: Fleet, sockets: list[socket.socket], address: tuple[str, int], round_trips: int
) -> RoundTrips:
    echo_pid = fleet.pids["echo"]
    echo_before_s = cpu_time_s(echo_pid)
    direct = exchange(sockets, fleet.echo_address, round_trips)
    direct_echo_s = (cpu_time_s(echo_pid) - echo_before_s) / max(1, direct)
    before = {name: cpu_time_s(pid) for name, pid in fleet.pids.items()}
    started = time.monotonic()
    answered = exchange(sockets, address, round_trips)
    elapsed_s = time.monotonic() - started
    spent = {name: cpu_time_s(pid) - before[name] for name, pid in fleet.pids.items()}
    return RoundTrips(spent, answered, elapsed_s, direct_echo_s)


def _open_sockets(ip: str, ports: Iterable[int]) -> list[socket.socket]:
    sockets = []
    for port in ports:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, port))
        sock.settimeout(REPLY_TIMEOUT_S)
        sockets.append(sock)
    return sockets


async def measure(
    round_trips: int, profiled_host: str | None, directory: Path
) -> list[dict[str, Any]]:
    """Start a fleet, measure, and return a row for each repeat."""
    plan = AddressPlan.acquire(hint=60)
    fleet = Fleet(plan, directory, profiled_host)
    rows = []
    try:
        await fleet.start()
        roles = await fleet.find_roles(plan.caller(0))
        sockets = _open_sockets(plan.caller(0), roles.caller_ports)
        address = (plan.balancer(HOSTS.index(roles.ingress)), HOST_PORT)
        await asyncio.to_thread(exchange, sockets, address, WINDOW * 10)
        for _ in range(REPEATS):
            result = await asyncio.to_thread(
                _measure_round_trips, fleet, sockets, address, round_trips
            )
            rows.append(_row(result, roles))
        for sock in sockets:
            sock.close()
    finally:
        await fleet.stop()
        plan.release()
    return rows


def _row(result: RoundTrips, roles: Roles) -> dict[str, Any]:
    answered = max(1, result.answered)
    echo_us = result.cpu_s["echo"] / answered * US_PER_S
    row: dict[str, Any] = {
        "answered": result.answered,
        "round_trips_per_s": round(result.answered / result.elapsed_s),
        "echo_us": round(echo_us, 2),
        "direct_echo_us": round(result.direct_echo_s * US_PER_S, 2),
    }
    for role, hops in DATAGRAMS_PER_ROUND_TRIP.items():
        hop_us = result.cpu_s[getattr(roles, role)] / answered / hops * US_PER_S
        row[f"{role}_us"] = round(hop_us, 2)
        row[f"{role}_to_echo"] = round(hop_us / echo_us, 2)
        row[f"{role}_to_direct_echo"] = round(hop_us / US_PER_S / result.direct_echo_s, 2)
    return row


def main() -> None:
    """Measure, and print a JSON row for each repeat."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--round-trips", type=int, default=ROUND_TRIPS)
    parser.add_argument("--profile", choices=HOSTS, help="run this host under cProfile")
    parser.add_argument("--profile-to", type=Path, help="where to copy the profile")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        for row in asyncio.run(measure(options.round_trips, options.profile, directory)):
            print(json.dumps(row))
        if options.profile and options.profile_to:
            options.profile_to.write_bytes((directory / "profile").read_bytes())


if __name__ == "__main__":
    main()
