"""Simulated fleet of failure detectors on an in-memory network with injectable faults.

The network can lose, delay and duplicate datagrams, and be partitioned.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from banyanline.core.membership import (
    Membership,
    MembershipEffect,
    MembershipMessage,
    MembershipSettings,
    RevisionSeen,
    SendProbeMessage,
)
from banyanline.core.types import Host, HostName, Seconds

GROUP = "g"


class Link(NamedTuple):
    """Faults of a simulated network link: probabilities from 0 to 1, delays in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: Seconds = 0.001
    max_delay_s: Seconds = 0.003


PERFECT_LINK = Link()
DEFAULT_SETTINGS = MembershipSettings()


class Datagram(NamedTuple):
    """A message in transit; ``number`` orders datagrams that arrive at the same time."""

    arrives_at: Seconds
    number: int
    sender: HostName
    receiver: HostName
    message: MembershipMessage


class Fleet:
    """Simulated hosts that run, are paused or have crashed, and their common clock.

    After each event of a host ``on_event`` is called with the host's name.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        seed: int,
        link: Link = PERFECT_LINK,
        settings: MembershipSettings = DEFAULT_SETTINGS,
        platform_hosts: Sequence[Host] | None = None,
        make_member: Callable[..., Membership] = Membership,
    ) -> None:
        self.now: Seconds = 0.0
        self.link = link
        self.settings = settings
        self.rng = random.Random(seed)
        self.hosts = {host.name: host for host in hosts}
        self.platform_hosts = tuple(hosts if platform_hosts is None else platform_hosts)
        self.members: dict[HostName, Membership] = {}
        self.paused: set[HostName] = set()
        self.side: dict[HostName, int] = {}
        self.blocked: set[tuple[HostName, HostName]] = set()
        self.revisions_seen: list[tuple[HostName, RevisionSeen]] = []
        self.on_event: Callable[[HostName], None] = lambda name: None
        self.on_send: Callable[[Datagram], None] = lambda datagram: None
        self._make_member = make_member
        self._starts = itertools.count(1)
        self._numbers = itertools.count()
        self._datagrams: list[Datagram] = []
        self._ticks: list[tuple[Seconds, HostName]] = []
        for host in hosts:
            self.start(host.name)

    def start(self, name: HostName) -> None:
        """Start or restart the process of ``name``."""
        member = self._make_member(
            self.hosts[name],
            self.settings,
            random.Random(self.rng.getrandbits(32)),
            self.now,
            incarnation=1000 * next(self._starts),
        )
        self.paused.discard(name)
        self.members[name] = member
        self.run_effects(name, member.apply_host_list(self.platform_hosts, self.now))
        self._after_event(name)

    def crash(self, name: HostName) -> None:
        """End the process of ``name`` without an announcement."""
        del self.members[name]
        self.paused.discard(name)

    def pause(self, name: HostName) -> None:
        """Pause the process of ``name``; datagrams sent to it are queued."""
        self.paused.add(name)

    def resume(self, name: HostName) -> None:
        """Resume the paused process of ``name``."""
        self.paused.discard(name)
        self._after_event(name)

    def partition(self, *sides: Sequence[HostName]) -> None:
        """Partition the network into the given sides; all hosts not named form another side."""
        self.side = {name: idx for idx, names in enumerate(sides, 1) for name in names}

    def heal(self) -> None:
        """End all partitions and unblock all links."""
        self.side = {}
        self.blocked.clear()

    def leave(self, name: HostName) -> None:
        """Make the process of ``name`` announce that it is leaving."""
        self.run_effects(name, self.members[name].announce_leaving(self.now))

    def list_hosts(self, platform_hosts: Sequence[Host]) -> None:
        """Pass a new platform list of hosts to all running processes."""
        self.platform_hosts = tuple(platform_hosts)
        for name, member in self.members.items():
            if name not in self.paused:
                self.run_effects(name, member.apply_host_list(self.platform_hosts, self.now))

    def inject(self, receiver: HostName, message: MembershipMessage) -> None:
        """Deliver ``message`` to ``receiver`` as if it had come from the network."""
        self.run_effects(receiver, self.members[receiver].receive(message, self.now))
        self._after_event(receiver)

    def run(self, seconds: Seconds, until: Callable[[], bool] = lambda: False) -> bool:
        """Run for ``seconds`` or until the condition holds; return whether it holds."""
        end = self.now + seconds
        while not until():
            if not self._step(end):
                return until()
        return True

    def run_effects(self, sender: HostName, effects: Sequence[MembershipEffect]) -> None:
        """Send the probe messages and record the revisions seen."""
        for effect in effects:
            if isinstance(effect, SendProbeMessage):
                self._send(sender, effect.host, effect.message)
            elif isinstance(effect, RevisionSeen):
                self.revisions_seen.append((sender, effect))

    def views_agree(self) -> bool:
        """Whether every running process considers exactly the running hosts alive."""
        running = tuple(sorted(self.members))
        return all(member.view.homes(GROUP) == running for member in self.members.values())

    def _send(self, sender: HostName, receiver: HostName, message: MembershipMessage) -> None:
        copies = 1 + (self.rng.random() < self.link.duplication)
        for _ in range(copies):
            delay = self.rng.uniform(self.link.min_delay_s, self.link.max_delay_s)
            number = next(self._numbers)
            datagram = Datagram(self.now + delay, number, sender, receiver, message)
            self.on_send(datagram)
            if self.rng.random() >= self.link.loss and not self._is_blocked(sender, receiver):
                heapq.heappush(self._datagrams, datagram)

    def _is_blocked(self, sender: HostName, receiver: HostName) -> bool:
        is_same_side = self.side.get(sender, 0) == self.side.get(receiver, 0)
        return not is_same_side or (sender, receiver) in self.blocked

    def _step(self, end: Seconds) -> bool:
        """Run the next event up to ``end``; return whether there was one."""
        due, name = self._next_tick()
        if self._datagrams and self._datagrams[0].arrives_at <= min(due, end):
            self._deliver(heapq.heappop(self._datagrams))
            return True
        if due >= end:
            self.now = max(self.now, end)
            return False
        heapq.heappop(self._ticks)
        self.now = max(self.now, due)
        self.run_effects(name, self.members[name].tick(self.now))
        self._after_event(name)
        return True

    def _next_tick(self) -> tuple[Seconds, HostName]:
        while self._ticks:
            due, name = self._ticks[0]
            member = self.members.get(name)
            if member is not None and name not in self.paused and member.next_tick_at == due:
                return due, name
            heapq.heappop(self._ticks)
        return math.inf, ""

    def _after_event(self, name: HostName) -> None:
        heapq.heappush(self._ticks, (self.members[name].next_tick_at, name))
        self.on_event(name)

    def _deliver(self, datagram: Datagram) -> None:
        self.now = max(self.now, datagram.arrives_at)
        receiver = self.members.get(datagram.receiver)
        if receiver is None:
            return
        if datagram.receiver in self.paused:
            later = datagram._replace(arrives_at=self.now + self.settings.probe_interval_s)
            heapq.heappush(self._datagrams, later)
            return
        self.run_effects(datagram.receiver, receiver.receive(datagram.message, self.now))
        self._after_event(datagram.receiver)


def make_hosts(count: int, data_centres: int = 3, group: str = GROUP) -> list[Host]:
    """Return ``count`` hosts distributed evenly over the data centres."""
    return [
        Host(
            f"{group}-{idx % data_centres}-{idx // data_centres}",
            f"{group}-{idx % data_centres}",
            group,
            f"127.0.{idx // 250}.{idx % 250 + 1}",
            7100,
            7101,
        )
        for idx in range(count)
    ]
