"""State of one request at its home."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from banyanline.core.coap import Request
from banyanline.core.messages import NO_BALLOT, Ballot, FlowKey, RequestKey
from banyanline.core.types import HostName, Seconds, UpstreamName


class Phase(Enum):
    """Phase of a request at its home."""

    WAITING_FOR_LEASE = "waiting_for_lease"
    CLAIMING = "claiming"
    WAITING_TO_CLAIM = "waiting_to_claim"
    FINDING_TRANSFER = "finding_transfer"
    DISPATCHED = "dispatched"
    WAITING_TO_RETRY = "waiting_to_retry"
    ANSWERED = "answered"
    SUPERSEDED = "superseded"


class PendingRefusal(NamedTuple):
    """A refusal that awaits a claim, and the retry delay to report to the caller."""

    reason: str
    retry_after_s: float


class RequestEntry:
    """State of a request from its first datagram until the request lifetime ends.

    ``is_sole_dispatcher`` means that no other home can have dispatched the request to an
    upstream. ``may_have_run`` is set when a dispatch by this home ends with an unknown
    outcome. *Not run* is a correct response only if the first is true and the second
    false. ``is_joined`` means that this home awaits the outcome of an earlier home's
    dispatch. ``pinned`` is the upstream that the request must be sent to, if any.
    """

    __slots__ = (
        "answer",
        "arrived_at",
        "attempt",
        "ballot",
        "deadline",
        "excluded",
        "flow",
        "hash",
        "is_joined",
        "is_sole_dispatcher",
        "key",
        "may_have_run",
        "owner",
        "owner_incarnation",
        "pending_refusal",
        "phase",
        "pinned",
        "request",
        "resends",
        "serial",
        "upstream",
    )

    def __init__(
        self, key: RequestKey, flow: FlowKey, flow_hash: int, request: Request, now: Seconds
    ) -> None:
        self.key = key
        self.flow = flow
        self.hash = flow_hash
        self.request: Request | None = request
        self.arrived_at = now
        self.deadline = now
        self.phase = Phase.WAITING_FOR_LEASE
        self.ballot: Ballot = NO_BALLOT
        self.is_sole_dispatcher = False
        self.is_joined = False
        self.may_have_run = False
        self.pinned: UpstreamName | None = None
        self.pending_refusal: PendingRefusal | None = None
        self.upstream: UpstreamName = ""
        self.owner: HostName = ""
        self.owner_incarnation = 0
        self.serial = 0
        self.attempt = 0
        self.resends = 0
        self.excluded: frozenset[UpstreamName] = frozenset()
        self.answer: bytes | None = None

    @property
    def is_final(self) -> bool:
        """Whether this home has finished the request."""
        return self.phase is Phase.ANSWERED or self.phase is Phase.SUPERSEDED

    @property
    def can_guarantee_not_run(self) -> bool:
        """Whether it is certain that no upstream ran the request."""
        return self.is_sole_dispatcher and not self.may_have_run

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be dispatched to upstreams more than once."""
        return self.request is not None and self.request.idempotent

    @property
    def is_registration(self) -> bool:
        """Whether the request registers a stream (Observe 0)."""
        return self.request is not None and self.request.observe == 0
