"""A stateless hash balancer as the baseline: no homes, no owners, no health checks.

Each process hashes the caller's endpoint over the in-service upstreams of its
own configuration, as plain hashing load balancers do, and forwards through one
socket per caller and service. Start it with ``--settings FILE`` like the
balancer.
"""

from __future__ import annotations

import asyncio
import configparser
import signal
from functools import partial
from typing import NamedTuple

import xxhash
from absl import app, flags

from banyanline.config import parse_document
from banyanline.core.model import Configuration
from banyanline.core.types import UpstreamState
from bench.standins.sockets import Address, UdpSocket

FLAGS = flags.FLAGS
READ_RETRY_INTERVAL_S = 0.5
BLOCKING_QUERY_WAIT_S = 10
READ_BYTES = 1 << 20


class _Service(NamedTuple):
    host_port: int
    upstreams: tuple[Address, ...]


def list_services(configuration: Configuration) -> dict[str, _Service]:
    """Return host port and eligible upstreams of each service, by service name."""
    services = {}
    for service in configuration.services:
        upstreams = tuple(
            (upstream.endpoint.ip, upstream.endpoint.port)
            for upstream in service.upstreams
            if upstream.state is UpstreamState.IN_SERVICE
            and configuration.is_data_centre_in_service(upstream.data_centre)
        )
        services[service.name] = _Service(service.host_port, upstreams)
    return services


def choose_upstream(caller: Address, upstreams: tuple[Address, ...]) -> Address:
    """Return the upstream with the highest hash for the caller (rendezvous hashing).

    >>> choose_upstream(("a", 1), (("u1", 1),))
    ('u1', 1)
    """

    def weight(upstream: Address) -> int:
        return xxhash.xxh3_64_intdigest(f"{caller}{upstream}".encode())

    return max(upstreams, key=weight)


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return ip, int(port)


class HashBalancer:
    """Forwards each datagram to the upstream chosen by hash."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._services: dict[str, _Service] = {}
        self._sockets: dict[str, UdpSocket] = {}
        self._flows: dict[tuple[str, Address], UdpSocket] = {}

    def configure(self, document: bytes) -> None:
        """Apply a configuration document regardless of its revision; ignore an invalid one."""
        configuration = parse_document(document)
        if not isinstance(configuration, Configuration):
            return
        self._services = list_services(configuration)
        for name, service in self._services.items():
            if name not in self._sockets:
                on_datagram = partial(self._forward_to_upstream, name)
                address = (self._ip, service.host_port)
                self._sockets[name] = UdpSocket(address, on_datagram)

    def _forward_to_upstream(self, name: str, data: bytes, caller: Address) -> None:
        upstreams = self._services[name].upstreams
        if not upstreams:
            return
        flow = self._flows.get((name, caller))
        if flow is None:
            on_response = partial(self._forward_to_caller, name, caller)
            flow = UdpSocket((self._ip, 0), on_response)
            self._flows[name, caller] = flow
        flow.send(data, choose_upstream(caller, upstreams))

    def _forward_to_caller(self, name: str, caller: Address, data: bytes, source: Address) -> None:
        self._sockets[name].send(data, caller)


async def read_key(address: Address, key: str, known_index: int) -> tuple[int, bytes]:
    """Read a key from the platform with a blocking query; return its index and value.

    The platform responds when the index is higher than ``known_index`` or after
    BLOCKING_QUERY_WAIT_S. Raise OSError when the response has no index.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        target = f"/v1/kv/{key}?raw&index={known_index}&wait={BLOCKING_QUERY_WAIT_S}s"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n".encode())
        raw = await reader.read(READ_BYTES)
        while chunk := await reader.read(READ_BYTES):
            raw += chunk
    finally:
        writer.close()
    head, _, body = raw.partition(b"\r\n\r\n")
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-consul-index":
            return int(value), body
    raise OSError("no index: the platform's response lacks the X-Consul-Index header")


async def _watch(balancer: HashBalancer, address: Address, key: str) -> None:
    known_index = 0
    while True:
        try:
            index, body = await read_key(address, key, known_index)
        except (OSError, ValueError):
            await asyncio.sleep(READ_RETRY_INTERVAL_S)
            continue
        if index != known_index and body:
            known_index = index
            balancer.configure(body)


async def _serve(path: str) -> None:
    settings = configparser.ConfigParser()
    settings.read(path)
    balancer = HashBalancer(settings["host"]["address"])
    address = _parse_address(settings["platform"]["addresses"].split(",")[0])
    key = settings["platform"]["configuration_key"]
    watch = asyncio.create_task(_watch(balancer, address, key))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, watch.cancel)
    await asyncio.wait((watch,))


def main(argv: list[str]) -> None:
    """Run until SIGTERM."""
    del argv
    asyncio.run(_serve(FLAGS.settings))


if __name__ == "__main__":
    flags.DEFINE_string("settings", None, "INI file with the balancer's settings.", required=True)
    app.run(main)
