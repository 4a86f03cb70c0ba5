"""Asks one balancer directly, past the fabric, whether it serves yet."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from bench.network.fabric import ServiceRoute
from bench.standins import coap
from bench.standins.sockets import Address, UdpSocket

ANSWER_WAIT_S = 0.5


class Prober:
    """Sends readings requests to balancer hosts; any host of the group may answer."""

    def __init__(self, address: Address, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: dict[bytes, asyncio.Future[Any]] = {}
        self._socket = UdpSocket(address, self._on_datagram)

    async def serves(self, ip: str, route: ServiceRoute) -> bool:
        """Whether the balancer at ``ip`` gets an answer for the service."""
        token = self._rng.randbytes(8)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[token] = answer
        request = coap.Request(
            coap.GET,
            self._rng.randrange(65536),
            token,
            (route.name, "readings"),
            (f"k=probe-{token.hex()}",),
        )
        self._socket.send(coap.encode_request(request), (ip, route.host_port))
        await asyncio.wait((answer,), timeout=ANSWER_WAIT_S)
        del self._waiting[token]
        return answer.done() and bool(answer.result().code.is_successful())

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _on_datagram(self, data: bytes, source: Address) -> None:
        del source
        message = coap.decode(data)
        answer = self._waiting.get(message.token) if message is not None else None
        if answer is not None and not answer.done():
            answer.set_result(message)
