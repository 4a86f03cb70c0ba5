"""Failure detection of upstreams, from unanswered packets and active health checks.

A caller that gets no response retransmits its packet, and any host that carries the flow
sees the retransmission. There are two levels of failure, which differ in the cost of a
false positive:

- An upstream that left one packet unanswered is *suspect*. New flows avoid it,
  which costs nothing if the suspicion is wrong.
- An upstream that accepts no TCP connection when it is checked, while another upstream
  does (``check_evidence.py``), is *lost* to this host.
  Its flows on routes whose requests may be repeated are reset at their next packet, and
  new flows avoid it until a connection succeeds. Unanswered packets alone are no proof:
  the flow may continue through another host, so that its responses are not seen here, or
  the upstream may be slow.

A response is observed as a packet in which the caller acknowledges new data. Each response
clears both states.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

SUSPICION_S = 4.0
"""How long a suspect upstream is avoided; after that it is probed with one flow at a time."""

LOST_FOR_S = 1.5
"""How long open flows are reset after a failed check; the upstream may be reachable again."""

CHECK_INTERVAL_S = 1.0
"""Minimum time between the starts of two checks of an upstream."""

GONE_AFTER_S = 2.5
"""A removed entry has not merely lapsed after this time: lapsed entries are back within 2 s."""


class CheckResult(StrEnum):
    """The result of a health check, which attempts to connect to an upstream.

    ``INCONCLUSIVE`` and ``UNKNOWN`` say nothing about the upstream: no other upstream
    answered meanwhile either, so that the cause may be this host; or this host could not
    make the attempt.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    INCONCLUSIVE = "inconclusive"
    UNKNOWN = "unknown"


class FailureEvidence(NamedTuple):
    """Evidence of an upstream's failure, with ages in seconds, for logs and admin pages.

    ``silent_for_s`` counts from the first unanswered packet, ``retransmission_age_s`` from
    the latest retransmission and ``response_age_s`` from the latest response.
    """

    open_flows: int
    opening_flows: int
    silent_for_s: Seconds
    retransmission_age_s: Seconds
    response_age_s: Seconds
    failed_check_age_s: Seconds


class FailureDetector:
    """Failure detector of one upstream.

    Tracks the flows with unanswered packets since the upstream's last response, and the
    latest health check. Flows are identified by any hashable object.
    """

    __slots__ = (
        "_check_began_at",
        "_check_failed_at",
        "_responded_at",
        "_retransmitted_at",
        "_silent_since",
        "_unanswered_open",
        "_unanswered_opening",
    )

    def __init__(self) -> None:
        self._responded_at = float("-inf")
        self._unanswered_open: set[Hashable] = set()
        self._unanswered_opening: set[Hashable] = set()
        self.clear()

    @property
    def responded_at(self) -> Seconds:
        """When the latest response was observed."""
        return self._responded_at

    @property
    def has_failed_check(self) -> bool:
        """Whether the latest conclusive check failed and no response was observed since."""
        return self._check_failed_at > float("-inf")

    def silent_for_s(self, now: Seconds) -> Seconds:
        """Return the time since the first unanswered packet, 0 if there is none."""
        return max(0.0, now - self._silent_since)

    def clear(self) -> None:
        """Discard the evidence of failure."""
        self._retransmitted_at = float("-inf")
        self._silent_since = float("inf")
        self._check_began_at = float("-inf")
        self._check_failed_at = float("-inf")
        self._unanswered_open.clear()
        self._unanswered_opening.clear()

    def on_response(self, now: Seconds) -> None:
        """Record a response, which clears the evidence of failure."""
        self._responded_at = now
        if self._unanswered_open or self._unanswered_opening or self.has_failed_check:
            self.clear()

    def on_retransmission(
        self, flow: Hashable, sent_at: Seconds, now: Seconds, *, is_open: bool
    ) -> None:
        """Record that a packet of a flow, first sent at ``sent_at``, was retransmitted."""
        if sent_at <= self._responded_at:
            # The upstream has answered other packets since: this one may just have been lost.
            sent_at = now
        self._retransmitted_at = now
        self._silent_since = min(self._silent_since, sent_at)
        (self._unanswered_open if is_open else self._unanswered_opening).add(flow)

    def begin_check(self, now: Seconds) -> bool:
        """Begin a health check, unless one began recently; return whether it has begun."""
        if now - self._check_began_at < CHECK_INTERVAL_S:
            return False
        self._check_began_at = now
        return True

    def on_check(self, result: CheckResult, began_at: Seconds, now: Seconds) -> None:
        """Record the result of the check that began at ``began_at``.

        A result is stale, and ignored, if a response was observed or a new incarnation
        registered since then.
        """
        if began_at != self._check_began_at or self._responded_at >= began_at:
            return
        if result is CheckResult.ANSWERED:
            self._check_failed_at = float("-inf")
        elif result is CheckResult.UNANSWERED:
            self._check_failed_at = now

    def report(self, now: Seconds) -> FailureEvidence:
        """Return the current evidence; the age of an event that never happened is infinite."""
        return FailureEvidence(
            len(self._unanswered_open),
            len(self._unanswered_opening),
            round(self.silent_for_s(now), 3),
            round(now - self._retransmitted_at, 3),
            round(now - self._responded_at, 3),
            round(now - self._check_failed_at, 3),
        )

    def is_suspect(self, now: Seconds, *, has_pending_open: bool) -> bool:
        """Whether new flows should avoid the upstream.

        ``has_pending_open`` is True if an opening packet is waiting for its confirmation.
        """
        if self.has_failed_check:
            return True
        if not (self._unanswered_open or self._unanswered_opening):
            return False
        return now - self._retransmitted_at < SUSPICION_S or has_pending_open

    def is_lost(self, now: Seconds) -> bool:
        """Whether a check failed within the last ``LOST_FOR_S``, without a response since."""
        return now - self._check_failed_at < LOST_FOR_S


def is_gone(upstream: Upstream, now: Seconds) -> bool:
    """Whether an upstream has terminated: no entry for ``GONE_AFTER_S``, no response since."""
    removed_at = upstream.removed_at
    if removed_at is None or now - removed_at < GONE_AFTER_S:
        return False
    return upstream.is_silent_since_removal
