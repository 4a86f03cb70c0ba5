"""One request as its home keeps it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from banyanline.core.coap import Request
from banyanline.core.messages import NO_BALLOT, Ballot, FlowKey, RequestKey
from banyanline.core.types import HostName, Seconds, UpstreamName


class Phase(Enum):
    """Where a request stands at its home."""

    WAITING_FOR_LEASE = "waiting_for_lease"
    CLAIMING = "claiming"
    WAITING_TO_CLAIM = "waiting_to_claim"
    FINDING_TRANSFER = "finding_transfer"
    DISPATCHED = "dispatched"
    WAITING_TO_RETRY = "waiting_to_retry"
    ANSWERED = "answered"
    SUPERSEDED = "superseded"


class Refusal(NamedTuple):
    """A refusal that a home is about to give, and when another try is worth it."""

    reason: str
    retry_after_s: float


class Entry:
    """A request from its first datagram until its lifetime ends.

    ``is_unseen`` tells that no other home can have sent the request to an upstream.
    ``may_have_run`` is set once a dispatch of this home ended with an unknown
    outcome. Only with the first and without the second is *not run* a true answer.
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
        "is_unseen",
        "key",
        "may_have_run",
        "owner",
        "owner_incarnation",
        "phase",
        "pinned",
        "refusal",
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
        self.is_unseen = False
        self.is_joined = False
        self.may_have_run = False
        self.pinned: UpstreamName | None = None
        self.refusal: Refusal | None = None
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
        """Whether nothing more will happen to the request here."""
        return self.phase is Phase.ANSWERED or self.phase is Phase.SUPERSEDED

    @property
    def may_promise_not_run(self) -> bool:
        """Whether *not run* would be a true answer."""
        return self.is_unseen and not self.may_have_run

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may reach upstreams more than once."""
        return self.request is not None and self.request.idempotent

    @property
    def is_registration(self) -> bool:
        """Whether the request asks for a stream."""
        return self.request is not None and self.request.observe == 0
