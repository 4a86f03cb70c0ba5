"""What unanswered packets and connection checks tell of an upstream.

A caller that gets no answer sends its packet again, and any host that carries the
flow sees that. Two conclusions are drawn, at different prices:

- An upstream that left one packet unanswered is *suspect*. New flows avoid it,
  which costs nothing if the suspicion is wrong.
- An upstream in doubt that takes no TCP connection is *lost* to this host. Callers
  of its flows whose requests may be repeated are told so at once, and new flows avoid
  it until a connection succeeds. Packets alone do not prove it: the answers of a flow
  that another host carries by now are not seen here, and an upstream may be slow.

A sign is any packet whose caller acknowledges something new. It ends both.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

SUSPICION_S = 4.0
"""How long an upstream that did not answer is avoided; then it gets one flow at a time."""

LOST_FOR_S = 1.5
"""How long a failed check counts against open flows; an upstream may be reachable again."""

CHECK_PAUSE_S = 1.0
"""Time from one check of an upstream to the next."""

GONE_AFTER_S = 2.5
"""Age of an entry's removal after which it is no lapse: those are back within 2 s."""


class CheckResult(StrEnum):
    """What became of an attempt to connect to an upstream.

    ``UNKNOWN`` says nothing of the upstream: this host was too slow, or has no way out.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    UNKNOWN = "unknown"


class SilenceReport(NamedTuple):
    """The evidence against an upstream, with ages in seconds, for logs and pages."""

    open_flows: int
    opening_flows: int
    silent_for_s: Seconds
    doubt_age_s: Seconds
    sign_age_s: Seconds
    failed_check_age_s: Seconds


class Silence:
    """What one upstream left unanswered since its last sign of life.

    Flows are any hashable objects that tell them apart.
    """

    __slots__ = (
        "_checked_at",
        "_doubted_at",
        "_failed_at",
        "_open",
        "_opening",
        "_sign_at",
        "_since",
    )

    def __init__(self) -> None:
        self._sign_at = float("-inf")
        self._open: set[Hashable] = set()
        self._opening: set[Hashable] = set()
        self.clear()

    @property
    def sign_at(self) -> Seconds:
        """When the last sign of life came."""
        return self._sign_at

    @property
    def has_failed(self) -> bool:
        """Whether the last check failed, and there was no sign since."""
        return self._failed_at > float("-inf")

    def clear(self) -> None:
        """Forget what was left unanswered."""
        self._doubted_at = float("-inf")
        self._since = float("inf")
        self._checked_at = float("-inf")
        self._failed_at = float("-inf")
        self._open.clear()
        self._opening.clear()

    def on_sign(self, now: Seconds) -> None:
        """Take in a sign of life."""
        self._sign_at = now
        if self._open or self._opening or self.has_failed:
            self.clear()

    def on_repeat(self, flow: Hashable, sent_at: Seconds, now: Seconds, *, is_open: bool) -> None:
        """Take in that a flow's packet, first sent at ``sent_at``, was repeated."""
        if sent_at <= self._sign_at:
            # The upstream has answered others since: the packet may just have been lost.
            sent_at = now
        self._doubted_at = now
        self._since = min(self._since, sent_at)
        (self._open if is_open else self._opening).add(flow)

    def begin_check(self, now: Seconds) -> bool:
        """Whether a connection should be tried now; if so, the check has begun."""
        if now - self._checked_at < CHECK_PAUSE_S:
            return False
        self._checked_at = now
        return True

    def on_check(self, result: CheckResult, began_at: Seconds, now: Seconds) -> None:
        """Take in the result of the check that began at ``began_at``.

        It is out of date if there was a sign since, or a new incarnation.
        """
        if began_at != self._checked_at or self._sign_at >= began_at:
            return
        if result is CheckResult.ANSWERED:
            self._failed_at = float("-inf")
        elif result is CheckResult.UNANSWERED:
            self._failed_at = now

    def report(self, now: Seconds) -> SilenceReport:
        """Return the evidence as it stands; an age without an event is infinite."""
        return SilenceReport(
            len(self._open),
            len(self._opening),
            round(max(0.0, now - self._since), 3),
            round(now - self._doubted_at, 3),
            round(now - self._sign_at, 3),
            round(now - self._failed_at, 3),
        )

    def is_suspect(self, now: Seconds, *, is_tried: bool) -> bool:
        """Whether new flows should avoid the upstream, ``is_tried`` if one waits for it now."""
        if self.has_failed:
            return True
        if not (self._open or self._opening):
            return False
        return now - self._doubted_at < SUSPICION_S or is_tried

    def is_lost(self, now: Seconds) -> bool:
        """Whether open flows have no use of the upstream any more, as far as this host sees."""
        return now - self._failed_at < LOST_FOR_S


def is_gone(upstream: Upstream, now: Seconds) -> bool:
    """Whether an upstream has certainly ended: no entry for long, and no sign since."""
    removed_at = upstream.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return upstream.is_unheard_since_removal
