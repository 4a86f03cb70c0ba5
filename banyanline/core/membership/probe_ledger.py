"""Probes that wait for an acknowledgement, own ones and those made for others."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.types import HostName, Seconds

_SEQUENCE_BITS = 31
"""The first sequence is random, so that no late datagram answers a restarted process."""


@dataclass(slots=True)
class OwnProbe:
    """A probe of this process without an acknowledgement yet."""

    target: HostName
    sent_at: Seconds
    indirect_at: Seconds
    fail_at: Seconds


@dataclass(slots=True)
class RelayedProbe:
    """A probe sent on behalf of ``requester``, which knows it as ``sequence``."""

    requester: HostName
    sequence: int
    expires_at: Seconds


class ProbeLedger:
    """Sequences, time limits, and how much this process trusts its own timing.

    The health penalty grows when probes fail while nothing else is acknowledged, and when
    this process stood still; it stretches the time limits (Lifeguard, section IV-A).
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random, now: Seconds) -> None:
        self._settings = settings
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._own: dict[int, OwnProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}
        self._health_penalty = 0
        self._answered_at = now

    @property
    def due_at(self) -> Seconds:
        """When the next own probe runs into a time limit."""
        limits = (min(probe.indirect_at, probe.fail_at) for probe in self._own.values())
        return min(limits, default=math.inf)

    def add(self, target: HostName, now: Seconds, *, may_ask_others: bool) -> int:
        """Note an own probe of ``target`` and return its sequence."""
        stretch = 1 + self._health_penalty
        indirect_at = now + self._settings.ack_timeout_s * stretch
        self._sequence += 1
        self._own[self._sequence] = OwnProbe(
            target,
            now,
            indirect_at if may_ask_others else math.inf,
            now + self._settings.probe_failed_s * stretch,
        )
        return self._sequence

    def add_relayed(self, requester: HostName, sequence: int, now: Seconds) -> int:
        """Note a probe on behalf of ``requester`` and return its sequence."""
        expires_at = now + self._settings.probe_failed_s
        self._sequence += 1
        self._relayed[self._sequence] = RelayedProbe(requester, sequence, expires_at)
        return self._sequence

    def acknowledge(self, sequence: int, now: Seconds) -> OwnProbe | None:
        """Return the own probe that ``sequence`` acknowledges, if it still waits."""
        probe = self._own.pop(sequence, None)
        if probe is not None:
            self._answered_at = now
            self._health_penalty = max(0, self._health_penalty - 1)
        return probe

    def acknowledge_relayed(self, sequence: int) -> RelayedProbe | None:
        """Return the relayed probe that ``sequence`` acknowledges, if it still waits."""
        return self._relayed.pop(sequence, None)

    def take_failed(self, now: Seconds) -> list[OwnProbe]:
        """Return own probes that have failed, and forget them and old relayed ones."""
        failed = [seq for seq, probe in self._own.items() if now >= probe.fail_at]
        for sequence in [seq for seq, rel in self._relayed.items() if now >= rel.expires_at]:
            del self._relayed[sequence]
        probes = [self._own.pop(sequence) for sequence in failed]
        if any(self._answered_at < probe.sent_at for probe in probes):
            penalty = self._health_penalty + 1
            self._health_penalty = min(penalty, self._settings.max_health_penalty)
        return probes

    def take_unanswered(self, now: Seconds) -> Iterator[tuple[int, OwnProbe]]:
        """Iterate once over own probes for which others are to be asked now."""
        for sequence, probe in self._own.items():
            if now >= probe.indirect_at:
                probe.indirect_at = math.inf
                yield sequence, probe

    def start_over(self) -> None:
        """Forget all probes, since this process stood still and cannot judge them."""
        self._own.clear()
        self._relayed.clear()
        self._health_penalty = self._settings.max_health_penalty
