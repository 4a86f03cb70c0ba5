"""Requests at their home: deduplication, deadline, dispatch, retries and the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.counters import DropReason
from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.home.claims import (
    RESEND_INTERVAL_S,
    ClaimAlreadyDispatched,
    ClaimGranted,
    ClaimInconclusive,
    ClaimPending,
    ClaimState,
    PendingClaims,
)
from banyanline.core.home.entry import PendingRefusal, Phase, RequestEntry
from banyanline.core.home.policies import Policies
from banyanline.core.ledger import KeyTable
from banyanline.core.messages import (
    Answered,
    CancelDispatch,
    ClaimReply,
    Dispatch,
    FindTransfer,
    FlowKey,
    NotRun,
    Pending,
    RequestKey,
    Result,
    Superseded,
    TransferFound,
    Unknown,
)
from banyanline.core.placement import slot_of
from banyanline.core.retry import AttemptOutcome, RetryAt
from banyanline.core.timers import TimerHeap
from banyanline.core.transfers import transfer_key
from banyanline.core.types import Endpoint, HostName, Seconds, UpstreamName

if TYPE_CHECKING:
    from aiocoap.message import Message

    from banyanline.core.home.streams import Streams
    from banyanline.core.home.transfers import Transfers

REPLY_MARGIN_S = 0.010
"""Part of the caller's patience that is reserved for sending the response to the caller."""

FIRST_RESEND_DELAY_S = 0.1
MAX_RESEND_INTERVAL_S = 0.8
MAX_UNANSWERED_RESENDS = 2
"""Unacknowledged resends after which an idempotent request is retried with another owner."""

CLAIM_RETRY_DELAY_S = 0.05
FIND_TRANSFER_TIMEOUT_S = 0.15
LEASE_RETRY_INTERVAL_S = 0.05
LEASE_TIMEOUT_S = 0.6


_NOT_RUN_OUTCOMES: dict[str, AttemptOutcome] = {
    RefusalReason.OWNER_MOVED: AttemptOutcome.OWNER_MOVED,
    RefusalReason.UPSTREAM_SHED: AttemptOutcome.UPSTREAM_SHED,
    RefusalReason.NO_UPSTREAM: AttemptOutcome.UPSTREAM_LEFT,
}


