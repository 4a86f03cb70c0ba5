"""Starts the project's balancer on several hosts, and routes clients' packets to them."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
import zlib
from pathlib import Path

from standins.packet import Address

ROOT = Path(__file__).resolve().parents[3]
PACKETS_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
STORE_PORT = 8169
TARGET_PORT = 8080
CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4
MISSES = 2
START_LIMIT_S = 20.0
FIRST_BLOCK = 20
LAST_BLOCK = 250

_SETTINGS = """\
node_name = "{name}"
role = "balancer"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "geo"
internal_port_range = [7720,7735]
seeds = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "announce"
heartbeat_ms = 1200
hash = "mod"
forwarding_mode = "echo"
[zones]
{zones}
[listen]
datagram_address = "{ip}:{packets}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
outer_ms = 12000
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
reorder_window_ms = 2000
max_flow_s = 60
[platform]
address = "{store}"
forwarding_mode = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class Block:
    """A block ``127.B.0.0/16`` of loopback addresses that no other run uses."""

    def __init__(self) -> None:
        for number in range(FIRST_BLOCK, LAST_BLOCK):
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((f"127.{number}.255.1", STORE_PORT))
            except OSError:
                lock.close()
                continue
            self._number, self._lock = number, lock
            return
        raise OSError("no free block of loopback addresses")

    def ip(self, net: int, host: int) -> str:
        """Return an address of the block."""
        return f"127.{self._number}.{net}.{host}"

    def release(self) -> None:
        """Let other runs use the block."""
        self._lock.close()


class Host:
    """One balancer process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ip: str) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.misses = MISSES
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def in_rotation(self) -> bool:
        """Whether routers send packets to this host."""
        return self.misses < MISSES

    def start(self, folder: Path) -> None:
        """Start the process; its log goes to a file in ``folder``."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        passed = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        passed |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BANYANLINE_BOOT": str(folder / f"{self.name}.toml"),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["balancer"]["run"].split(),
                cwd=ROOT,
                env=passed,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for it."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    @property
    def has_exited(self) -> bool:
        """Whether the process was started and has ended."""
        return self._process is not None and self._process.poll() is not None


class Fleet:
    """All hosts, their settings, and the routers in front of them."""

    def __init__(self, block: Block, hosts_by_zone: dict[str, int], store: Address) -> None:
        self.hosts = [
            Host(f"front-{zone}-{number + 1}", zone, block.ip(1 + net, 10 + number))
            for net, (zone, count) in enumerate(hosts_by_zone.items())
            for number in range(count)
        ]
        self._folder = tempfile.TemporaryDirectory(prefix="banyanline-review-")
        self.folder = Path(self._folder.name)
        self._write_settings(list(hosts_by_zone), store)
        self._checks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all hosts and routers; raises TimeoutError if a host does not get ready."""
        for host in self.hosts:
            host.start(self.folder)
        self._checks = [asyncio.create_task(self._check(host)) for host in self.hosts]
        async with asyncio.timeout(START_LIMIT_S):
            while not all(host.in_rotation for host in self.hosts):
                await asyncio.sleep(0.05)

    def close(self) -> None:
        """End all processes."""
        for check in self._checks:
            check.cancel()
        for host in self.hosts:
            host.kill()
        self._folder.cleanup()

    def pick(self, zone: str, src: Address, dst: Address) -> Address:
        """Return where the routers send a packet of a client in ``zone``."""
        own = [host for host in self.hosts if host.zone == zone]
        nodes = [host for host in own if host.in_rotation]
        if not nodes:
            nodes = [host for host in self.hosts if host.in_rotation] or own
        elif 2 * len(nodes) < len(own):
            nodes = own
        chosen = nodes[zlib.crc32(repr((src, dst)).encode()) % len(nodes)]
        return chosen.ip, PACKETS_PORT

    def log(self, host: Host) -> str:
        """Return what a host has logged."""
        return (self.folder / f"{host.name}.log").read_text()

    async def _check(self, host: Host) -> None:
        """Check a host's readiness twice a second."""
        while True:
            host.misses = 0 if await _is_ready(host) else host.misses + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _write_settings(self, zones: list[str], store: Address) -> None:
        first = {zone: next(host for host in self.hosts if host.zone == zone) for zone in zones}
        seeds = ",".join(f'"{host.ip}:{CONTROL_PORT}"' for host in first.values())
        for host in self.hosts:
            text = _SETTINGS.format(
                name=host.name,
                ip=host.ip,
                zone=host.zone,
                seeds=seeds,
                zones="\n".join(f'{zone} = "geo"' for zone in zones),
                packets=PACKETS_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                store=f"{store[0]}:{store[1]}",
            )
            (self.folder / f"{host.name}.toml").write_text(text)


async def _is_ready(host: Host) -> bool:
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host.ip, READY_PORT)
            try:
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False
