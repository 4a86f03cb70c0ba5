"""Handover and takeover of upstreams between owners.

An owner whose upstream is assigned to another live host hands it over: it starts no more
requests and sends the successor the state of its gate, the open flows and the request
keys that were claimed or dispatched, running ones included. If the predecessor is dead, the
successor waits until the predecessor's lease must have expired, and records that it cannot
tell which requests the predecessor has dispatched.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from banyanline.core.context import Context
from banyanline.core.flows import FlowTable
from banyanline.core.gate import GateStart, GateState, StartCold, StartHandedOver
from banyanline.core.ledger import OwnerLedger
from banyanline.core.membership.view import View
from banyanline.core.messages import (
    FlowKey,
    HandoverProgress,
    KeyState,
    OwnerHandover,
    Pending,
)
from banyanline.core.model import Service, Upstream
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.ownership import OwnershipStage, OwnershipState
from banyanline.core.owner.requests import OwnerRequests
from banyanline.core.placement import assign_owners, key_of
from banyanline.core.types import HostName, Seconds, UpstreamName

HANDOVER_WAIT_S = 1.5
BOOTSTRAP_HANDOVER_WAIT_S = 0.3
"""Shorter wait during bootstrap, as previous owners have owned upstreams only briefly."""

EARLY_HANDOVER_LIFETIME_S = 5.0
IN_FLIGHT_MARGIN_S = 0.5
"""How long requests of a failed owner continue at the upstream after the owner's lease expired."""

KEYS_PER_CHUNK = 400
FLOWS_PER_CHUNK = 2000
UNKNOWN_HOST: HostName = ""


class EarlyHandover(NamedTuple):
    """A handover that arrived before this host knew that it is the successor."""

    sender: HostName
    message: OwnerHandover
    received_at: Seconds


