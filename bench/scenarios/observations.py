"""Observations of the callers: one record per request and per flow."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """The outcome of a request as its caller saw it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    NO_ANSWER = "no_answer"


class FlowEnd(StrEnum):
    """The reason for the end of a flow as its caller saw it."""

    CLOSED = "closed"
    SILENT = "silent"
    MOVED = "moved"
    REFUSED = "refused"


class RequestRecord(NamedTuple):
    """One request from its first datagram to its end; times are of the monotonic clock."""

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
        """Time from the first datagram to the response."""
        return self.finished_at - self.started_at

    @property
    def is_in_time(self) -> bool:
        """Whether the complete response arrived within the caller's patience."""
        return self.outcome is Outcome.ANSWERED and self.latency_s <= self.patience_s


class FlowRecord(NamedTuple):
    """One established flow; ``ended_at`` is when its caller last received data of it."""

    key: str
    service: str
    upstream: str
    opened_at: float
    ended_at: float
    end: FlowEnd


class Observations:
    """The observations of all callers of one run."""

    def __init__(self) -> None:
        self.requests: list[RequestRecord] = []
        self.flows: list[FlowRecord] = []
        self.misdelivered = 0
        self.late_answers = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0


class Echo(NamedTuple):
    """Parsed response of a simulated upstream: the request it belongs to and its sender."""

    key: str
    service: str
    upstream: str
    boot: str
    extra: str = ""


def parse_echo(payload: bytes) -> Echo | None:
    """Parse a response payload; None if no simulated upstream has sent it.

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
