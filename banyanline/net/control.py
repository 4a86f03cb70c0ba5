"""Control calls between balancers: unary gRPC with sealed MessagePack bodies.

The methods are registered by name as generic handlers, so no code is generated.
Each request and each response is one sealed frame (:mod:`banyanline.net.seal`). A
call whose frame cannot be opened is refused before its handler is called.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias, TypeVar

import msgspec

from banyanline.net.seal import Opened, Rejected, RejectionReason, Sealer

# The C core of gRPC logs to stderr in its own format unless this is set before the import.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

import grpc

if TYPE_CHECKING:
    from banyanline.core.types import Endpoint, Host, HostName

SERVICE = "banyanline.Control"
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_CHANNELS = 32
MAX_CONCURRENT_CALLS = 64
KEEPALIVE_MS = 60_000
KEEPALIVE_TIMEOUT_MS = 5_000
IDLE_TIMEOUT_MS = 120_000
MIN_RECONNECT_MS = 200
MAX_RECONNECT_MS = 2_000

_SHARED_OPTIONS: list[tuple[str, int | str]] = [
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_metadata_size", 4 * 1024),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
]
_CHANNEL_OPTIONS = [
    *_SHARED_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.client_idle_timeout_ms", IDLE_TIMEOUT_MS),
    ("grpc.min_reconnect_backoff_ms", MIN_RECONNECT_MS),
    ("grpc.initial_reconnect_backoff_ms", MIN_RECONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_MS),
]
_SERVER_OPTIONS = [
    *_SHARED_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.max_concurrent_streams", MAX_CONCURRENT_CALLS),
    ("grpc.max_connection_idle_ms", IDLE_TIMEOUT_MS),
]

ResponseT = TypeVar("ResponseT")
ControlHandler: TypeAlias = "Callable[[HostName, Any], Awaitable[msgspec.Struct]]"
"""Takes the name of the calling host and the request, and returns the response."""


class ControlMethod(NamedTuple):
    """Request type and handler of a method."""

    request_type: type[msgspec.Struct]
    handler: ControlHandler


class CallFailureReason(StrEnum):
    """Why a control call failed.

    The callee may have run the call in all cases except ``UNREACHABLE`` and
    ``REFUSED``.
    """

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    BAD_RESPONSE = "bad_response"
    CALLEE_ERROR = "callee_error"


class CallFailed(NamedTuple):
    """Result of a control call without a valid response."""

    reason: CallFailureReason
    detail: str = ""


RejectionCounter: TypeAlias = "Callable[[RejectionReason], None]"


class ControlServer:
    """Serves control calls from other balancers.

    ``count_rejection`` is called for each call that is refused because its body is not
    a valid frame or request; such a call has no other effect.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        sealer: Sealer,
        methods: Mapping[str, ControlMethod],
        *,
        count_rejection: RejectionCounter,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._endpoint = endpoint
        self._sealer = sealer
        self._count_rejection = count_rejection
        self._wall_clock = wall_clock
        self._methods = {
            name: _BoundMethod(method.handler, msgspec.msgpack.Decoder(method.request_type))
            for name, method in methods.items()
        }
        self._server: Any = None
        self._port = 0

    @property
    def port(self) -> int:
        """The bound TCP port, after :meth:`start`."""
        return self._port

    async def start(self) -> None:
        """Bind the endpoint and start serving; raises OSError if it cannot be bound."""
        server = grpc.aio.server(
            options=_SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS
        )
        handlers = {
            name: grpc.unary_unary_rpc_method_handler(self.make_handler(name))
            for name in self._methods
        }
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        try:
            self._port = server.add_insecure_port(_listen_address(self._endpoint))
        except RuntimeError as error:
            raise OSError(f"cannot bind control endpoint {self._endpoint}") from error
        self._server = server
        await server.start()

    async def stop(self, grace_s: float) -> None:
        """Accept no new calls, and cancel calls that are still running after ``grace_s``."""
        if self._server is not None:
            await self._server.stop(grace_s)

    def make_handler(self, name: str) -> Callable[[bytes, Any], Awaitable[bytes]]:
        """Return the gRPC handler of one method, which takes a body and the gRPC context."""
        method = self._methods[name]

        async def handle_call(body: bytes, context: Any) -> bytes:
            opened = self._sealer.open(body, self._wall_clock())
            if isinstance(opened, Rejected):
                self._count_rejection(opened.reason)
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, opened.reason.value)
                raise AssertionError("abort returned")
            try:
                request = method.decoder.decode(opened.payload)
            except msgspec.MsgspecError:
                self._count_rejection(RejectionReason.BAD_PAYLOAD)
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "bad payload")
            response = await method.handler(opened.sender, request)
            return self._sealer.seal(opened.sender, msgspec.msgpack.encode(response))

        return handle_call


