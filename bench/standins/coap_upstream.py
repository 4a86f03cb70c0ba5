"""The stand-in for a CoAP upstream.

It has a few slots and a slow start, sheds excess requests, honours cancellation and
serves Observe streams, orders, readings and block-wise downloads. It records every
execution in a :class:`~bench.standins.execution_log.ExecutionLog`.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Any, NamedTuple

from bench.standins import coap
from bench.standins.download_content import (
    BLOCK_EXPONENT,
    block_request_key,
    download_content,
    download_etag,
)
from bench.standins.sockets import Address
from bench.standins.upstream import Upstream, is_health_request

OVERLOAD_RESTART_S = 3.0
SHED_MAX_AGE_S = 1
MAX_CACHED_RESPONSES = 4096
SERVICE_TIME_SPREAD = 0.5
"""Service times are uniformly distributed within this fraction around the mean."""


class _Exchange(NamedTuple):
    source: Address
    message_id: int


class _Observer(NamedTuple):
    """Identity of an observation: the client's endpoint and token (RFC 7641, section 4.1)."""

    source: Address
    token: bytes


class _Stream:
    """One observation and the sequence number of its latest notification."""

    def __init__(self, key: str, sequence: int) -> None:
        self.key = key
        self.sequence = sequence


class CoapUpstream(Upstream):
    """An upstream that responds to CoAP requests."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._active: dict[_Exchange, asyncio.TimerHandle] = {}
        self._cached_responses: OrderedDict[_Exchange, bytes] = OrderedDict()
        self._streams: dict[_Observer, _Stream] = {}
        self._observer_by_notification: dict[_Exchange, _Observer] = {}
        self._message_id = 0
        super().__init__(*args, **kwargs)

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return len(self._active)

    @property
    def streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def discard_state(self) -> None:
        """Cancel requests in progress; discard cached responses and streams."""
        for timer in self._active.values():
            timer.cancel()
        self._active.clear()
        self._cached_responses.clear()
        self._streams.clear()
        self._observer_by_notification.clear()

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Process a request or a Reset; ignore malformed datagrams."""
        message = coap.decode(data)
        if message is None:
            return
        exchange = _Exchange(source, message.mid)
        if message.mtype == coap.MessageType.RST:
            self._on_reset(exchange)
        elif message.code.is_request():
            self._on_request(exchange, message)

    def _on_reset(self, exchange: _Exchange) -> None:
        """Cancel a notification's stream (RFC 7641, section 3.6) or a request in progress."""
        observer = self._observer_by_notification.get(exchange)
        if observer is not None:
            self._streams.pop(observer, None)
            return
        timer = self._active.pop(exchange, None)
        if timer is not None:
            timer.cancel()

    def _on_request(self, exchange: _Exchange, message: Any) -> None:
        if exchange in self._active:
            return
        if exchange in self._cached_responses:
            self.send(self._cached_responses[exchange], exchange.source)
            return
        if is_health_request(message):
            self._respond(exchange, message, self.health_response())
            return
        if tuple(message.opt.uri_path[:1]) != (self._spec.service,):
            self._counts.misdelivered += 1
        if message.opt.observe == 1:
            self._on_deregister(exchange, message)
            return
        self._run_or_shed(exchange, message)

    def _run_or_shed(self, exchange: _Exchange, message: Any) -> None:
        now = time.monotonic()
        key = _request_key(message)
        is_stream = message.opt.observe == 0
        block = message.opt.block2
        is_known = any(stream.key == key for stream in self._streams.values())
        is_continuation = (is_stream and is_known) or (block and block.block_number > 0)
        if not is_continuation:
            self._counts.new_work_times.append(now)
        if not self._capacity.accepts(now, len(self._active)):
            self._counts.cold_overloads += 1
            self.restart(OVERLOAD_RESTART_S)
            return
        if len(self._active) >= self._spec.slots or coap.remaining_time_ms(message) == 0:
            self._shed(exchange, message, key)
            return
        self._execution_log.add(key, self._spec.name, now, idempotent=message.code != coap.POST)
        spread = self._rng.uniform(1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD)
        delay_s = self._spec.service_time_s * spread
        self._active[exchange] = self._loop.call_later(
            delay_s, self._complete, exchange, message, key
        )

    def _shed(self, exchange: _Exchange, message: Any, key: str) -> None:
        self._counts.shed += 1
        self._execution_log.add_attempt(key)
        self._respond(
            exchange,
            message,
            coap.Response(coap.SERVICE_UNAVAILABLE, b"not-run:shed", max_age=SHED_MAX_AGE_S),
        )

    def _complete(self, exchange: _Exchange, message: Any, key: str) -> None:
        self._active.pop(exchange, None)
        if message.code == coap.POST:
            response = coap.Response(coap.CHANGED, self.echo(key).encode())
        elif message.opt.observe == 0:
            response = self._open_stream(exchange, message, key)
        elif message.opt.uri_path[-1] == "sheet":
            response = self._download_block(message)
        else:
            response = coap.Response(coap.CONTENT, self.echo(key).encode())
        self._respond(exchange, message, response)

    def _respond(self, exchange: _Exchange, message: Any, response: coap.Response) -> None:
        data = coap.encode_response(response, coap.MessageType.ACK, message.mid, message.token)
        self._cached_responses[exchange] = data
        if len(self._cached_responses) > MAX_CACHED_RESPONSES:
            self._cached_responses.popitem(last=False)
        self.send(data, exchange.source)

    def _download_block(self, message: Any) -> coap.Response:
        wanted = message.opt.block2
        number = wanted.block_number if wanted else 0
        exponent = min(wanted.size_exponent, BLOCK_EXPONENT) if wanted else BLOCK_EXPONENT
        key = coap.query_value(message, "k")
        content = download_content(self._spec.name, self.boot, key)
        block = coap.Block(number, False, exponent)
        start = number * block.size
        block = block._replace(more=start + block.size < len(content))
        return coap.Response(
            coap.CONTENT,
            content[start : start + block.size],
            block=block,
            etag=download_etag(self._spec.name, self.boot),
        )

    def _open_stream(self, exchange: _Exchange, message: Any, key: str) -> coap.Response:
        sequences = [stream.sequence for stream in self._streams.values() if stream.key == key]
        stream = _Stream(key, max(sequences, default=0) + 1)
        self._streams[_Observer(exchange.source, message.token)] = stream
        return coap.Response(
            coap.CONTENT, self.echo(key, str(stream.sequence)).encode(), observe=stream.sequence
        )

    def _on_deregister(self, exchange: _Exchange, message: Any) -> None:
        key = _request_key(message)
        self._streams.pop(_Observer(exchange.source, message.token), None)
        response = coap.Response(coap.CONTENT, self.echo(key).encode())
        self._respond(exchange, message, response)

    def on_tick(self) -> None:
        """Send a notification to the observer of each stream."""
        self._observer_by_notification.clear()
        for observer, stream in self._streams.items():
            stream.sequence += 1
            self._message_id = (self._message_id + 1) % 65536
            self._observer_by_notification[_Exchange(observer.source, self._message_id)] = observer
            response = coap.Response(
                coap.CONTENT,
                self.echo(stream.key, str(stream.sequence)).encode(),
                observe=stream.sequence,
            )
            data = coap.encode_response(
                response, coap.MessageType.NON, self._message_id, observer.token
            )
            self.send(data, observer.source)


def _request_key(message: Any) -> str:
    """Return the request key set by the caller; each block of a download has its own."""
    if message.code == coap.POST:
        return str(message.payload.decode("utf-8", "replace").partition(" ")[0])
    key = coap.query_value(message, "k")
    block = message.opt.block2
    return block_request_key(key, coap.attempt(message), block.block_number if block else 0)
