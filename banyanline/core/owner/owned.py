"""State that an owner keeps for one upstream."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.gate import (
    GateStart,
    HealthReport,
    LoadSnapshot,
    ReportedState,
    StartCold,
    UpstreamGate,
)
from banyanline.core.gate.queue import DeadlineQueue
from banyanline.core.messages import Dispatch, LoadReport, RequestKey
from banyanline.core.model import Service, Upstream
from banyanline.core.owner.exchanges import Exchanges, PendingWork
from banyanline.core.owner.health_probe import HealthProbe
from banyanline.core.owner.ownership import OwnershipStage, OwnershipState
from banyanline.core.types import HostName, Protocol, Seconds, UpstreamName

MAX_HELD_DISPATCHES = 256


class OwnedUpstream:
    """Gate, exchanges, streams and ownership state of one upstream.

    After the upstream has been handed over, its open exchanges continue here until they end.
    ``held_dispatches`` arrived while the handover by the previous owner was awaited.
    """

    def __init__(
        self,
        context: Context,
        service: Service,
        upstream: Upstream,
        ownership: OwnershipState,
        now: Seconds,
    ) -> None:
        self._context = context
        self.service = service
        self.upstream = upstream
        self.ownership = ownership
        self.exchanges = Exchanges(context.rng)
        self.health = HealthProbe(now, context.rng.random())
        self.pending: dict[RequestKey, PendingWork] = {}
        self.held_dispatches: list[tuple[HostName, Dispatch]] = []
        self.gate = self._new_gate(StartCold(), now)

    @property
    def name(self) -> UpstreamName:
        """The upstream's name."""
        return self.upstream.name

    @property
    def is_active(self) -> bool:
        """Whether this owner may start requests at the upstream."""
        return self.ownership.stage is OwnershipStage.ACTIVE

    @property
    def is_handed_over(self) -> bool:
        """Whether another balancer owns the upstream now."""
        return self.ownership.stage is OwnershipStage.CEDED

    @property
    def is_idle(self) -> bool:
        """Whether no exchange is open and no stream is registered here."""
        return not len(self.exchanges) and not self.exchanges.streams

    def _new_gate(self, start: GateStart, now: Seconds) -> UpstreamGate:
        context = self._context
        queue = DeadlineQueue(max_wait_s=context.limits.queue_wait_s)
        return UpstreamGate(self.upstream, self.service.cold_start, start, now, context.rng, queue)

    def activate(self, start: GateStart, now: Seconds) -> None:
        """Begin to start requests at the upstream, with a new gate."""
        self.ownership.stage = OwnershipStage.ACTIVE
        self.gate = self._new_gate(start, now)
        if self.service.protocol is Protocol.UDP:
            # Opaque datagrams do not show whether the upstream is warm, so the ramp starts at
            # once and depends on time alone.
            self.gate.record_health_report(HealthReport("", ReportedState.WARM), now)
        for stream in self.exchanges.streams.values():
            self.gate.adopt_connection(stream.connection)

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Apply a new configuration of the service and the upstream."""
        self.service = service
        self.upstream = upstream

    def load_report(self, now: Seconds) -> LoadReport:
        """Return the upstream's load for a reply to a home; without slots unless active."""
        load = self.gate.load_snapshot(now)
        if not self.is_active:
            load = LoadSnapshot(0, 0, 0, 0, load.service_ms, True, load.sequence)
        return LoadReport(self.name, load)

    def hold_dispatch(self, sender: HostName, message: Dispatch) -> bool:
        """Hold a dispatch until the handover is complete; false if there is no room."""
        if len(self.held_dispatches) >= MAX_HELD_DISPATCHES:
            return False
        self.held_dispatches.append((sender, message))
        return True
