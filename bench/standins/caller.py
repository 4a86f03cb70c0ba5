"""The stand-in for a caller: a CoAP client endpoint that judges what it gets back."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, NamedTuple, Protocol

from bench.network.fabric import ServiceRoute
from bench.scenarios.observations import Observations, Outcome, RequestRecord
from bench.standins import coap
from bench.standins.answer import judge_echo, judge_status
from bench.standins.sheet import BLOCK_EXPONENT, is_sheet_whole
from bench.standins.sockets import Address, UdpSocket

ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
LATE_ALLOWANCE_S = 1.0
"""How long after its patience a caller still listens, to tell a late answer from none."""
MAX_SHEET_BLOCKS = 64
MAX_TRANSFERS = 3
"""How often a caller begins a download before it counts as failed."""


class CallerTimes(NamedTuple):
    """Patience and the retransmission time-out of RFC 7252, section 4.8."""

    patience_s: float = 5.0
    ack_timeout_s: float = 2.0


class NotificationSink(Protocol):
    """Takes the notifications of one stream."""

    def on_notification(self, message: Any) -> None:
        """Take a decoded notification."""


class _Pending(NamedTuple):
    """A request that waits for its answer."""

    service: str
    message_id: int
    answer: asyncio.Future[Any]


class _Transfer(NamedTuple):
    """How one attempt at a download ended; ``key`` is that of the block that ended it."""

    key: str
    outcome: Outcome
    detail: str
    must_restart: bool = False


class Caller:
    """One caller endpoint. ``service`` names in its paths let upstreams detect misdelivery."""

    def __init__(
        self,
        name: str,
        address: Address,
        routes: dict[str, ServiceRoute],
        observations: Observations,
        times: CallerTimes,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._routes = routes
        self._observations = observations
        self._times = times
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._services = {route.address: route.name for route in routes.values()}
        self._socket = UdpSocket(address, self._on_datagram)
        self._pending: dict[bytes, _Pending] = {}
        self._streams: dict[bytes, tuple[str, NotificationSink]] = {}
        self._past: set[bytes] = set()
        self._message_id = rng.randrange(65536)
        self._number = 0

    @property
    def name(self) -> str:
        """The caller's name, the first part of all its keys."""
        return self._name

    @property
    def times(self) -> CallerTimes:
        """Patience and time-outs."""
        return self._times

    @property
    def observations(self) -> Observations:
        """Where the caller records what it saw."""
        return self._observations

    def new_key(self) -> str:
        """Return a key that no other request has."""
        self._number += 1
        return f"{self._name}-{self._number}"

    def new_token(self) -> bytes:
        """Return a token that this caller has not used."""
        self._number += 1
        return self._rng.randbytes(4) + self._number.to_bytes(4, "big")

    def next_message_id(self) -> int:
        """Return the next message ID."""
        self._message_id = (self._message_id + 1) % 65536
        return self._message_id

    def subscribe(self, token: bytes, service: str, sink: NotificationSink) -> None:
        """Hand notifications with ``token`` to ``sink``."""
        self._streams[token] = (service, sink)

    def unsubscribe(self, token: bytes) -> None:
        """Take no more notifications with ``token``."""
        if self._streams.pop(token, None) is not None:
            self._past.add(token)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, service: str, request: coap.Request) -> None:
        """Send one datagram and forget it."""
        self._transmit(service, coap.encode_request(request))

    async def post(self, service: str) -> None:
        """Send an order that must not run twice, and judge the answer."""
        key = self.new_key()
        request = self.new_request(coap.POST, service, "orders", payload=f"{key} {service}")
        await self._single(service, "post", key, request)

    async def get(self, service: str) -> None:
        """Ask for a reading, and judge the answer."""
        key = self.new_key()
        request = self.new_request(coap.GET, service, "readings", query=(f"k={key}",))
        await self._single(service, "get", key, request)

    async def download(self, service: str) -> None:
        """Fetch a sheet block by block, and judge the whole.

        A transfer that is answered with 4.08 starts anew, as the balancer asks then.
        """
        key = self.new_key()
        started_at = time.monotonic()
        deadline = started_at + self._times.patience_s
        for _ in range(MAX_TRANSFERS):
            transfer = await self._transfer(service, key, deadline)
            if not transfer.must_restart:
                break
        self.record(transfer.key, "sheet", service, started_at, transfer.outcome, transfer.detail)

    async def _transfer(self, service: str, key: str, deadline: float) -> _Transfer:
        """Fetch all blocks in order; stop at the first that does not fit."""
        content = b""
        etag: bytes | None = None
        for number in range(MAX_SHEET_BLOCKS):
            request = self.new_request(coap.GET, service, "sheet", query=(f"k={key}",))
            block = coap.Block(number, False, BLOCK_EXPONENT)
            message = await self.ask(service, request._replace(block=block), deadline)
            if message is not None and message.code == coap.INCOMPLETE:
                return _Transfer(key, Outcome.WRONG, "no whole transfer", must_restart=True)
            outcome, detail = judge_status(message)
            if outcome is not Outcome.ANSWERED:
                return _Transfer(f"{key}/{number}" if number else key, outcome, detail)
            got = message.opt.block2
            if got is None or got.block_number != number:
                return _Transfer(key, Outcome.WRONG, "block number")
            if number and message.opt.etag != etag:
                return _Transfer(key, Outcome.WRONG, "mixed versions")
            etag = message.opt.etag
            content += message.payload
            if not got.more:
                break
        if is_sheet_whole(content, key):
            return _Transfer(key, Outcome.ANSWERED, "")
        return _Transfer(key, Outcome.WRONG, "content")

    async def ask(self, service: str, request: coap.Request, deadline: float) -> Any:
        """Send a confirmable request with retransmissions; return its answer or None.

        It is sent again until ``deadline`` and listened for a little longer.
        """
        answer: asyncio.Future[Any] = self._loop.create_future()
        self._pending[request.token] = _Pending(service, request.message_id, answer)
        datagram = coap.encode_request(request)
        timeout_s = self._times.ack_timeout_s * self._rng.uniform(1.0, ACK_RANDOM_FACTOR)
        give_up_at = deadline + LATE_ALLOWANCE_S
        try:
            for _ in range(MAX_RETRANSMIT + 1):
                if time.monotonic() < deadline:
                    self._transmit(service, datagram)
                wait_s = min(timeout_s, give_up_at - time.monotonic())
                done, _ = await asyncio.wait((answer,), timeout=max(0.0, wait_s))
                if done:
                    return answer.result()
                if time.monotonic() >= give_up_at:
                    return None
                timeout_s *= 2
            return None
        finally:
            del self._pending[request.token]
            self._past.add(request.token)

    def new_request(
        self,
        code: Any,
        service: str,
        resource: str,
        query: tuple[str, ...] = (),
        payload: str = "",
    ) -> coap.Request:
        """Return a confirmable request with a fresh message ID and token."""
        return coap.Request(
            code=code,
            message_id=self.next_message_id(),
            token=self.new_token(),
            path=(service, resource),
            query=query,
            payload=payload.encode(),
        )

    def record(
        self,
        key: str,
        kind: str,
        service: str,
        started_at: float,
        outcome: Outcome,
        detail: str = "",
    ) -> None:
        """Record the end of a request, now."""
        now = time.monotonic()
        patience_s = self._times.patience_s
        record = RequestRecord(key, kind, service, started_at, now, patience_s, outcome, detail)
        self._observations.requests.append(record)

    async def _single(self, service: str, kind: str, key: str, request: coap.Request) -> None:
        started_at = time.monotonic()
        message = await self.ask(service, request, started_at + self._times.patience_s)
        outcome, detail = judge_echo(message, key, service)
        self.record(key, kind, service, started_at, outcome, detail)

    def _transmit(self, service: str, datagram: bytes) -> None:
        self._observations.datagrams_sent += 1
        self._socket.send(datagram, self._routes[service].address)

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self._observations.datagrams_received += 1
        service = self._services.get(source)
        message = coap.decode(data)
        if service is None or message is None:
            self._observations.misdelivered += 1
            return
        if message.mtype == coap.Kind.CON:
            self._socket.send(coap.encode_empty(coap.Kind.ACK, message.mid), source)
        if message.code.is_response():
            self._on_response(service, message)
        elif message.mtype == coap.Kind.RST:
            self._on_reset(message)

    def _on_response(self, service: str, message: Any) -> None:
        token = message.token
        pending = self._pending.get(token)
        if pending is not None:
            if pending.service != service:
                self._observations.misdelivered += 1
            elif not pending.answer.done():
                pending.answer.set_result(message)
            return
        if token in self._streams:
            expected, sink = self._streams[token]
            if expected != service:
                self._observations.misdelivered += 1
            else:
                sink.on_notification(message)
            return
        if token in self._past:
            self._observations.late_answers += 1
        else:
            self._observations.misdelivered += 1

    def _on_reset(self, message: Any) -> None:
        for pending in self._pending.values():
            if pending.message_id == message.mid and not pending.answer.done():
                pending.answer.set_result(message)
