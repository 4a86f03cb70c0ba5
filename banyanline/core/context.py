"""What home, owner and ingress of one balancer share: views, clocks, and the way out."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

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
from banyanline.core.founding import Founding
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

    ``retry_share`` is the number of retries that one answered request allows.
    """

    flows: int = 400_000
    requests: int = 200_000
    request_lifetime_s: float = 247.0
    held_datagrams: int = 4096
    queue_wait_s: float = MAX_QUEUE_WAIT_S
    retry_share: float = RETRY_SHARE


class Context:
    """The shared state of one balancer's roles.

    ``wall_clock`` returns seconds since the epoch in UTC. Patience follows the
    local time of day, and ballots are ordered by it; every duration is taken from
    the monotonic ``now`` that comes with each event.
    """

    def __init__(
        self,
        local: Host,
        membership: Membership,
        slots: SlotTable,
        ownership: OwnershipTable,
        founding: Founding,
        incarnation: int,
        limits: Limits,
        rng: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        self._local = local
        self._founding = founding
        self._incarnation = incarnation
        self._limits = limits
        self._rng = rng
        self._wall_clock = wall_clock
        self._effects: list[Effect] = []
        self._loopback: deque[DataMessage] = deque()
        self.membership = membership
        self.slots = slots
        self.ownership = ownership
        self.directory = Directory(EMPTY_CONFIGURATION)
        self.patience = PatienceTable(())
        self.counters = Counters()
        self.stopping = False

    def flow_idle_timeout_s(self, flow: FlowKey) -> Seconds:
        """Return how long a flow stays open without traffic, as its service is configured."""
        return self.directory.idle_timeout_s(flow.service)

    @property
    def local(self) -> Host:
        """This balancer's host."""
        return self._local

    @property
    def incarnation(self) -> int:
        """The incarnation with which this process started."""
        return self._incarnation

    @property
    def limits(self) -> Limits:
        """Bounds of the tables."""
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
        """Messages of one role of this balancer to another."""
        return self._loopback

    def emit(self, effect: Effect) -> None:
        """Ask the runtime for something."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return what was asked for since the last call."""
        effects = self._effects
        self._effects = []
        return effects

    def log(self, event: str, **fields: object) -> None:
        """Ask for one log line."""
        self.emit(LogEvent(event, fields))

    def send(self, host: HostName, message: DataMessage) -> None:
        """Send a message to a role of another balancer or of this one."""
        if host == self._local.name:
            self._loopback.append(message)
        else:
            self._effects.append(SendToPeer(host, message))

    def transfer(self, host: HostName, message: DataMessage) -> None:
        """Send a large message to another balancer."""
        self._effects.append(TransferToPeer(host, message))

    def answer(self, service: ServiceName, caller: Endpoint, payload: bytes) -> None:
        """Send a datagram to a caller."""
        self._effects.append(SendToCaller(service, caller, payload))

    def send_upstream(self, upstream: Upstream, payload: bytes) -> None:
        """Send a datagram on an upstream's request socket."""
        self._effects.append(SendToUpstream(upstream.name, upstream.endpoint, payload))

    def home_of(self, flow: FlowKey) -> HostName | None:
        """Return the home of a flow in this balancer's view."""
        return self.slots.home(self.hash_of(flow))

    def slot_of(self, flow: FlowKey) -> int:
        """Return the slot of a flow."""
        return slot_of(self.hash_of(flow))

    @staticmethod
    def hash_of(flow: FlowKey) -> int:
        """Return the hash that places a flow."""
        return flow_hash(Endpoint(flow.caller_ip, flow.caller_port), flow.service)

    def incarnation_of(self, host: HostName) -> int:
        """Return the incarnation of a host in this balancer's view."""
        if host == self._local.name:
            return self._incarnation
        member = self.membership.view.member(host)
        return 0 if member is None else member.incarnation

    def owner_of(self, upstream: UpstreamName) -> HostName | None:
        """Return the owner of an upstream in this balancer's view."""
        key = self.upstream_key(upstream)
        return None if key is None else self.ownership.owner(key)

    def upstream_key(self, upstream: UpstreamName) -> UpstreamKey | None:
        """Return the key under which the ownership table has an upstream."""
        configured = self.directory.upstream(upstream)
        return None if configured is None else key_of(configured)

    def is_settled(self, slot: int, period_s: Seconds, now: Seconds) -> bool:
        """Whether this balancer alone has been home of the slot for ``period_s``.

        While its lease was not fresh another host may have been home.
        """
        home_since = self.slots.home_since(slot, self._local.name)
        lease_since = self.membership.lease_since(now)
        if home_since is None or lease_since is None:
            return False
        since = max(home_since, lease_since)
        if since <= self._founding.settled_at and self.is_founder(now):
            return True
        return now - since >= period_s

    def knows_history(self, now: Seconds) -> bool:
        """Whether this process has seen all homes within the lifetime of a request."""
        lease_since = self.membership.lease_since(now)
        if lease_since is None:
            return False
        if lease_since <= self._founding.settled_at and self.is_founder(now):
            return True
        return now - lease_since >= self._limits.request_lifetime_s

    def is_founder(self, now: Seconds) -> bool:
        """Whether this process was there when the fleet began."""
        return self._founding.is_founder(self.membership.view, now)

    def is_founding(self, now: Seconds) -> bool:
        """Whether the fleet is just beginning."""
        return now <= self._founding.settled_at and self.is_founder(now)

    def previous_owners(self, key: UpstreamKey, now: Seconds) -> list[HostName]:
        """Return the earlier owners of an upstream whose requests may still be repeated."""
        began = self._founding.settled_at if self.is_founder(now) else float("-inf")
        owners = self.ownership.previous_owners(key, now)
        return [owner.host for owner in owners if owner.until > began]

    def previous_homes(self, slot: int, now: Seconds) -> list[HostName]:
        """Return the earlier homes of a slot whose requests may still be repeated."""
        began = self._founding.settled_at if self.is_founder(now) else float("-inf")
        homes = self.slots.previous_homes(slot, now)
        return [home.host for home in homes if home.until > began]

    def owners_of_service(self, service: ServiceName) -> dict[HostName, list[UpstreamName]]:
        """Return the owners of all reachable upstreams of a service."""
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
        """Whether this balancer may act for the fleet on its own view.

        That takes a fresh lease, so that a process that was paused stands back, and
        a majority of the listed hosts, so that of two sides of a partition at most
        one goes on. A process that has just started waits until its view is complete.
        """
        return (
            self._founding.may_decide(self.membership.view, now)
            and self.membership.lease_fresh(now)
            and self.membership.has_majority(self._local.fabric_group, now)
        )

    def ensure_same_service(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Stop the process if a packet of one service is about to reach another's upstream."""
        configured = self.directory.upstream(upstream)
        require(
            configured is None or configured.service == service,
            f"packet of service {service} for upstream {upstream} of another service",
        )
