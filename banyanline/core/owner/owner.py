"""The owner aggregate: everything that one balancer does as owner of upstreams."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.ledger import OwnerLedger
from banyanline.core.messages import (
    CancelDispatch,
    CancelStream,
    Cede,
    Claim,
    Dispatch,
    FindTransfer,
    FlowData,
    FlowKey,
    Lookup,
    Released,
)
from banyanline.core.owner.claims import ClaimJudge
from banyanline.core.owner.flows import OwnerFlows
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.requests import OwnerRequests
from banyanline.core.owner.succession import Succession
from banyanline.core.types import HostName, Protocol, Seconds, UpstreamName


class Owner:
    """Routes what comes for the upstreams that this balancer owns or has ceded."""

    def __init__(self, context: Context, flow_idle_timeout_s: float, now: Seconds) -> None:
        limits = context.limits
        self._context = context
        self._owned: dict[UpstreamName, OwnedUpstream] = {}
        self._ledger = OwnerLedger(limits.requests, limits.request_lifetime_s)
        self._requests = OwnerRequests(context, self._ledger, self._owned)
        self._flows = OwnerFlows(context, self._owned, flow_idle_timeout_s, now)
        self._served: set[UpstreamName] = set()
        self._retiring: dict[UpstreamName, OwnedUpstream] = {}
        self._former: dict[UpstreamName, OwnedUpstream] = {}
        self._claims = ClaimJudge(context, self._ledger, self._owned, self._former)
        self._succession = Succession(
            context,
            self._ledger,
            self._owned,
            self._former,
            self._requests,
            self._flows.table,
            self._served,
        )

    @property
    def owned(self) -> dict[UpstreamName, OwnedUpstream]:
        """The upstreams owned now, and ceded ones for which something still runs."""
        return self._owned

    @property
    def flow_count(self) -> int:
        """Open flows of ``udp`` services."""
        return len(self._flows.table)

    @property
    def ledger_count(self) -> int:
        """Request keys that are remembered."""
        return len(self._ledger)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, and no stream is registered, through this balancer."""
        return all(owned.is_idle and not owned.pending for owned in self._owned.values())

    def next_at(self, now: Seconds) -> Seconds:
        """Return when the owner needs attention next."""
        times = [self._requests.next_at, self._succession.next_at()]
        if len(self._flows.table):
            times.append(self._flows.next_at)
        for owned in self._owned.values():
            if not owned.is_ceded and owned.service.protocol is Protocol.COAP:
                times.append(owned.health.next_at)
            gate_at = owned.gate.next_tick_at(now) if owned.is_active else None
            if gate_at is not None:
                times.append(gate_at)
        return min(times)

    # -- from homes and other owners

    def dispatch(self, sender: HostName, message: Dispatch, now: Seconds) -> None:
        """Take a request from its home."""
        self._requests.dispatch(sender, message, now)

    def cancel(self, message: CancelDispatch, now: Seconds) -> None:
        """Stop a request that its home has given up on."""
        self._requests.cancel(message, now)

    def cancel_stream(self, message: CancelStream) -> None:
        """Deregister a stream."""
        self._requests.cancel_stream(message)

    def find_transfer(self, sender: HostName, message: FindTransfer, now: Seconds) -> None:
        """Tell a new home the upstream of a block-wise transfer."""
        self._requests.find_transfer(sender, message, now)

    def claim(self, sender: HostName, message: Claim, now: Seconds) -> None:
        """Answer a home's claim."""
        self._claims.receive(sender, message, now)

    def forward(self, sender: HostName, message: FlowData, now: Seconds) -> None:
        """Send a caller's datagram to its flow's upstream."""
        self._flows.receive(sender, message, now)

    def look_up(self, sender: HostName, message: Lookup) -> None:
        """Tell a new home which flows are open here."""
        self._flows.look_up(sender, message)

    def receive_cede(self, sender: HostName, message: Cede, now: Seconds) -> None:
        """Take an upstream over from its previous owner."""
        self._succession.receive_cede(sender, message, now)

    def receive_released(self, message: Released, now: Seconds) -> None:
        """Take in what has ended at the previous owner."""
        self._succession.receive_released(message, now)

    # -- from upstreams

    def receive(self, upstream: UpstreamName, payload: bytes, now: Seconds) -> None:
        """Take a datagram in that came on an upstream's request socket."""
        owned = self._owned.get(upstream) or self._retiring.get(upstream)
        if owned is None:
            self._context.counters.drop(DropReason.UNMATCHED_ANSWER)
        else:
            self._requests.receive(owned, payload, now)

    def receive_on_flow(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Take a datagram in that came on a flow's own socket."""
        self._flows.answer(flow, payload, now)

    def unreachable(self, upstream: UpstreamName, now: Seconds) -> None:
        """Take in that the network reports no process at the upstream's endpoint."""
        owned = self._owned.get(upstream)
        if owned is not None:
            self._requests.unreachable(owned, now)

    # -- time and changes

    def tick(self, now: Seconds) -> None:
        """Do what is due."""
        self._requests.tick(now)
        self._succession.tick(now)
        for owned in list(self._owned.values()):
            if owned.is_active:
                self._requests.run(owned, owned.gate.tick(now), now)
            if not owned.is_ceded and owned.service.protocol is Protocol.COAP:
                self._probe(owned, now)
        self._flows.tick(now)
        self._ledger.expire(now)
        for name in [name for name, owned in self._retiring.items() if not len(owned.exchanges)]:
            del self._retiring[name]
        for name in [name for name, last in self._former.items() if last.tenure.until <= now]:
            del self._former[name]

    def _probe(self, owned: OwnedUpstream, now: Seconds) -> None:
        if owned.health.is_missed(now) and owned.is_active:
            self._requests.run(owned, owned.gate.health_missed(now), now)
        if owned.health.is_due(now):
            exchanges = owned.exchanges
            payload = owned.health.ask(
                owned.service.health_path, exchanges.new_token(), exchanges.next_message_id(), now
            )
            self._context.send_upstream(owned.upstream, payload)

    def placement_changed(self, now: Seconds) -> None:
        """Take over and cede what the view and the configuration say."""
        self._succession.update(now)

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Stop waiting for a host that is no longer alive."""
        self._succession.host_lost(host, now)

    def upstreams_gone(self, gone: dict[UpstreamName, FlowEnd], now: Seconds) -> None:
        """Give up everything that belongs to upstreams to which no packet may go any more."""
        for name in gone:
            owned = self._owned.pop(name, None)
            if owned is not None:
                self._retiring[name] = owned
                if owned.is_active:
                    owned.tenure.until = now + self._context.limits.request_lifetime_s
                    self._former[name] = owned
                self._requests.retire(owned, owned.gate.abandon(now), now)
        self._flows.upstreams_gone(gone)
