"""Counts of what the core decided, by reason.

The core only adds to plain integers; the metrics copy them when they are read.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class DropReason(StrEnum):
    """Why a datagram or message was dropped without an answer."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    UNKNOWN_SERVICE = "unknown_service"
    NO_CONFIGURATION = "no_configuration"
    NO_HOME = "no_home"
    TOO_MANY_HOPS = "too_many_hops"
    STRAY_EMPTY = "stray_empty"
    STRAY_RESPONSE = "stray_response"
    LATE_ANSWER = "late_answer"
    LATE_RESULT = "late_result"
    STALE_NOTIFICATION = "stale_notification"
    UNKNOWN_STREAM = "unknown_stream"
    WRONG_SERVICE = "wrong_service"
    HELD_TOO_MANY = "held_too_many"
    FLOW_REFUSED = "flow_refused"
    NOT_OWNER = "not_owner"
    STANDING_BACK = "standing_back"


class RetryCause(StrEnum):
    """Why a request was sent to an upstream a second time, or to another one."""

    NOT_RUN = "not_run"
    OWNER_MOVED = "owner_moved"
    OWNER_LOST = "owner_lost"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    DATA_CENTRE_OUT = "data_centre_out"


class FlowEnd(StrEnum):
    """Why an open flow or stream came to its end."""

    IDLE = "idle"
    CALLER_LEFT = "caller_left"
    UPSTREAM_ENDED = "upstream_ended"
    DATA_CENTRE_OUT = "data_centre_out"
    UPSTREAM_REMOVED = "upstream_removed"
    SERVICE_REMOVED = "service_removed"
    REFUSED = "refused"
    RECOVERY_FAILED = "recovery_failed"


class Counters:
    """All counts of one balancer, by reason and, where it matters, by service."""

    def __init__(self) -> None:
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.unknown_outcomes: Counter[tuple[str, str]] = Counter()
        self.retries: Counter[tuple[str, str]] = Counter()
        self.drops: Counter[str] = Counter()
        self.flow_ends: Counter[tuple[str, str]] = Counter()
        self.answers: Counter[str] = Counter()
        self.duplicates: Counter[str] = Counter()
        self.claims: Counter[str] = Counter()
        self.recovered: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
