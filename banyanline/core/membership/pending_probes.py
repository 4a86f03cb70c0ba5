"""Probes that await an acknowledgement: this process's own and those relayed for peers."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from banyanline.core.membership.settings import MembershipSettings
from banyanline.core.types import HostName, Seconds

_SEQUENCE_BITS = 31
"""Bits of the random first sequence number.

It is random so that a restarted process ignores late acknowledgements of probes that it sent
before the restart.
"""


@dataclass(slots=True)
class OwnProbe:
    """A pending probe that this process sent on its own behalf."""

    target: HostName
    sent_at: Seconds
    indirect_at: Seconds
    fail_at: Seconds


@dataclass(slots=True)
class RelayedProbe:
    """A probe sent on behalf of ``requester``, whose own sequence number for it is ``sequence``."""

    requester: HostName
    sequence: int
    expires_at: Seconds


class PendingProbes:
    """Sequence numbers and timeouts of pending probes, and the local health penalty.

    The health penalty increases when probes fail while nothing else is acknowledged, and
    rises to its maximum when this process was paused. Probe timeouts are scaled by it
    (Lifeguard, section IV-A).
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random, now: Seconds) -> None:
        self._settings = settings
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)
        self._own: dict[int, OwnProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}
        self._health_penalty = 0
        self._last_ack_at = now

    @property
    def due_at(self) -> Seconds:
        """When the next timeout of an own probe is due."""
        deadlines = (min(probe.indirect_at, probe.fail_at) for probe in self._own.values())
        return min(deadlines, default=math.inf)

    def add(self, target: HostName, now: Seconds, *, allow_indirect: bool) -> int:
        """Register an own probe of ``target`` and return its sequence number."""
        timeout_factor = 1 + self._health_penalty
        indirect_at = now + self._settings.ack_timeout_s * timeout_factor
        self._sequence += 1
        self._own[self._sequence] = OwnProbe(
            target,
            now,
            indirect_at if allow_indirect else math.inf,
            now + self._settings.probe_failed_s * timeout_factor,
        )
        return self._sequence

    def add_relayed(self, requester: HostName, sequence: int, now: Seconds) -> int:
        """Register a probe on behalf of ``requester`` and return its sequence number."""
        expires_at = now + self._settings.probe_failed_s
        self._sequence += 1
        self._relayed[self._sequence] = RelayedProbe(requester, sequence, expires_at)
        return self._sequence

    def acknowledge(self, sequence: int, now: Seconds) -> OwnProbe | None:
        """Remove and return the own probe with this sequence number, if it is pending."""
        probe = self._own.pop(sequence, None)
        if probe is not None:
            self._last_ack_at = now
            self._health_penalty = max(0, self._health_penalty - 1)
        return probe

    def acknowledge_relayed(self, sequence: int) -> RelayedProbe | None:
        """Remove and return the relayed probe with this sequence number, if it is pending."""
        return self._relayed.pop(sequence, None)

    def take_failed(self, now: Seconds) -> list[OwnProbe]:
        """Remove and return failed own probes; also remove expired relayed probes."""
        failed = [seq for seq, probe in self._own.items() if now >= probe.fail_at]
        for sequence in [seq for seq, rel in self._relayed.items() if now >= rel.expires_at]:
            del self._relayed[sequence]
        probes = [self._own.pop(sequence) for sequence in failed]
        if any(self._last_ack_at < probe.sent_at for probe in probes):
            penalty = self._health_penalty + 1
            self._health_penalty = min(penalty, self._settings.max_health_penalty)
        return probes

    def take_unacknowledged(self, now: Seconds) -> Iterator[tuple[int, OwnProbe]]:
        """Yield own probes that are due for indirect probes, each probe only once."""
        for sequence, probe in self._own.items():
            if now >= probe.indirect_at:
                probe.indirect_at = math.inf
                yield sequence, probe

    def clear_all(self) -> None:
        """Discard all probes after a process pause, as their timeouts prove nothing."""
        self._own.clear()
        self._relayed.clear()
        self._health_penalty = self._settings.max_health_penalty
