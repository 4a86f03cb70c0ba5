"""One upstream in the hands of its owner."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.gate import (
    GateStart,
    HealthReport,
    LoadWord,
    ReportedState,
    StartCold,
    UpstreamGate,
)
from banyanline.core.gate.queue import DeadlineQueue
from banyanline.core.messages import Dispatch, LoadReport, RequestKey
from banyanline.core.model import Service, Upstream
from banyanline.core.owner.exchanges import Exchanges, PendingWork
from banyanline.core.owner.health_probe import HealthProbe
from banyanline.core.owner.tenure import Stage, Tenure
from banyanline.core.types import HostName, Protocol, Seconds, UpstreamName

MAX_HELD_DISPATCHES = 256


class OwnedUpstream:
    """The gate, the exchanges, the streams and the tenure of one upstream.

    After the upstream was ceded the exchanges that run go on here until they end.
    ``held`` are dispatches that came while the handover was awaited.
    """

    def __init__(
        self, context: Context, service: Service, upstream: Upstream, tenure: Tenure, now: Seconds
    ) -> None:
        self._context = context
        self.service = service
        self.upstream = upstream
        self.tenure = tenure
        self.exchanges = Exchanges(context.rng)
        self.health = HealthProbe(now, context.rng.random())
        self.pending: dict[RequestKey, PendingWork] = {}
        self.held: list[tuple[HostName, Dispatch]] = []
        self.gate = self._new_gate(StartCold(), now)

    @property
    def name(self) -> UpstreamName:
        """The upstream's name."""
        return self.upstream.name

    @property
    def is_active(self) -> bool:
        """Whether the upstream may be given work."""
        return self.tenure.stage is Stage.ACTIVE

    @property
    def is_ceded(self) -> bool:
        """Whether another balancer owns the upstream now."""
        return self.tenure.stage is Stage.CEDED

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and no stream is registered here."""
        return not len(self.exchanges) and not self.exchanges.streams

    def _new_gate(self, start: GateStart, now: Seconds) -> UpstreamGate:
        context = self._context
        queue = DeadlineQueue(max_wait_s=context.limits.queue_wait_s)
        return UpstreamGate(self.upstream, self.service.cold_start, start, now, context.rng, queue)

    def activate(self, start: GateStart, now: Seconds) -> None:
        """Begin to give the upstream work."""
        self.tenure.stage = Stage.ACTIVE
        self.gate = self._new_gate(start, now)
        if self.service.protocol is Protocol.UDP:
            # Opaque datagrams tell nothing of the upstream, so the ramp follows the clock.
            self.gate.health(HealthReport("", ReportedState.WARM), now)
        for stream in self.exchanges.streams.values():
            self.gate.adopt_connection(stream.connection)

    def reconfigure(self, service: Service, upstream: Upstream) -> None:
        """Take a new configuration of the upstream in."""
        self.service = service
        self.upstream = upstream

    def load_report(self, now: Seconds) -> LoadReport:
        """Return the word on the upstream's load for a reply to a home."""
        word = self.gate.load_word(now)
        if not self.is_active:
            word = LoadWord(0, 0, 0, 0, word.service_ms, True, word.sequence)
        return LoadReport(self.name, word)

    def hold(self, sender: HostName, message: Dispatch) -> bool:
        """Keep a dispatch until the handover is complete; false if there is no room."""
        if len(self.held) >= MAX_HELD_DISPATCHES:
            return False
        self.held.append((sender, message))
        return True
