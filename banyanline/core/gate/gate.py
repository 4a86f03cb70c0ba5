"""The owner's gate: all that is sent to one upstream passes here."""

from __future__ import annotations

from collections import Counter
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from banyanline.core.answers import RefusalReason, UnknownReason
from banyanline.core.gate.comeback import ComebackSchedule
from banyanline.core.gate.connections import Connections
from banyanline.core.gate.health import UpstreamHealth
from banyanline.core.gate.messages import (
    Abort,
    Answered,
    CloseConnection,
    GateEffects,
    GateStart,
    HandOver,
    HealthReport,
    LoadWord,
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
from banyanline.core.gate.scheduler import Scheduler
from banyanline.core.invariants import require
from banyanline.core.types import UpstreamState

if TYPE_CHECKING:
    import random

    from banyanline.core.gate.messages import FlowId, RequestId
    from banyanline.core.model import ColdStart, Upstream
    from banyanline.core.types import Seconds

MAX_SHED_PAUSE_S = 5.0


class UpstreamGate:
    """Slots, queue, connections, cold start and health of one upstream.

    The owner of an upstream offers all requests for it to its gate and carries
    out the effects that the methods return, in their order. Each offered
    request ends exactly once: refused here, or started and then finished or
    cancelled. Times are seconds of the owner's monotonic clock.

    >>> import random
    >>> from banyanline.core.model import ColdStart, Upstream
    >>> from banyanline.core.types import Endpoint
    >>> upstream = Upstream("orders-1", "orders", "north", Endpoint("203.0.113.1", 5683), slots=1)
    >>> gate = UpstreamGate(upstream, ColdStart(), StartWarm(), 0.0, random.Random(1))
    >>> [effect.work.request_id for effect in gate.offer(Work("a", deadline=2.0), now=0.0)]
    ['a']
    >>> gate.offer(Work("b", deadline=2.0), now=0.0)
    []
    >>> [effect.work.request_id for effect in gate.finished("a", Answered(), now=0.1)]
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
        self._is_ceded = False
        self._is_abandoned = False
        self._pacing = Pacing(cold_start, upstream.slots, now)
        self._scheduler = Scheduler(DeadlineQueue() if queue is None else queue, self._pacing)
        self._connections = Connections(upstream.connections)
        self._health = UpstreamHealth(rng)
        self._comeback = ComebackSchedule(rng)
        self._rng = rng
        self._load_words = 0
        self._refusals: Counter[RefusalReason] = Counter()
        self._begin(start, now)

    @property
    def upstream(self) -> Upstream:
        """The upstream that the gate stands before."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Requests that this owner has running at the upstream."""
        return self._scheduler.occupancy.in_flight

    @property
    def in_flight_elsewhere(self) -> int:
        """Requests that a previous owner may still have running."""
        return self._scheduler.occupancy.elsewhere

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._scheduler.queue)

    @property
    def connections(self) -> int:
        """Streams and flows that are open."""
        return len(self._connections)

    @property
    def service_time_s(self) -> Seconds:
        """The mean service time in seconds."""
        return self._pacing.service_time.mean_s

    @property
    def is_circuit_open(self) -> bool:
        """Whether only trials pass, as the upstream leaves requests unanswered."""
        return self._health.is_circuit_open

    @property
    def refusals(self) -> Counter[RefusalReason]:
        """Requests and connections refused, by reason."""
        return self._refusals

    @property
    def suspicions(self) -> Counter[SuspicionReason]:
        """How often the upstream was suspected, by reason."""
        return self._health.suspicions

    def slots(self, now: Seconds) -> int:
        """Return how many requests the upstream may have now, from all owners together."""
        return self._pacing.slots(now)

    def ramp_share(self, now: Seconds) -> float:
        """Return how far the upstream's warm-up has got, from 0.0 to 1.0."""
        return self._pacing.ramp.share(now)

    def next_tick_at(self, now: Seconds) -> Seconds | None:
        """Return when :meth:`tick` is due at the latest, or None if it is not."""
        return self._scheduler.next_at(now)

    def offer(self, work: Work, now: Seconds) -> GateEffects:
        """Take in a request: it is started, queued or refused at once.

        One that is known already is not taken in again.
        """
        if work.request_id in self._scheduler:
            return []
        effects = self._pump(now)
        reason = self._admission(work, now)
        if reason is not None:
            return [*effects, self._refuse(work, reason, now)]
        return effects + self._pump(now)

    def finished(self, request_id: RequestId, outcome: WorkOutcome, now: Seconds) -> GateEffects:
        """Take in how a started request ended; an unknown one changes nothing."""
        running = self._scheduler.occupancy.end(request_id)
        if running is None:
            return []
        if running.work.is_stream and not isinstance(outcome, Answered):
            self._connections.close(request_id)
        elapsed_s = now - running.started_at
        if not running.is_cancelled or isinstance(outcome, Answered):
            self._note_outcome(outcome, elapsed_s, now)
        if self.is_circuit_open:
            return self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        return self._pump(now)

    def cancel(self, request_id: RequestId, now: Seconds) -> GateEffects:
        """Take a request back, wherever it is.

        While the upstream is cold a started one keeps its slot until its
        deadline, as the cancellation may be lost on the way.
        """
        work = self._scheduler.queue.remove(request_id)
        if work is not None:
            return [self._refuse(work, RefusalReason.CANCELLED, now)]
        is_cold = self._pacing.ramp.share(now) < 1.0
        running = self._scheduler.occupancy.cancel(request_id, keeps_slot=is_cold)
        if running is None:
            return []
        if running.work.is_stream:
            self._connections.close(request_id)
        return [Abort(running.work), *self._pump(now)]

    def tick(self, now: Seconds) -> GateEffects:
        """Refuse what can no longer be answered in time and start what has become possible."""
        return self._pump(now)

    def open_connection(self, flow: FlowId, now: Seconds) -> RefusalReason | None:
        """Open a stream or flow, or return why it is refused."""
        reason = self._standing_refusal()
        if reason is None:
            reason = self._connections.open(flow, now, self._pacing.start_interval_s(now))
        if reason is not None:
            self._refusals[reason] += 1
        return reason

    def adopt_connection(self, flow: FlowId) -> None:
        """Count a flow that is established already; it is not refused."""
        self._connections.adopt(flow)

    def close_connection(self, flow: FlowId) -> bool:
        """Close a stream or flow; tell whether it was open."""
        return self._connections.close(flow)

    def health(self, report: HealthReport, now: Seconds) -> GateEffects:
        """Take in an answer of the health endpoint."""
        self._suspect(self._health.report(report, now))
        self._pacing.ramp.confirm(now)
        self._pacing.hold_back(self._health.is_draining)
        return self._pump(now)

    def health_missed(self, now: Seconds) -> GateEffects:
        """Take in that the health endpoint did not answer."""
        self._suspect(self._health.missed(now))
        return self._pump(now)

    def set_state(self, state: UpstreamState, now: Seconds) -> GateEffects:
        """Take in what the operators want. A leaving upstream gets no new work."""
        if state is self._state:
            return []
        self._state = state
        if state is UpstreamState.LEAVING:
            return self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        self._suspect(SuspicionReason.RETURNED)
        return []

    def reconfigure(self, upstream: Upstream, cold_start: ColdStart, now: Seconds) -> GateEffects:
        """Take new limits in; what runs, waits and is open stays.

        An upstream at another endpoint is a new one and starts cold. The state is
        taken in by :meth:`set_state`.
        """
        if upstream.endpoint != self._upstream.endpoint:
            self._suspect(SuspicionReason.RETURNED)
        self._upstream = upstream
        self._connections.set_limit(upstream.connections)
        self._pacing.ramp.set_limits(cold_start, upstream.slots)
        return self._pump(now)

    def abandon(self, now: Seconds) -> GateEffects:
        """Give up all work and connections: the data centre is out of service."""
        self._is_abandoned = True
        effects = self._refuse_queue(RefusalReason.NO_UPSTREAM, now)
        running = self._scheduler.occupancy.clear()
        effects += [Abort(work, UnknownReason.DATA_CENTRE_OUT) for work in running]
        effects += [CloseConnection(flow) for flow in self._connections.clear()]
        return effects

    def cede(self, now: Seconds) -> GateEffects:
        """Stop starting work, as another owner follows. What runs goes on."""
        self._is_ceded = True
        return self._refuse_queue(RefusalReason.OWNER_MOVED, now)

    def hand_over(self, now: Seconds) -> HandOver:
        """Return what the next owner has to know, after :meth:`cede`."""
        require(self._is_ceded, "only a gate that has ceded is handed over")
        return HandOver(
            in_flight=self._scheduler.occupancy.taken,
            connections=len(self._connections) + self._connections.elsewhere,
            latest_deadline_in_s=self._scheduler.occupancy.ended_by(now) - now,
            ramp_elapsed_s=self._pacing.ramp.elapsed_s(now),
            next_start_in_s=self._pacing.next_start_in_s(now),
            service_time_s=self._pacing.service_time.mean_s,
            boot=self._health.boot,
        )

    def set_elsewhere(self, in_flight: int, connections: int, now: Seconds) -> GateEffects:
        """Take in what a ceding owner still has running and open."""
        self._scheduler.occupancy.lower_elsewhere(in_flight)
        self._connections.set_elsewhere(connections)
        return self._pump(now)

    def load_word(self, now: Seconds) -> LoadWord:
        """Return the word on load that the next reply to a home carries."""
        self._load_words += 1
        takes_work = self._standing_refusal() is None and not self.is_circuit_open
        takes_work = takes_work and now >= self._pacing.paused_until
        pace = self._scheduler.pace(now)
        wait_s = self._scheduler.expected_wait_s(pace)
        return LoadWord(
            in_flight=self._scheduler.occupancy.taken,
            queued=len(self._scheduler.queue),
            slots=self.slots(now) if takes_work else 0,
            expected_wait_ms=int(1000.0 * wait_s),
            service_ms=int(1000.0 * pace.service_s),
            cold=self._pacing.ramp.share(now) < 1.0,
            sequence=self._load_words,
        )

    @singledispatchmethod
    def _begin(self, start: GateStart, now: Seconds) -> None:
        raise TypeError(f"no such start: {start!r}")

    @_begin.register(StartCold)
    def _(self, start: StartCold, now: Seconds) -> None:
        self._pacing.pause(now + start.takeover_wait_s)

    @_begin.register(StartWarm)
    def _(self, start: StartWarm, now: Seconds) -> None:
        self._pacing.ramp.complete(now)

    @_begin.register(StartHandedOver)
    def _(self, start: StartHandedOver, now: Seconds) -> None:
        hand_over = start.hand_over
        until = now + hand_over.latest_deadline_in_s
        self._scheduler.occupancy.expect_elsewhere(hand_over.in_flight, until)
        self._connections.set_elsewhere(hand_over.connections)
        self._health = UpstreamHealth(self._rng, hand_over.boot)
        self._pacing.resume(
            now, hand_over.ramp_elapsed_s, hand_over.next_start_in_s, hand_over.service_time_s
        )

    def _standing_refusal(self, *, is_established: bool = False) -> RefusalReason | None:
        if self._is_ceded:
            return RefusalReason.OWNER_MOVED
        is_leaving = self._state is UpstreamState.LEAVING
        if self._is_abandoned or (is_leaving and not is_established):
            return RefusalReason.NO_UPSTREAM
        return None

    def _admission(self, work: Work, now: Seconds) -> RefusalReason | None:
        reason = self._standing_refusal(is_established=work.is_established)
        if reason is not None:
            return reason
        if now >= work.deadline:
            return RefusalReason.DEADLINE_PASSED
        if self.is_circuit_open and not self._may_try(work, now):
            return RefusalReason.NO_UPSTREAM
        if work.is_stream:
            # The start of the registration is paced like that of any request.
            reason = self._connections.open(work.request_id, now, 0.0)
        if reason is None:
            reason = self._scheduler.admit(work, now)
            if reason is not None and work.is_stream:
                self._connections.close(work.request_id)
        return reason

    def _may_try(self, work: Work, now: Seconds) -> bool:
        is_ready = self._scheduler.is_idle and self._scheduler.may_start(now)
        return is_ready and self._health.may_try(work.idempotent, now)

    def _pump(self, now: Seconds) -> GateEffects:
        started, late = self._scheduler.run(now)
        effects: GateEffects = [
            self._refuse(work, RefusalReason.DEADLINE_PASSED, now) for work in late
        ]
        if not started:
            return effects
        for work in started:
            refusal = self._standing_refusal(is_established=work.is_established)
            require(refusal is None, "a gate that takes no work starts none")
        if self.is_circuit_open:
            self._health.tried(now)
        effects += [Start(work) for work in started]
        return effects

    def _note_outcome(self, outcome: WorkOutcome, elapsed_s: Seconds, now: Seconds) -> None:
        service_time = self._pacing.service_time
        self._suspect(self._health.outcome(outcome, elapsed_s, service_time.mean_s, now))
        self._pacing.hold_back(self._health.is_draining)
        if isinstance(outcome, Answered):
            service_time.add(elapsed_s)
            self._pacing.ramp.confirm(now)
        elif isinstance(outcome, TimedOut):
            service_time.add_at_least(elapsed_s)
        elif isinstance(outcome, Shed):
            self._pacing.ramp.confirm(now)
            self._pacing.pause(now + min(outcome.retry_after_s, MAX_SHED_PAUSE_S))

    def _suspect(self, reason: SuspicionReason | None) -> None:
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
        retry_after_s = self._comeback.retry_after_s(now, earliest_in_s, pace.interval_s)
        return Refuse(work, reason, retry_after_s)