class _BoundMethod(NamedTuple):
    handler: ControlHandler
    decoder: msgspec.msgpack.Decoder[Any]


class ControlClient:
    """Calls other balancers over a pool of at most ``max_channels`` channels.

    The pool grows beyond this only while all of its channels have calls in flight.
    """

    def __init__(
        self,
        sealer: Sealer,
        *,
        max_channels: int = MAX_CHANNELS,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._sealer = sealer
        self._max_channels = max_channels
        self._wall_clock = wall_clock
        self._channels: OrderedDict[str, _Channel] = OrderedDict()
        self._closing: set[asyncio.Future[None]] = set()

    @property
    def channels(self) -> int:
        """Number of channels in the pool."""
        return len(self._channels)

    async def call(
        self,
        host: Host,
        method: str,
        request: msgspec.Struct,
        response_type: type[ResponseT],
        timeout_s: float,
    ) -> ResponseT | CallFailed:
        """Call ``method`` of ``host`` and wait at most ``timeout_s`` for the response."""
        target = _target(host.control_endpoint)
        channel = self._channel(target)
        frame = self._sealer.seal(host.name, msgspec.msgpack.encode(request))
        channel.calls_in_flight += 1
        try:
            call = channel.grpc_channel.unary_unary(f"/{SERVICE}/{method}")
            body = await call(frame, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            channel.is_broken |= error.code() is grpc.StatusCode.UNAVAILABLE
            return CallFailed(
                _FAILURE_REASONS.get(error.code(), CallFailureReason.CALLEE_ERROR), error.details()
            )
        except grpc.aio.UsageError as error:
            return CallFailed(CallFailureReason.UNREACHABLE, str(error))
        finally:
            channel.calls_in_flight -= 1
            if channel.is_broken and channel.calls_in_flight == 0:
                self._drop_channel(target, channel)
        return self._read_response(host, body, response_type)

    async def close(self) -> None:
        """Close all channels; calls in flight are cancelled."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.grpc_channel.close()
        if self._closing:
            await asyncio.wait(self._closing)

    def _read_response(
        self, host: Host, body: bytes, response_type: type[ResponseT]
    ) -> ResponseT | CallFailed:
        opened = self._sealer.open(body, self._wall_clock())
        if not isinstance(opened, Opened):
            return CallFailed(CallFailureReason.BAD_RESPONSE, opened.reason)
        if opened.sender != host.name:
            return CallFailed(
                CallFailureReason.BAD_RESPONSE, f"response was sealed by {opened.sender!r}"
            )
        try:
            return msgspec.msgpack.decode(opened.payload, type=response_type)
        except msgspec.MsgspecError as error:
            return CallFailed(CallFailureReason.BAD_RESPONSE, str(error))

    def _channel(self, target: str) -> _Channel:
        channel = self._channels.get(target)
        if channel is None:
            self._make_room()
            channel = _Channel(grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS))
            self._channels[target] = channel
        self._channels.move_to_end(target)
        return channel

    def _make_room(self) -> None:
        """At the limit, close the least recently used channel without calls in flight."""
        if len(self._channels) < self._max_channels:
            return
        for target, channel in self._channels.items():
            if channel.calls_in_flight == 0:
                self._drop_channel(target, channel)
                return

    def _drop_channel(self, target: str, channel: _Channel) -> None:
        """Close a channel without calls in flight and remove it from the pool.

        A channel to an unreachable host would otherwise keep trying to reconnect.
        """
        if self._channels.get(target) is not channel:
            return
        del self._channels[target]
        task = asyncio.ensure_future(channel.grpc_channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


class _Channel:
    """A gRPC channel, its number of calls in flight, and whether a call found it unavailable."""

    __slots__ = ("calls_in_flight", "grpc_channel", "is_broken")

    def __init__(self, grpc_channel: Any) -> None:
        self.grpc_channel = grpc_channel
        self.calls_in_flight = 0
        self.is_broken = False


_FAILURE_REASONS = {
    grpc.StatusCode.UNAVAILABLE: CallFailureReason.UNREACHABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: CallFailureReason.TIMEOUT,
    grpc.StatusCode.UNAUTHENTICATED: CallFailureReason.REFUSED,
    grpc.StatusCode.INVALID_ARGUMENT: CallFailureReason.REFUSED,
    grpc.StatusCode.UNIMPLEMENTED: CallFailureReason.REFUSED,
    grpc.StatusCode.RESOURCE_EXHAUSTED: CallFailureReason.REFUSED,
}


def _listen_address(endpoint: Endpoint) -> str:
    return f"[{endpoint.ip}]:{endpoint.port}" if ":" in endpoint.ip else str(endpoint)


def _target(endpoint: Endpoint) -> str:
    """Return a gRPC target that needs no name resolution."""
    scheme = "ipv6" if ":" in endpoint.ip else "ipv4"
    return f"{scheme}:{_listen_address(endpoint)}"
