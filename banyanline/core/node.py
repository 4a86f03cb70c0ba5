"""One balancer: events in, effects out, no I/O.

The runtime, a test or a benchmark calls one method per event, passing the monotonic
time, and carries out the effects that the method returns.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from banyanline.core.bootstrap import Bootstrap
from banyanline.core.context import Context, Limits
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.directory import Directory
from banyanline.core.dispatch import singledispatchmethod
from banyanline.core.effects import Effect, SendProbe
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
    Claim,
    ClaimReply,
    DataMessage,
    Dispatch,
    FindTransfer,
    FlowData,
    FlowKey,
    FlowRefused,
    FlowsAlive,
    HandoverProgress,
    HomeHandover,
    Lookup,
    LookupReply,
    Notification,
    OwnerHandover,
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
MAX_REFUTATIONS = 500
"""Maximum number of refutations by one process between two updates of a peer's view.

A greater increase of the incarnation means that the process has restarted.
"""

FIRST_SERIAL_SHIFT = 20
"""Serials start at the shifted incarnation, so that a restarted process never reuses them."""


class NodeSettings(NamedTuple):
    """Settings that a balancer is started with."""

    local: Host
    incarnation: int
    limits: Limits = Limits()
    membership: MembershipSettings = MembershipSettings()
    flow_idle_timeout_s: float = 300.0


class Node:
    """One balancer: its ingress, home and owner roles on a shared view and configuration."""

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
        self._bootstrap = Bootstrap(local.fabric_group, settings.incarnation, now)
        self._context = Context(
            local,
            membership,
            SlotTable(history_s),
            OwnershipTable(local.fabric_group, history_s),
            OwnershipTable(local.fabric_group, history_s),
            self._bootstrap,
            settings.incarnation,
            settings.limits,
            rng,
            wall_clock,
        )
        first_serial = settings.incarnation << FIRST_SERIAL_SHIFT
        self._home = Home(self._context, first_serial, settings.flow_idle_timeout_s)
        self._owner = Owner(self._context, settings.flow_idle_timeout_s, now)
        self._live_hosts: frozenset[HostName] = frozenset()
        self._incarnations: dict[HostName, int] = {}
        self._highest_revision_seen: tuple[int, HostName] = (0, "")
        self._next_housekeeping_at = now
        self._is_ready = False
        membership.mark_not_ready()
        self._view_changed(now)

    @property
    def context(self) -> Context:
        """State shared by the roles."""
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
        """The revision of the active configuration, 0 without one."""
        return self._context.directory.revision

    @property
    def highest_revision_seen(self) -> tuple[int, HostName]:
        """The highest revision that a peer has announced, and the name of that peer."""
        return self._highest_revision_seen

    @property
    def is_drained(self) -> bool:
        """Whether a stopping balancer has no unfinished work left."""
        return self._owner.is_idle and self._home.requests.open_count == 0

    def next_at(self, now: Seconds) -> Seconds:
        """Return the time at which :meth:`tick` is to be called next."""
        return min(
            self._next_housekeeping_at,
            self._context.membership.next_tick_at,
            self._home.next_at,
            self._owner.next_at(now),
        )

    # -- events

    def receive_from_caller(
        self, service: ServiceName, caller: Endpoint, payload: bytes, now: Seconds
    ) -> list[Effect]:
        """Handle a caller's datagram as ingress: forward it to the flow's home."""
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
        return self._finish_event(now)

    def receive_from_peer(
        self, sender: HostName, message: DataMessage, now: Seconds
    ) -> list[Effect]:
        """Handle a message of another balancer."""
        self._dispatch(message, sender, now)
        return self._finish_event(now)

    def receive_probe(self, message: MembershipMessage, now: Seconds) -> list[Effect]:
        """Handle a membership message."""
        self._apply_membership_effects(self._context.membership.receive(message, now), now)
        return self._finish_event(now)

    def receive_from_upstream(
        self, upstream: UpstreamName, payload: bytes, now: Seconds
    ) -> list[Effect]:
        """Handle a datagram received on an upstream's request socket."""
        self._owner.receive(upstream, payload, now)
        return self._finish_event(now)

    def receive_on_flow(self, flow: FlowKey, payload: bytes, now: Seconds) -> list[Effect]:
        """Handle a datagram received on a flow's own socket."""
        self._owner.receive_on_flow(flow, payload, now)
        return self._finish_event(now)

    def upstream_unreachable(self, upstream: UpstreamName, now: Seconds) -> list[Effect]:
        """Handle a network report that no process listens at the upstream's endpoint."""
        self._owner.unreachable(upstream, now)
        return self._finish_event(now)

    def apply_host_list(self, hosts: tuple[Host, ...], now: Seconds) -> list[Effect]:
        """Update the membership from the platform's list of hosts."""
        self._apply_membership_effects(self._context.membership.apply_host_list(hosts, now), now)
        return self._finish_event(now)

    def configure(self, configuration: Configuration, now: Seconds) -> list[Effect]:
        """Apply a configuration if its revision is higher than the active one."""
        context = self._context
        previous = context.directory
        if configuration.revision <= previous.revision:
            return []
        context.directory = Directory(configuration)
        context.patience = PatienceTable(configuration.caller_groups)
        context.membership.set_revision(configuration.revision)
        context.log("configuration_in_force", revision=configuration.revision)
        removed = _removed_upstreams(previous, context.directory)
        self._home.configuration_changed()
        if removed:
            self._home.upstreams_removed(removed)
            self._owner.upstreams_removed(removed, now)
        self._placement_changed(now)
        return self._finish_event(now)

    def begin_stop(self, now: Seconds) -> list[Effect]:
        """Begin a graceful shutdown: announce it to the peers, so that they take over."""
        self._context.stopping = True
        self._apply_membership_effects(self._context.membership.announce_leaving(now), now)
        return self._finish_event(now)

    def tick(self, now: Seconds) -> list[Effect]:
        """Run periodic work and expired timers."""
        self._next_housekeeping_at = now + HOUSEKEEPING_INTERVAL_S
        self._apply_membership_effects(self._context.membership.tick(now), now)
        self._announce_ready_if_due(now)
        self._home.tick(now)
        self._owner.tick(now)
        return self._finish_event(now)

    def _announce_ready_if_due(self, now: Seconds) -> None:
        """Announce readiness once the startup period is over and a configuration is active."""
        if self._is_ready or self._context.stopping or self.revision == 0:
            return
        if self._bootstrap.is_startup_over(now):
            self._is_ready = True
            self._apply_membership_effects(self._context.membership.announce_ready(now), now)

    # -- messages between roles

    def _finish_event(self, now: Seconds) -> list[Effect]:
        """Deliver the loopback messages and return the queued effects."""
        loopback = self._context.loopback
        local = self._context.local.name
        while loopback:
            self._dispatch(loopback.popleft(), local, now)
        return self._context.take_effects()

    @singledispatchmethod
    def _dispatch(self, message: DataMessage, sender: HostName, now: Seconds) -> None:
        raise TypeError(f"unknown message type: {message!r}")

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
        self._home.streams.receive_notification(message, now)

    @_dispatch.register
    def _(self, message: StreamEnded, sender: HostName, now: Seconds) -> None:
        self._home.streams.receive_stream_end(sender, message)

    @_dispatch.register
    def _(self, message: FlowData, sender: HostName, now: Seconds) -> None:
        self._owner.forward(sender, message, now)

    @_dispatch.register
    def _(self, message: FlowRefused, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.receive_flow_refusal(message)

    @_dispatch.register
    def _(self, message: FlowsAlive, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.receive_flows_alive(message, now)

    @_dispatch.register
    def _(self, message: Lookup, sender: HostName, now: Seconds) -> None:
        self._owner.look_up(sender, message)

    @_dispatch.register
    def _(self, message: LookupReply, sender: HostName, now: Seconds) -> None:
        self._home.datagrams.receive_lookup_reply(sender, message, now)

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
    def _(self, message: OwnerHandover, sender: HostName, now: Seconds) -> None:
        self._owner.receive_owner_handover(sender, message, now)

    @_dispatch.register
    def _(self, message: HandoverProgress, sender: HostName, now: Seconds) -> None:
        self._owner.receive_handover_progress(message, now)

    # -- changes of view and placement

    def _apply_membership_effects(self, effects: list[MembershipEffect], now: Seconds) -> None:
        for effect in effects:
            match effect:
                case SendProbeMessage(host, endpoint, message):
                    self._context.emit(SendProbe(host, endpoint, message))
                case ViewChanged():
                    self._view_changed(now)
                case RevisionSeen(host, revision):
                    if revision >= self._highest_revision_seen[0]:
                        self._highest_revision_seen = (revision, host)

    def _view_changed(self, now: Seconds) -> None:
        context = self._context
        view = context.membership.view
        homes = view.homes(context.local.fabric_group)
        context.slots.update(homes, now)
        alive = frozenset(member.host.name for member in view.members if member.is_live)
        lost = (self._live_hosts - alive) | self._detect_restarts()
        self._live_hosts = alive
        context.log("view_changed", version=view.version, live=len(alive))
        self._placement_changed(now)
        for host in sorted(lost):
            context.log("host_lost", host=host)
            self._home.host_lost(host, now)
            self._owner.host_lost(host, now)

    def _detect_restarts(self) -> frozenset[HostName]:
        """Return the hosts whose process has restarted since the last view.

        A process that refutes a suspicion raises its incarnation by one, while a new
        process takes the wall-clock time in milliseconds as its first incarnation.
        """
        restarted = set()
        for member in self._context.membership.view.members:
            name = member.host.name
            previous = self._incarnations.get(name, 0)
            if previous and member.incarnation - previous > MAX_REFUTATIONS:
                restarted.add(name)
            self._incarnations[name] = member.incarnation
        return frozenset(restarted)

    def _placement_changed(self, now: Seconds) -> None:
        context = self._context
        directory = context.directory
        view = context.membership.view
        context.ownership.update(directory.reachable.values(), view, now)
        context.presumed_ownership.update(directory.unreachable.values(), view, now)
        self._owner.placement_changed(now)
        self._home.placement_changed(now)


def _removed_upstreams(previous: Directory, current: Directory) -> dict[UpstreamName, FlowEnd]:
    """Return the upstreams that may no longer receive packets, with the reason."""
    return {
        name: FlowEnd.DATA_CENTRE_OUT
        if current.upstream(name) is not None
        else FlowEnd.UPSTREAM_REMOVED
        for name in previous.reachable
        if name not in current.reachable
    }
