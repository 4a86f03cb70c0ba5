"""The stand-in for a caller: a CoAP client endpoint that checks and records responses."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, NamedTuple, Protocol

from bench.network.fabric import ServiceRoute
from bench.scenarios.observations import Observations, Outcome, RequestRecord
from bench.standins import coap
from bench.standins.download_content import (
    BLOCK_EXPONENT,
    block_request_key,
    is_complete_download,
)
from bench.standins.responses import classify_response, classify_status
from bench.standins.sockets import Address, UdpSocket

ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
LATE_RESPONSE_WINDOW_S = 1.0
"""A caller listens this long after its patience, to distinguish late from missing responses."""
MAX_DOWNLOAD_BLOCKS = 64
MAX_DOWNLOAD_ATTEMPTS = 3


class CallerTiming(NamedTuple):
    """A caller's patience and its retransmission timeout (RFC 7252, section 4.8)."""

    patience_s: float = 5.0
    ack_timeout_s: float = 2.0


class NotificationSink(Protocol):
    """Receives the notifications of one stream."""

    def on_notification(self, message: Any) -> None:
        """Process a decoded notification."""


class _PendingRequest(NamedTuple):
    """A request without a response so far."""

    service: str
    message_id: int
    response: asyncio.Future[Any]


class _DownloadAttempt(NamedTuple):
    """Result of one attempt at a download.

    ``key`` is the key of the block that was not served, else that of the download.
    """

    key: str
    outcome: Outcome
    detail: str
    must_restart: bool = False


