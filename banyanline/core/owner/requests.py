"""Requests and streams between homes and the upstreams that this balancer owns."""

from __future__ import annotations

from collections.abc import Iterable

from aiocoap.numbers.types import Type

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.counters import DropReason
from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.gate import (
    Abort,
    Answered,
    GateEffect,
    Refuse,
    Shed,
    Start,
    TimedOut,
    Unreachable,
    Work,
)
from banyanline.core.ledger import (
    Admitted,
    Attempt,
    Duplicate,
    KeyRecord,
    LedgerRejection,
    OwnerLedger,
)
from banyanline.core.messages import Answered as AnsweredOutcome
from banyanline.core.messages import (
    CancelDispatch,
    CancelStream,
    Dispatch,
    FindTransfer,
    FlowKey,
    HandoverProgress,
    KeyState,
    Notification,
    NotRun,
    Outcome,
    RequestKey,
    Result,
    StreamEnded,
    StreamKey,
    Superseded,
    TransferFound,
    Unknown,
)
from banyanline.core.owner.exchanges import Exchange, OwnedStream, PendingWork
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.ownership import OwnershipStage
from banyanline.core.timers import TimerHeap
from banyanline.core.transfers import TransferTable, transfer_key
from banyanline.core.types import HostName, Seconds, UpstreamName

LATE_ANSWER_WINDOW_S = 1.0
"""How long running requests may still be answered after their data centre went out of service."""

RESULT_MARGIN_S = 0.005
"""Part of a request's remaining time that is reserved for sending the result to the home."""


