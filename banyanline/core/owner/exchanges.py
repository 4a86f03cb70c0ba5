"""CoAP exchanges with one upstream: tokens, message IDs and the streams that they open."""

from __future__ import annotations

import random
from typing import NamedTuple

from banyanline.core.gate import Work
from banyanline.core.messages import RequestKey, StreamKey
from banyanline.core.types import Seconds

MESSAGE_ID_SPACE = 1 << 16
TOKEN_PREFIX_BYTES = 4
TOKEN_SPACE = 1 << 32


class Exchange:
    """A request that was sent to the upstream and has no response yet."""

    __slots__ = ("deadline", "key", "message_id", "request", "stream", "token")

    def __init__(
        self,
        key: RequestKey,
        token: bytes,
        message_id: int,
        deadline: Seconds,
        request: bytes,
        stream: StreamKey | None,
    ) -> None:
        self.key = key
        self.token = token
        self.message_id = message_id
        self.deadline = deadline
        self.request = request
        self.stream = stream


class OwnedStream(NamedTuple):
    """A stream that is registered at the upstream under ``token``.

    ``connection`` identifies the stream among the gate's connections.
    """

    key: StreamKey
    token: bytes
    connection: RequestKey
    request: bytes

    @property
    def registration(self) -> int:
        """The message ID of the request that registered the stream."""
        return self.connection.message_id


class PendingWork(NamedTuple):
    """A dispatch that waits in the gate's queue."""

    work: Work
    request: bytes
    stream: StreamKey | None


class Exchanges:
    """All open exchanges and streams with one upstream."""

    def __init__(self, rng: random.Random) -> None:
        self._prefix = rng.randbytes(TOKEN_PREFIX_BYTES)
        self._last_token = 0
        self._message_id = rng.randrange(MESSAGE_ID_SPACE)
        self._by_token: dict[bytes, Exchange] = {}
        self._by_key: dict[RequestKey, Exchange] = {}
        self._streams: dict[bytes, OwnedStream] = {}
        self._stream_tokens: dict[StreamKey, bytes] = {}
        self._registrations: dict[tuple[StreamKey, int], bytes] = {}

    def __len__(self) -> int:
        """Return the number of requests without a response."""
        return len(self._by_key)

    @property
    def streams(self) -> dict[bytes, OwnedStream]:
        """The registered streams by token."""
        return self._streams

    def next_message_id(self) -> int:
        """Return the message ID of the next message to the upstream."""
        self._message_id = (self._message_id + 1) % MESSAGE_ID_SPACE
        return self._message_id

    def new_token(self) -> bytes:
        """Return a token that no earlier exchange has used."""
        self._last_token = (self._last_token + 1) % TOKEN_SPACE
        return self._prefix + self._last_token.to_bytes(4, "big")

    def start(self, pending: PendingWork, key: RequestKey) -> Exchange:
        """Open an exchange for a request; a registered stream keeps its token."""
        token = None
        if pending.stream is not None:
            token = self._stream_tokens.get(pending.stream)
        exchange = Exchange(
            key,
            token or self.new_token(),
            self.next_message_id(),
            pending.work.deadline,
            pending.request,
            pending.stream,
        )
        self._by_token[exchange.token] = exchange
        self._by_key[key] = exchange
        return exchange

    def by_token(self, token: bytes) -> Exchange | None:
        """Return the exchange that a response with this token belongs to."""
        return self._by_token.get(token)

    def by_key(self, key: RequestKey) -> Exchange | None:
        """Return the exchange of a request."""
        return self._by_key.get(key)

    def by_message_id(self, message_id: int) -> Exchange | None:
        """Return the exchange whose request had this message ID."""
        for exchange in self._by_key.values():
            if exchange.message_id == message_id:
                return exchange
        return None

    def end(self, exchange: Exchange) -> None:
        """Close an exchange."""
        if self._by_token.get(exchange.token) is exchange:
            del self._by_token[exchange.token]
        if self._by_key.get(exchange.key) is exchange:
            del self._by_key[exchange.key]

    def open_stream(self, exchange: Exchange, key: StreamKey) -> OwnedStream | None:
        """Record a registered stream; return the earlier registration that it replaces."""
        earlier = self._streams.get(exchange.token)
        stream = OwnedStream(key, exchange.token, exchange.key, exchange.request)
        if earlier is not None:
            self._registrations.pop((key, earlier.registration), None)
        self._registrations[key, stream.registration] = exchange.token
        self._streams[exchange.token] = stream
        self._stream_tokens[key] = exchange.token
        return earlier

    def stream(self, key: StreamKey, registration: int) -> OwnedStream | None:
        """Return one registration of a stream."""
        token = self._registrations.get((key, registration))
        return None if token is None else self._streams.get(token)

    def close_stream(self, stream: OwnedStream) -> None:
        """Remove a stream."""
        self._streams.pop(stream.token, None)
        self._registrations.pop((stream.key, stream.registration), None)
        if self._stream_tokens.get(stream.key) == stream.token:
            del self._stream_tokens[stream.key]

    def open_exchanges(self) -> list[Exchange]:
        """Return all open exchanges."""
        return list(self._by_key.values())
