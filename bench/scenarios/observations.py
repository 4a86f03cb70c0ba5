"""What callers saw: one record for each request and each flow."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    NO_ANSWER = "no_answer"


class FlowEnd(StrEnum):
    """How a flow ended for its caller."""

    CLOSED = "closed"
    SILENT = "silent"
    MOVED = "moved"
    REFUSED = "refused"


class RequestRecord(NamedTuple):
    """One request from its first datagram to its end, in seconds of the monotonic clock."""

    key: str
    kind: str
    service: str
    started_at: float
    finished_at: float
    patience_s: float
    outcome: Outcome
    detail: str = ""

    @property
    def latency_s(self) -> float:
        """From the first datagram to the answer."""
        return self.finished_at - self.started_at

    @property
    def is_in_time(self) -> bool:
        """Whether the whole answer came within the caller's patience."""
        return self.outcome is Outcome.ANSWERED and self.latency_s <= self.patience_s


class FlowRecord(NamedTuple):
    """One established flow; ``ended_at`` is when its caller last heard of it."""

    key: str
    service: str
    upstream: str
    opened_at: float
    ended_at: float
    end: FlowEnd


class Observations:
    """All that the callers of one run saw."""

    def __init__(self) -> None:
        self.requests: list[RequestRecord] = []
        self.flows: list[FlowRecord] = []
        self.misdelivered = 0
        self.late_answers = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0


class Echo(NamedTuple):
    """The words of an upstream's answer: whose request it was and who answered it."""

    key: str
    service: str
    upstream: str
    boot: str
    extra: str = ""


def parse_echo(payload: bytes) -> Echo | None:
    """Return the words of an answer, or None when it is none of a stand-in's.

    >>> parse_echo(b"k1 orders orders-1 orders-1-1 7").extra
    '7'
    >>> parse_echo(b"nonsense") is None
    True
    """
    words = payload.decode("utf-8", "replace").split(" ")
    if len(words) < 4:
        return None
    key, service, upstream, boot = words[:4]
    return Echo(key, service, upstream, boot, " ".join(words[4:]))
