"""Base class of the stand-ins for upstreams: lifecycle, socket, health and counters."""

from __future__ import annotations

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NamedTuple

from bench.standins import coap
from bench.standins.capacity import ColdCapacity, Ramp
from bench.standins.execution_log import ExecutionLog
from bench.standins.health import HealthEndpoint, HealthSample
from bench.standins.sockets import Address, UdpSocket

TICK_S = 0.2


class UpstreamSpec(NamedTuple):
    """Properties of an upstream that stay fixed during a run."""

    name: str
    service: str
    data_centre: str
    address: Address
    slots: int = 2
    service_time_s: float = 0.03
    ramp: Ramp = Ramp()


class UpstreamCounts:
    """Counters and times of events for the evaluation of a run; times are monotonic."""

    def __init__(self) -> None:
        self.packet_times: list[float] = []
        self.new_work_times: list[float] = []
        self.shed = 0
        self.cold_overloads = 0
        self.misdelivered = 0


class Upstream(ABC):
    """One upstream at its own loopback address."""

    def __init__(
        self,
        spec: UpstreamSpec,
        execution_log: ExecutionLog,
        rng: random.Random,
        is_partitioned: Callable[[str], bool] = lambda ip: False,
        *,
        cold: bool = False,
    ) -> None:
        self._spec = spec
        self._execution_log = execution_log
        self._rng = rng
        self._is_partitioned = is_partitioned
        self._loop = asyncio.get_running_loop()
        self._counts = UpstreamCounts()
        self._health = HealthEndpoint()
        self._restarts: list[float] = []
        self._was_added_cold = cold
        self._socket: UdpSocket | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._boot_number = 0
        self._start(time.monotonic() if cold else float("-inf"))

    @property
    def spec(self) -> UpstreamSpec:
        """Name, service, data centre, address and capacity."""
        return self._spec

    @property
    def counts(self) -> UpstreamCounts:
        """Counters and times of events."""
        return self._counts

    @property
    def health(self) -> HealthEndpoint:
        """The health endpoint, whose fault can be set."""
        return self._health

    @property
    def boot(self) -> str:
        """The boot identity, new at each start."""
        return f"{self._spec.name}-{self._boot_number}"

    @property
    def restarts(self) -> list[float]:
        """Times at which the upstream stopped, in seconds of the monotonic clock."""
        return self._restarts

    @property
    def was_added_cold(self) -> bool:
        """Whether the upstream was added cold to a running system."""
        return self._was_added_cold

    @property
    @abstractmethod
    def active(self) -> int:
        """Number of requests in progress."""

    @abstractmethod
    def discard_state(self) -> None:
        """Discard the state that a restart loses."""

    @abstractmethod
    def on_datagram(self, data: bytes, source: Address) -> None:
        """Process a datagram."""

    @abstractmethod
    def on_tick(self) -> None:
        """Do periodic work."""

    def stop(self) -> None:
        """Close the socket and discard all state; the kernel refuses datagrams from then on."""
        if self._socket is None:
            return
        self._socket.close()
        self._socket = None
        self._restarts.append(time.monotonic())
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self.discard_state()

    def start_cold(self) -> None:
        """Start again with a new boot identity and a slow start, unless running."""
        if self._socket is None:
            self._start(time.monotonic())

    def restart(self, down_s: float) -> None:
        """Stop without warning and start cold after ``down_s`` seconds."""
        self.stop()
        self._loop.call_later(down_s, self.start_cold)

    def send(self, data: bytes, destination: Address) -> None:
        """Send a datagram unless the destination is partitioned from this upstream."""
        if self._socket is not None and not self._is_partitioned(destination[0]):
            self._socket.send(data, destination)

    def echo(self, key: str, extra: str = "") -> str:
        """Return the payload by which a caller identifies the request, upstream and boot."""
        return f"{key} {self._spec.service} {self._spec.name} {self.boot} {extra}"

    def _start(self, started_at: float) -> None:
        self._boot_number += 1
        self._capacity = ColdCapacity(self._spec.ramp, started_at)
        self._socket = UdpSocket(self._spec.address, self._receive)
        self._tick()

    def _receive(self, data: bytes, source: Address) -> None:
        if self._is_partitioned(source[0]):
            return
        self._counts.packet_times.append(time.monotonic())
        self.on_datagram(data, source)

    def _tick(self) -> None:
        self._sample_health()
        self.on_tick()
        self._tick_timer = self._loop.call_later(TICK_S, self._tick)

    def _sample_health(self) -> None:
        now = time.monotonic()
        state = "warm" if self._capacity.is_warm(now) else "cold"
        self._health.add(HealthSample(now, state, self.active / self._spec.slots))

    def health_response(self) -> coap.Response:
        """Return the response to a health request."""
        self._sample_health()
        return coap.Response(coap.CONTENT, self._health.render(self.boot))


def is_health_request(message: Any) -> bool:
    """Whether a decoded CoAP message requests the health document."""
    path = tuple(message.opt.uri_path)
    return bool(path) and path[-1] == "health"
