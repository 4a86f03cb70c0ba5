"""A caller's flow of opaque datagrams, watched for gaps and moves like a stream."""

from __future__ import annotations

import asyncio
import time

from bench.network.fabric import ServiceRoute
from bench.scenarios.observations import Echo, FlowEnd, FlowRecord, Observations, parse_echo
from bench.standins.sockets import Address, UdpSocket
from bench.standins.streams import GAP_S, REOPEN_DELAY_S
from bench.standins.udp_upstream import MARK

SEND_INTERVAL_S = 0.25


class UdpFlow:
    """Keeps one flow going from an address of its own until :meth:`run` is cancelled."""

    def __init__(
        self, name: str, address: Address, route: ServiceRoute, observations: Observations
    ) -> None:
        self._name = name
        self._route = route
        self._observations = observations
        self._socket = UdpSocket(address, self._on_datagram)
        self._number = 0
        self._key = ""
        self._first: Echo | None = None
        self._opened_at = 0.0
        self._heard_at = 0.0
        self._end: FlowEnd | None = None

    @property
    def is_open(self) -> bool:
        """Whether the flow is established and unbroken."""
        return self._first is not None

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def run(self) -> None:
        """Keep a flow going; on cancellation record it as closed."""
        try:
            while True:
                await self._flow()
                self._record()
                await asyncio.sleep(REOPEN_DELAY_S)
        except asyncio.CancelledError:
            self._end = self._end or FlowEnd.CLOSED
            self._record()
            raise

    async def _flow(self) -> None:
        self._key = f"{self._name}-{self._number}"
        self._first = None
        self._end = None
        while self._end is None:
            self._number += 1
            self._observations.datagrams_sent += 1
            datagram = f"{self._key} {self._route.name} {self._number}".encode()
            self._socket.send(MARK + datagram, self._route.address)
            await asyncio.sleep(SEND_INTERVAL_S)
            is_silent = time.monotonic() - self._heard_at > GAP_S
            if self._first is not None and is_silent and self._end is None:
                self._end = FlowEnd.SILENT

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self._observations.datagrams_received += 1
        echo = parse_echo(data.removeprefix(MARK))
        is_ours = echo is not None and echo.key.startswith(f"{self._name}-")
        if echo is None or not is_ours or source != self._route.address:
            self._observations.misdelivered += 1
            return
        if echo.service != self._route.name:
            self._observations.misdelivered += 1
        if echo.key != self._key or self._end is not None:
            return
        self._heard_at = time.monotonic()
        if self._first is None:
            self._first = echo
            self._opened_at = self._heard_at
        elif (echo.upstream, echo.boot) != (self._first.upstream, self._first.boot):
            self._end = FlowEnd.MOVED

    def _record(self) -> None:
        if self._first is None or self._end is None:
            return
        first, self._first = self._first, None
        record = FlowRecord(
            self._key, first.service, first.upstream, self._opened_at, self._heard_at, self._end
        )
        self._observations.flows.append(record)