class Requests:
    """The requests whose home is this balancer."""

    def __init__(
        self,
        context: Context,
        policies: Policies,
        streams: Streams,
        transfers: Transfers,
        first_serial: int,
    ) -> None:
        limits = context.limits
        self._context = context
        self._policies = policies
        self._streams = streams
        self._transfers = transfers
        self._ledger: KeyTable[RequestEntry] = KeyTable(limits.requests, limits.request_lifetime_s)
        self._claims = PendingClaims(context)
        self._dispatched: dict[int, RequestEntry] = {}
        self._timers: TimerHeap[tuple[RequestEntry, Phase, int]] = TimerHeap()
        self._serial = first_serial
        self._open = 0

    @property
    def next_at(self) -> Seconds:
        """Time at which ``tick`` is next due for a request."""
        return self._timers.next_at

    @property
    def open_count(self) -> int:
        """Number of requests that have no response yet."""
        return self._open

    @property
    def ledger_count(self) -> int:
        """Number of request keys in the deduplication ledger."""
        return len(self._ledger)

    def next_serial(self) -> int:
        """Return a new dispatch serial, unique within this process."""
        self._serial += 1
        return self._serial

    # -- from callers

    def receive(self, flow: FlowKey, request: coap.Request, now: Seconds) -> None:
        """Process a caller's request or its retransmission."""
        key = RequestKey(*flow, request.message_id, request.token)
        entry = self._ledger.get(key)
        if entry is not None:
            self._resend_response(entry)
            return
        if request.unknown_critical_option is not None:
            self._reply(flow, request, coap.bad_option_response(request.unknown_critical_option))
            return
        entry = RequestEntry(key, flow, self._context.hash_of(flow), request, now)
        self._set_deadline(entry, now)
        if self._ledger.add(key, entry, now) is not None:
            self._count_unknown(entry, RefusalReason.LEDGER_FULL)
            self._reply(flow, request, coap.unknown_outcome_response(RefusalReason.LEDGER_FULL))
            return
        self._open += 1
        self._admit(entry, now)

    def _resend_response(self, entry: RequestEntry) -> None:
        self._context.counters.duplicates["request"] += 1
        if entry.answer is not None:
            self._context.answer(entry.key.service, _caller_endpoint(entry.flow), entry.answer)

    def _set_deadline(self, entry: RequestEntry, now: Seconds) -> None:
        context = self._context
        patience = context.patience.patience_s(entry.flow.caller_ip, context.wall_clock())
        entry.deadline = now + max(REPLY_MARGIN_S, patience - REPLY_MARGIN_S)
        # Phase.ANSWERED marks the deadline timer, which applies in every open phase.
        self._timers.add(entry.deadline, (entry, Phase.ANSWERED, 0))

    def _admit(self, entry: RequestEntry, now: Seconds) -> None:
        context = self._context
        slot = slot_of(entry.hash)
        entry.is_sole_dispatcher = context.may_decide(now) and context.has_been_sole_home(
            slot, context.limits.request_lifetime_s, now
        )
        if not self._pin(entry, now):
            self._find_transfer(entry, now)
        elif entry.is_idempotent:
            self._dispatch(entry, now)
        elif not context.may_decide(now):
            self._wait_for_lease(entry, now)
        elif entry.is_sole_dispatcher:
            self._dispatch(entry, now)
        else:
            self._claim(entry, slot, now)

    def _pin(self, entry: RequestEntry, now: Seconds) -> bool:
        """Pin the request to the upstream of its stream or transfer.

        Returns false if it continues a transfer whose upstream is unknown or unreachable.
        """
        request = entry.request
        assert request is not None
        if request.observe is not None:
            entry.pinned = self._streams.upstream_of(entry.flow, request.token)
        if request.continues_transfer:
            entry.pinned = self._transfers.upstream_of(entry.flow, request.message, now)
            return entry.pinned is not None
        return True

    def _find_transfer(self, entry: RequestEntry, now: Seconds) -> None:
        """Ask the owners for the upstream of the earlier blocks, or have the caller restart."""
        request = entry.request
        assert request is not None
        if entry.is_sole_dispatcher or entry.phase is Phase.FINDING_TRANSFER:
            self._finish(entry, coap.transfer_restart_response(), now)
            return
        entry.phase = Phase.FINDING_TRANSFER
        message = FindTransfer(entry.key, transfer_key(entry.flow, request.message))
        for owner in self._context.owners_of_service(entry.key.service):
            self._context.send(owner, message)
        self._timers.add(now + FIND_TRANSFER_TIMEOUT_S, (entry, Phase.FINDING_TRANSFER, 0))

    def receive_transfer(self, message: TransferFound, now: Seconds) -> None:
        """Process an owner's reply that names the upstream of a block-wise transfer.

        Owners may name two upstreams, if the first did not respond in time and a retry went
        to the second. Which of them the caller has blocks of is unknown, so the caller must
        restart the transfer.
        """
        entry = self._ledger.get(message.key)
        if entry is None or entry.phase is not Phase.FINDING_TRANSFER:
            return
        self._context.ensure_same_service(entry.key.service, message.upstream)
        if entry.pinned in (None, message.upstream):
            entry.pinned = message.upstream
        else:
            self._finish(entry, coap.transfer_restart_response(), now)

    def _continue_transfer(self, entry: RequestEntry, now: Seconds) -> None:
        """Continue with the upstream that the owners named, or have the caller restart."""
        request = entry.request
        assert request is not None
        if entry.pinned is not None:
            self._context.counters.recovered["transfer"] += 1
            self._transfers.record_upstream(entry.flow, request.message, entry.pinned, now)
        self._admit(entry, now)

    def _wait_for_lease(self, entry: RequestEntry, now: Seconds) -> None:
        if now - entry.arrived_at >= LEASE_TIMEOUT_S:
            self._finish_unknown(entry, UnknownReason.NO_QUORUM, now)
            return
        entry.phase = Phase.WAITING_FOR_LEASE
        self._timers.add(now + LEASE_RETRY_INTERVAL_S, (entry, Phase.WAITING_FOR_LEASE, 0))

    # -- claims

    def _claim(self, entry: RequestEntry, slot: int, now: Seconds) -> None:
        entry.phase = Phase.CLAIMING
        entry.ballot, state = self._claims.start(entry.key, slot, now)
        self._timers.add(now + RESEND_INTERVAL_S, (entry, Phase.CLAIMING, entry.ballot.wall_ms))
        self._handle_claim_state(entry, state, now)

    def receive_claim_reply(self, sender: HostName, reply: ClaimReply, now: Seconds) -> None:
        """Process an owner's reply to a claim."""
        entry = self._ledger.get(reply.key)
        if entry is None or entry.phase is not Phase.CLAIMING:
            return
        self._handle_claim_state(entry, self._claims.receive(sender, reply), now)

    def _handle_claim_state(self, entry: RequestEntry, state: ClaimState, now: Seconds) -> None:
        match state:
            case ClaimPending():
                return
            case ClaimGranted():
                entry.is_sole_dispatcher = True
                self._continue_after_claim(entry, now)
            case ClaimAlreadyDispatched(owner, upstream, outcome):
                self._join(entry, owner, upstream, outcome, now)
            case ClaimInconclusive(is_final):
                if is_final:
                    self._finish_unknown(entry, UnknownReason.WITNESS_UNREACHABLE, now)
                else:
                    self._schedule_claim(entry, now)

    def _schedule_claim(self, entry: RequestEntry, now: Seconds) -> None:
        entry.phase = Phase.WAITING_TO_CLAIM
        self._timers.add(now + CLAIM_RETRY_DELAY_S, (entry, Phase.WAITING_TO_CLAIM, 0))

    def _continue_after_claim(self, entry: RequestEntry, now: Seconds) -> None:
        """Dispatch or refuse the request after its claim was granted."""
        if entry.pending_refusal is None:
            self._dispatch(entry, now)
        else:
            self._refuse(entry, *entry.pending_refusal, now)

    def _join(
        self,
        entry: RequestEntry,
        owner: HostName,
        upstream: UpstreamName,
        outcome: object,
        now: Seconds,
    ) -> None:
        """Await, or pass on to the caller, the outcome of a dispatch by an earlier home."""
        entry.upstream = upstream
        if isinstance(outcome, Pending):
            entry.is_joined = True
            self._send_dispatch(entry, owner, now)
        elif isinstance(outcome, Answered):
            self._handle_response(entry, outcome.payload, now)
        elif isinstance(outcome, NotRun):
            entry.is_sole_dispatcher = True
            self._refuse(entry, outcome.reason, outcome.retry_after_s, now)
        else:
            self._finish_unknown(entry, UnknownReason.OWNER_LOST, now)

    # -- dispatch

    def _dispatch(self, entry: RequestEntry, now: Seconds) -> None:
        context = self._context
        upstream = self._choose(entry, now)
        owner = context.owner_of(upstream) if upstream is not None else None
        if upstream is None or owner is None:
            self._refuse(entry, RefusalReason.NO_UPSTREAM, 1.0 + context.rng.random(), now)
            return
        context.ensure_same_service(entry.key.service, upstream)
        entry.upstream = upstream
        entry.attempt += 1
        entry.is_joined = False
        self._policies.record_dispatch(entry.key.service, upstream)
        self._send_dispatch(entry, owner, now)

    def _choose(self, entry: RequestEntry, now: Seconds) -> UpstreamName | None:
        context = self._context
        if entry.pinned is not None:
            return entry.pinned if entry.pinned in context.directory.reachable else None
        return self._policies.choose(
            entry.key.service,
            entry.hash,
            entry.excluded,
            now,
            needs_remote_owner=not entry.is_idempotent,
        )

    def _send_dispatch(self, entry: RequestEntry, owner: HostName, now: Seconds) -> None:
        entry.phase = Phase.DISPATCHED
        entry.owner = owner
        entry.owner_incarnation = self._context.incarnation_of(owner)
        entry.serial = self.next_serial()
        entry.resends = 0
        self._dispatched[entry.serial] = entry
        self._context.send(owner, self._dispatch_message(entry, now))
        self._timers.add(now + FIRST_RESEND_DELAY_S, (entry, Phase.DISPATCHED, entry.serial))

    def _dispatch_message(self, entry: RequestEntry, now: Seconds) -> Dispatch:
        request = entry.request
        assert request is not None
        return Dispatch(
            serial=entry.serial,
            owner_incarnation=entry.owner_incarnation,
            key=entry.key,
            upstream=entry.upstream,
            remaining_ms=max(0, int((entry.deadline - now) * 1000)),
            ballot=entry.ballot,
            attempt=entry.attempt,
            idempotent=request.idempotent,
            stream=request.observe == coap.OBSERVE_REGISTER,
            established=entry.pinned is not None,
            join=entry.is_joined,
            payload=request.datagram,
        )

    # -- results

    def receive_result(self, sender: HostName, result: Result, now: Seconds) -> None:
        """Process an owner's report of the outcome of a dispatch."""
        if result.load is not None:
            self._policies.record_load(result.key.service, sender, result.load, now)
        entry = self._dispatched.get(result.serial)
        if entry is None or entry.key != result.key:
            self._context.counters.drops[DropReason.LATE_RESULT] += 1
            return
        outcome = result.outcome
        if isinstance(outcome, Pending):
            # A negative count marks the dispatch as acknowledged.
            entry.resends = -1
            return
        del self._dispatched[result.serial]
        if entry.serial != result.serial or entry.phase is not Phase.DISPATCHED:
            self._context.counters.drops[DropReason.LATE_RESULT] += 1
            return
        self._handle_outcome(entry, sender, outcome, now)

    def _handle_outcome(
        self, entry: RequestEntry, sender: HostName, outcome: object, now: Seconds
    ) -> None:
        match outcome:
            case Answered():
                self._handle_response(entry, outcome.payload, now)
            case NotRun():
                self._handle_not_run(entry, outcome, now)
            case Unknown():
                self._handle_failure(entry, outcome.reason, AttemptOutcome.UPSTREAM_TIMEOUT, now)
            case Superseded():
                entry.phase = Phase.SUPERSEDED
                self._close(entry)

    def _handle_response(self, entry: RequestEntry, payload: bytes, now: Seconds) -> None:
        decoded = coap.decode(payload)
        if not isinstance(decoded, coap.Response):
            self._finish_unknown(entry, UnknownReason.UPSTREAM_TIMEOUT, now)
            return
        request = entry.request
        assert request is not None
        self._policies.record_success(entry.key.service, now)
        if not self._transfers.check_version(entry.flow, request, decoded, entry.upstream, now):
            self._finish(entry, coap.transfer_restart_response(), now)
            return
        is_reachable = entry.upstream in self._context.directory.reachable
        if not is_reachable:
            decoded.message.opt.observe = None
        if entry.is_registration and decoded.message.opt.observe is not None:
            self._streams.record_registration(
                entry.flow, request, entry.upstream, entry.owner, decoded, now
            )
        self._context.counters.answer(entry.key.service, now - entry.arrived_at)
        self._finish(entry, decoded.message, now)

    def _handle_not_run(self, entry: RequestEntry, outcome: NotRun, now: Seconds) -> None:
        if entry.is_joined:
            # The earlier home may retry with another owner, so the claim is made again.
            entry.is_joined = False
            self._schedule_claim(entry, now)
            return
        attempt_outcome = _NOT_RUN_OUTCOMES.get(outcome.reason, AttemptOutcome.OWNER_REFUSED)
        if attempt_outcome is not AttemptOutcome.OWNER_MOVED:
            entry.excluded |= {entry.upstream}
        if not self._retry(entry, attempt_outcome, now):
            self._refuse(entry, outcome.reason, outcome.retry_after_s, now)

    def _handle_failure(
        self, entry: RequestEntry, reason: str, outcome: AttemptOutcome, now: Seconds
    ) -> None:
        """Retry an idempotent request, or respond that the outcome is unknown."""
        entry.may_have_run = True
        entry.excluded |= {entry.upstream}
        if not self._retry(entry, outcome, now):
            self._finish_unknown(entry, reason, now)

    def _retry(self, entry: RequestEntry, outcome: AttemptOutcome, now: Seconds) -> bool:
        service = entry.key.service
        decision = self._policies.decide(
            service, entry.attempt, outcome, entry.is_idempotent, entry.deadline - now, now
        )
        if not isinstance(decision, RetryAt):
            return False
        entry.phase = Phase.WAITING_TO_RETRY
        entry.serial = 0
        self._context.counters.retry(decision.reason, service)
        self._timers.add(decision.time, (entry, Phase.WAITING_TO_RETRY, 0))
        return True

    # -- timers

    def tick(self, now: Seconds) -> None:
        """Run the timers that are due: deadlines, resends, retries and expiry of keys."""
        for entry, phase, serial in self._timers.due(now):
            if entry.is_final:
                continue
            if phase is Phase.ANSWERED:
                self._handle_deadline(entry, now)
            elif entry.phase is phase:
                self._handle_timer(entry, serial, now)
        self._ledger.expire(now)

    def _handle_timer(self, entry: RequestEntry, serial: int, now: Seconds) -> None:
        match entry.phase:
            case Phase.FINDING_TRANSFER:
                self._continue_transfer(entry, now)
            case Phase.WAITING_FOR_LEASE:
                self._retry_admission(entry, now)
            case Phase.CLAIMING if serial == entry.ballot.wall_ms:
                self._claims.resend(entry.key)
                self._timers.add(now + RESEND_INTERVAL_S, (entry, Phase.CLAIMING, serial))
            case Phase.WAITING_TO_CLAIM:
                self._retry_admission(entry, now)
            case Phase.WAITING_TO_RETRY:
                self._dispatch(entry, now)
            case Phase.DISPATCHED if serial == entry.serial:
                self._resend(entry, now)

    def _retry_admission(self, entry: RequestEntry, now: Seconds) -> None:
        if entry.pending_refusal is not None:
            self._claim(entry, slot_of(entry.hash), now)
        elif self._context.may_decide(now):
            self._admit(entry, now)
        else:
            self._wait_for_lease(entry, now)

    def _resend(self, entry: RequestEntry, now: Seconds) -> None:
        is_acknowledged = entry.resends < 0
        if not is_acknowledged and entry.is_idempotent and entry.resends >= MAX_UNANSWERED_RESENDS:
            self._remove_dispatch(entry)
            self._handle_failure(entry, UnknownReason.OWNER_LOST, AttemptOutcome.OWNER_LOST, now)
            return
        self._context.send(entry.owner, self._dispatch_message(entry, now))
        if not is_acknowledged:
            entry.resends += 1
        delay = (
            MAX_RESEND_INTERVAL_S if is_acknowledged else FIRST_RESEND_DELAY_S * 2**entry.resends
        )
        due = now + min(delay, MAX_RESEND_INTERVAL_S)
        self._timers.add(due, (entry, Phase.DISPATCHED, entry.serial))

    def _handle_deadline(self, entry: RequestEntry, now: Seconds) -> None:
        match entry.phase:
            case Phase.DISPATCHED:
                self._remove_dispatch(entry)
                self._context.send(
                    entry.owner, CancelDispatch(entry.serial, entry.key, entry.upstream)
                )
                entry.may_have_run = True
                self._finish_unknown(entry, UnknownReason.UPSTREAM_TIMEOUT, now)
            case Phase.WAITING_TO_RETRY:
                self._refuse(entry, RefusalReason.DEADLINE_PASSED, 1.0, now)
            case Phase.FINDING_TRANSFER:
                self._finish(entry, coap.transfer_restart_response(), now)
            case Phase.CLAIMING | Phase.WAITING_TO_CLAIM:
                self._finish_unknown(entry, UnknownReason.WITNESS_UNREACHABLE, now)
            case _:
                self._finish_unknown(entry, UnknownReason.NO_QUORUM, now)

    # -- changes of the fleet

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Restart claims and fail or retry dispatches that await a dead host."""
        for key in self._claims.abandon_awaiting(host):
            entry = self._ledger.get(key)
            if entry is not None and entry.phase is Phase.CLAIMING:
                self._claim(entry, slot_of(entry.hash), now)
        lost = [entry for entry in self._dispatched.values() if entry.owner == host]
        for entry in lost:
            self._fail_lost_dispatch(
                entry, UnknownReason.OWNER_LOST, AttemptOutcome.OWNER_LOST, now
            )

    def _fail_lost_dispatch(
        self, entry: RequestEntry, reason: str, outcome: AttemptOutcome, now: Seconds
    ) -> None:
        self._remove_dispatch(entry)
        if entry.phase is Phase.DISPATCHED:
            self._handle_failure(entry, reason, outcome, now)

    def _remove_dispatch(self, entry: RequestEntry) -> None:
        self._dispatched.pop(entry.serial, None)

    # -- responses

    def _refuse(self, entry: RequestEntry, reason: str, retry_after_s: float, now: Seconds) -> None:
        """Refuse a request, with the guarantee that it was not run only where that is certain.

        A home that has not held the slot long enough first claims the key, to learn from the
        owners whether an earlier home dispatched the request. For an idempotent request
        every home does so, since a home on the other side of a partition may run it. A block
        of a transfer that was begun elsewhere makes the caller restart the transfer.
        """
        if entry.request is not None and entry.request.continues_transfer:
            self._finish(entry, coap.transfer_restart_response(), now)
            return
        is_guaranteed = entry.is_sole_dispatcher and not entry.is_idempotent
        if not is_guaranteed and not entry.may_have_run and entry.pending_refusal is None:
            entry.is_sole_dispatcher = False
            entry.pending_refusal = PendingRefusal(reason, retry_after_s)
            self._claim(entry, slot_of(entry.hash), now)
            return
        if not entry.can_guarantee_not_run:
            self._finish_unknown(entry, reason, now)
            return
        self._context.counters.refuse(RefusalReason(reason), entry.key.service)
        self._finish(entry, coap.not_run_response(reason, retry_after_s), now)

    def _finish_unknown(self, entry: RequestEntry, reason: str, now: Seconds) -> None:
        self._count_unknown(entry, reason)
        self._finish(entry, coap.unknown_outcome_response(reason), now)

    def _count_unknown(self, entry: RequestEntry, reason: str) -> None:
        self._context.counters.count_unknown_outcome(_parse_reason(reason), entry.key.service)

    def _finish(self, entry: RequestEntry, message: Message, now: Seconds) -> None:
        request = entry.request
        assert request is not None
        entry.phase = Phase.ANSWERED
        entry.answer = self._reply(entry.flow, request, message)
        self._close(entry)

    def _close(self, entry: RequestEntry) -> None:
        self._claims.drop(entry.key)
        entry.request = None
        self._open -= 1

    def _reply(self, flow: FlowKey, request: coap.Request, message: Message) -> bytes:
        payload = coap.encode_response(
            message, request.message_id, request.token, request.confirmable
        )
        self._context.answer(flow.service, _caller_endpoint(flow), payload)
        return payload


def _parse_reason(reason: str) -> UnknownReason | RefusalReason:
    for reasons in (UnknownReason, RefusalReason):
        if reason in reasons.__members__.values():
            return reasons(reason)
    # A peer of another version may send reasons that this version does not know.
    return UnknownReason.OWNER_LOST


def _caller_endpoint(flow: FlowKey) -> Endpoint:
    return Endpoint(flow.caller_ip, flow.caller_port)
