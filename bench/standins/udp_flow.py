"""A caller's flow of opaque datagrams; detects gaps and changes of upstream like a stream."""

from __future__ import annotations

import asyncio
import time

from bench.network.fabric import ServiceRoute
from bench.scenarios.observations import Echo, FlowEnd, FlowRecord, Observations, parse_echo
from bench.standins.sockets import Address, UdpSocket
from bench.standins.streams import FLOW_TIMEOUT_S, REOPEN_DELAY_S
from bench.standins.udp_upstream import DATAGRAM_PREFIX

SEND_INTERVAL_S = 0.25


class UdpFlow:
    """Sends one flow from its own address until :meth:`run` is cancelled."""

    def __init__(
        self, name: str, address: Address, route: ServiceRoute, observations: Observations
    ) -> None:
        self._name = name
        self._route = route
        self._observations = observations
        self._socket = UdpSocket(address, self._on_datagram)
        self._sequence = 0
        self._key = ""
        self._first_echo: Echo | None = None
        self._opened_at = 0.0
        self._last_received_at = 0.0
        self._end: FlowEnd | None = None

    @property
    def is_open(self) -> bool:
        """Whether the flow is established and unbroken."""
        return self._first_echo is not None

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def run(self) -> None:
        """Keep a flow open, reopening it when it ends; record it as closed on cancellation."""
        try:
            while True:
                await self._run_flow()
                self._record()
                await asyncio.sleep(REOPEN_DELAY_S)
        except asyncio.CancelledError:
            self._end = self._end or FlowEnd.CLOSED
            self._record()
            raise

    async def _run_flow(self) -> None:
        self._key = f"{self._name}-{self._sequence}"
        self._first_echo = None
        self._end = None
        while self._end is None:
            self._sequence += 1
            self._observations.datagrams_sent += 1
            datagram = f"{self._key} {self._route.name} {self._sequence}".encode()
            self._socket.send(DATAGRAM_PREFIX + datagram, self._route.address)
            await asyncio.sleep(SEND_INTERVAL_S)
            is_silent = time.monotonic() - self._last_received_at > FLOW_TIMEOUT_S
            if self._first_echo is not None and is_silent and self._end is None:
                self._end = FlowEnd.SILENT

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self._observations.datagrams_received += 1
        echo = parse_echo(data.removeprefix(DATAGRAM_PREFIX))
        is_ours = echo is not None and echo.key.startswith(f"{self._name}-")
        if echo is None or not is_ours or source != self._route.address:
            self._observations.misdelivered += 1
            return
        if echo.service != self._route.name:
            self._observations.misdelivered += 1
        if echo.key != self._key or self._end is not None:
            return
        self._last_received_at = time.monotonic()
        if self._first_echo is None:
            self._first_echo = echo
            self._opened_at = self._last_received_at
        elif (echo.upstream, echo.boot) != (self._first_echo.upstream, self._first_echo.boot):
            self._end = FlowEnd.MOVED

    def _record(self) -> None:
        if self._first_echo is None or self._end is None:
            return
        first, self._first_echo = self._first_echo, None
        record = FlowRecord(
            self._key,
            first.service,
            first.upstream,
            self._opened_at,
            self._last_received_at,
            self._end,
        )
        self._observations.flows.append(record)
