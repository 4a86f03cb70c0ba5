"""The stand-in for the fabric: sprays each datagram over the balancers of the group.

It keeps one socket for each caller, so that balancers see a distinct source
address for each, and sends every answer back from the service's address.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from bench.network.addresses import CALLER_PORT, AddressPlan
from bench.network.link import Cuts, Link
from bench.standins.sockets import Address, UdpSocket


class ServiceRoute(NamedTuple):
    """A service address and the port at which balancer hosts take its datagrams."""

    name: str
    address: Address
    host_port: int


class Member(NamedTuple):
    """A balancer host that the fabric sprays to."""

    name: str
    data_centre: str
    ip: str


class FabricCounts:
    """What passed the fabric."""

    def __init__(self) -> None:
        self.to_balancers = 0
        self.to_callers = 0
        self.no_member = 0
        self.not_from_service = 0


class _CallerPort:
    """The source that balancers see for one caller."""

    def __init__(self, caller: Address, data_centre: str, socket: UdpSocket) -> None:
        self.caller = caller
        self.data_centre = data_centre
        self.socket = socket


class Fabric:
    """Rewrites destinations (``delivery = host``) and sprays packet by packet."""

    def __init__(
        self,
        plan: AddressPlan,
        routes: tuple[ServiceRoute, ...],
        data_centres: tuple[str, ...],
        link: Link,
        cuts: Cuts,
        rng: random.Random,
    ) -> None:
        self._plan = plan
        self._data_centres = data_centres
        self._link = link
        self._cuts = cuts
        self._rng = rng
        self._members: list[Member] = []
        self._ports: dict[Address, _CallerPort] = {}
        self._counts = FabricCounts()
        self._services: dict[int, UdpSocket] = {}
        for route in routes:
            on_datagram = partial(self._from_caller, route.host_port)
            self._services[route.host_port] = UdpSocket(route.address, on_datagram)

    @property
    def link(self) -> Link:
        """The link between callers and balancers."""
        return self._link

    @property
    def counts(self) -> FabricCounts:
        """What passed so far."""
        return self._counts

    @property
    def members(self) -> tuple[Member, ...]:
        """The hosts that the fabric sprays to."""
        return tuple(self._members)

    def add(self, member: Member) -> None:
        """Spray to ``member`` too."""
        self.remove(member.name)
        self._members.append(member)

    def remove(self, name: str) -> None:
        """Spray to the host no more."""
        self._members = [member for member in self._members if member.name != name]

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._services.values():
            socket.close()
        for port in self._ports.values():
            port.socket.close()

    def _from_caller(self, host_port: int, data: bytes, caller: Address) -> None:
        port = self._ports.get(caller)
        if port is None:
            port = self._open_port(caller)
        self._link.carry(partial(self._spray, port, host_port, data))

    def _spray(self, port: _CallerPort, host_port: int, data: bytes) -> None:
        reachable = self._members
        if self._cuts.is_active:
            reachable = [
                member
                for member in reachable
                if not self._cuts.is_blocked(port.data_centre, member.data_centre)
            ]
        if not reachable:
            self._counts.no_member += 1
            return
        self._counts.to_balancers += 1
        port.socket.send(data, (self._rng.choice(reachable).ip, host_port))

    def _open_port(self, caller: Address) -> _CallerPort:
        idx = len(self._ports)
        data_centre = self._data_centres[idx % len(self._data_centres)]
        address = (self._plan.fabric_port(idx), CALLER_PORT)
        on_datagram: Callable[[bytes, Address], None] = partial(self._from_balancer, caller)
        port = _CallerPort(caller, data_centre, UdpSocket(address, on_datagram))
        self._ports[caller] = port
        return port

    def _from_balancer(self, caller: Address, data: bytes, source: Address) -> None:
        service = self._services.get(source[1])
        if service is None:
            self._counts.not_from_service += 1
            return
        self._counts.to_callers += 1
        self._link.carry(partial(service.send, data, caller))
