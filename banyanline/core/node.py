"""One balancer: events in, effects out, no I/O.

The runtime, a test or a bench calls one method for each event with the monotonic
time, and carries out the effects that the method returns.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from banyanline.core.context import Context, Limits
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.directory import Directory
from banyanline.core.dispatch import singledispatchmethod
from banyanline.core.effects import Effect, SendProbe
from banyanline.core.founding import Founding
from banyanline.core.home import Home
from banyanline.core.membership import (
    Membership,
    MembershipEffect,
    MembershipMessage,
    MembershipSettings,
    RevisionSeen,
    SendProbeMessage,
    ViewChanged,
)
from banyanline.core.messages import (
    CancelDispatch,
    CancelStream,
    Cede,
    Claim,
    ClaimReply,
    DataMessage,
    Dispatch,
    FindTransfer,
    FlowData,
    FlowKey,
    FlowRefused,
    FlowsAlive,
    HomeHandover,
    Lookup,
    LookupReply,
    Notification,
    Released,
    Result,
    StreamEnded,
    ToHome,
    TransferFound,
)
from banyanline.core.model import Configuration
from banyanline.core.owner import Owner
from banyanline.core.patience import PatienceTable
from banyanline.core.placement import OwnershipTable, SlotTable
from banyanline.core.types import Endpoint, Host, HostName, Seconds, ServiceName, UpstreamName

MAX_HOPS = 3
HOUSEKEEPING_INTERVAL_S = 0.25
MAX_DEFENCES = 500
"""Most times that a process raises its incarnation between two looks of a peer at it."""

FIRST_SERIAL_SHIFT = 20
"""Serials start at the process's incarnation, so that no later process uses them again."""


class NodeSettings(NamedTuple):
    """What a balancer is told at its start."""

    local: Host
    incarnation: int
    limits: Limits = Limits()
    membership: MembershipSettings = MembershipSettings()
    flow_idle_timeout_s: float = 300.0


