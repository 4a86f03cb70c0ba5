"""Streams (RFC 7641 observations) at their home.

A stream survives the loss of its home and of its owner. The owner sends notifications to
the current home, which restores the stream from them. The home re-registers the stream
through the current owner of the upstream (a resumption).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.error_responses import RefusalReason
from banyanline.core.messages import (
    NO_BALLOT,
    Answered,
    CancelStream,
    Dispatch,
    FlowKey,
    HomeHandover,
    Notification,
    Pending,
    RequestKey,
    Result,
    StreamEnded,
    StreamKey,
    StreamState,
)
from banyanline.core.timers import TimerHeap
from banyanline.core.types import Endpoint, HostName, Seconds, UpstreamName

RESUME_RETRY_INTERVAL_S = 0.25
RESUME_TIMEOUT_S = 30.0
RESUME_DEADLINE_MS = 2000
RESUMPTION_ID_BASE = 1 << 16
"""Message IDs of callers have 16 bits; greater ones are used for resumptions by a home."""

SEQUENCE_SPACE = 1 << 24
SEQUENCE_TICKS_PER_S = 256
"""Sequence numbers sent to callers follow the clock, so that they keep growing at a new home."""

MAX_NOTIFICATION_HOPS = 2
MAX_RECENT_MESSAGE_IDS = 8
HANDOVER_CHUNK = 256


class Stream:
    """One stream: the source of its notifications and the request that re-registers it.

    ``registration`` is the message ID of the request that registered it. ``sequence`` is
    the last sequence number received from the upstream, ``sent_sequence`` the last one sent
    to the caller.
    """

    __slots__ = (
        "owner",
        "recent_message_ids",
        "registration",
        "request",
        "resume_owner",
        "resume_serial",
        "resuming_since",
        "sent_sequence",
        "sequence",
        "upstream",
    )

    def __init__(
        self, upstream: UpstreamName, owner: HostName, registration: int, request: bytes
    ) -> None:
        self.upstream = upstream
        self.owner = owner
        self.registration = registration
        self.request = request
        self.sequence: int | None = None
        self.sent_sequence: int | None = None
        self.recent_message_ids: deque[int] = deque(maxlen=MAX_RECENT_MESSAGE_IDS)
        self.resume_owner: HostName = ""
        self.resume_serial = 0
        self.resuming_since: float | None = None


def is_newer(sequence: int, last: int | None) -> bool:
    """Compare sequence numbers of notifications modulo 2^24 (RFC 7641, 3.4).

    >>> is_newer(1, None), is_newer(2, 1), is_newer(1, 2), is_newer(0, SEQUENCE_SPACE - 1)
    (True, True, False, True)
    """
    if last is None:
        return True
    return 0 < (sequence - last) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2


class Streams:
    """The streams whose home is this balancer."""

    def __init__(self, context: Context, next_serial: Callable[[], int]) -> None:
        self._context = context
        self._next_serial = next_serial
        self._streams: dict[StreamKey, Stream] = {}
        self._resuming: dict[int, StreamKey] = {}
        self._timers: TimerHeap[tuple[StreamKey, int]] = TimerHeap()
        self._message_id = context.rng.randrange(1 << 16)

    @property
    def next_at(self) -> Seconds:
        """Time at which ``tick`` is next due for a resumption."""
        return self._timers.next_at

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def upstream_of(self, flow: FlowKey, token: bytes) -> UpstreamName | None:
        """Return the upstream of a stream."""
        stream = self._streams.get(StreamKey(*flow, token))
        return None if stream is None else stream.upstream

    def upstream_of_flow(self, flow: FlowKey) -> UpstreamName | None:
        """Return the upstream of any one stream of a flow; scans all streams."""
        for key, stream in self._streams.items():
            if key[:3] == flow:
                return stream.upstream
        return None

    def record_registration(
        self,
        flow: FlowKey,
        request: coap.Request,
        upstream: UpstreamName,
        owner: HostName,
        response: coap.Response,
        now: Seconds,
    ) -> None:
        """Record a stream whose registration the upstream has accepted."""
        key = StreamKey(*flow, request.token)
        stream = self._streams.get(key)
        if stream is None and len(self._streams) >= self._context.limits.flows:
            # A response without the Observe option means that the caller is not registered.
            response.message.opt.observe = None
            self._cancel_at(owner, key, upstream, request.message_id)
            self._context.counters.refuse(RefusalReason.FLOW_TABLE_FULL, key.service)
            return
        if stream is None or stream.upstream != upstream:
            stream = Stream(upstream, owner, request.message_id, request.datagram)
            self._streams[key] = stream
        stream.owner = owner
        stream.registration = request.message_id
        stream.sequence = coap.observe_sequence(response.message)
        response.message.opt.observe = self._outgoing_sequence(stream)
        self._stop_resuming(stream)

    def cancel(self, flow: FlowKey, token: bytes) -> None:
        """End a stream that the caller no longer wants."""
        key = StreamKey(*flow, token)
        stream = self._streams.get(key)
        if stream is not None:
            self._cancel_at(stream.owner, key, stream.upstream, stream.registration)
            self._end(key, FlowEnd.CALLER_LEFT)

    def _cancel_at(
        self, owner: HostName, key: StreamKey, upstream: UpstreamName, registration: int
    ) -> None:
        self._context.send(owner, CancelStream(key, upstream, registration))

    def reset(self, flow: FlowKey, message_id: int) -> bool:
        """End the stream whose notification the caller rejected (RFC 7641, 3.6)."""
        for key, stream in self._streams.items():
            if message_id in stream.recent_message_ids and key[:3] == flow:
                self.cancel(flow, key.token)
                return True
        return False

    def receive_notification(self, message: Notification, now: Seconds) -> None:
        """Forward a notification to the caller, and restore the stream if it is unknown here."""
        context = self._context
        key = message.stream
        context.ensure_same_service(key.service, message.upstream)
        if message.upstream not in context.directory.reachable:
            context.counters.drops[DropReason.UNKNOWN_STREAM] += 1
            return
        if self._forward_to_home(message):
            return
        stream = self._streams.get(key)
        if stream is None:
            stream = self._add_recovered(
                StreamState(
                    key, message.upstream, message.owner, message.registration, message.request
                )
            )
            self._resume_if_owner_changed(key, stream, now)
        if not _is_current(stream, message):
            self._cancel_at(message.owner, key, message.upstream, message.registration)
            context.counters.drops[DropReason.STALE_NOTIFICATION] += 1
            return
        self._forward_notification(key, stream, message.payload)

    def _forward_to_home(self, message: Notification) -> bool:
        """Forward a notification to the stream's home; false if this balancer must handle it."""
        context = self._context
        home = context.home_of(FlowKey(*message.stream[:3]))
        if home in (None, context.local.name) or message.hops >= MAX_NOTIFICATION_HOPS:
            return False
        assert home is not None
        context.send(home, msgspec.structs.replace(message, hops=message.hops + 1))
        return True

    def _add_recovered(self, state: StreamState) -> Stream:
        stream = Stream(state.upstream, state.owner, state.registration, state.request)
        self._streams[state.stream] = stream
        self._context.counters.recovered["stream"] += 1
        return stream

    def _switch_registration(
        self, key: StreamKey, stream: Stream, owner: HostName, registration: int
    ) -> None:
        """Switch to a new registration and cancel the previous one."""
        if stream.owner:
            self._cancel_at(stream.owner, key, stream.upstream, stream.registration)
        stream.owner = owner
        stream.registration = registration
        stream.sequence = None
        self._stop_resuming(stream)

    def _forward_notification(self, key: StreamKey, stream: Stream, payload: bytes) -> None:
        decoded = coap.decode(payload)
        if not isinstance(decoded, coap.Response):
            self._context.counters.drops[DropReason.MALFORMED] += 1
            return
        sequence = coap.observe_sequence(decoded.message)
        if sequence is None:
            self._send_to_caller(key, stream, decoded)
            self._end(key, FlowEnd.UPSTREAM_ENDED)
            return
        if not is_newer(sequence, stream.sequence):
            self._context.counters.drops[DropReason.STALE_NOTIFICATION] += 1
            return
        stream.sequence = sequence
        decoded.message.opt.observe = self._outgoing_sequence(stream)
        self._send_to_caller(key, stream, decoded)

    def _outgoing_sequence(self, stream: Stream) -> int:
        clock = int(self._context.wall_clock() * SEQUENCE_TICKS_PER_S) % SEQUENCE_SPACE
        last = stream.sent_sequence
        if last is not None and not is_newer(clock, last):
            clock = (last + 1) % SEQUENCE_SPACE
        stream.sent_sequence = clock
        return clock

    def _send_to_caller(self, key: StreamKey, stream: Stream, response: coap.Response) -> None:
        message_id = self._next_message_id()
        stream.recent_message_ids.append(message_id)
        payload = coap.encode_notification(response.message, message_id, key.token)
        self._context.answer(key.service, Endpoint(key.caller_ip, key.caller_port), payload)

    def _next_message_id(self) -> int:
        self._message_id = (self._message_id + 1) % (1 << 16)
        return self._message_id

    def receive_stream_end(self, sender: HostName, message: StreamEnded) -> None:
        """Forward the last message of a stream to the caller and end the stream."""
        stream = self._streams.get(message.stream)
        if stream is None or stream.upstream != message.upstream or stream.owner != sender:
            return
        if stream.registration != message.registration:
            return
        decoded = coap.decode(message.payload)
        if isinstance(decoded, coap.Response):
            self._send_to_caller(message.stream, stream, decoded)
        self._end(message.stream, FlowEnd.UPSTREAM_ENDED)

    def _end(self, key: StreamKey, reason: FlowEnd) -> None:
        stream = self._streams.pop(key, None)
        if stream is not None:
            self._stop_resuming(stream)
            self._context.counters.count_flow_end(reason, key.service)

    def _stop_resuming(self, stream: Stream) -> None:
        self._resuming.pop(stream.resume_serial, None)
        stream.resuming_since = None

    # -- resumption through a new owner

    def owners_changed(self, now: Seconds) -> None:
        """Resume the streams whose upstream has a new owner."""
        for key, stream in self._streams.items():
            self._resume_if_owner_changed(key, stream, now)

    def _resume_if_owner_changed(self, key: StreamKey, stream: Stream, now: Seconds) -> None:
        owner = self._context.owner_of(stream.upstream)
        if owner is None or owner == stream.owner or stream.resuming_since is not None:
            return
        stream.resuming_since = now
        self._resume(key, stream, owner, now)

    def _resume(self, key: StreamKey, stream: Stream, owner: HostName, now: Seconds) -> None:
        """Start a new attempt to re-register a stream with an owner."""
        self._resuming.pop(stream.resume_serial, None)
        stream.resume_serial = self._next_serial()
        stream.resume_owner = owner
        self._resuming[stream.resume_serial] = key
        self._send_resumption(key, stream, now)

    def _send_resumption(self, key: StreamKey, stream: Stream, now: Seconds) -> None:
        """Send or resend a resumption attempt; the owner deduplicates it by its key."""
        serial = stream.resume_serial
        message = Dispatch(
            serial=serial,
            owner_incarnation=self._context.incarnation_of(stream.resume_owner),
            key=RequestKey(*key[:3], RESUMPTION_ID_BASE + serial, key.token),
            upstream=stream.upstream,
            remaining_ms=RESUME_DEADLINE_MS,
            ballot=NO_BALLOT,
            attempt=1,
            idempotent=True,
            stream=True,
            established=True,
            join=False,
            payload=stream.request,
        )
        self._context.send(stream.resume_owner, message)
        self._timers.add(now + RESUME_RETRY_INTERVAL_S, (key, serial))

    def receive_result(self, sender: HostName, result: Result, now: Seconds) -> bool:
        """Process the outcome of a resumption; false if the result belongs to no resumption."""
        key = self._resuming.get(result.serial)
        if key is None:
            return False
        stream = self._streams[key]
        if isinstance(result.outcome, Answered):
            self._switch_registration(key, stream, sender, result.key.message_id)
            self._forward_notification(key, stream, result.outcome.payload)
        elif not isinstance(result.outcome, Pending):
            self._resuming.pop(result.serial, None)
        return True

    def tick(self, now: Seconds) -> None:
        """Retry resumptions that have not succeeded, and end streams after the time limit."""
        for key, serial in self._timers.due(now):
            stream = self._streams.get(key)
            if stream is None or stream.resuming_since is None or stream.resume_serial != serial:
                continue
            owner = self._context.owner_of(stream.upstream)
            if owner == stream.owner:
                self._stop_resuming(stream)
            elif now - stream.resuming_since > RESUME_TIMEOUT_S:
                self._end(key, FlowEnd.RECOVERY_FAILED)
            elif owner is None:
                self._timers.add(now + RESUME_RETRY_INTERVAL_S, (key, serial))
            elif serial in self._resuming and owner == stream.resume_owner:
                self._send_resumption(key, stream, now)
            else:
                self._resume(key, stream, owner, now)

    # -- changes of upstreams and homes

    def upstreams_removed(self, end_reasons: dict[UpstreamName, FlowEnd]) -> None:
        """End the streams of upstreams that packets may no longer be sent to."""
        removed = [
            (key, end_reasons[stream.upstream])
            for key, stream in self._streams.items()
            if stream.upstream in end_reasons
        ]
        for key, reason in removed:
            self._send_end_notification(key, reason)
            self._end(key, reason)

    def _send_end_notification(self, key: StreamKey, reason: FlowEnd) -> None:
        """Send the error notification that ends an observation (RFC 7641, 4.2)."""
        payload = coap.encode_notification(
            coap.stream_end_notification(reason), self._next_message_id(), key.token
        )
        self._context.answer(key.service, Endpoint(key.caller_ip, key.caller_port), payload)

    def hand_over(self) -> None:
        """Hand over streams whose slot has moved to another home."""
        local = self._context.local.name
        moved: dict[HostName, list[StreamState]] = {}
        for key, stream in self._streams.items():
            home = self._context.home_of(FlowKey(*key[:3]))
            if home is not None and home != local:
                state = StreamState(
                    key, stream.upstream, stream.owner, stream.registration, stream.request
                )
                moved.setdefault(home, []).append(state)
        for home, states in moved.items():
            for start in range(0, len(states), HANDOVER_CHUNK):
                chunk = tuple(states[start : start + HANDOVER_CHUNK])
                self._context.transfer(home, HomeHandover(streams=chunk))
            for state in states:
                self._stop_resuming(self._streams.pop(state.stream))

    def take_over(self, states: tuple[StreamState, ...], now: Seconds) -> None:
        """Add streams handed over by their previous home."""
        for state in states:
            stream = self._streams.get(state.stream)
            if stream is None:
                stream = self._add_recovered(state)
            elif stream.upstream == state.upstream:
                # This host was the home before; the home in between may have re-registered
                # the stream.
                stream.owner = state.owner
                stream.registration = state.registration
                stream.sequence = None
            self._resume_if_owner_changed(state.stream, stream, now)


def _is_current(stream: Stream, message: Notification) -> bool:
    """Whether a notification comes from the current registration."""
    return (
        stream.upstream == message.upstream
        and stream.owner == message.owner
        and stream.registration == message.registration
    )
