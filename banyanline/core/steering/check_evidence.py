"""Tells an upstream that is lost from a host whose own link or processor is slow.

An attempt to connect that gets no answer in time may have waited in this host's own queues.
Packets of one host leave and arrive in order, so the answer of one upstream shows that the
attempts at others that began before it would have been answered too. A health check
therefore fails only if another upstream, the *reference*, has answered an attempt that began
no earlier. Without such an answer the check goes on, and at last it is inconclusive.
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
"""Attempts without an answer that a failure takes, as one may have been lost on the way."""

MAX_ATTEMPTS = 6
"""Attempts after which a check is inconclusive; they fit into the interval between checks."""

DISTANCE_MARGIN_S = 0.05
"""By how much the round trips to two working upstreams may differ."""

EVIDENCE_LIFETIME_S = 2.0
"""How long answers and references are kept, longer than any check."""


class Answer(NamedTuple):
    """An attempt to connect to an upstream that was answered."""

    upstream: Upstream
    began_at: Seconds
    answered_at: Seconds


class HostPath:
    """Answers that show when this host's own link and processor worked.

    ``upstreams`` are those known to the host; references are chosen among them.
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
        """Return an answer of another upstream, begun and received between the two times."""
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

    def knows_other(self, upstream: Upstream) -> bool:
        """Whether the host knows another upstream that has an entry."""
        return any(other is not upstream and other.removed_at is None for other in self._upstreams)

    def choose_reference(self, checked: Collection[Upstream], now: Seconds) -> Upstream | None:
        """Return the upstream that most probably answers now, or None.

        Excluded are upstreams that are being checked, and references that left an attempt
        without an answer.
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


class CheckTrial:
    """The attempts of one health check, and what they prove.

    An attempt stays open until the check ends, which it does when one is answered.
    """

    def __init__(self, upstream: Upstream, path: HostPath) -> None:
        self._upstream = upstream
        self._path = path
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
        """The upstream whose answer proved the failure."""
        return self._reference

    def begin_attempt(self, now: Seconds) -> None:
        """Record that an attempt begins."""
        self._began_at.append(now)

    def on_refused(self) -> None:
        """Record that an attempt was refused, by the upstream or by the network."""
        self._refused += 1

    def result(self, now: Seconds) -> CheckResult | None:
        """Return the result if no attempt was answered until ``now``; None to go on."""
        if self.attempts < MIN_ATTEMPTS:
            return None
        is_refused = self._refused == self.attempts
        if is_refused and not self._path.knows_other(self._upstream):
            return CheckResult.UNANSWERED
        until = now if is_refused else now - DISTANCE_MARGIN_S
        answer = self._path.answer_since(
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