class Node:
    """Ingress, home and owner of one balancer, on one view and one configuration."""

    def __init__(
        self,
        settings: NodeSettings,
        rng: random.Random,
        wall_clock: Callable[[], float],
        now: Seconds,
    ) -> None:
        local = settings.local
        lifetime_s = settings.limits.request_lifetime_s
        history_s = max(lifetime_s, settings.flow_idle_timeout_s)
        membership = Membership(local, settings.membership, rng, now, settings.incarnation)
        self._founding = Founding(local.fabric_group, settings.incarnation, now)
        self._context = Context(
            local,
            membership,
            SlotTable(history_s),
            OwnershipTable(local.fabric_group, history_s),
            self._founding,
            settings.incarnation,
            settings.limits,
            rng,
            wall_clock,
        )
        first_serial = settings.incarnation << FIRST_SERIAL_SHIFT
        self._home = Home(self._context, first_serial, settings.flow_idle_timeout_s)
        self._owner = Owner(self._context, settings.flow_idle_timeout_s, now)
        self._alive: frozenset[HostName] = frozenset()
        self._incarnations: dict[HostName, int] = {}
        self._greatest_revision_seen: tuple[int, HostName] = (0, "")
        self._housekeeping_at = now
        self._is_ready = False
        membership.stand_by()
        self._view_changed(now)

    @property
    def context(self) -> Context:
        """The state that the roles share."""
        return self._context

    @property
    def home(self) -> Home:
        """The home role."""
        return self._home

    @property
    def owner(self) -> Owner:
        """The owner role."""
        return self._owner

    @property
    def membership(self) -> Membership:
        """The failure detector."""
        return self._context.membership

    @property
    def revision(self) -> int:
        """The revision in force here, 0 without a configuration."""
        return self._context.directory.revision

    @property
    def greatest_revision_seen(self) -> tuple[int, HostName]:
        """The greatest revision that a peer has shown, and which peer."""
        return self._greatest_revision_seen

    @property
    def is_drained(self) -> bool:
        """Whether a stopping balancer has nothing left to finish."""
        return self._owner.is_idle and self._home.requests.open_count == 0

    def next_at(self, now: Seconds) -> Seconds:
        """Return when :meth:`tick` is due next."""
        return min(
            self._housekeeping_at,
            self._context.membership.next_tick_at,
            self._home.next_at,
            self._owner.next_at(now),
        )

    # -- events

    def receive_from_caller(
        self, service: ServiceName, caller: Endpoint, payload: bytes, now: Seconds
    ) -> list[Effect]:
        """Take a caller's datagram in as ingress and pass it to the flow's home."""
        context = self._context
        if context.directory.revision == 0:
            context.counters.drop(DropReason.UNKNOWN_SERVICE)
            return []
        flow = FlowKey(service, caller.ip, caller.port)
        home = context.home_of(flow)
        if home is None:
            context.counters.drop(DropReason.NO_HOME)
        elif home == context.local.name:
            self._home.receive(flow, payload, now)
        else:
            context.send(home, ToHome(flow, payload, 1))
        return self._settle(now)

    def receive_from_peer(
        self, sender: HostName, message: DataMessage, now: Seconds
    ) -> list[Effect]:
        """Take another balancer's message in."""
        self._dispatch(message, sender, now)
        return self._settle(now)

    def receive_probe(self, message: MembershipMessage, now: Seconds) -> list[Effect]:
        """Take a membership message in."""
        self._run_membership(self._context.membership.receive(message, now), now)
        return self._settle(now)

    def receive_from_upstream(
        self, upstream: UpstreamName, payload: bytes, now: Seconds
    ) -> list[Effect]:
        """Take a datagram of an upstream's request socket in."""
        self._owner.receive(upstream, payload, now)
        return self._settle(now)

    def receive_on_flow(self, flow: FlowKey, payload: bytes, now: Seconds) -> list[Effect]:
        """Take a datagram of a flow's own socket in."""
        self._owner.receive_on_flow(flow, payload, now)
        return self._settle(now)

    def upstream_unreachable(self, upstream: UpstreamName, now: Seconds) -> list[Effect]:
        """Take in that the network reports no process at the upstream's endpoint."""
        self._owner.unreachable(upstream, now)
        return self._settle(now)

    def learn_hosts(self, hosts: tuple[Host, ...], now: Seconds) -> list[Effect]:
        """Take the platform's list of hosts in."""
        self._run_membership(self._context.membership.learn_hosts(hosts, now), now)
        return self._settle(now)

    def configure(self, configuration: Configuration, now: Seconds) -> list[Effect]:
        """Put a configuration in force; a revision that is not greater is ignored."""
        context = self._context
        earlier = context.directory
        if configuration.revision <= earlier.revision:
            return []
        context.directory = Directory(configuration)
        context.patience = PatienceTable(configuration.caller_groups)
        context.membership.set_revision(configuration.revision)
        context.log("configuration_in_force", revision=configuration.revision)
        gone = _upstreams_gone(earlier, context.directory)
        self._home.configuration_changed()
        if gone:
            self._home.upstreams_gone(gone)
            self._owner.upstreams_gone(gone, now)
        self._placement_changed(now)
        return self._settle(now)

    def begin_stop(self, now: Seconds) -> list[Effect]:
        """Announce that this balancer leaves; its peers take over."""
        self._context.stopping = True
        self._run_membership(self._context.membership.announce_leaving(now), now)
        return self._settle(now)

    def tick(self, now: Seconds) -> list[Effect]:
        """Do what is due."""
        self._housekeeping_at = now + HOUSEKEEPING_INTERVAL_S
        self._run_membership(self._context.membership.tick(now), now)
        self._get_ready(now)
        self._home.tick(now)
        self._owner.tick(now)
        return self._settle(now)

    def _get_ready(self, now: Seconds) -> None:
        """Begin to take work once the view and a configuration are there."""
        if self._is_ready or self._context.stopping or self.revision == 0:
            return
        if self._founding.is_over(now):
            self._is_ready = True
            self._run_membership(self._context.membership.announce_ready(now), now)

    # -- messages between roles

    def _settle(self, now: Seconds) -> list[Effect]:
        loopback = self._context.loopback
        local = self._context.local.name
        while loopback:
            self._dispatch(loopback.popleft(), local, now)
        return self._context.take_effects()

    @singledispatchmethod
    def _dispatch(self, message: DataMessage, sender: HostName, now: Seconds) -> None:
        raise TypeError(f"no such message: {message!r}")

    @_dispatch.register
    def _(self, message: ToHome, sender: HostName, now: Seconds) -> None:
        context = self._context
        home = context.home_of(message.flow)
        if home is None or home == context.local.name or message.hops >= MAX_HOPS:
            self._home.receive(message.flow, message.payload, now)
        else:
            context.send(home, ToHome(message.flow, message.payload, message.hops + 1))

    @_dispatch.register
    def _(self, message: Dispatch, sender: HostName, now: Seconds) -> None:
        self._owner.dispatch(sender, message, now)

    @_dispatch.register
    def _(self, message: CancelDispatch, sender: HostName, now: Seconds) -> None:
        self._owner.cancel(message, now)

    @_dispatch.register
    def _(self, message: CancelStream, sender: HostName, now: Seconds) -> None:
        self._owner.cancel_stream(message)

    @_dispatch.register
    def _(self, message: Result, sender: HostName, now: Seconds) -> None:
        if not self._home.streams.receive_result(sender, message, now):
            self._home.requests.receive_result(sender, message, now)

    @_dispatch.register
    def _(self, message: Notification, sender: HostName, now: Seconds) -> None:
        self._home.streams.notify(message, now)

    @_dispatch.register
    def _(self, message: StreamEnded, sender: HostName, now: Seconds) -> None:
        self._home.streams.ended(sender, message)

    @_dispatch.register
    def _(self, message: FlowData, sender: HostName, now: Seconds) -> None:
        self._owner.forward(sender, message, now)

    @_dispatch.register
    def _(self, message: FlowRefused, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.refused(message)

    @_dispatch.register
    def _(self, message: FlowsAlive, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.alive(message, now)

    @_dispatch.register
    def _(self, message: Lookup, sender: HostName, now: Seconds) -> None:
        self._owner.look_up(sender, message)

    @_dispatch.register
    def _(self, message: LookupReply, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.looked_up(sender, message, now)

    @_dispatch.register
    def _(self, message: Claim, sender: HostName, now: Seconds) -> None:
        self._owner.claim(sender, message, now)

    @_dispatch.register
    def _(self, message: ClaimReply, sender: HostName, now: Seconds) -> None:
        self._home.requests.receive_claim_reply(sender, message, now)

    @_dispatch.register
    def _(self, message: FindTransfer, sender: HostName, now: Seconds) -> None:
        self._owner.find_transfer(sender, message, now)

    @_dispatch.register
    def _(self, message: TransferFound, sender: HostName, now: Seconds) -> None:
        self._home.requests.receive_transfer(message, now)

    @_dispatch.register
    def _(self, message: HomeHandover, sender: HostName, now: Seconds) -> None:
        self._home.take_over(message, now)

    @_dispatch.register
    def _(self, message: Cede, sender: HostName, now: Seconds) -> None:
        self._owner.receive_cede(sender, message, now)

    @_dispatch.register
    def _(self, message: Released, sender: HostName, now: Seconds) -> None:
        self._owner.receive_released(message, now)

    # -- changes of view and placement

    def _run_membership(self, effects: list[MembershipEffect], now: Seconds) -> None:
        for effect in effects:
            match effect:
                case SendProbeMessage(host, endpoint, message):
                    self._context.emit(SendProbe(host, endpoint, message))
                case ViewChanged():
                    self._view_changed(now)
                case RevisionSeen(host, revision):
                    if revision >= self._greatest_revision_seen[0]:
                        self._greatest_revision_seen = (revision, host)

    def _view_changed(self, now: Seconds) -> None:
        context = self._context
        view = context.membership.view
        homes = view.homes(context.local.fabric_group)
        context.slots.update(homes, now)
        alive = frozenset(member.host.name for member in view.members if member.is_live)
        lost = (self._alive - alive) | self._note_restarts()
        self._alive = alive
        context.log("view_changed", version=view.version, live=len(alive))
        self._placement_changed(now)
        for host in sorted(lost):
            context.log("host_lost", host=host)
            self._home.host_lost(host, now)
            self._owner.host_lost(host, now)

    def _note_restarts(self) -> frozenset[HostName]:
        """Return the hosts that run as another process than before.

        A process that defends itself against a suspicion raises its incarnation by
        one, while a new process starts with the wall clock in milliseconds.
        """
        restarted = set()
        for member in self._context.membership.view.members:
            name = member.host.name
            earlier = self._incarnations.get(name, 0)
            if earlier and member.incarnation - earlier > MAX_DEFENCES:
                restarted.add(name)
            self._incarnations[name] = member.incarnation
        return frozenset(restarted)

    def _placement_changed(self, now: Seconds) -> None:
        context = self._context
        upstreams = context.directory.reachable.values()
        context.ownership.update(upstreams, context.membership.view, now)
        self._owner.placement_changed(now)
        self._home.placement_changed(now)


def _upstreams_gone(earlier: Directory, later: Directory) -> dict[UpstreamName, FlowEnd]:
    """Return the upstreams to which no packet may go any more, and why."""
    return {
        name: FlowEnd.DATA_CENTRE_OUT
        if later.upstream(name) is not None
        else FlowEnd.UPSTREAM_REMOVED
        for name in earlier.reachable
        if name not in later.reachable
    }