class OwnerRequests:
    """Passes requests through the gates and sends their outcomes to the homes."""

    def __init__(
        self, context: Context, ledger: OwnerLedger, owned: dict[UpstreamName, OwnedUpstream]
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._owned = owned
        self._transfers = TransferTable(context.limits.requests)
        self._timers: TimerHeap[tuple[OwnedUpstream, Exchange]] = TimerHeap()

    @property
    def next_at(self) -> Seconds:
        """When the next exchange may time out."""
        return self._timers.next_at

    # -- messages from homes

    def dispatch(self, sender: HostName, message: Dispatch, now: Seconds) -> None:
        """Handle a request from its home."""
        owned = self._owned.get(message.upstream)
        record = self._ledger.get(message.key)
        if message.owner_incarnation < self._context.incarnation:
            outcome = Unknown(UnknownReason.OWNER_LOST)
            self._reply(owned, sender, message.serial, message.key, outcome, now)
        elif record is not None and record.is_dispatched:
            self._handle_duplicate(owned, record, sender, message, now)
        elif message.join:
            outcome = Unknown(UnknownReason.OWNER_LOST)
            self._reply(owned, sender, message.serial, message.key, outcome, now)
        elif owned is None or not self._context.membership.lease_fresh(now):
            self._refuse_moved(owned, sender, message, now)
        elif owned.is_active:
            self._admit(owned, sender, message, now)
        elif (
            owned.ownership.stage is not OwnershipStage.AWAITING_HANDOVER
            or not owned.hold_dispatch(sender, message)
        ):
            self._refuse_moved(owned, sender, message, now)

    def _refuse_moved(
        self, owned: OwnedUpstream | None, sender: HostName, message: Dispatch, now: Seconds
    ) -> None:
        outcome = NotRun(RefusalReason.OWNER_MOVED, 1.0)
        attempt = Attempt(sender, message.attempt)
        if self._ledger.record_refusal(message.key, attempt, outcome, now):
            self._reply(owned, sender, message.serial, message.key, outcome, now)

    def _reply(
        self,
        owned: OwnedUpstream | None,
        home: HostName,
        serial: int,
        key: RequestKey,
        outcome: Outcome,
        now: Seconds,
    ) -> None:
        load = None if owned is None else owned.load_report(now)
        self._context.send(home, Result(serial, key, outcome, load))

    def _admit(
        self, owned: OwnedUpstream, sender: HostName, message: Dispatch, now: Seconds
    ) -> None:
        verdict = self._ledger.admit(message.key, message.ballot, owned.name, now)
        match verdict:
            case Admitted(record):
                self._offer(owned, record, sender, message, now)
            case LedgerRejection.SUPERSEDED:
                self._reply(owned, sender, message.serial, message.key, Superseded(), now)
            case LedgerRejection.FULL:
                outcome = Unknown(RefusalReason.LEDGER_FULL)
                self._reply(owned, sender, message.serial, message.key, outcome, now)
            case Duplicate(record):
                self._handle_duplicate(owned, record, sender, message, now)

    def _handle_duplicate(
        self,
        owned: OwnedUpstream | None,
        record: KeyRecord,
        sender: HostName,
        message: Dispatch,
        now: Seconds,
    ) -> None:
        """Reply to a dispatch of a known key with its outcome, or retry the key if allowed."""
        outcome = record.outcome
        assert outcome is not None
        if record.is_pending:
            waiter = (sender, message.serial)
            if waiter not in record.waiters:
                record.waiters.append(waiter)
        elif self._may_retry(owned, record, sender, message, now):
            assert owned is not None
            attempt = Attempt(sender, message.attempt)
            if self._ledger.restart_attempt(record, message.ballot, attempt, owned.name):
                self._offer(owned, record, sender, message, now)
                return
        self._reply(owned, sender, message.serial, message.key, outcome, now)

    def _may_retry(
        self,
        owned: OwnedUpstream | None,
        record: KeyRecord,
        sender: HostName,
        message: Dispatch,
        now: Seconds,
    ) -> bool:
        is_same_attempt = record.last_attempt == Attempt(sender, message.attempt)
        if owned is None or not owned.is_active or is_same_attempt or message.join:
            return False
        if not self._context.membership.lease_fresh(now):
            return False
        if isinstance(record.outcome, AnsweredOutcome):
            return False
        return message.idempotent or isinstance(record.outcome, NotRun)

    def _offer(
        self,
        owned: OwnedUpstream,
        record: KeyRecord,
        sender: HostName,
        message: Dispatch,
        now: Seconds,
    ) -> None:
        key = message.key
        self._context.ensure_same_service(key.service, owned.name)
        record.last_attempt = Attempt(sender, message.attempt)
        record.waiters.append((sender, message.serial))
        stream = None
        if message.stream:
            stream = StreamKey(key.service, key.caller_ip, key.caller_port, key.token)
        deadline = now + message.remaining_ms / 1000.0 - RESULT_MARGIN_S
        work = Work(key, deadline, message.idempotent, message.stream, message.established)
        owned.pending[key] = PendingWork(work, message.payload, stream)
        self.apply_effects(owned, owned.gate.offer(work, now), now)

    def cancel(self, message: CancelDispatch, now: Seconds) -> None:
        """Cancel a request that its home no longer waits for."""
        owned = self._owned.get(message.upstream)
        record = self._ledger.get(message.key)
        if owned is None or record is None or not record.is_pending:
            return
        others = [waiter for waiter in record.waiters if waiter[1] != message.serial]
        if others:
            record.waiters = others
        else:
            self.apply_effects(owned, owned.gate.cancel(message.key, now), now)

    # -- effects of the gate

    def apply_effects(
        self, owned: OwnedUpstream, effects: Iterable[GateEffect], now: Seconds
    ) -> None:
        """Carry out the effects that a gate has returned."""
        for effect in effects:
            match effect:
                case Start(work):
                    self._start(owned, work, now)
                case Refuse(work, reason, retry_after_s):
                    self._refuse(owned, work, NotRun(reason, retry_after_s), now)
                case Abort(work, reason):
                    self._abort(owned, work, reason, now)
                case _:
                    pass

    def retire(self, owned: OwnedUpstream, effects: Iterable[GateEffect], now: Seconds) -> None:
        """End all work for an upstream that was taken out of service.

        Running requests may still be answered for a short time. That needs no packet to the
        upstream, so none is sent.
        """
        for effect in effects:
            match effect:
                case Abort(work):
                    exchange = owned.exchanges.by_key(_key_of(work))
                    if exchange is not None:
                        until = min(exchange.deadline, now + LATE_ANSWER_WINDOW_S)
                        self._timers.add(until, (owned, exchange))
                case _:
                    self.apply_effects(owned, [effect], now)

    def _start(self, owned: OwnedUpstream, work: Work, now: Seconds) -> None:
        key = _key_of(work)
        pending = owned.pending.pop(key)
        request = coap.decode(pending.request)
        if not isinstance(request, coap.Request):
            self._record_outcome(owned, key, NotRun(RefusalReason.CANCELLED, 1.0), now)
            self.apply_effects(owned, owned.gate.cancel(key, now), now)
            return
        exchange = owned.exchanges.start(pending, key)
        remaining_ms = int((work.deadline - now) * 1000)
        payload = coap.encode_upstream_request(
            request.message, exchange.message_id, exchange.token, remaining_ms
        )
        self._context.send_upstream(owned.upstream, payload)
        self._timers.add(work.deadline, (owned, exchange))

    def _refuse(self, owned: OwnedUpstream, work: Work, outcome: NotRun, now: Seconds) -> None:
        key = _key_of(work)
        owned.pending.pop(key, None)
        self._record_outcome(owned, key, outcome, now)

    def _abort(
        self, owned: OwnedUpstream, work: Work, reason: UnknownReason | None, now: Seconds
    ) -> None:
        key = _key_of(work)
        exchange = owned.exchanges.by_key(key)
        if exchange is None:
            return
        owned.exchanges.end(exchange)
        if reason is None:
            self._send_reset(owned, exchange)
        self._record_outcome(owned, key, Unknown(reason or UnknownReason.UPSTREAM_TIMEOUT), now)

    def _send_reset(self, owned: OwnedUpstream, exchange: Exchange) -> None:
        payload = coap.encode_empty(Type.RST, exchange.message_id)
        self._context.send_upstream(owned.upstream, payload)

    def _record_outcome(
        self, owned: OwnedUpstream, key: RequestKey, outcome: Outcome, now: Seconds
    ) -> None:
        """Record an outcome and send it to all homes that wait for it."""
        record = self._ledger.get(key)
        if record is None:
            return
        record.outcome = outcome
        self.notify_waiters(owned, key, record, now)
        if owned.is_handed_over:
            state = KeyState(key, owned.name, outcome, record.ballot)
            gate = owned.gate
            self.send_to_successor(
                HandoverProgress(owned.name, gate.in_flight, gate.connections, (state,))
            )
        else:
            # A request of an earlier ownership of this host, which has the upstream again.
            self.apply_effects(owned, owned.gate.end_at_previous_owners((key,), now), now)

    def notify_waiters(
        self, owned: OwnedUpstream | None, key: RequestKey, record: KeyRecord, now: Seconds
    ) -> None:
        """Send a request's outcome to the homes that wait for it."""
        waiters, record.waiters = record.waiters, []
        outcome = record.outcome
        assert outcome is not None
        for home, serial in waiters:
            self._reply(owned, home, serial, key, outcome, now)

    def send_to_successor(self, message: HandoverProgress) -> None:
        """Tell the present owner of an upstream how requests ended here.

        A datagram is fast but may be lost. The same message as a transfer is not, and comes
        after the handover.
        """
        successor = self._context.owner_of(message.upstream)
        if successor is not None and successor != self._context.local.name:
            self._context.send(successor, message)
            self._context.transfer(successor, message)

    def running_elsewhere(self, owned: OwnedUpstream) -> frozenset[RequestKey]:
        """Return the requests that run at the upstream and were started by an earlier owner."""
        return frozenset(
            key
            for key, record in self._ledger.items()
            if record.is_pending and record.upstream == owned.name and key not in owned.pending
        )

    # -- datagrams from upstreams

    def receive(self, owned: OwnedUpstream, payload: bytes, now: Seconds) -> None:
        """Handle a datagram from an upstream."""
        decoded = coap.decode(payload)
        match decoded:
            case coap.Response():
                if decoded.kind is Type.CON:
                    ack = coap.encode_empty(Type.ACK, decoded.message_id)
                    self._context.send_upstream(owned.upstream, ack)
                self._handle_response(owned, decoded, payload, now)
            case coap.Empty(kind, message_id) if kind is Type.RST:
                self._handle_reset(owned, message_id, now)
            case coap.Empty():
                pass
            case _:
                self._context.counters.drop(DropReason.MALFORMED)

    def _handle_response(
        self, owned: OwnedUpstream, response: coap.Response, payload: bytes, now: Seconds
    ) -> None:
        exchange = owned.exchanges.by_token(response.token)
        if exchange is not None:
            self._finish_exchange(owned, exchange, response, payload, now)
            return
        if response.token == owned.health.token:
            report = owned.health.handle_response(response.message.payload)
            if owned.is_active and report is not None:
                self.apply_effects(owned, owned.gate.record_health_report(report, now), now)
            return
        stream = owned.exchanges.streams.get(response.token)
        if stream is not None:
            self._forward_notification(owned, stream, response, payload)
        else:
            self._drop_unmatched(owned, response)

    def _drop_unmatched(self, owned: OwnedUpstream, response: coap.Response) -> None:
        """Drop an unmatched response; reset the stream of a notification (RFC 7641, 3.6)."""
        self._context.counters.drop(DropReason.UNMATCHED_ANSWER)
        if coap.observe_sequence(response.message) is not None:
            reset = coap.encode_empty(Type.RST, response.message_id)
            self._context.send_upstream(owned.upstream, reset)

    def _finish_exchange(
        self,
        owned: OwnedUpstream,
        exchange: Exchange,
        response: coap.Response,
        payload: bytes,
        now: Seconds,
    ) -> None:
        owned.exchanges.end(exchange)
        key = exchange.key
        if coap.is_shed(response.message):
            retry_after_s = float(coap.max_age_s(response.message))
            effects = owned.gate.record_outcome(key, Shed(retry_after_s), now)
            outcome: Outcome = NotRun(RefusalReason.UPSTREAM_SHED, retry_after_s)
        else:
            effects = owned.gate.record_outcome(key, Answered(), now)
            outcome = AnsweredOutcome(payload)
            self._update_stream(owned, exchange, response)
            self._remember_transfer(owned, exchange, response, now)
        self._record_outcome(owned, key, outcome, now)
        self.apply_effects(owned, effects, now)

    def _remember_transfer(
        self, owned: OwnedUpstream, exchange: Exchange, response: coap.Response, now: Seconds
    ) -> None:
        """Record a block-wise transfer, so that a new home can find it if the home fails."""
        if coap.starts_transfer(response.message):
            flow = FlowKey(*exchange.key[:3])
            key = transfer_key(flow, coap.message(exchange.request))
            self._transfers.put(key, owned.name, coap.etag(response.message), now)

    def find_transfer(self, sender: HostName, message: FindTransfer, now: Seconds) -> None:
        """Reply to a new home with the upstream of a transfer, if it is known here."""
        upstream = self._transfers.upstream_of(message.transfer, now)
        if upstream is not None:
            self._context.send(sender, TransferFound(message.key, upstream))

    def _update_stream(
        self, owned: OwnedUpstream, exchange: Exchange, response: coap.Response
    ) -> None:
        """Record the stream that a response opened, or free the connection reserved for it."""
        if exchange.stream is None:
            return
        if coap.observe_sequence(response.message) is None:
            owned.gate.close_connection(exchange.key)
            return
        earlier = owned.exchanges.open_stream(exchange, exchange.stream)
        if earlier is not None and earlier.connection != exchange.key:
            owned.gate.close_connection(earlier.connection)

    def _forward_notification(
        self, owned: OwnedUpstream, stream: OwnedStream, response: coap.Response, payload: bytes
    ) -> None:
        context = self._context
        home = context.home_of(FlowKey(*stream.key[:3]))
        if coap.observe_sequence(response.message) is None:
            self._drop_stream(owned, stream)
            if home is not None:
                context.send(
                    home, StreamEnded(stream.key, owned.name, stream.registration, payload)
                )
        elif home is not None:
            context.send(
                home,
                Notification(
                    stream.key,
                    owned.name,
                    context.local.name,
                    stream.registration,
                    payload,
                    stream.request,
                    0,
                ),
            )
        else:
            context.counters.drop(DropReason.NO_HOME)

    def _drop_stream(self, owned: OwnedUpstream, stream: OwnedStream) -> None:
        owned.exchanges.close_stream(stream)
        owned.gate.close_connection(stream.connection)

    def _handle_reset(self, owned: OwnedUpstream, message_id: int, now: Seconds) -> None:
        exchange = owned.exchanges.by_message_id(message_id)
        if exchange is not None:
            self._fail_exchange(owned, exchange, TimedOut(), now)

    def _fail_exchange(
        self,
        owned: OwnedUpstream,
        exchange: Exchange,
        outcome: TimedOut | Unreachable,
        now: Seconds,
    ) -> None:
        """End an exchange with an unknown outcome."""
        owned.exchanges.end(exchange)
        effects = owned.gate.record_outcome(exchange.key, outcome, now)
        self._record_outcome(owned, exchange.key, Unknown(UnknownReason.UPSTREAM_TIMEOUT), now)
        self.apply_effects(owned, effects, now)

    def unreachable(self, owned: OwnedUpstream, now: Seconds) -> None:
        """Handle a network report that no process listens at the upstream's endpoint."""
        for exchange in owned.exchanges.open_exchanges():
            self._fail_exchange(owned, exchange, Unreachable(), now)

    def cancel_stream(self, message: CancelStream) -> None:
        """Deregister a stream at its upstream."""
        owned = self._owned.get(message.upstream)
        if owned is None:
            return
        stream = owned.exchanges.stream(message.stream, message.registration)
        if stream is None:
            return
        self._drop_stream(owned, stream)
        message_id = owned.exchanges.next_message_id()
        payload = coap.encode_deregistration(message_id, stream.token, stream.request)
        self._context.send_upstream(owned.upstream, payload)

    # -- timers

    def tick(self, now: Seconds) -> None:
        """End the exchanges that have timed out."""
        self._transfers.expire(now)
        for owned, exchange in self._timers.due(now):
            if owned.exchanges.by_key(exchange.key) is not exchange:
                continue
            if owned.name in self._context.directory.reachable:
                self._send_reset(owned, exchange)
                self._fail_exchange(owned, exchange, TimedOut(), now)
            else:
                owned.exchanges.end(exchange)
                self._record_outcome(
                    owned, exchange.key, Unknown(UnknownReason.DATA_CENTRE_OUT), now
                )

    def fail_pending(self, upstreams: frozenset[UpstreamName], now: Seconds) -> None:
        """End requests that were still running at a failed previous owner, as unknown."""
        for key, record in self._ledger.items():
            if record.is_pending and record.upstream in upstreams:
                owned = self._owned.get(record.upstream)
                if owned is not None and not _is_handled_here(owned, key):
                    record.outcome = Unknown(UnknownReason.OWNER_LOST)
                    self.notify_waiters(owned, key, record, now)


def _key_of(work: Work) -> RequestKey:
    """Return the request key that identifies the work."""
    key = work.request_id
    assert isinstance(key, RequestKey)
    return key


def _is_handled_here(owned: OwnedUpstream, key: RequestKey) -> bool:
    return key in owned.pending or owned.exchanges.by_key(key) is not None
