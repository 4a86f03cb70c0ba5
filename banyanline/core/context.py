"""State shared by the home, owner and ingress roles of one balancer, and its output effects."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from banyanline.core.bootstrap import STARTUP_PERIOD_S, Bootstrap
from banyanline.core.counters import Counters
from banyanline.core.directory import Directory
from banyanline.core.effects import (
    Effect,
    LogEvent,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    TransferToPeer,
)
from banyanline.core.gate.queue import MAX_QUEUE_WAIT_S
from banyanline.core.invariants import require
from banyanline.core.membership import Membership
from banyanline.core.messages import DataMessage, FlowKey
from banyanline.core.model import Configuration, Upstream
from banyanline.core.patience import PatienceTable
from banyanline.core.placement import (
    OwnershipTable,
    SlotTable,
    UpstreamKey,
    flow_hash,
    key_of,
    slot_of,
)
from banyanline.core.retry import RETRY_SHARE
from banyanline.core.types import Endpoint, Host, HostName, Seconds, ServiceName, UpstreamName

EMPTY_CONFIGURATION = Configuration(revision=0, data_centres=(), caller_groups=(), services=())


class Limits(NamedTuple):
    """Bounds of one balancer's tables and queues.

    ``retry_share`` is the number of retries that each answered request adds to the
    retry budget.
    """

    flows: int = 400_000
    requests: int = 200_000
    request_lifetime_s: float = 247.0
    held_datagrams: int = 4096
    queue_wait_s: float = MAX_QUEUE_WAIT_S
    retry_share: float = RETRY_SHARE


class Context:
    """State shared by the roles of one balancer.

    ``wall_clock`` returns seconds since the epoch in UTC. It selects the patience
    windows, which follow the local time of day, and orders ballots. All durations
    are measured with the monotonic ``now`` that is passed with each event.
    ``presumed_ownership`` assigns the upstreams that are out of service as if they were in it.
    """

    def __init__(
        self,
        local: Host,
        membership: Membership,
        slots: SlotTable,
        ownership: OwnershipTable,
        presumed_ownership: OwnershipTable,
        bootstrap: Bootstrap,
        incarnation: int,
        limits: Limits,
        rng: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self._local = local
        self._bootstrap = bootstrap
        self._incarnation = incarnation
        self._limits = limits
        self._rng = rng
        self._wall_clock = wall_clock
        self._effects: list[Effect] = []
        self._loopback: deque[DataMessage] = deque()
        self.membership = membership
        self.slots = slots
        self.ownership = ownership
        self.presumed_ownership = presumed_ownership
        self.directory = Directory(EMPTY_CONFIGURATION)
        self.patience = PatienceTable(())
        self.counters = Counters()
        self.stopping = False

    def flow_idle_timeout_s(self, flow: FlowKey) -> Seconds:
        """Return the idle timeout that is configured for the flow's service."""
        return self.directory.idle_timeout_s(flow.service)

    @property
    def local(self) -> Host:
        """This balancer's host."""
        return self._local

    @property
    def incarnation(self) -> int:
        """The incarnation number that this process started with."""
        return self._incarnation

    @property
    def limits(self) -> Limits:
        """Bounds of the tables and queues."""
        return self._limits

    @property
    def rng(self) -> random.Random:
        """The only source of randomness."""
        return self._rng

    @property
    def wall_clock(self) -> Callable[[], float]:
        """Seconds since the epoch in UTC."""
        return self._wall_clock

    @property
    def loopback(self) -> deque[DataMessage]:
        """Messages between roles of this balancer, which bypass the network."""
        return self._loopback

    def emit(self, effect: Effect) -> None:
        """Queue an effect for the runtime to carry out."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects queued since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def log(self, event: str, **fields: object) -> None:
        """Queue one log line."""
        self.emit(LogEvent(event, fields))

    def send(self, host: HostName, message: DataMessage) -> None:
        """Send a message to a role of another balancer or, over the loopback, of this one."""
        if host == self._local.name:
            self._loopback.append(message)
        else:
            self._effects.append(SendToPeer(host, message))

    def transfer(self, host: HostName, message: DataMessage) -> None:
        """Send a large message to another balancer over its control port."""
        self._effects.append(TransferToPeer(host, message))

    def answer(self, service: ServiceName, caller: Endpoint, payload: bytes) -> None:
        """Send a datagram to a caller."""
        self._effects.append(SendToCaller(service, caller, payload))

    def send_upstream(self, upstream: Upstream, payload: bytes) -> None:
        """Send a datagram on an upstream's request socket."""
        self._effects.append(SendToUpstream(upstream.name, upstream.endpoint, payload))

    def home_of(self, flow: FlowKey) -> HostName | None:
        """Return the home of a flow according to this balancer's view."""
        return self.slots.home(self.hash_of(flow))

    def slot_of(self, flow: FlowKey) -> int:
        """Return the slot of a flow."""
        return slot_of(self.hash_of(flow))

    @staticmethod
    def hash_of(flow: FlowKey) -> int:
        """Return the hash that determines a flow's slot and upstream order."""
        return flow_hash(Endpoint(flow.caller_ip, flow.caller_port), flow.service)

    def incarnation_of(self, host: HostName) -> int:
        """Return a host's incarnation according to this balancer's view, 0 if it is unknown."""
        if host == self._local.name:
            return self._incarnation
        member = self.membership.view.member(host)
        return 0 if member is None else member.incarnation

    def owner_of(self, upstream: UpstreamName) -> HostName | None:
        """Return the owner of an upstream according to this balancer's view."""
        key = self.upstream_key(upstream)
        return None if key is None else self.ownership.owner(key)

    def presumed_owner(self, upstream: UpstreamName) -> HostName | None:
        """Return the likely last owner of an upstream that is out of service."""
        key = self.upstream_key(upstream)
        return None if key is None else self.presumed_ownership.owner(key)

    def upstream_key(self, upstream: UpstreamName) -> UpstreamKey | None:
        """Return the key of an upstream in the ownership table, or None if not configured."""
        configured = self.directory.upstream(upstream)
        return None if configured is None else key_of(configured)

    def has_been_sole_home(self, slot: int, period_s: Seconds, now: Seconds) -> bool:
        """Whether this balancer has been the sole home of the slot for ``period_s``.

        The period counts only while its lease was fresh: at other times another host
        may have been the home. An initial member need not wait if the period began during
        the bootstrap: no host decided on a non-idempotent request before its end.
        """
        home_since = self.slots.home_since(slot, self._local.name)
        lease_fresh_since = self.membership.lease_fresh_since(now)
        if home_since is None or lease_fresh_since is None:
            return False
        since = max(home_since, lease_fresh_since)
        if since <= self._bootstrap.bootstrap_ends_at and self.is_initial_member(now):
            return True
        return now - since >= period_s

    def has_full_history(self, now: Seconds) -> bool:
        """Whether this process has observed every change of home for one request lifetime."""
        lease_fresh_since = self.membership.lease_fresh_since(now)
        if lease_fresh_since is None:
            return False
        if lease_fresh_since <= self._bootstrap.bootstrap_ends_at and self.is_initial_member(now):
            return True
        return now - lease_fresh_since >= self._limits.request_lifetime_s

    def has_observed_since(self, at: Seconds, now: Seconds) -> bool:
        """Whether this process has observed every change of home or owner since ``at``.

        Its view may be incomplete for as long as a startup period after its lease began.
        """
        lease_fresh_since = self.membership.lease_fresh_since(now)
        return lease_fresh_since is not None and at >= lease_fresh_since + STARTUP_PERIOD_S

    def is_initial_member(self, now: Seconds) -> bool:
        """Whether this process is an initial member of the fleet."""
        return self._bootstrap.is_initial_member(self.membership.view, now)

    def is_bootstrapping(self, now: Seconds) -> bool:
        """Whether the fleet is still bootstrapping, with this process an initial member."""
        return now <= self._bootstrap.bootstrap_ends_at and self.is_initial_member(now)

    def previous_owners(self, key: UpstreamKey, now: Seconds) -> list[HostName]:
        """Return an upstream's previous owners whose requests callers may still retransmit."""
        ignored_until = (
            self._bootstrap.bootstrap_ends_at if self.is_initial_member(now) else float("-inf")
        )
        owners = self.ownership.previous_owners(key, now)
        return [owner.host for owner in owners if owner.until > ignored_until]

    def previous_homes(self, slot: int, now: Seconds) -> list[HostName]:
        """Return a slot's previous homes whose requests callers may still retransmit."""
        ignored_until = (
            self._bootstrap.bootstrap_ends_at if self.is_initial_member(now) else float("-inf")
        )
        homes = self.slots.previous_homes(slot, now)
        return [home.host for home in homes if home.until > ignored_until]

    def owners_of_service(self, service: ServiceName) -> dict[HostName, list[UpstreamName]]:
        """Return the reachable upstreams of a service, grouped by owner."""
        owners: dict[HostName, list[UpstreamName]] = {}
        configured = self.directory.service(service)
        if configured is None:
            return owners
        for upstream in configured.upstreams:
            owner = self.ownership.owner(key_of(upstream))
            if owner is not None and upstream.name in self.directory.reachable:
                owners.setdefault(owner, []).append(upstream.name)
        return owners

    def may_decide(self, now: Seconds) -> bool:
        """Whether this balancer may make decisions for the fleet based on its own view.

        It needs a fresh lease, so that a process that was paused does not decide on
        an outdated view, and a quorum (a majority of the listed hosts), so that at
        most one side of a network partition continues. A process that has just
        started waits until its view is complete.
        """
        return (
            self._bootstrap.may_decide(self.membership.view, now)
            and self.membership.lease_fresh(now)
            and self.membership.has_majority(self._local.fabric_group, now)
        )

    def ensure_same_service(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Raise an invariant error if the upstream belongs to another service.

        The error stops the process before a packet reaches the wrong service.
        """
        configured = self.directory.upstream(upstream)
        require(
            configured is None or configured.service == service,
            f"packet of service {service} for upstream {upstream} of another service",
        )
