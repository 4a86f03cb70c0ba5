"""The stand-in for a CoAP upstream.

It has a few slots, starts cold, drains, sheds, honours deadlines and cancellation
and serves Observe streams, orders, readings and block-wise sheets. It records
every execution in a :class:`~bench.runlog.RunLog`.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from bench import coap
from bench.capacity import ColdCapacity, Ramp
from bench.runlog import RunLog
from bench.sheet import BLOCK_EXPONENT, sheet_content, sheet_etag
from bench.sockets import Address, UdpSocket

NOTIFY_INTERVAL_S = 0.2
FALL_OVER_S = 3.0
SHED_MAX_AGE_S = 1
ANSWERS_KEPT = 4096
HEALTH_SAMPLES = 50
SERVICE_TIME_SPREAD = 0.5
"""Service times are uniform within this share around the mean."""


class UpstreamSpec(NamedTuple):
    """What is fixed for an upstream during a run."""

    name: str
    service: str
    data_centre: str
    address: Address
    slots: int = 2
    service_time_s: float = 0.03
    ramp: Ramp = Ramp()


class HealthFault(NamedTuple):
    """How the health endpoint misleads: ``load`` and ``state`` replace the truth."""

    load: float | None = None
    state: str | None = None
    lag_s: float = 0.0


class UpstreamCounts:
    """What the upstream saw, for the judge."""

    def __init__(self) -> None:
        self.packets: list[float] = []
        self.new_work: list[float] = []
        self.shed = 0
        self.cold_overloads = 0
        self.misdelivered = 0


class _HealthSample(NamedTuple):
    at: float
    state: str
    load: float


class _Exchange(NamedTuple):
    source: Address
    message_id: int


class _Stream:
    """One observation: where its notifications go and how far they are."""

    def __init__(self, key: str, source: Address, token: bytes) -> None:
        self.key = key
        self.source = source
        self.token = token
        self.sequence = 1


class Upstream:
    """One upstream at its own loopback address."""

    def __init__(
        self,
        spec: UpstreamSpec,
        runs: RunLog,
        rng: random.Random,
        is_cut_off: Callable[[str], bool] = lambda ip: False,
        *,
        cold: bool = False,
    ) -> None:
        self._spec = spec
        self._runs = runs
        self._rng = rng
        self._is_cut_off = is_cut_off
        self._loop = asyncio.get_running_loop()
        self._counts = UpstreamCounts()
        self._health_fault = HealthFault()
        self._health_samples: deque[_HealthSample] = deque(maxlen=HEALTH_SAMPLES)
        self._restarts: list[float] = []
        self._is_late_comer = cold
        self._message_id = rng.randrange(65536)
        self._socket: UdpSocket | None = None
        self._boot_number = 0
        self._boot(time.monotonic() if cold else float("-inf"))

    @property
    def spec(self) -> UpstreamSpec:
        """Name, service, data centre, address and capacity."""
        return self._spec

    @property
    def counts(self) -> UpstreamCounts:
        """What the upstream saw."""
        return self._counts

    @property
    def boot(self) -> str:
        """The identity of this start."""
        return f"{self._spec.name}-{self._boot_number}"

    @property
    def restarts(self) -> list[float]:
        """When the upstream went down, in seconds of the monotonic clock."""
        return self._restarts

    @property
    def is_late_comer(self) -> bool:
        """Whether the upstream was added cold to a running system."""
        return self._is_late_comer

    @property
    def streams(self) -> int:
        """Streams that are open here."""
        return len(self._streams)

    @property
    def health_fault(self) -> HealthFault:
        """How the health endpoint misleads."""
        return self._health_fault

    @health_fault.setter
    def health_fault(self, fault: HealthFault) -> None:
        self._health_fault = fault

    def stop(self) -> None:
        """Go down: drop everything and answer nothing (the kernel refuses datagrams)."""
        if self._socket is None:
            return
        self._socket.close()
        self._socket = None
        self._restarts.append(time.monotonic())
        for timer in (*self._active.values(), *self._timers):
            timer.cancel()
        self._active.clear()
        self._streams.clear()

    def start_cold(self) -> None:
        """Come back with a new boot identity and a cold start."""
        if self._socket is None:
            self._boot(time.monotonic())

    def restart(self, down_s: float) -> None:
        """Go down without warning and come back cold after ``down_s`` seconds."""
        self.stop()
        self._loop.call_later(down_s, self.start_cold)

    def _boot(self, started_at: float) -> None:
        self._boot_number += 1
        self._cold = ColdCapacity(self._spec.ramp, started_at)
        self._active: dict[_Exchange, asyncio.TimerHandle] = {}
        self._answers: OrderedDict[_Exchange, bytes] = OrderedDict()
        self._streams: dict[str, _Stream] = {}
        self._timers: list[asyncio.TimerHandle] = []
        self._socket = UdpSocket(self._spec.address, self._on_datagram)
        self._schedule_notifications()

    def _send(self, data: bytes, destination: Address) -> None:
        if self._socket is not None and not self._is_cut_off(destination[0]):
            self._socket.send(data, destination)

    def _on_datagram(self, data: bytes, source: Address) -> None:
        if self._is_cut_off(source[0]):
            return
        self._counts.packets.append(time.monotonic())
        message = coap.decode(data)
        if message is None:
            return
        exchange = _Exchange(source, message.mid)
        if message.mtype == coap.Kind.RST:
            self._on_reset(exchange)
        elif message.code.is_request():
            self._on_request(exchange, message)

    def _on_reset(self, exchange: _Exchange) -> None:
        timer = self._active.pop(exchange, None)
        if timer is not None:
            timer.cancel()

    def _on_request(self, exchange: _Exchange, message: Any) -> None:
        if exchange in self._active:
            return
        if exchange in self._answers:
            self._send(self._answers[exchange], exchange.source)
            return
        path = tuple(message.opt.uri_path)
        if path and path[-1] == "health":
            self._answer(exchange, message, self._health())
            return
        if path[:1] != (self._spec.service,):
            self._counts.misdelivered += 1
        if message.opt.observe == 1:
            self._on_deregister(exchange, message)
            return
        self._on_work(exchange, message)

    def _on_work(self, exchange: _Exchange, message: Any) -> None:
        now = time.monotonic()
        key = _request_key(message)
        is_stream = message.opt.observe == 0
        block = message.opt.block2
        continues = (is_stream and key in self._streams) or (block and block.block_number > 0)
        if not continues:
            self._counts.new_work.append(now)
        if not self._cold.bears(now, len(self._active)):
            self._counts.cold_overloads += 1
            self.restart(FALL_OVER_S)
            return
        if len(self._active) >= self._spec.slots or coap.deadline_ms(message) == 0:
            self._shed(exchange, message, key)
            return
        self._runs.add(key, self._spec.name, now, idempotent=message.code != coap.POST)
        spread = self._rng.uniform(1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD)
        delay_s = self._spec.service_time_s * spread
        self._active[exchange] = self._loop.call_later(
            delay_s, self._finish, exchange, message, key
        )

    def _shed(self, exchange: _Exchange, message: Any, key: str) -> None:
        self._counts.shed += 1
        self._runs.add_attempt(key)
        self._answer(
            exchange,
            message,
            coap.Response(coap.SERVICE_UNAVAILABLE, b"not-run:shed", max_age=SHED_MAX_AGE_S),
        )

    def _finish(self, exchange: _Exchange, message: Any, key: str) -> None:
        self._active.pop(exchange, None)
        if message.code == coap.POST:
            response = coap.Response(coap.CHANGED, self._echo(key))
        elif message.opt.observe == 0:
            response = self._open_stream(exchange, message, key)
        elif message.opt.uri_path[-1] == "sheet":
            response = self._sheet_block(message)
        else:
            response = coap.Response(coap.CONTENT, self._echo(key))
        self._answer(exchange, message, response)

    def _answer(self, exchange: _Exchange, message: Any, response: coap.Response) -> None:
        data = coap.encode_response(response, coap.Kind.ACK, message.mid, message.token)
        self._answers[exchange] = data
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        self._send(data, exchange.source)

    def _echo(self, key: str, extra: str = "") -> bytes:
        return f"{key} {self._spec.service} {self._spec.name} {self.boot} {extra}".encode()

    def _sheet_block(self, message: Any) -> coap.Response:
        wanted = message.opt.block2
        number = wanted.block_number if wanted else 0
        exponent = min(wanted.size_exponent, BLOCK_EXPONENT) if wanted else BLOCK_EXPONENT
        key = coap.query_value(message, "k")
        content = sheet_content(self._spec.name, self.boot, key)
        block = coap.Block(number, False, exponent)
        start = number * block.size
        block = block._replace(more=start + block.size < len(content))
        return coap.Response(
            coap.CONTENT,
            content[start : start + block.size],
            block=block,
            etag=sheet_etag(self._spec.name, self.boot),
        )

    def _open_stream(self, exchange: _Exchange, message: Any, key: str) -> coap.Response:
        stream = self._streams.get(key)
        if stream is None:
            stream = _Stream(key, exchange.source, message.token)
            self._streams[key] = stream
        stream.source = exchange.source
        stream.token = message.token
        return coap.Response(
            coap.CONTENT, self._echo(key, str(stream.sequence)), observe=stream.sequence
        )

    def _on_deregister(self, exchange: _Exchange, message: Any) -> None:
        key = _request_key(message)
        for candidate, stream in list(self._streams.items()):
            is_same_source = stream.source == exchange.source
            if stream.token == message.token and (is_same_source or candidate == key):
                del self._streams[candidate]
        response = coap.Response(coap.CONTENT, self._echo(key))
        self._answer(exchange, message, response)

    def _schedule_notifications(self) -> None:
        self._timers = [self._loop.call_later(NOTIFY_INTERVAL_S, self._notify)]

    def _notify(self) -> None:
        self._health_samples.append(self._sample_health())
        for stream in self._streams.values():
            stream.sequence += 1
            self._message_id = (self._message_id + 1) % 65536
            response = coap.Response(
                coap.CONTENT,
                self._echo(stream.key, str(stream.sequence)),
                observe=stream.sequence,
            )
            data = coap.encode_response(response, coap.Kind.NON, self._message_id, stream.token)
            self._send(data, stream.source)
        self._schedule_notifications()

    def _sample_health(self) -> _HealthSample:
        now = time.monotonic()
        state = "warm" if self._cold.is_warm(now) else "cold"
        return _HealthSample(now, state, len(self._active) / self._spec.slots)

    def _health(self) -> coap.Response:
        fault = self._health_fault
        sample = self._sample_health()
        for older in self._health_samples:
            if older.at >= sample.at - fault.lag_s:
                sample = older if fault.lag_s else sample
                break
        health = {
            "boot": self.boot,
            "state": fault.state or sample.state,
            "load": sample.load if fault.load is None else fault.load,
        }
        return coap.Response(coap.CONTENT, json.dumps(health).encode())


def _request_key(message: Any) -> str:
    """Return the caller's key of a request; each block of a sheet has its own."""
    if message.code == coap.POST:
        return str(message.payload.decode("utf-8", "replace").partition(" ")[0])
    key = coap.query_value(message, "k")
    block = message.opt.block2
    return f"{key}/{block.block_number}" if block and block.block_number else key
