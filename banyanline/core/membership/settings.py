"""Intervals and bounds of the failure detector."""

from __future__ import annotations

from typing import NamedTuple

from banyanline.core.types import Seconds


class MembershipSettings(NamedTuple):
    """Intervals in seconds, sizes in bytes.

    One probe in ``ring_every`` goes to the successor on the ring, none if it is 0. A
    host that has crashed is therefore suspected at most ``probe_interval_s * ring_every
    + probe_failed_s`` after the crash if its predecessor runs. It is declared dead at
    least ``suspicion_min_s`` and at most ``suspicion_max_s`` later.
    """

    probe_interval_s: Seconds = 0.25
    ring_every: int = 2
    ack_timeout_s: Seconds = 0.15
    probe_failed_s: Seconds = 0.4
    indirect_probes: int = 3
    suspicion_min_s: Seconds = 0.5
    suspicion_max_s: Seconds = 0.8
    suspicion_confirmations: int = 2
    reconnect_interval_s: Seconds = 1.0
    forget_after_s: Seconds = 60.0
    lease_s: Seconds = 2.5
    spread_s: Seconds = 0.5
    clock_margin_s: Seconds = 0.1
    stall_s: Seconds = 0.5
    max_health_penalty: int = 2
    update_bytes: int = 160
    state_bytes: int = 1000
    state_answers: int = 3
    contact_entries: int = 64
    transmit_factor: int = 3

    @property
    def takeover_wait_s(self) -> Seconds:
        """How long after a host's removal its lease may still be fresh.

        The peer that removed it can have been cut off itself at that time. The host is then
        told of its removal within ``spread_s``, or is cut off by then and has no lease
        ``lease_s`` later.
        """
        return self.lease_s + self.spread_s + self.clock_margin_s
