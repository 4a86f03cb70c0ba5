"""Error responses that a balancer itself sends to CoAP callers.

A diagnostic payload that starts with ``not-run:`` guarantees that no upstream ran the
request. One that starts with ``unknown:`` guarantees nothing: an upstream may or may
not have run it. The codes are 5.03 with Max-Age for the first and 5.04 for the second
(RFC 7252, section 5.9.3).
"""

from __future__ import annotations

from enum import StrEnum

NOT_RUN_PREFIX = "not-run:"
UNKNOWN_PREFIX = "unknown:"

DEADLINE_OPTION = 65020
"""Number of the elective, safe-to-forward, NoCacheKey deadline option (RFC 7252, 5.4.6).

Its value is the time left for the upstream to respond, in milliseconds, as a CoAP uint.
The number is from the range for experimental use.
"""


class RefusalReason(StrEnum):
    """Why a request was refused before any upstream ran it."""

    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    UPSTREAM_SHED = "upstream_shed"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    LEDGER_FULL = "ledger_full"
    FLOW_TABLE_FULL = "flow_table_full"
    CONNECTION_LIMIT = "connection_limit"
    STOPPING = "stopping"
    OWNER_MOVED = "owner_moved"
    CANCELLED = "cancelled"


class UnknownReason(StrEnum):
    """Why the outcome of a request is unknown."""

    UPSTREAM_TIMEOUT = "upstream_timeout"
    OWNER_LOST = "owner_lost"
    HOME_LOST = "home_lost"
    WITNESS_UNREACHABLE = "witness_unreachable"
    NO_QUORUM = "no_quorum"
    DATA_CENTRE_OUT = "data_centre_out"