class HandoverManager:
    """Takes over and hands over upstreams as the ownership table changes."""

    def __init__(
        self,
        context: Context,
        ledger: OwnerLedger,
        owned: dict[UpstreamName, OwnedUpstream],
        removed: dict[UpstreamName, OwnedUpstream],
        requests: OwnerRequests,
        flows: FlowTable[FlowKey],
        ever_active: set[UpstreamName],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._owned = owned
        self._removed = removed
        self._requests = requests
        self._flows = flows
        self._ever_active = ever_active
        self._early_handovers: dict[UpstreamName, EarlyHandover] = {}
        self._lease_fresh_since: Seconds | None = None
        self._known_upstreams: set[UpstreamName] = set()

    # -- taking over

    def update(self, now: Seconds) -> None:
        """Take over and hand over upstreams as the view and the configuration assign them."""
        context = self._context
        local = context.local.name
        for name, upstream in context.directory.reachable.items():
            service = context.directory.service(upstream.service)
            assert service is not None
            owner = context.owner_of(name)
            owned = self._owned.get(name)
            if owner == local:
                self._take_over(owned, service, upstream, now)
            elif owned is not None and not owned.is_handed_over and owner is not None:
                self._hand_over(owned, owner, now)
        self._hand_over_returned(now)
        self._known_upstreams = set(context.directory.reachable)

    def _take_over(
        self, owned: OwnedUpstream | None, service: Service, upstream: Upstream, now: Seconds
    ) -> None:
        if owned is not None and not owned.is_handed_over:
            self._reconfigure(owned, service, upstream, now)
            return
        ownership = self._new_ownership(upstream, now)
        removed = self._removed.pop(upstream.name, None)
        if removed is not None:
            # The data centre is back in service, and no host has owned the upstream meanwhile.
            ownership = OwnershipState(OwnershipStage.ACTIVE, now, None)
            for lost in removed.ownership.lost(now):
                ownership.add_lost_owner(lost.host, lost.until)
        if owned is None:
            owned = OwnedUpstream(self._context, service, upstream, ownership, now)
            self._owned[upstream.name] = owned
        else:
            owned.ownership = ownership
            owned.reconfigure(service, upstream)
        self._log("upstream_taken", owned)
        early = self._early_handovers.pop(upstream.name, None)
        if ownership.stage is OwnershipStage.ACTIVE:
            self._ever_active.add(upstream.name)
            owned.activate(StartCold(), now)
        elif early is not None and now - early.received_at <= EARLY_HANDOVER_LIFETIME_S:
            self.receive_owner_handover(early.sender, early.message, now)

    def _hand_over_returned(self, now: Seconds) -> None:
        """Hand over upstreams whose data centre is back in service to owners on other hosts."""
        for name in [name for name in self._removed if name in self._context.directory.reachable]:
            removed = self._removed.pop(name)
            owner = self._context.owner_of(name)
            if owner is not None and owner != self._context.local.name:
                self._hand_over(removed, owner, now)

    def _reconfigure(
        self, owned: OwnedUpstream, service: Service, upstream: Upstream, now: Seconds
    ) -> None:
        owned.reconfigure(service, upstream)
        if not owned.is_active:
            return
        effects = owned.gate.reconfigure(upstream, service.cold_start, now)
        self._requests.apply_effects(owned, effects, now)
        self._requests.apply_effects(owned, owned.gate.set_state(upstream.state, now), now)

    def _new_ownership(self, upstream: Upstream, now: Seconds) -> OwnershipState:
        context = self._context
        view = context.membership.view
        is_new_upstream = self._known_upstreams and upstream.name not in self._known_upstreams
        previous = context.ownership.previous_owners(key_of(upstream), now)
        predecessor = previous[0].host if previous else self._infer_predecessor(upstream, view)
        if predecessor is not None and view.is_alive(predecessor):
            wait_s = BOOTSTRAP_HANDOVER_WAIT_S if context.is_bootstrapping(now) else HANDOVER_WAIT_S
            return OwnershipState(OwnershipStage.AWAITING_HANDOVER, now + wait_s, predecessor)
        had_no_owner = (
            is_new_upstream or context.is_bootstrapping(now) or context.has_full_history(now)
        )
        if previous or not had_no_owner:
            wait_s = context.membership.takeover_wait_s + IN_FLIGHT_MARGIN_S
            ownership = OwnershipState(OwnershipStage.WAITING_OUT_LEASE, now + wait_s, predecessor)
            self._add_lost_previous_owners(ownership, upstream, now)
            return ownership
        return OwnershipState(OwnershipStage.ACTIVE, now, None)

    def _add_lost_previous_owners(
        self, ownership: OwnershipState, upstream: Upstream, now: Seconds
    ) -> None:
        """Record all previous owners as failed, as the requests they dispatched are unknown.

        A predecessor that fails also loses what its own predecessors had handed over.
        """
        until = now + self._context.limits.request_lifetime_s
        previous_owners = self._context.previous_owners(key_of(upstream), now)
        if not previous_owners or not self._context.has_full_history(now):
            previous_owners.append(UNKNOWN_HOST)
        for host in previous_owners:
            ownership.add_lost_owner(host, until)

    def _infer_predecessor(self, upstream: Upstream, view: View) -> HostName | None:
        """Return the host that would own the upstream if this one were not in the view.

        A host that has just joined does not know the previous owner otherwise.
        """
        if self._known_upstreams and upstream.name not in self._known_upstreams:
            return None
        local = self._context.local
        others = [name for name in view.owners(upstream.data_centre) if name != local.name]
        keys = [
            key_of(other)
            for other in self._context.directory.reachable.values()
            if other.data_centre == upstream.data_centre
        ]
        return assign_owners(keys, others).get(key_of(upstream))

    def check_lease(self, now: Seconds) -> None:
        """Await a handover of all upstreams after a lease gap, as others may have owned them."""
        lease_fresh_since = self._context.membership.lease_fresh_since(now)
        if lease_fresh_since is None or lease_fresh_since == self._lease_fresh_since:
            return
        is_first = self._lease_fresh_since is None
        self._lease_fresh_since = lease_fresh_since
        if is_first:
            return
        self._context.log("lease_regained")
        for owned in self._owned.values():
            if owned.is_active:
                self._await_handover_again(owned, now)

    def _await_handover_again(self, owned: OwnedUpstream, now: Seconds) -> None:
        self._requests.apply_effects(owned, owned.gate.begin_handover(now), now)
        predecessor = self._infer_predecessor(owned.upstream, self._context.membership.view)
        lost = owned.ownership.lost(now)
        owned.ownership = OwnershipState(
            OwnershipStage.AWAITING_HANDOVER, now + HANDOVER_WAIT_S, predecessor
        )
        for earlier in lost:
            owned.ownership.add_lost_owner(earlier.host, earlier.until)

    def receive_owner_handover(
        self, sender: HostName, message: OwnerHandover, now: Seconds
    ) -> None:
        """Apply one chunk of a handover; the predecessor's last one activates the upstream."""
        owned = self._owned.get(message.upstream)
        self._import_keys(message.keys, now)
        for flow in message.flows:
            self._flows.open(flow, message.upstream, now)
        if owned is None or owned.is_handed_over:
            # The previous owner has learned of the view change before this host.
            self._early_handovers[message.upstream] = EarlyHandover(sender, message, now)
            return
        for host, remaining_s in message.lost_owners:
            # Requests that this process dispatched itself are in its own ledger.
            if host != self._context.local.name or owned.name not in self._ever_active:
                owned.ownership.add_lost_owner(host, now + remaining_s)
        is_expected = owned.ownership.stage is OwnershipStage.AWAITING_HANDOVER
        if not is_expected or sender != owned.ownership.predecessor:
            return
        owned.ownership.handed_over_running += sum(
            isinstance(state.outcome, Pending) and state.upstream == owned.name
            for state in message.keys
        )
        if message.last:
            self._activate(owned, self._start_handed_over(owned, message.gate), now)

    def _start_handed_over(self, owned: OwnedUpstream, gate: GateState) -> StartHandedOver:
        """Return the start of a gate; some requests may have ended before the handover came."""
        running = self._requests.running_elsewhere(owned)
        ended_count = max(0, owned.ownership.handed_over_running - len(running))
        return StartHandedOver(gate, running, ended_count)

    def _import_keys(self, keys: tuple[KeyState, ...], now: Seconds) -> list[KeyState]:
        """Import keys from a previous owner; return those whose outcome changed here."""
        changed = []
        for state in keys:
            known = self._ledger.get(state.key)
            before = None if known is None else known.outcome
            record = self._ledger.import_key(
                state.key, state.upstream, state.outcome, state.ballot, now
            )
            if record is None:
                continue
            if record.outcome is not before:
                changed.append(state)
            if record.is_dispatched and not record.is_pending:
                owned = self._owned.get(record.upstream)
                self._requests.notify_waiters(owned, state.key, record, now)
        return changed

    def receive_handover_progress(self, message: HandoverProgress, now: Seconds) -> None:
        """Record how a request ended that was still running at a previous owner.

        The message may arrive before the handover, or after this host has handed over too;
        then it is passed on, unless it brings nothing new.
        """
        changed = self._import_keys(message.keys, now)
        owned = self._owned.get(message.upstream)
        if owned is None or owned.is_handed_over:
            if changed:
                self._requests.send_to_successor(
                    HandoverProgress(
                        message.upstream, message.in_flight, message.connections, tuple(changed)
                    )
                )
        elif owned.is_active:
            owned.gate.set_connections_at_previous_owner(message.connections)
            ended = [state.key for state in message.keys]
            self._requests.apply_effects(owned, owned.gate.end_at_previous_owners(ended, now), now)

    def _activate(self, owned: OwnedUpstream, start: GateStart, now: Seconds) -> None:
        flows = [flow for flow, entry in self._flows.items() if entry.upstream == owned.name]
        self._ever_active.add(owned.name)
        owned.activate(start, now)
        for flow in flows:
            owned.gate.adopt_connection(flow)
        self._requests.apply_effects(owned, owned.gate.set_state(owned.upstream.state, now), now)
        held_dispatches, owned.held_dispatches = owned.held_dispatches, []
        for home, dispatch in held_dispatches:
            self._requests.dispatch(home, dispatch, now)
        self._log("upstream_active", owned)

    def tick(self, now: Seconds) -> None:
        """End the waits that are over and remove upstreams that were handed over and are idle."""
        self.check_lease(now)
        for owned in list(self._owned.values()):
            ownership = owned.ownership
            if owned.is_handed_over and owned.is_idle:
                del self._owned[owned.name]
            elif ownership.stage is OwnershipStage.AWAITING_HANDOVER and now >= ownership.until:
                self._handle_missed_handover(owned, now)
            elif ownership.stage is OwnershipStage.WAITING_OUT_LEASE and now >= ownership.until:
                self._activate(owned, StartCold(), now)

    def next_at(self) -> Seconds:
        """Return when the next wait ends."""
        waiting = (OwnershipStage.AWAITING_HANDOVER, OwnershipStage.WAITING_OUT_LEASE)
        return min(
            (
                owned.ownership.until
                for owned in self._owned.values()
                if owned.ownership.stage in waiting
            ),
            default=float("inf"),
        )

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Stop waiting for a handover by a host that is no longer alive."""
        for owned in self._owned.values():
            ownership = owned.ownership
            if (
                ownership.stage is OwnershipStage.AWAITING_HANDOVER
                and ownership.predecessor == host
            ):
                self._handle_missed_handover(owned, now)
        affected = {
            owned.name for owned in self._owned.values() if owned.ownership.predecessor == host
        }
        self._requests.fail_pending(frozenset(affected), now)

    def _handle_missed_handover(self, owned: OwnedUpstream, now: Seconds) -> None:
        context = self._context
        ownership = owned.ownership
        if context.is_bootstrapping(now):
            self._activate(owned, StartCold(), now)
            return
        ownership.stage = OwnershipStage.WAITING_OUT_LEASE
        ownership.until = now + context.membership.takeover_wait_s + IN_FLIGHT_MARGIN_S
        self._add_lost_previous_owners(ownership, owned.upstream, now)
        # Refusing the held dispatches now lets their homes try another upstream.
        held_dispatches, owned.held_dispatches = owned.held_dispatches, []
        for home, dispatch in held_dispatches:
            self._requests.dispatch(home, dispatch, now)

    # -- handing over

    def _hand_over(self, owned: OwnedUpstream, successor: HostName, now: Seconds) -> None:
        was_active = owned.is_active
        held_dispatches, owned.held_dispatches = owned.held_dispatches, []
        self._requests.apply_effects(owned, owned.gate.begin_handover(now), now)
        owned.ownership.stage = OwnershipStage.CEDED
        for home, dispatch in held_dispatches:
            self._requests.dispatch(home, dispatch, now)
        self._log("upstream_ceded", owned)
        if not self._context.membership.view.is_alive(successor):
            return
        if not was_active:
            # The takeover is unfinished, so the previous owners' dispatches are unknown here.
            self._add_unfinished_takeover(owned, now)
        for chunk in self._handover_messages(owned, now):
            self._context.transfer(successor, chunk)

    def _add_unfinished_takeover(self, owned: OwnedUpstream, now: Seconds) -> None:
        ownership = owned.ownership
        if ownership.predecessor is not None and not self._context.is_bootstrapping(now):
            self._add_lost_previous_owners(ownership, owned.upstream, now)

    def _handover_messages(self, owned: OwnedUpstream, now: Seconds) -> Iterator[OwnerHandover]:
        flows = [flow for flow, entry in self._flows.items() if entry.upstream == owned.name]
        keys = [
            KeyState(key, record.upstream, record.outcome, record.ballot)
            for key, record in self._ledger.items()
            if record.outcome is None or record.upstream == owned.name
        ]
        lost_owners = tuple((lost.host, lost.until - now) for lost in owned.ownership.lost(now))
        gate = owned.gate.export_state(now)
        count = max(1, -(-len(keys) // KEYS_PER_CHUNK), -(-len(flows) // FLOWS_PER_CHUNK))
        for idx in range(count):
            yield OwnerHandover(
                upstream=owned.name,
                gate=gate,
                flows=tuple(flows[idx * FLOWS_PER_CHUNK : (idx + 1) * FLOWS_PER_CHUNK]),
                keys=tuple(keys[idx * KEYS_PER_CHUNK : (idx + 1) * KEYS_PER_CHUNK]),
                lost_owners=lost_owners,
                last=idx == count - 1,
            )

    def _log(self, event: str, owned: OwnedUpstream) -> None:
        self._context.log(
            event,
            upstream=owned.name,
            stage=owned.ownership.stage.value,
            predecessor=owned.ownership.predecessor or "",
        )
