"""What unanswered packets tell of an upstream.

A caller that gets no answer sends its packet again, and any host that carries the
flow sees that. Two conclusions are drawn, at different prices:

- An upstream that left one packet unanswered is *suspect*. New flows avoid it,
  which costs nothing if the suspicion is wrong.
- An upstream that several flows have waited for, without a sign from any flow
  for a while, is *lost* to this host. Callers of its flows whose requests may be
  repeated are told so at once. A living, reachable upstream answers some flow
  within that time.

A sign is any packet whose caller acknowledges something new. It ends both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

SUSPICION_S = 4.0
"""How long an upstream that did not answer is avoided; then it gets one flow at a time."""

LOST_AFTER_S = 0.4
"""Silence after which an upstream may be lost: twice the first retransmission time."""

LOST_FLOWS = 2
"""Flows that must have repeated a packet, one of them an open flow."""

LOST_REPEATS = 2
"""Repeats of one open flow that weigh as much as those of ``LOST_FLOWS`` flows."""

LOST_FOR_S = 1.5
"""How long the conclusion holds without a new repeat; an upstream may become reachable again."""

GONE_AFTER_S = 2.5
"""Age of an entry's removal after which it is no lapse: those are back within 2 s."""


class Silence:
    """Unanswered packets of one upstream since its last sign of life."""

    __slots__ = ("doubted_at", "flows", "open_flows", "repeats", "sign_at", "since")

    def __init__(self) -> None:
        self.sign_at = float("-inf")
        self.clear()

    def clear(self) -> None:
        """Forget what was left unanswered."""
        self.doubted_at = float("-inf")
        self.since = float("inf")
        self.flows = 0
        self.open_flows = 0
        self.repeats = 0

    def on_sign(self, now: Seconds) -> None:
        """Take in a sign of life."""
        self.sign_at = now
        if self.flows:
            self.clear()

    def on_repeat(self, sent_at: Seconds, repeats: int, now: Seconds, *, is_open: bool) -> None:
        """Take in that a packet first sent at ``sent_at`` was repeated for the nth time."""
        if sent_at <= self.sign_at and repeats == 1:
            # The upstream has answered others since: the packet may just have been lost.
            sent_at = now
        self.doubted_at = now
        self.since = min(self.since, sent_at)
        if repeats == 1:
            self.flows += 1
            self.open_flows += is_open
        elif is_open:
            self.repeats = max(self.repeats, repeats)

    def is_suspect(self, now: Seconds, *, is_tried: bool) -> bool:
        """Whether new flows should avoid the upstream, ``is_tried`` if one waits for it now."""
        if not self.flows:
            return False
        return now - self.doubted_at < SUSPICION_S or is_tried

    def is_lost(self, now: Seconds) -> bool:
        """Whether open flows have no use of the upstream any more, as far as this host sees."""
        if now - self.doubted_at > LOST_FOR_S or now - self.since < LOST_AFTER_S:
            return False
        if self.repeats >= LOST_REPEATS:
            return True
        return self.flows >= LOST_FLOWS and self.open_flows > 0


def is_gone(upstream: Upstream, now: Seconds) -> bool:
    """Whether an upstream has certainly ended: no entry for long, and no sign since."""
    removed_at = upstream.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return upstream.silence.sign_at < removed_at
