"""The stand-in for the fabric: forwards each datagram to a random balancer of the group.

It keeps one socket per caller, so that balancers see a distinct source address
for each caller, and sends responses to callers from the service's address.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from bench.network.addresses import CALLER_PORT, AddressPlan
from bench.network.link import Link, NetworkPartitions
from bench.standins.sockets import Address, UdpSocket


class ServiceRoute(NamedTuple):
    """A service address and the port at which balancer hosts receive its datagrams."""

    name: str
    address: Address
    host_port: int


class FabricMember(NamedTuple):
    """A balancer host to which the fabric forwards datagrams."""

    name: str
    data_centre: str
    ip: str


class FabricCounts:
    """Numbers of datagrams, forwarded and dropped."""

    def __init__(self) -> None:
        self.to_balancers = 0
        self.to_callers = 0
        self.no_member = 0
        self.unknown_source_port = 0


class _CallerSource:
    """The socket whose address balancers see as the source for one caller."""

    def __init__(self, caller: Address, data_centre: str, socket: UdpSocket) -> None:
        self.caller = caller
        self.data_centre = data_centre
        self.socket = socket


class Fabric:
    """Chooses a member for each packet and rewrites its destination (``delivery = host``)."""

    def __init__(
        self,
        plan: AddressPlan,
        routes: tuple[ServiceRoute, ...],
        data_centres: tuple[str, ...],
        link: Link,
        partitions: NetworkPartitions,
        rng: random.Random,
    ) -> None:
        self._plan = plan
        self._data_centres = data_centres
        self._link = link
        self._partitions = partitions
        self._rng = rng
        self._members: list[FabricMember] = []
        self._sources: dict[Address, _CallerSource] = {}
        self._counts = FabricCounts()
        self._services: dict[int, UdpSocket] = {}
        for route in routes:
            on_datagram = partial(self._on_caller_datagram, route.host_port)
            self._services[route.host_port] = UdpSocket(route.address, on_datagram)

    @property
    def link(self) -> Link:
        """The link between callers and balancers."""
        return self._link

    @property
    def counts(self) -> FabricCounts:
        """Numbers of datagrams so far."""
        return self._counts

    @property
    def members(self) -> tuple[FabricMember, ...]:
        """The hosts to which the fabric forwards datagrams."""
        return tuple(self._members)

    def add(self, member: FabricMember) -> None:
        """Add ``member``, replacing a member of the same name."""
        self.remove(member.name)
        self._members.append(member)

    def remove(self, name: str) -> None:
        """Stop forwarding to the host ``name``."""
        self._members = [member for member in self._members if member.name != name]

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._services.values():
            socket.close()
        for caller_source in self._sources.values():
            caller_source.socket.close()

    def _on_caller_datagram(self, host_port: int, data: bytes, caller: Address) -> None:
        caller_source = self._sources.get(caller)
        if caller_source is None:
            caller_source = self._open_source(caller)
        self._link.transmit(partial(self._forward_to_balancer, caller_source, host_port, data))

    def _forward_to_balancer(
        self, caller_source: _CallerSource, host_port: int, data: bytes
    ) -> None:
        reachable = self._members
        if self._partitions.is_active:
            reachable = [
                member
                for member in reachable
                if not self._partitions.is_blocked(caller_source.data_centre, member.data_centre)
            ]
        if not reachable:
            self._counts.no_member += 1
            return
        self._counts.to_balancers += 1
        caller_source.socket.send(data, (self._rng.choice(reachable).ip, host_port))

    def _open_source(self, caller: Address) -> _CallerSource:
        idx = len(self._sources)
        data_centre = self._data_centres[idx % len(self._data_centres)]
        address = (self._plan.fabric_source(idx), CALLER_PORT)
        on_datagram: Callable[[bytes, Address], None] = partial(self._on_balancer_datagram, caller)
        caller_source = _CallerSource(caller, data_centre, UdpSocket(address, on_datagram))
        self._sources[caller] = caller_source
        return caller_source

    def _on_balancer_datagram(self, caller: Address, data: bytes, source: Address) -> None:
        service = self._services.get(source[1])
        if service is None:
            self._counts.unknown_source_port += 1
            return
        self._counts.to_callers += 1
        self._link.transmit(partial(service.send, data, caller))
