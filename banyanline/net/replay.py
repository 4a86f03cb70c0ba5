"""Sliding window that detects replayed frames (RFC 4303, section 3.4.3)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.types import HostName

WINDOW_FRAMES = 4096
"""Number of counters up to the highest one that the window covers; lower ones are rejected."""

_WINDOW_MASK = (1 << WINDOW_FRAMES) - 1


class ReplayWindow:
    """Tracks which counters were accepted from one sender since its process started.

    The ``run_length`` highest counters were accepted without a gap. Below them, bit ``i``
    of ``accepted_mask`` is set if the counter ``highest - run_length - i`` was accepted.
    """

    __slots__ = (
        "accepted_mask",
        "highest",
        "latest_sealed_us",
        "run_length",
        "sender",
        "started_us",
    )

    def __init__(self, sender: HostName, started_us: int) -> None:
        self.sender = sender
        self.started_us = started_us
        self.highest = 0
        self.run_length = 0
        self.accepted_mask = 0
        self.latest_sealed_us = 0

    def accept(self, counter: int, sealed_us: int) -> bool:
        """Accept a counter; return False if it was accepted before or is below the window."""
        if counter == self.highest + 1:
            self.highest = counter
            self.run_length += 1
        elif not self._accept_out_of_order(counter):
            return False
        if sealed_us > self.latest_sealed_us:
            self.latest_sealed_us = sealed_us
        return True

    def _accept_out_of_order(self, counter: int) -> bool:
        self._fold_run()
        ahead = counter - self.highest
        if ahead > 0:
            shifted = self.accepted_mask << ahead if ahead < WINDOW_FRAMES else 0
            self.accepted_mask = shifted & _WINDOW_MASK | 1
            self.highest = counter
            return True
        if -ahead >= WINDOW_FRAMES or self.accepted_mask >> -ahead & 1:
            return False
        self.accepted_mask |= 1 << -ahead
        return True

    def _fold_run(self) -> None:
        """Move the run of consecutive counters into ``accepted_mask``."""
        run_length = min(self.run_length, WINDOW_FRAMES)
        self.accepted_mask = (
            self.accepted_mask << run_length | (1 << run_length) - 1
        ) & _WINDOW_MASK
        self.run_length = 0