class Caller:
    """One caller endpoint.

    Request paths begin with the name of the service, so that upstreams can detect
    misdelivered requests.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        routes: dict[str, ServiceRoute],
        observations: Observations,
        times: CallerTiming,
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
        self._pending: dict[bytes, _PendingRequest] = {}
        self._streams: dict[bytes, tuple[str, NotificationSink]] = {}
        self._finished_tokens: set[bytes] = set()
        self._message_id = rng.randrange(65536)
        self._counter = 0

    @property
    def name(self) -> str:
        """The caller's name, the prefix of all its request keys."""
        return self._name

    @property
    def times(self) -> CallerTiming:
        """Patience and timeouts."""
        return self._times

    @property
    def observations(self) -> Observations:
        """The record to which the caller adds its observations."""
        return self._observations

    def new_key(self) -> str:
        """Return a unique request key."""
        self._counter += 1
        return f"{self._name}-{self._counter}"

    def new_token(self) -> bytes:
        """Return a token that this caller has not used before."""
        self._counter += 1
        return self._rng.randbytes(4) + self._counter.to_bytes(4, "big")

    def next_message_id(self) -> int:
        """Return the next message ID."""
        self._message_id = (self._message_id + 1) % 65536
        return self._message_id

    def subscribe(self, token: bytes, service: str, sink: NotificationSink) -> None:
        """Deliver notifications with ``token`` to ``sink``."""
        self._streams[token] = (service, sink)

    def unsubscribe(self, token: bytes) -> None:
        """Stop delivering notifications with ``token``; later ones count as late."""
        if self._streams.pop(token, None) is not None:
            self._finished_tokens.add(token)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, service: str, request: coap.Request) -> None:
        """Send a request once, without waiting for a response."""
        self._transmit(service, coap.encode_request(request))

    async def post(self, service: str) -> None:
        """Send a non-idempotent order and record the outcome."""
        key = self.new_key()
        request = self.new_request(coap.POST, service, "orders", payload=f"{key} {service}")
        await self._request_and_record(service, "post", key, request)

    async def get(self, service: str) -> None:
        """Request a reading and record the outcome."""
        key = self.new_key()
        request = self.new_request(coap.GET, service, "readings", query=(f"k={key}",))
        await self._request_and_record(service, "get", key, request)

    async def download(self, service: str) -> None:
        """Run a block-wise download and record the outcome of the whole.

        Restarts the download on response 4.08 (Request Entity Incomplete), by which
        the balancer asks for a restart. Each attempt is a request of its own: if one is
        refused, an earlier one may have run.
        """
        key = self.new_key()
        started_at = time.monotonic()
        deadline = started_at + self._times.patience_s
        for number in range(MAX_DOWNLOAD_ATTEMPTS):
            attempt = await self._try_download(service, key, number, deadline)
            if not attempt.must_restart:
                break
        self.record(attempt.key, "sheet", service, started_at, attempt.outcome, attempt.detail)

    async def _try_download(
        self, service: str, key: str, attempt: int, deadline: float
    ) -> _DownloadAttempt:
        """Fetch all blocks in order; stop at the first error or mismatch."""
        content = b""
        etag: bytes | None = None
        for number in range(MAX_DOWNLOAD_BLOCKS):
            request = self.new_request(coap.GET, service, "sheet", query=(f"k={key}",))
            block = coap.Block(number, False, BLOCK_EXPONENT)
            request = request._replace(block=block, attempt=attempt)
            message = await self.send_confirmable(service, request, deadline)
            if message is not None and message.code == coap.INCOMPLETE:
                return _DownloadAttempt(
                    key, Outcome.WRONG, "download must be restarted (4.08)", must_restart=True
                )
            outcome, detail = classify_status(message)
            if outcome is not Outcome.ANSWERED:
                request_key = block_request_key(key, attempt, number)
                return _DownloadAttempt(request_key, outcome, detail)
            received_block = message.opt.block2
            if received_block is None or received_block.block_number != number:
                return _DownloadAttempt(key, Outcome.WRONG, "unexpected block number")
            if number and message.opt.etag != etag:
                return _DownloadAttempt(key, Outcome.WRONG, "blocks of different versions")
            etag = message.opt.etag
            content += message.payload
            if not received_block.more:
                break
        if is_complete_download(content, key):
            return _DownloadAttempt(key, Outcome.ANSWERED, "")
        return _DownloadAttempt(key, Outcome.WRONG, "content mismatch")

    async def send_confirmable(self, service: str, request: coap.Request, deadline: float) -> Any:
        """Send a confirmable request with retransmissions; return its response or None.

        Retransmissions stop at ``deadline``; a response is accepted until
        LATE_RESPONSE_WINDOW_S after it. A Reset is returned like a response.
        """
        response: asyncio.Future[Any] = self._loop.create_future()
        self._pending[request.token] = _PendingRequest(service, request.message_id, response)
        datagram = coap.encode_request(request)
        timeout_s = self._times.ack_timeout_s * self._rng.uniform(1.0, ACK_RANDOM_FACTOR)
        listen_until = deadline + LATE_RESPONSE_WINDOW_S
        try:
            for _ in range(MAX_RETRANSMIT + 1):
                if time.monotonic() < deadline:
                    self._transmit(service, datagram)
                wait_s = min(timeout_s, listen_until - time.monotonic())
                done, _ = await asyncio.wait((response,), timeout=max(0.0, wait_s))
                if done:
                    return response.result()
                if time.monotonic() >= listen_until:
                    return None
                timeout_s *= 2
            return None
        finally:
            del self._pending[request.token]
            self._finished_tokens.add(request.token)

    def new_request(
        self,
        code: Any,
        service: str,
        resource: str,
        query: tuple[str, ...] = (),
        payload: str = "",
    ) -> coap.Request:
        """Return a confirmable request with a new message ID and token."""
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
        """Record the outcome of a request that ends now."""
        now = time.monotonic()
        patience_s = self._times.patience_s
        record = RequestRecord(key, kind, service, started_at, now, patience_s, outcome, detail)
        self._observations.requests.append(record)

    async def _request_and_record(
        self, service: str, kind: str, key: str, request: coap.Request
    ) -> None:
        started_at = time.monotonic()
        message = await self.send_confirmable(service, request, started_at + self._times.patience_s)
        outcome, detail = classify_response(message, key, service)
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
        if message.mtype == coap.MessageType.CON:
            self._socket.send(coap.encode_empty(coap.MessageType.ACK, message.mid), source)
        if message.code.is_response():
            self._on_response(service, message)
        elif message.mtype == coap.MessageType.RST:
            self._on_reset(message)

    def _on_response(self, service: str, message: Any) -> None:
        token = message.token
        pending = self._pending.get(token)
        if pending is not None:
            if pending.service != service:
                self._observations.misdelivered += 1
            elif not pending.response.done():
                pending.response.set_result(message)
            return
        if token in self._streams:
            expected, sink = self._streams[token]
            if expected != service:
                self._observations.misdelivered += 1
            else:
                sink.on_notification(message)
            return
        if token in self._finished_tokens:
            self._observations.late_answers += 1
        else:
            self._observations.misdelivered += 1

    def _on_reset(self, message: Any) -> None:
        for pending in self._pending.values():
            if pending.message_id == message.mid and not pending.response.done():
                pending.response.set_result(message)
