"""Distinguishes a failed upstream from a slow link or processor of this host.

A connection attempt without an answer may be waiting in this host's own queues. Packets of
one host leave and arrive in order: if one upstream answers, others have had the time to answer
attempts that began earlier. A health check therefore fails only if another upstream, the
*reference*, has answered an attempt that began no earlier. Without such an answer the check
makes further attempts, and is inconclusive after the last one.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from banyanline.core.steering.failure_detection import CheckResult
from banyanline.core.steering.upstreams import is_suspect

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import Seconds

MIN_ATTEMPTS = 2
"""Unanswered attempts before a check may fail, as the packets of one may have been lost."""

MAX_ATTEMPTS = 6
"""Attempts after which a check is inconclusive; it then ends before the next one is due."""

ROUND_TRIP_MARGIN_S = 0.05
"""Largest expected difference between the round trips to two working upstreams."""

EVIDENCE_LIFETIME_S = 2.0
"""How long answers and references are kept; longer than a check takes."""


class Answer(NamedTuple):
    """An attempt to connect to an upstream that was answered."""

    upstream: Upstream
    began_at: Seconds
    answered_at: Seconds


class ReferenceAnswers:
    """Recent answers of upstreams, which show that this host's link and processor work.

    References for health checks are chosen among ``upstreams``, those that this host knows.
    """

    def __init__(self, upstreams: Iterable[Upstream]) -> None:
        self._upstreams = upstreams
        self._answers: deque[Answer] = deque()
        self._references: dict[Upstream, Seconds] = {}

    def on_answer(self, upstream: Upstream, began_at: Seconds, now: Seconds) -> None:
        """Record that the attempt that began at ``began_at`` was answered."""
        while self._answers and now - self._answers[0].answered_at > EVIDENCE_LIFETIME_S:
            self._answers.popleft()
        self._answers.append(Answer(upstream, began_at, now))
        self._references.pop(upstream, None)

    def answer_since(
        self, began_at: Seconds, until: Seconds, *, apart_from: Upstream
    ) -> Answer | None:
        """Return another upstream's answer that arrived by ``until``, or None.

        Its attempt began at ``began_at`` or later.
        """
        return next(
            (
                answer
                for answer in self._answers
                if answer.upstream is not apart_from
                and answer.began_at >= began_at
                and answer.answered_at <= until
            ),
            None,
        )

    def has_other_upstream(self, upstream: Upstream) -> bool:
        """Whether this host knows another upstream with a registration entry."""
        return any(other is not upstream and other.removed_at is None for other in self._upstreams)

    def choose_reference(self, checked: Collection[Upstream], now: Seconds) -> Upstream | None:
        """Return the upstream that is most likely to answer now, or None.

        Upstreams that are being checked are excluded, and so are references whose latest
        attempt has had no answer.
        """
        self._references = {
            upstream: began_at
            for upstream, began_at in self._references.items()
            if now - began_at < EVIDENCE_LIFETIME_S
        }
        candidates = [
            upstream
            for upstream in self._upstreams
            if upstream.removed_at is None
            and upstream not in checked
            and upstream not in self._references
        ]
        if not candidates:
            return None
        chosen = max(candidates, key=lambda upstream: _reference_rank(upstream, now))
        self._references[chosen] = now
        return chosen


class HealthCheck:
    """The connection attempts of one health check, and its result.

    All attempts stay open until the check ends; the first answer ends it.
    """

    def __init__(self, upstream: Upstream, reference_answers: ReferenceAnswers) -> None:
        self._upstream = upstream
        self._reference_answers = reference_answers
        self._began_at: list[Seconds] = []
        self._refused = 0
        self._reference: Upstream | None = None

    @property
    def upstream(self) -> Upstream:
        """The upstream that is checked."""
        return self._upstream

    @property
    def attempts(self) -> int:
        """Number of attempts so far."""
        return len(self._began_at)

    @property
    def reference(self) -> Upstream | None:
        """The upstream whose answer showed that the checked one has failed, or None."""
        return self._reference

    def begin_attempt(self, now: Seconds) -> None:
        """Record that an attempt begins."""
        self._began_at.append(now)

    def on_refused(self) -> None:
        """Record that an attempt was refused, by the upstream or by the network."""
        self._refused += 1

    def result(self, now: Seconds) -> CheckResult | None:
        """Return the result without an answer until ``now``, or None to make another attempt."""
        if self.attempts < MIN_ATTEMPTS:
            return None
        is_refused = self._refused == self.attempts
        if is_refused and not self._reference_answers.has_other_upstream(self._upstream):
            return CheckResult.UNANSWERED
        until = now if is_refused else now - ROUND_TRIP_MARGIN_S
        answer = self._reference_answers.answer_since(
            self._began_at[MIN_ATTEMPTS - 1], until, apart_from=self._upstream
        )
        if answer is not None:
            self._reference = answer.upstream
            return CheckResult.UNANSWERED
        return CheckResult.INCONCLUSIVE if self.attempts >= MAX_ATTEMPTS else None


def _reference_rank(upstream: Upstream, now: Seconds) -> tuple[bool, bool, Seconds]:
    return (
        not is_suspect(upstream, now),
        upstream.accepts_flows,
        upstream.failure_detector.responded_at,
    )
