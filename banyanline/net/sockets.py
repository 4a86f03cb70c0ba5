"""UDP sockets of a balancer for callers and upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeAlias

from banyanline.core.messages import FlowKey
from banyanline.core.model import Service
from banyanline.core.types import Endpoint, ServiceName, UpstreamName
from banyanline.net.metrics import DatagramTotals
from banyanline.settings import Delivery
from banyanline.transport.datagram import DatagramSocket, SocketAddress

CallerHandler: TypeAlias = Callable[[ServiceName, Endpoint, bytes], None]
UpstreamHandler: TypeAlias = Callable[[UpstreamName, bytes], None]
FlowHandler: TypeAlias = Callable[[FlowKey, bytes], None]

UPSTREAM_BUFFER_BYTES = 256 * 1024
FLOW_BUFFER_BYTES = 64 * 1024
ANY_PORT = 0


class ServiceSockets:
    """One bound socket per service address."""

    def __init__(self, local_ip: str, delivery: Delivery, handler: CallerHandler) -> None:
        self._local_ip = local_ip
        self._delivery = delivery
        self._handler = handler
        self._sockets: dict[ServiceName, DatagramSocket] = {}
        self._endpoints: dict[ServiceName, Endpoint] = {}

    def update(self, services: Iterable[Service]) -> list[tuple[ServiceName, OSError]]:
        """Open and close sockets to match the configuration; return the failures to bind."""
        wanted = {service.name: self._endpoint(service) for service in services}
        for name, endpoint in list(self._endpoints.items()):
            if wanted.get(name) != endpoint:
                self._sockets.pop(name).close()
                del self._endpoints[name]
        failed = []
        for name, endpoint in wanted.items():
            if name in self._sockets:
                continue
            try:
                self._sockets[name] = DatagramSocket(
                    asyncio.get_running_loop(), endpoint, partial(self._receive, name)
                )
                self._endpoints[name] = endpoint
            except OSError as error:
                failed.append((name, error))
        return failed

    def _endpoint(self, service: Service) -> Endpoint:
        if self._delivery is Delivery.VIP:
            return service.address
        return Endpoint(self._local_ip, service.host_port)

    def _receive(self, service: ServiceName, data: bytes, addr: SocketAddress) -> None:
        self._handler(service, Endpoint(addr[0], addr[1]), data)

    def send(self, service: ServiceName, caller: Endpoint, payload: bytes) -> None:
        """Send a datagram to a caller from the service address."""
        socket = self._sockets.get(service)
        if socket is not None:
            socket.send(payload, caller)

    def totals(self) -> DatagramTotals:
        """Return the totals over all sockets."""
        return _totals(self._sockets.values())

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._sockets.values():
            socket.close()


class UpstreamSockets:
    """One connected socket per upstream of a ``coap`` service."""

    def __init__(
        self,
        local_ip: str,
        handler: UpstreamHandler,
        on_unreachable: Callable[[UpstreamName], None],
    ) -> None:
        self._local_ip = local_ip
        self._handler = handler
        self._on_unreachable = on_unreachable
        self._sockets: dict[UpstreamName, DatagramSocket] = {}
        self._endpoints: dict[UpstreamName, Endpoint] = {}

    def send(self, upstream: UpstreamName, endpoint: Endpoint, payload: bytes) -> None:
        """Send a datagram; opens a new socket if there is none or the endpoint has changed."""
        if self._endpoints.get(upstream) != endpoint:
            self._open(upstream, endpoint)
        self._sockets[upstream].send(payload)

    def _open(self, upstream: UpstreamName, endpoint: Endpoint) -> None:
        self._close(upstream)
        self._sockets[upstream] = DatagramSocket(
            asyncio.get_running_loop(),
            Endpoint(self._local_ip, ANY_PORT),
            lambda data, _addr: self._handler(upstream, data),
            connect_to=endpoint,
            on_unreachable=partial(self._on_unreachable, upstream),
            receive_buffer_bytes=UPSTREAM_BUFFER_BYTES,
        )
        self._endpoints[upstream] = endpoint

    def keep_only(self, upstreams: Iterable[UpstreamName]) -> None:
        """Close the sockets of all other upstreams."""
        for name in set(self._sockets) - set(upstreams):
            self._close(name)

    def _close(self, upstream: UpstreamName) -> None:
        socket = self._sockets.pop(upstream, None)
        self._endpoints.pop(upstream, None)
        if socket is not None:
            socket.close()

    def totals(self) -> DatagramTotals:
        """Return the totals over all sockets."""
        return _totals(self._sockets.values())

    def close(self) -> None:
        """Close all sockets."""
        self.keep_only(())


class FlowSockets:
    """One connected socket per flow of a ``udp`` service whose upstream this host owns."""

    def __init__(self, local_ip: str, max_sockets: int, handler: FlowHandler) -> None:
        self._local_ip = local_ip
        self._max_sockets = max_sockets
        self._handler = handler
        self._sockets: dict[FlowKey, DatagramSocket] = {}
        self._endpoints: dict[FlowKey, Endpoint] = {}
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of datagrams dropped because no socket could be opened for their flow."""
        return self._refused

    def __len__(self) -> int:
        """Return the number of open sockets."""
        return len(self._sockets)

    def send(self, flow: FlowKey, endpoint: Endpoint, payload: bytes) -> None:
        """Send a datagram on the flow's socket, which is opened if needed."""
        if self._endpoints.get(flow) != endpoint and not self._open(flow, endpoint):
            self._refused += 1
            return
        self._sockets[flow].send(payload)

    def _open(self, flow: FlowKey, endpoint: Endpoint) -> bool:
        self.close_flow(flow)
        if len(self._sockets) >= self._max_sockets:
            return False
        try:
            self._sockets[flow] = DatagramSocket(
                asyncio.get_running_loop(),
                Endpoint(self._local_ip, ANY_PORT),
                lambda data, _addr: self._handler(flow, data),
                connect_to=endpoint,
                receive_buffer_bytes=FLOW_BUFFER_BYTES,
            )
        except OSError:
            return False
        self._endpoints[flow] = endpoint
        return True

    def close_flow(self, flow: FlowKey) -> None:
        """Close the socket of a flow, if there is one."""
        socket = self._sockets.pop(flow, None)
        self._endpoints.pop(flow, None)
        if socket is not None:
            socket.close()

    def close(self) -> None:
        """Close all sockets."""
        for flow in list(self._sockets):
            self.close_flow(flow)


def _totals(sockets: Iterable[DatagramSocket]) -> DatagramTotals:
    counts = [socket.counts for socket in sockets]
    return DatagramTotals(
        sum(count.received for count in counts),
        sum(count.sent for count in counts),
        sum(count.send_drops for count in counts),
        sum(count.unreachable for count in counts),
    )
