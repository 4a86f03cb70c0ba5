"""Lookups: a new home asks the owners which upstreams its flows were assigned to.

Lookups of many flows of one service are batched into one message. Datagrams of a
flow are buffered, up to a limit, until all owners have replied or the lookup times out.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from banyanline.core.context import Context
from banyanline.core.counters import DropReason
from banyanline.core.messages import FlowKey, Lookup, LookupReply
from banyanline.core.timers import NEVER
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName

BATCH_DELAY_S = 0.004
LOOKUP_TIMEOUT_S = 1.0
"""An owner that awaits a handover replies only when it has come."""

RESEND_INTERVAL_S = 0.1
MAX_FLOWS_PER_LOOKUP = 24
MAX_BUFFERED_PER_FLOW = 16


class Resolved(NamedTuple):
    """Result of a lookup: the flow's upstream, if an owner knows it, and buffered datagrams."""

    flow: FlowKey
    upstream: UpstreamName | None
    payloads: list[bytes]


class _PendingLookup:
    """One lookup of a batch of flows of one service, and its replies so far."""

    __slots__ = ("awaited_owners", "flows", "resend_at", "timeout_at", "upstreams")

    def __init__(
        self, flows: tuple[FlowKey, ...], awaited_owners: set[HostName], now: Seconds
    ) -> None:
        self.flows = flows
        self.awaited_owners = awaited_owners
        self.upstreams: dict[FlowKey, UpstreamName] = {}
        self.resend_at = now + RESEND_INTERVAL_S
        self.timeout_at = now + LOOKUP_TIMEOUT_S

    def is_finished(self, now: Seconds) -> bool:
        """Whether each flow is found, all owners have replied, or the time is over."""
        is_answered = not self.awaited_owners or len(self.upstreams) == len(self.flows)
        return is_answered or now >= self.timeout_at


class Lookups:
    """The pending lookups of one home."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._buffered: dict[FlowKey, list[bytes]] = {}
        self._buffered_count = 0
        self._batches: dict[ServiceName, list[FlowKey]] = {}
        self._batch_due = NEVER
        self._pending: dict[int, _PendingLookup] = {}
        self._last_lookup_id = context.rng.randrange(1 << 32)

    @property
    def next_at(self) -> Seconds:
        """Time at which a batch is due, or a lookup is resent or times out."""
        due = [min(lookup.resend_at, lookup.timeout_at) for lookup in self._pending.values()]
        return min([self._batch_due, *due])

    def buffer(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Buffer a datagram until the lookup of its flow completes."""
        buffered = self._buffered.get(flow)
        if (
            self._buffered_count >= self._context.limits.held_datagrams
            or len(buffered or ()) >= MAX_BUFFERED_PER_FLOW
        ):
            self._context.counters.drops[DropReason.HELD_TOO_MANY] += 1
            return
        self._buffered_count += 1
        if buffered is not None:
            buffered.append(payload)
            return
        self._buffered[flow] = [payload]
        self._batches.setdefault(flow.service, []).append(flow)
        self._batch_due = min(self._batch_due, now + BATCH_DELAY_S)

    def tick(self, now: Seconds) -> None:
        """Send batches that are due and resend lookups whose reply may have been lost."""
        if now >= self._batch_due:
            batches, self._batches = self._batches, {}
            self._batch_due = NEVER
            for service, flows in batches.items():
                for start in range(0, len(flows), MAX_FLOWS_PER_LOOKUP):
                    chunk = tuple(flows[start : start + MAX_FLOWS_PER_LOOKUP])
                    self._start(service, chunk, now)
        for lookup_id, lookup in self._pending.items():
            if now >= lookup.resend_at:
                lookup.resend_at = now + RESEND_INTERVAL_S
                self._send(lookup_id, lookup)

    def _start(self, service: ServiceName, flows: tuple[FlowKey, ...], now: Seconds) -> None:
        self._last_lookup_id += 1
        awaited_owners = set(self._context.owners_of_service(service))
        lookup = _PendingLookup(flows, awaited_owners, now)
        self._pending[self._last_lookup_id] = lookup
        self._send(self._last_lookup_id, lookup)

    def _send(self, lookup_id: int, lookup: _PendingLookup) -> None:
        for owner in sorted(lookup.awaited_owners):
            self._context.send(owner, Lookup(lookup_id, lookup.flows))

    def receive(self, sender: HostName, reply: LookupReply) -> None:
        """Process an owner's reply."""
        lookup = self._pending.get(reply.lookup_id)
        if lookup is None:
            return
        lookup.awaited_owners.discard(sender)
        lookup.upstreams.update(reply.known)

    def resolved(self, now: Seconds) -> Iterator[Resolved]:
        """Yield the flows whose lookup is complete or has timed out."""
        ready = [
            lookup_id for lookup_id, lookup in self._pending.items() if lookup.is_finished(now)
        ]
        for lookup_id in ready:
            lookup = self._pending.pop(lookup_id)
            for flow in lookup.flows:
                payloads = self._buffered.pop(flow, [])
                self._buffered_count -= len(payloads)
                yield Resolved(flow, lookup.upstreams.get(flow), payloads)
