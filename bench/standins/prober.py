"""Readiness probe that sends requests to one balancer directly, bypassing the fabric."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from bench.network.fabric import ServiceRoute
from bench.standins import coap
from bench.standins.sockets import Address, UdpSocket

RESPONSE_TIMEOUT_S = 0.5


class Prober:
    """Sends requests for readings to balancer hosts; any host of the group may respond."""

    def __init__(self, address: Address, rng: random.Random) -> None:
        self._rng = rng
        self._pending: dict[bytes, asyncio.Future[Any]] = {}
        self._socket = UdpSocket(address, self._on_datagram)

    async def serves(self, ip: str, route: ServiceRoute) -> bool:
        """Whether a request for the service through the balancer at ``ip`` succeeds."""
        token = self._rng.randbytes(8)
        response: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[token] = response
        request = coap.Request(
            coap.GET,
            self._rng.randrange(65536),
            token,
            (route.name, "readings"),
            (f"k=probe-{token.hex()}",),
        )
        self._socket.send(coap.encode_request(request), (ip, route.host_port))
        await asyncio.wait((response,), timeout=RESPONSE_TIMEOUT_S)
        del self._pending[token]
        return response.done() and bool(response.result().code.is_successful())

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _on_datagram(self, data: bytes, source: Address) -> None:
        del source
        message = coap.decode(data)
        response = self._pending.get(message.token) if message is not None else None
        if response is not None and not response.done():
            response.set_result(message)
