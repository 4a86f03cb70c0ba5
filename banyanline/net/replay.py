"""The sliding window that tells a replayed frame from a new one (RFC 4303, section 3.4.3)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.types import HostName

WINDOW_FRAMES = 4096
"""How far below the greatest counter a frame may still be taken."""

_WINDOW_MASK = (1 << WINDOW_FRAMES) - 1


class ReplayWindow:
    """The frames taken from one start of one sender.

    The ``run`` greatest counters were taken one after the other. Below them, bit
    ``i`` of ``taken`` tells whether the counter ``greatest - run - i`` was taken.
    """

    __slots__ = ("greatest", "latest_us", "run", "sender", "started_us", "taken")

    def __init__(self, sender: HostName, started_us: int) -> None:
        self.sender = sender
        self.started_us = started_us
        self.greatest = 0
        self.run = 0
        self.taken = 0
        self.latest_us = 0

    def take(self, counter: int, sealed_us: int) -> bool:
        """Take the counter, or return False if it was taken before or lies below the window."""
        if counter == self.greatest + 1:
            self.greatest = counter
            self.run += 1
        elif not self._take_out_of_order(counter):
            return False
        if sealed_us > self.latest_us:
            self.latest_us = sealed_us
        return True

    def _take_out_of_order(self, counter: int) -> bool:
        self._fold_run()
        ahead = counter - self.greatest
        if ahead > 0:
            shifted = self.taken << ahead if ahead < WINDOW_FRAMES else 0
            self.taken = shifted & _WINDOW_MASK | 1
            self.greatest = counter
            return True
        if -ahead >= WINDOW_FRAMES or self.taken >> -ahead & 1:
            return False
        self.taken |= 1 << -ahead
        return True

    def _fold_run(self) -> None:
        """Write the run into ``taken``."""
        run = min(self.run, WINDOW_FRAMES)
        self.taken = (self.taken << run | (1 << run) - 1) & _WINDOW_MASK
        self.run = 0
