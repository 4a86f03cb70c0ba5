"""How upstreams pass from one owner to the next.

An owner that loses an upstream to a live host cedes it: it starts nothing more,
and tells the successor what still runs, which flows are open and which request
keys it has carried. A successor whose predecessor is dead waits until the
predecessor's lease must have run out, and remembers that it cannot speak for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from banyanline.core.context import Context
from banyanline.core.flows import FlowTable
from banyanline.core.gate import GateStart, StartCold, StartHandedOver
from banyanline.core.ledger import OwnerLedger
from banyanline.core.membership.view import View
from banyanline.core.messages import Cede, FlowKey, KeyState, Released
from banyanline.core.model import Service, Upstream
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.requests import OwnerRequests
from banyanline.core.owner.tenure import Stage, Tenure
from banyanline.core.placement import assign, key_of
from banyanline.core.types import HostName, Seconds, UpstreamName

HANDOVER_WAIT_S = 1.5
FOUNDERS_WAIT_S = 0.3
"""While a fleet begins, the owners before were such for moments only."""

EARLY_CEDE_LIFETIME_S = 5.0
IN_FLIGHT_S = 0.5
"""How long requests of a lost owner go on at the upstream after its lease has run out."""

KEYS_PER_CHUNK = 400
FLOWS_PER_CHUNK = 2000
UNKNOWN_HOST: HostName = ""


class EarlyCede(NamedTuple):
    """A handover that came before this host knew that it is the successor."""

    sender: HostName
    message: Cede
    at: Seconds


class Succession:
    """Takes upstreams over and cedes them as the ownership table changes."""

    def __init__(
        self,
        context: Context,
        ledger: OwnerLedger,
        owned: dict[UpstreamName, OwnedUpstream],
        former: dict[UpstreamName, OwnedUpstream],
        requests: OwnerRequests,
        flows: FlowTable[FlowKey],
        served: set[UpstreamName],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._owned = owned
        self._former = former
        self._requests = requests
        self._flows = flows
        self._served = served
        self._early: dict[UpstreamName, EarlyCede] = {}
        self._lease_since: Seconds | None = None
        self._known: set[UpstreamName] = set()

    # -- taking over

    def update(self, now: Seconds) -> None:
        """Take over and cede what the view and the configuration say."""
        context = self._context
        local = context.local.name
        for name, upstream in context.directory.reachable.items():
            service = context.directory.service(upstream.service)
            assert service is not None
            owner = context.owner_of(name)
            owned = self._owned.get(name)
            if owner == local:
                self._take(owned, service, upstream, now)
            elif owned is not None and not owned.is_ceded and owner is not None:
                self._cede(owned, owner, now)
        self._cede_former(now)
        self._known = set(context.directory.reachable)

    def _take(
        self, owned: OwnedUpstream | None, service: Service, upstream: Upstream, now: Seconds
    ) -> None:
        if owned is not None and not owned.is_ceded:
            self._reconfigure(owned, service, upstream, now)
            return
        tenure = self._new_tenure(upstream, now)
        last = self._former.pop(upstream.name, None)
        if last is not None:
            # The data centre is back, and nobody has owned the upstream in between.
            tenure = Tenure(Stage.ACTIVE, now, None)
            for lost in last.tenure.lost(now):
                tenure.lose(lost.host, lost.until)
        if owned is None:
            owned = OwnedUpstream(self._context, service, upstream, tenure, now)
            self._owned[upstream.name] = owned
        else:
            owned.tenure = tenure
            owned.reconfigure(service, upstream)
        self._log("upstream_taken", owned)
        early = self._early.pop(upstream.name, None)
        if tenure.stage is Stage.ACTIVE:
            self._served.add(upstream.name)
            owned.activate(StartCold(), now)
        elif early is not None and now - early.at <= EARLY_CEDE_LIFETIME_S:
            self.receive_cede(early.sender, early.message, now)

    def _cede_former(self, now: Seconds) -> None:
        """Hand upstreams whose data centre is back to their owner, if that is another host."""
        for name in [name for name in self._former if name in self._context.directory.reachable]:
            last = self._former.pop(name)
            owner = self._context.owner_of(name)
            if owner is not None and owner != self._context.local.name:
                self._cede(last, owner, now)

    def _reconfigure(
        self, owned: OwnedUpstream, service: Service, upstream: Upstream, now: Seconds
    ) -> None:
        owned.reconfigure(service, upstream)
        if not owned.is_active:
            return
        effects = owned.gate.reconfigure(upstream, service.cold_start, now)
        self._requests.run(owned, effects, now)
        self._requests.run(owned, owned.gate.set_state(upstream.state, now), now)

    def _new_tenure(self, upstream: Upstream, now: Seconds) -> Tenure:
        context = self._context
        view = context.membership.view
        is_new_upstream = self._known and upstream.name not in self._known
        previous = context.ownership.previous_owners(key_of(upstream), now)
        predecessor = previous[0].host if previous else self._likely_predecessor(upstream, view)
        if predecessor is not None and view.is_alive(predecessor):
            wait_s = FOUNDERS_WAIT_S if context.is_founding(now) else HANDOVER_WAIT_S
            return Tenure(Stage.AWAITING_HANDOVER, now + wait_s, predecessor)
        had_none = is_new_upstream or context.is_founding(now) or context.knows_history(now)
        if previous or not had_none:
            wait_s = context.membership.takeover_wait_s + IN_FLIGHT_S
            tenure = Tenure(Stage.WAITING_OUT_LEASE, now + wait_s, predecessor)
            self._lose_all_before(tenure, upstream, now)
            return tenure
        return Tenure(Stage.ACTIVE, now, None)

    def _lose_all_before(self, tenure: Tenure, upstream: Upstream, now: Seconds) -> None:
        """Note that nothing is known of what the earlier owners have carried.

        A predecessor that is lost takes along what those before it had handed over.
        """
        until = now + self._context.limits.request_lifetime_s
        earlier = self._context.previous_owners(key_of(upstream), now)
        if not earlier or not self._context.knows_history(now):
            earlier.append(UNKNOWN_HOST)
        for host in earlier:
            tenure.lose(host, until)

    def _likely_predecessor(self, upstream: Upstream, view: View) -> HostName | None:
        """Return who owns the upstream if this host is left out, for a host that just came."""
        if self._known and upstream.name not in self._known:
            return None
        local = self._context.local
        others = [name for name in view.owners(upstream.data_centre) if name != local.name]
        keys = [
            key_of(other)
            for other in self._context.directory.reachable.values()
            if other.data_centre == upstream.data_centre
        ]
        return assign(keys, others).get(key_of(upstream))

    def check_lease(self, now: Seconds) -> None:
        """Start anew with all upstreams after a time in which others may have owned them."""
        lease_since = self._context.membership.lease_since(now)
        if lease_since is None or lease_since == self._lease_since:
            return
        is_first = self._lease_since is None
        self._lease_since = lease_since
        if is_first:
            return
        self._context.log("lease_regained")
        for owned in self._owned.values():
            if owned.is_active:
                self._interrupt(owned, now)

    def _interrupt(self, owned: OwnedUpstream, now: Seconds) -> None:
        self._requests.run(owned, owned.gate.cede(now), now)
        predecessor = self._likely_predecessor(owned.upstream, self._context.membership.view)
        lost = owned.tenure.lost(now)
        owned.tenure = Tenure(Stage.AWAITING_HANDOVER, now + HANDOVER_WAIT_S, predecessor)
        for earlier in lost:
            owned.tenure.lose(earlier.host, earlier.until)

    def receive_cede(self, sender: HostName, message: Cede, now: Seconds) -> None:
        """Take in what the previous owner hands over."""
        owned = self._owned.get(message.upstream)
        self._adopt_keys(message.keys, now)
        for flow in message.flows:
            self._flows.open(flow, message.upstream, now)
        if owned is None or owned.is_ceded:
            # The previous owner has seen the change of view first.
            self._early[message.upstream] = EarlyCede(sender, message, now)
            return
        for host, remaining_s in message.uncertain:
            # What this process has carried itself stands in its own ledger.
            if host != self._context.local.name or owned.name not in self._served:
                owned.tenure.lose(host, now + remaining_s)
        is_expected = owned.tenure.stage is Stage.AWAITING_HANDOVER
        if message.last and is_expected and sender == owned.tenure.predecessor:
            self._activate(owned, StartHandedOver(message.gate), now)

    def _adopt_keys(self, keys: tuple[KeyState, ...], now: Seconds) -> None:
        for state in keys:
            record = self._ledger.adopt(state.key, state.upstream, state.outcome, state.ballot, now)
            if record is not None and record.is_carried and not record.is_pending:
                owned = self._owned.get(record.upstream)
                self._requests.tell_waiters(owned, state.key, record, now)

    def receive_released(self, message: Released, now: Seconds) -> None:
        """Take in how a request has ended that still ran at the previous owner."""
        self._adopt_keys(message.keys, now)
        owned = self._owned.get(message.upstream)
        if owned is not None and owned.is_active:
            effects = owned.gate.set_elsewhere(message.in_flight, message.connections, now)
            self._requests.run(owned, effects, now)

    def _activate(self, owned: OwnedUpstream, start: GateStart, now: Seconds) -> None:
        flows = [flow for flow, entry in self._flows.items() if entry.upstream == owned.name]
        self._served.add(owned.name)
        owned.activate(start, now)
        for flow in flows:
            owned.gate.adopt_connection(flow)
        self._requests.run(owned, owned.gate.set_state(owned.upstream.state, now), now)
        held, owned.held = owned.held, []
        for home, dispatch in held:
            self._requests.dispatch(home, dispatch, now)
        self._log("upstream_active", owned)

    def tick(self, now: Seconds) -> None:
        """End the waits that are over and forget what was ceded and has ended."""
        self.check_lease(now)
        for owned in list(self._owned.values()):
            tenure = owned.tenure
            if owned.is_ceded and owned.is_idle:
                del self._owned[owned.name]
            elif tenure.stage is Stage.AWAITING_HANDOVER and now >= tenure.until:
                self._miss_handover(owned, now)
            elif tenure.stage is Stage.WAITING_OUT_LEASE and now >= tenure.until:
                self._activate(owned, StartCold(), now)

    def next_at(self) -> Seconds:
        """Return when a wait is over next."""
        waiting = (Stage.AWAITING_HANDOVER, Stage.WAITING_OUT_LEASE)
        return min(
            (owned.tenure.until for owned in self._owned.values() if owned.tenure.stage in waiting),
            default=float("inf"),
        )

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Stop waiting for a handover of a host that is no longer alive."""
        for owned in self._owned.values():
            tenure = owned.tenure
            if tenure.stage is Stage.AWAITING_HANDOVER and tenure.predecessor == host:
                self._miss_handover(owned, now)
        named = {owned.name for owned in self._owned.values() if owned.tenure.predecessor == host}
        self._requests.fail_pending(frozenset(named), now)

    def _miss_handover(self, owned: OwnedUpstream, now: Seconds) -> None:
        context = self._context
        tenure = owned.tenure
        if context.is_founding(now):
            self._activate(owned, StartCold(), now)
            return
        tenure.stage = Stage.WAITING_OUT_LEASE
        tenure.until = now + context.membership.takeover_wait_s + IN_FLIGHT_S
        self._lose_all_before(tenure, owned.upstream, now)
        # Homes may still find another upstream for what has waited here.
        held, owned.held = owned.held, []
        for home, dispatch in held:
            self._requests.dispatch(home, dispatch, now)

    # -- ceding

    def _cede(self, owned: OwnedUpstream, successor: HostName, now: Seconds) -> None:
        was_active = owned.is_active
        held, owned.held = owned.held, []
        self._requests.run(owned, owned.gate.cede(now), now)
        owned.tenure.stage = Stage.CEDED
        for home, dispatch in held:
            self._requests.dispatch(home, dispatch, now)
        self._log("upstream_ceded", owned)
        if not self._context.membership.view.is_alive(successor):
            return
        if not was_active:
            # A host that had not begun to act for the upstream speaks for its predecessor only.
            self._note_unfinished(owned, now)
        for chunk in self._chunks(owned, now):
            self._context.transfer(successor, chunk)

    def _note_unfinished(self, owned: OwnedUpstream, now: Seconds) -> None:
        tenure = owned.tenure
        if tenure.predecessor is not None and not self._context.is_founding(now):
            self._lose_all_before(tenure, owned.upstream, now)

    def _chunks(self, owned: OwnedUpstream, now: Seconds) -> Iterator[Cede]:
        flows = [flow for flow, entry in self._flows.items() if entry.upstream == owned.name]
        keys = [
            KeyState(key, record.upstream, record.outcome, record.ballot)
            for key, record in self._ledger.items()
            if record.outcome is None or record.upstream == owned.name
        ]
        uncertain = tuple((lost.host, lost.until - now) for lost in owned.tenure.lost(now))
        gate = owned.gate.hand_over(now)
        count = max(1, -(-len(keys) // KEYS_PER_CHUNK), -(-len(flows) // FLOWS_PER_CHUNK))
        for idx in range(count):
            yield Cede(
                upstream=owned.name,
                gate=gate,
                flows=tuple(flows[idx * FLOWS_PER_CHUNK : (idx + 1) * FLOWS_PER_CHUNK]),
                keys=tuple(keys[idx * KEYS_PER_CHUNK : (idx + 1) * KEYS_PER_CHUNK]),
                uncertain=uncertain,
                last=idx == count - 1,
            )

    def _log(self, event: str, owned: OwnedUpstream) -> None:
        self._context.log(
            event,
            upstream=owned.name,
            stage=owned.tenure.stage.value,
            predecessor=owned.tenure.predecessor or "",
        )
