"""Intervals, timeouts and size limits of the failure detector."""

from __future__ import annotations

from typing import NamedTuple

from banyanline.core.types import Seconds


class MembershipSettings(NamedTuple):
    """Settings of the failure detector. Intervals are in seconds, sizes in bytes.

    Every ``ring_every``-th probe goes to the successor on the hash ring; 0 turns ring
    probes off. A crashed host whose predecessor on the ring is running is therefore suspected
    at most ``probe_interval_s * ring_every + probe_failed_s`` after the crash. It is declared
    dead at least ``suspicion_min_s`` and at most ``suspicion_max_s`` later.
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
    remove_unlisted_after_s: Seconds = 60.0
    lease_s: Seconds = 2.5
    dissemination_s: Seconds = 0.5
    clock_margin_s: Seconds = 0.1
    pause_threshold_s: Seconds = 0.5
    max_health_penalty: int = 2
    update_bytes: int = 160
    state_bytes: int = 1000
    state_replies: int = 3
    contact_entries: int = 64
    transmit_factor: int = 3

    @property
    def takeover_wait_s(self) -> Seconds:
        """Longest time for which a host's lease can stay fresh after its removal.

        The peer that removed the host may itself have been partitioned at that time. The
        host then either learns of its removal within ``dissemination_s``, or is partitioned
        by then and its lease expires ``lease_s`` later.
        """
        return self.lease_s + self.dissemination_s + self.clock_margin_s
