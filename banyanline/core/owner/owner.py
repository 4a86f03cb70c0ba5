"""Entry point of the owner role: all that one balancer does as owner of upstreams."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.ledger import OwnerLedger
from banyanline.core.messages import (
    CancelDispatch,
    CancelStream,
    Claim,
    Dispatch,
    FindTransfer,
    FlowData,
    FlowKey,
    HandoverProgress,
    Lookup,
    OwnerHandover,
)
from banyanline.core.owner.claims import ClaimHandler
from banyanline.core.owner.flows import OwnerFlows
from banyanline.core.owner.handover import HandoverManager
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.requests import OwnerRequests
from banyanline.core.types import HostName, Protocol, Seconds, UpstreamName


class Owner:
    """Handles messages and datagrams of upstreams that this balancer owns or has handed over."""

    def __init__(self, context: Context, flow_idle_timeout_s: float, now: Seconds) -> None:
        limits = context.limits
        self._context = context
        self._owned: dict[UpstreamName, OwnedUpstream] = {}
        self._ledger = OwnerLedger(limits.requests, limits.request_lifetime_s)
        self._requests = OwnerRequests(context, self._ledger, self._owned)
        self._flows = OwnerFlows(context, self._owned, flow_idle_timeout_s, now)
        self._ever_active: set[UpstreamName] = set()
        self._retiring: dict[UpstreamName, OwnedUpstream] = {}
        self._removed: dict[UpstreamName, OwnedUpstream] = {}
        self._claims = ClaimHandler(context, self._ledger, self._owned, self._removed)
        self._handovers = HandoverManager(
            context,
            self._ledger,
            self._owned,
            self._removed,
            self._requests,
            self._flows.table,
            self._ever_active,
        )

    @property
    def owned(self) -> dict[UpstreamName, OwnedUpstream]:
        """The upstreams owned now, and those handed over with exchanges or streams left here."""
        return self._owned

    @property
    def flow_count(self) -> int:
        """Number of open flows of ``udp`` services."""
        return len(self._flows.table)

    @property
    def ledger_count(self) -> int:
        """Number of request keys in the ledger."""
        return len(self._ledger)

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued or running and no stream is registered here."""
        return all(owned.is_idle and not owned.pending for owned in self._owned.values())

    def next_at(self, now: Seconds) -> Seconds:
        """Return when :meth:`tick` is due next."""
        times = [self._requests.next_at, self._handovers.next_at()]
        if len(self._flows.table):
            times.append(self._flows.next_at)
        for owned in self._owned.values():
            if not owned.is_handed_over and owned.service.protocol is Protocol.COAP:
                times.append(owned.health.next_at)
            gate_at = owned.gate.next_tick_at(now) if owned.is_active else None
            if gate_at is not None:
                times.append(gate_at)
        return min(times)

    # -- messages from homes and other owners

    def dispatch(self, sender: HostName, message: Dispatch, now: Seconds) -> None:
        """Handle a request from its home."""
        self._requests.dispatch(sender, message, now)

    def cancel(self, message: CancelDispatch, now: Seconds) -> None:
        """Cancel a request that its home no longer waits for."""
        self._requests.cancel(message, now)

    def cancel_stream(self, message: CancelStream) -> None:
        """Deregister a stream."""
        self._requests.cancel_stream(message)

    def find_transfer(self, sender: HostName, message: FindTransfer, now: Seconds) -> None:
        """Reply to a new home with the upstream of a block-wise transfer."""
        self._requests.find_transfer(sender, message, now)

    def claim(self, sender: HostName, message: Claim, now: Seconds) -> None:
        """Reply to a home's claim."""
        self._claims.receive(sender, message, now)

    def forward(self, sender: HostName, message: FlowData, now: Seconds) -> None:
        """Forward a caller's datagram to its flow's upstream."""
        self._flows.receive(sender, message, now)

    def look_up(self, sender: HostName, message: Lookup) -> None:
        """Reply to a new home with the upstreams of the flows that are open here."""
        self._flows.look_up(sender, message)

    def receive_owner_handover(
        self, sender: HostName, message: OwnerHandover, now: Seconds
    ) -> None:
        """Handle the handover of an upstream by its previous owner."""
        self._handovers.receive_owner_handover(sender, message, now)

    def receive_handover_progress(self, message: HandoverProgress, now: Seconds) -> None:
        """Handle the previous owner's report that a request has ended there."""
        self._handovers.receive_handover_progress(message, now)

    # -- datagrams from upstreams

    def receive(self, upstream: UpstreamName, payload: bytes, now: Seconds) -> None:
        """Handle a datagram received on an upstream's request socket."""
        owned = self._owned.get(upstream) or self._retiring.get(upstream)
        if owned is None:
            self._context.counters.drop(DropReason.UNMATCHED_ANSWER)
        else:
            self._requests.receive(owned, payload, now)

    def receive_on_flow(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Handle a datagram received on a flow's own socket."""
        self._flows.answer(flow, payload, now)

    def unreachable(self, upstream: UpstreamName, now: Seconds) -> None:
        """Handle a network report that no process listens at the upstream's endpoint."""
        owned = self._owned.get(upstream)
        if owned is not None:
            self._requests.unreachable(owned, now)

    # -- timers and changes of placement

    def tick(self, now: Seconds) -> None:
        """Run the timers that are due."""
        self._requests.tick(now)
        self._handovers.tick(now)
        for owned in list(self._owned.values()):
            if owned.is_active:
                self._requests.apply_effects(owned, owned.gate.tick(now), now)
            if not owned.is_handed_over and owned.service.protocol is Protocol.COAP:
                self._probe(owned, now)
        self._flows.tick(now)
        self._ledger.expire(now)
        for name in [name for name, owned in self._retiring.items() if not len(owned.exchanges)]:
            del self._retiring[name]
        for name in [name for name, owned in self._removed.items() if owned.ownership.until <= now]:
            del self._removed[name]

    def _probe(self, owned: OwnedUpstream, now: Seconds) -> None:
        if owned.health.expire(now) and owned.is_active:
            self._requests.apply_effects(owned, owned.gate.record_health_timeout(now), now)
        if owned.health.is_due(now):
            exchanges = owned.exchanges
            payload = owned.health.start(
                owned.service.health_path, exchanges.new_token(), exchanges.next_message_id(), now
            )
            self._context.send_upstream(owned.upstream, payload)

    def placement_changed(self, now: Seconds) -> None:
        """Take over and hand over upstreams as the view and the configuration assign them."""
        self._handovers.update(now)

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Stop waiting for a host that is no longer alive."""
        self._handovers.host_lost(host, now)

    def upstreams_removed(self, end_reasons: dict[UpstreamName, FlowEnd], now: Seconds) -> None:
        """End all work for upstreams that must receive no more packets."""
        for name in end_reasons:
            owned = self._owned.pop(name, None)
            if owned is not None:
                self._retiring[name] = owned
                if owned.is_active:
                    owned.ownership.until = now + self._context.limits.request_lifetime_s
                    self._removed[name] = owned
                self._requests.retire(owned, owned.gate.abort_all(now), now)
        self._flows.upstreams_removed(end_reasons)
