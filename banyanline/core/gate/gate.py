"""The gate: admission control for everything that an owner sends to one upstream."""

from __future__ import annotations

from collections import Counter
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from banyanline.core.error_responses import RefusalReason, UnknownReason
from banyanline.core.gate.connections import Connections
from banyanline.core.gate.health import UpstreamHealth
from banyanline.core.gate.messages import (
    Abort,
    Answered,
    CloseConnection,
    GateEffects,
    GateStart,
    GateState,
    HealthReport,
    LoadSnapshot,
    Refuse,
    Shed,
    Start,
    StartCold,
    StartHandedOver,
    StartWarm,
    SuspicionReason,
    TimedOut,
    Work,
    WorkOutcome,
)
from banyanline.core.gate.pacing import Pacing
from banyanline.core.gate.queue import DeadlineQueue
from banyanline.core.gate.retry_after import RetryAfterSchedule
from banyanline.core.gate.scheduler import Scheduler
from banyanline.core.invariants import require
from banyanline.core.types import UpstreamState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from banyanline.core.gate.messages import FlowId, RequestId
    from banyanline.core.model import ColdStart, Upstream
    from banyanline.core.types import Seconds

MAX_SHED_PAUSE_S = 5.0


class UpstreamGate:
    """Admission control in front of one upstream: slots, queue, connections, slow start, health.

    The owner of an upstream offers all requests for it to its gate and carries out the
    effects that the methods return, in order. Each offered request ends exactly once:
    refused here, or started and then finished or cancelled. Times are in seconds of the
    owner's monotonic clock.

    >>> import random
    >>> from banyanline.core.model import ColdStart, Upstream
    >>> from banyanline.core.types import Endpoint
    >>> upstream = Upstream("orders-1", "orders", "north", Endpoint("203.0.113.1", 5683), slots=1)
    >>> gate = UpstreamGate(upstream, ColdStart(), StartWarm(), 0.0, random.Random(1))
    >>> [effect.work.request_id for effect in gate.offer(Work("a", deadline=2.0), now=0.0)]
    ['a']
    >>> gate.offer(Work("b", deadline=2.0), now=0.0)
    []
    >>> [effect.work.request_id for effect in gate.record_outcome("a", Answered(), now=0.1)]
    ['b']
    """

    def __init__(
        self,
        upstream: Upstream,
        cold_start: ColdStart,
        start: GateStart,
        now: Seconds,
        rng: random.Random,
        queue: DeadlineQueue | None = None,
    ) -> None:
        self._upstream = upstream
        self._state = upstream.state
        self._is_handed_over = False
        self._is_out_of_service = False
        self._pacing = Pacing(cold_start, upstream.slots, now)
        self._scheduler = Scheduler(DeadlineQueue() if queue is None else queue, self._pacing)
        self._connections = Connections(upstream.connections)
        self._health = UpstreamHealth(rng)
        self._retry_after = RetryAfterSchedule(rng)
        self._rng = rng
        self._load_sequence = 0
        self._refusals: Counter[RefusalReason] = Counter()
        self._begin(start, now)

    @property
    def upstream(self) -> Upstream:
        """The upstream as it is configured."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Number of requests of this owner that run at the upstream."""
        return self._scheduler.occupancy.in_flight

    @property
    def in_flight_at_previous_owner(self) -> int:
        """Number of requests of the previous owner that may still run."""
        return self._scheduler.occupancy.held_by_previous_owner

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._scheduler.queue)

    @property
    def connections(self) -> int:
        """Number of open streams and flows."""
        return len(self._connections)

    @property
    def service_time_s(self) -> Seconds:
        """The mean service time in seconds."""
        return self._pacing.service_time.mean_s

    @property
    def is_circuit_open(self) -> bool:
        """Whether the circuit breaker is open: the upstream does not respond, only trials pass."""
        return self._health.is_circuit_open

    @property
    def refusals(self) -> Counter[RefusalReason]:
        """Number of refused requests and connections, by reason."""
        return self._refusals

    @property
    def suspicions(self) -> Counter[SuspicionReason]:
        """How often the upstream was suspected, by reason."""
        return self._health.suspicions

    def slots(self, now: Seconds) -> int:
        """Return the number of concurrent requests allowed now, from all owners together."""
        return self._pacing.slots(now)

    def ramp_progress(self, now: Seconds) -> float:
        """Return the progress of the upstream's slow start, from 0.0 (cold) to 1.0 (warm)."""
        return self._pacing.ramp.progress(now)

    def next_tick_at(self, now: Seconds) -> Seconds | None:
        """Return the latest time for the next :meth:`tick`, or None if none is due."""
        return self._scheduler.next_at(now)

    def offer(self, work: Work, now: Seconds) -> GateEffects:
        """Start, queue or refuse a request at once.

        A request that is queued or running already is ignored.
        """
        if work.request_id in self._scheduler:
            return []
        effects = self._run_scheduler(now)
        reason = self._admit(work, now)
        if reason is not None:
            return [*effects, self._refuse(work, reason, now)]
        return effects + self._run_scheduler(now)

    def record_outcome(
        self, request_id: RequestId, outcome: WorkOutcome, now: Seconds
    ) -> GateEffects:
        """Record the outcome of a started request; an unknown request changes nothing."""
        running = self._scheduler.occupancy.end(request_id)
        if running is None:
            return []
        if running.work.is_stream and not isinstance(outcome, Answered):
            self._connections.close(request_id)
        elapsed_s = now - running.started_at
        if not running.is_cancelled or isinstance(outcome, Answered):
            self._record_outcome(outcome, elapsed_s, now)
        if self.is_circuit_open:
            return self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        return self._run_scheduler(now)

    def cancel(self, request_id: RequestId, now: Seconds) -> GateEffects:
        """Cancel a request, queued or started.

        While the upstream is cold, a started one keeps its slot until its deadline, as the
        cancellation may be lost in the network.
        """
        work = self._scheduler.queue.remove(request_id)
        if work is not None:
            return [self._refuse(work, RefusalReason.CANCELLED, now)]
        is_cold = self._pacing.ramp.progress(now) < 1.0
        running = self._scheduler.occupancy.cancel(request_id, keeps_slot=is_cold)
        if running is None:
            return []
        if running.work.is_stream:
            self._connections.close(request_id)
        return [Abort(running.work), *self._run_scheduler(now)]

    def tick(self, now: Seconds) -> GateEffects:
        """Refuse requests that can no longer be answered in time and start those that may run."""
        return self._run_scheduler(now)

    def open_connection(self, flow: FlowId, now: Seconds) -> RefusalReason | None:
        """Open a stream or flow, or return why it is refused."""
        reason = self._closed_reason()
        if reason is None:
            reason = self._connections.open(flow, now, self._pacing.start_interval_s(now))
        if reason is not None:
            self._refusals[reason] += 1
        return reason

    def adopt_connection(self, flow: FlowId) -> None:
        """Count a connection that is established already; it is never refused."""
        self._connections.adopt(flow)

    def close_connection(self, flow: FlowId) -> bool:
        """Close a stream or flow; return whether it was open."""
        return self._connections.close(flow)

    def record_health_report(self, report: HealthReport, now: Seconds) -> GateEffects:
        """Record a response of the health endpoint."""
        self._apply_suspicion(self._health.record_report(report, now))
        self._pacing.ramp.start(now)
        self._pacing.limit_to_initial_slots(self._health.is_draining)
        return self._run_scheduler(now)

    def record_health_timeout(self, now: Seconds) -> GateEffects:
        """Record that the health endpoint did not respond."""
        self._apply_suspicion(self._health.record_missed(now))
        return self._run_scheduler(now)

    def set_state(self, state: UpstreamState, now: Seconds) -> GateEffects:
        """Apply the state set by the operators. A leaving upstream gets no new work."""
        if state is self._state:
            return []
        self._state = state
        if state is UpstreamState.LEAVING:
            return self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        self._apply_suspicion(SuspicionReason.RETURNED)
        return []

    def reconfigure(self, upstream: Upstream, cold_start: ColdStart, now: Seconds) -> GateEffects:
        """Apply new limits; running and queued requests and open connections stay.

        An upstream at another endpoint is a new one and starts cold. The state is
        applied by :meth:`set_state`.
        """
        if upstream.endpoint != self._upstream.endpoint:
            self._apply_suspicion(SuspicionReason.RETURNED)
        self._upstream = upstream
        self._connections.set_limit(upstream.connections)
        self._pacing.ramp.set_limits(cold_start, upstream.slots)
        return self._run_scheduler(now)

    def abort_all(self, now: Seconds) -> GateEffects:
        """End all requests and connections, as the data centre is out of service."""
        self._is_out_of_service = True
        effects = self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        running = self._scheduler.occupancy.clear()
        effects += [Abort(work, UnknownReason.DATA_CENTRE_OUT) for work in running]
        effects += [CloseConnection(flow) for flow in self._connections.clear()]
        return effects

    def begin_handover(self, now: Seconds) -> GateEffects:
        """Start no more requests, as another owner takes over; running ones continue."""
        self._is_handed_over = True
        return self._refuse_queue(RefusalReason.OWNER_MOVED, now)

    def export_state(self, now: Seconds) -> GateState:
        """Return the state for the next owner; :meth:`begin_handover` must have been called."""
        require(
            self._is_handed_over, "a gate's state is exported only after its handover has begun"
        )
        return GateState(
            in_flight=self._scheduler.occupancy.taken,
            connections=len(self._connections) + self._connections.held_by_previous_owner,
            latest_deadline_in_s=self._scheduler.occupancy.all_ended_at(now) - now,
            ramp_elapsed_s=self._pacing.ramp.elapsed_s(now),
            next_start_in_s=self._pacing.next_start_in_s(now),
            service_time_s=self._pacing.service_time.mean_s,
            boot=self._health.boot,
        )

    def end_at_previous_owners(self, ended: Iterable[RequestId], now: Seconds) -> GateEffects:
        """Use the slots of requests that have ended at a previous owner."""
        if not self._scheduler.occupancy.end_at_previous_owners(ended):
            return []
        return self._run_scheduler(now)

    def set_connections_at_previous_owner(self, connections: int) -> None:
        """Set the number of connections that the previous owner still holds."""
        self._connections.set_held_by_previous_owner(connections)

    def load_snapshot(self, now: Seconds) -> LoadSnapshot:
        """Return a new load snapshot, for the next reply to a home."""
        self._load_sequence += 1
        accepts_work = self._closed_reason() is None and not self.is_circuit_open
        accepts_work = accepts_work and now >= self._pacing.paused_until
        pace = self._scheduler.pace(now)
        wait_s = self._scheduler.expected_wait_s(pace)
        return LoadSnapshot(
            in_flight=self._scheduler.occupancy.taken,
            queued=len(self._scheduler.queue),
            slots=self.slots(now) if accepts_work else 0,
            expected_wait_ms=int(1000.0 * wait_s),
            service_ms=int(1000.0 * pace.service_s),
            cold=self._pacing.ramp.progress(now) < 1.0,
            sequence=self._load_sequence,
        )

    @singledispatchmethod
    def _begin(self, start: GateStart, now: Seconds) -> None:
        raise TypeError(f"unknown initial state of a gate: {start!r}")

    @_begin.register(StartCold)
    def _(self, start: StartCold, now: Seconds) -> None:
        self._pacing.pause(now + start.takeover_wait_s)

    @_begin.register(StartWarm)
    def _(self, start: StartWarm, now: Seconds) -> None:
        self._pacing.ramp.complete(now)

    @_begin.register(StartHandedOver)
    def _(self, start: StartHandedOver, now: Seconds) -> None:
        state = start.gate_state
        until = now + state.latest_deadline_in_s
        unidentified = max(0, state.in_flight - start.ended_count - len(start.running))
        self._scheduler.occupancy.reserve_for_previous_owners(
            start.running, unidentified=unidentified, until=until
        )
        self._connections.set_held_by_previous_owner(state.connections)
        self._health = UpstreamHealth(self._rng, state.boot)
        self._pacing.resume(now, state.ramp_elapsed_s, state.next_start_in_s, state.service_time_s)

    def _closed_reason(self, *, is_established: bool = False) -> RefusalReason | None:
        if self._is_handed_over:
            return RefusalReason.OWNER_MOVED
        is_leaving = self._state is UpstreamState.LEAVING
        if self._is_out_of_service or (is_leaving and not is_established):
            return RefusalReason.NO_UPSTREAM
        return None

    def _admit(self, work: Work, now: Seconds) -> RefusalReason | None:
        reason = self._closed_reason(is_established=work.is_established)
        if reason is not None:
            return reason
        if now >= work.deadline:
            return RefusalReason.DEADLINE_PASSED
        if self.is_circuit_open and not self._may_send_trial(work, now):
            return RefusalReason.NO_UPSTREAM
        if work.is_stream:
            # The registration is paced as a request, so its connection is not paced again.
            reason = self._connections.open(work.request_id, now, 0.0)
        if reason is None:
            reason = self._scheduler.admit(work, now)
            if reason is not None and work.is_stream:
                self._connections.close(work.request_id)
        return reason

    def _may_send_trial(self, work: Work, now: Seconds) -> bool:
        is_ready = self._scheduler.is_idle and self._scheduler.may_start(now)
        return is_ready and self._health.may_send_trial(work.idempotent, now)

    def _run_scheduler(self, now: Seconds) -> GateEffects:
        started, late = self._scheduler.run(now)
        effects: GateEffects = [
            self._refuse(work, RefusalReason.DEADLINE_PASSED, now) for work in late
        ]
        if not started:
            return effects
        for work in started:
            refusal = self._closed_reason(is_established=work.is_established)
            require(refusal is None, "a closed gate starts no requests")
        if self.is_circuit_open:
            self._health.record_trial(now)
        effects += [Start(work) for work in started]
        return effects

    def _record_outcome(self, outcome: WorkOutcome, elapsed_s: Seconds, now: Seconds) -> None:
        service_time = self._pacing.service_time
        self._apply_suspicion(
            self._health.record_outcome(outcome, elapsed_s, service_time.mean_s, now)
        )
        self._pacing.limit_to_initial_slots(self._health.is_draining)
        if isinstance(outcome, Answered):
            service_time.add(elapsed_s)
            self._pacing.ramp.start(now)
        elif isinstance(outcome, TimedOut):
            service_time.add_lower_bound(elapsed_s)
        elif isinstance(outcome, Shed):
            self._pacing.ramp.start(now)
            self._pacing.pause(now + min(outcome.retry_after_s, MAX_SHED_PAUSE_S))

    def _apply_suspicion(self, reason: SuspicionReason | None) -> None:
        if reason is not None:
            self._pacing.ramp.restart()

    def _refuse_queue(self, reason: RefusalReason, now: Seconds) -> GateEffects:
        return [self._refuse(work, reason, now) for work in self._scheduler.queue.clear()]

    def _refuse(self, work: Work, reason: RefusalReason, now: Seconds) -> Refuse:
        if work.is_stream:
            self._connections.close(work.request_id)
        self._refusals[reason] += 1
        pace = self._scheduler.pace(now)
        earliest_in_s = self._scheduler.expected_wait_s(pace)
        retry_after_s = self._retry_after.retry_after_s(now, earliest_in_s, pace.interval_s)
        return Refuse(work, reason, retry_after_s)
