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

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

SUSPICION_S = 4.0
"""How long an upstream that did not answer is avoided; then it gets one flow at a time."""

LOST_AFTER_S = 0.4
"""Silence after which an upstream may be lost: twice the first retransmission time."""

LOST_FLOWS = 2
"""Flows that must have repeated a packet, one of them an open flow."""

LOST_FOR_S = 1.5
"""How long the conclusion holds without a new repeat; an upstream may become reachable again."""

GONE_AFTER_S = 2.5
"""Age of an entry's removal after which it is no lapse: those are back within 2 s."""


class SilenceReport(NamedTuple):
    """The evidence against an upstream, with ages in seconds, for logs and pages."""

    open_flows: int
    opening_flows: int
    silent_for_s: Seconds
    doubt_age_s: Seconds
    sign_age_s: Seconds


class Silence:
    """Unanswered packets of one upstream since its last sign of life.

    Flows are any hashable objects that tell them apart.
    """

    __slots__ = ("_doubted_at", "_open", "_opening", "_sign_at", "_since")

    def __init__(self) -> None:
        self._sign_at = float("-inf")
        self._open: set[Hashable] = set()
        self._opening: set[Hashable] = set()
        self.clear()

    @property
    def sign_at(self) -> Seconds:
        """When the last sign of life came."""
        return self._sign_at

    def clear(self) -> None:
        """Forget what was left unanswered."""
        self._doubted_at = float("-inf")
        self._since = float("inf")
        self._open.clear()
        self._opening.clear()

    def on_sign(self, now: Seconds) -> None:
        """Take in a sign of life."""
        self._sign_at = now
        if self._open or self._opening:
            self.clear()

    def on_repeat(self, flow: Hashable, sent_at: Seconds, now: Seconds, *, is_open: bool) -> None:
        """Take in that a flow's packet, first sent at ``sent_at``, was repeated."""
        if sent_at <= self._sign_at:
            # The upstream has answered others since: the packet may just have been lost.
            sent_at = now
        self._doubted_at = now
        self._since = min(self._since, sent_at)
        (self._open if is_open else self._opening).add(flow)

    def report(self, now: Seconds) -> SilenceReport:
        """Return the evidence as it stands; an age without an event is infinite."""
        return SilenceReport(
            len(self._open),
            len(self._opening),
            round(max(0.0, now - self._since), 3),
            round(now - self._doubted_at, 3),
            round(now - self._sign_at, 3),
        )

    def is_suspect(self, now: Seconds, *, is_tried: bool) -> bool:
        """Whether new flows should avoid the upstream, ``is_tried`` if one waits for it now."""
        if not (self._open or self._opening):
            return False
        return now - self._doubted_at < SUSPICION_S or is_tried

    def is_lost(self, now: Seconds) -> bool:
        """Whether open flows have no use of the upstream any more, as far as this host sees."""
        if now - self._doubted_at > LOST_FOR_S or now - self._since < LOST_AFTER_S:
            return False
        return bool(self._open) and len(self._open | self._opening) >= LOST_FLOWS


def is_gone(upstream: Upstream, now: Seconds) -> bool:
    """Whether an upstream has certainly ended: no entry for long, and no sign since."""
    removed_at = upstream.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return upstream.silence.sign_at < removed_at
