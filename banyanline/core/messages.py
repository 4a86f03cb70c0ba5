"""Messages between balancers, as msgspec structs with one tag each.

They are encoded as MessagePack arrays inside sealed frames. Membership messages are
defined in :mod:`banyanline.core.membership`; this module has those of the data path
and of the recovery and handover of flows and requests.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

import msgspec

from banyanline.core.error_responses import RefusalReason
from banyanline.core.gate import GateState, LoadSnapshot
from banyanline.core.types import HostName, ServiceName, UpstreamName


class RequestKey(NamedTuple):
    """Uniquely identifies a caller's CoAP request (RFC 7252, 4.2)."""

    service: ServiceName
    caller_ip: str
    caller_port: int
    message_id: int
    token: bytes


class StreamKey(NamedTuple):
    """Uniquely identifies a caller's CoAP observation (RFC 7641, 1.2)."""

    service: ServiceName
    caller_ip: str
    caller_port: int
    token: bytes


class FlowKey(NamedTuple):
    """A flow: one caller endpoint that sends to one service."""

    service: ServiceName
    caller_ip: str
    caller_port: int


class Ballot(NamedTuple):
    """Orders the claims on one request key; a later claim has the higher ballot.

    ``Ballot(0, "")`` is sent without a claim, by a home that has held the slot for
    longer than the request lifetime.
    """

    wall_ms: int
    home: HostName


NO_BALLOT = Ballot(0, "")


class LoadReport(NamedTuple):
    """The load of one upstream as its owner sees it; piggybacked on data-path replies."""

    upstream: UpstreamName
    load: LoadSnapshot


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages, which are immutable and encoded as arrays."""


class ToHome(_Message, frozen=True, tag="h"):
    """A caller's datagram, forwarded from the ingress to the flow's home."""

    flow: FlowKey
    payload: bytes
    hops: int


class Dispatch(_Message, frozen=True, tag="d"):
    """A request, sent from its home to the owner of the chosen upstream.

    ``established`` is set if the request belongs to a stream or a transfer that the
    upstream has begun. With ``join`` the home asks only for the outcome of a dispatch
    by a previous home; the owner does not start the request.

    ``owner_incarnation`` is the incarnation of the owner that the home knew when it
    first sent the attempt. An owner process that started later cannot know whether
    its predecessor ran the request.
    """

    serial: int
    owner_incarnation: int
    key: RequestKey
    upstream: UpstreamName
    remaining_ms: int
    ballot: Ballot
    attempt: int
    idempotent: bool
    stream: bool
    established: bool
    join: bool
    payload: bytes


class CancelDispatch(_Message, frozen=True, tag="c"):
    """The home no longer waits for the outcome of this request."""

    serial: int
    key: RequestKey
    upstream: UpstreamName


class CancelStream(_Message, frozen=True, tag="cs"):
    """The caller or the home cancels this registration of a stream.

    A later registration of the same stream at the same owner is not affected.
    """

    stream: StreamKey
    upstream: UpstreamName
    registration: int


class Answered(_Message, frozen=True, tag="a"):
    """The upstream's response, as a CoAP message."""

    payload: bytes


class NotRun(_Message, frozen=True, tag="n"):
    """The owner guarantees that its upstream has not run and will not run the request."""

    reason: RefusalReason
    retry_after_s: float


class Unknown(_Message, frozen=True, tag="u"):
    """The upstream may or may not have run the request."""

    reason: str


class Superseded(_Message, frozen=True, tag="s"):
    """Another home has claimed the key; the receiver must not send a response to the caller."""


class Pending(_Message, frozen=True, tag="p"):
    """The request is queued or running; its result follows."""


Outcome: TypeAlias = Answered | NotRun | Unknown | Superseded | Pending


class Result(_Message, frozen=True, tag="r"):
    """The outcome of one dispatch, sent from the owner to the home."""

    serial: int
    key: RequestKey
    outcome: Outcome
    load: LoadReport | None


class Notification(_Message, frozen=True, tag="o"):
    """An upstream's notification, sent from the owner to the stream's home.

    ``request`` is the request that registers the stream, for a home that does not know
    the stream yet. ``registration`` is the message ID of the request that registered it.
    """

    stream: StreamKey
    upstream: UpstreamName
    owner: HostName
    registration: int
    payload: bytes
    request: bytes
    hops: int


class StreamEnded(_Message, frozen=True, tag="e"):
    """The upstream ended the stream; ``payload`` is its last message."""

    stream: StreamKey
    upstream: UpstreamName
    registration: int
    payload: bytes


class FlowData(_Message, frozen=True, tag="f"):
    """An opaque datagram, sent from the flow's home to the owner of its upstream."""

    flow: FlowKey
    upstream: UpstreamName
    is_new: bool
    payload: bytes


class FlowRefused(_Message, frozen=True, tag="fr"):
    """The owner rejected the flow."""

    flow: FlowKey
    upstream: UpstreamName
    reason: RefusalReason


class FlowsAlive(_Message, frozen=True, tag="fa"):
    """Keepalive to the home for flows that have traffic only from the upstream."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...]


class Lookup(_Message, frozen=True, tag="l"):
    """Request of a new home to an owner for the upstreams of these flows."""

    lookup_id: int
    flows: tuple[FlowKey, ...]


class LookupReply(_Message, frozen=True, tag="lr"):
    """The flows of a lookup that the owner knows, with their upstreams."""

    lookup_id: int
    known: tuple[tuple[FlowKey, UpstreamName], ...]


class TransferKey(NamedTuple):
    """Identifies a block-wise transfer: a caller's flow and the resource (RFC 7959)."""

    flow: FlowKey
    path: tuple[str, ...]
    query: tuple[str, ...]


class TransferState(NamedTuple):
    """The upstream of a block-wise transfer and the version (ETag) of its blocks, if known."""

    transfer: TransferKey
    upstream: UpstreamName
    version: bytes | None


class FindTransfer(_Message, frozen=True, tag="ft"):
    """Request of a new home to an owner for the upstream that sent the earlier blocks."""

    key: RequestKey
    transfer: TransferKey


class TransferFound(_Message, frozen=True, tag="tf"):
    """The owner knows the transfer; ``upstream`` sent its earlier blocks."""

    key: RequestKey
    upstream: UpstreamName


class Claim(_Message, frozen=True, tag="cl"):
    """A new home claims a request key at an owner before it dispatches the request.

    ``previous_homes`` are the hosts that held the slot within the request lifetime.
    The list is complete if ``has_full_history`` is set. ``upstreams`` are the
    upstreams of the service that the receiver owns, according to the claimer.
    ``former_upstreams`` are those that were removed or taken out of service and that the
    receiver was the last to own.
    """

    key: RequestKey
    ballot: Ballot
    previous_homes: tuple[HostName, ...]
    has_full_history: bool
    upstreams: tuple[UpstreamName, ...]
    former_upstreams: tuple[UpstreamName, ...] = ()


class NotDispatched(_Message, frozen=True, tag="kf"):
    """No upstream of this owner was sent the request; the owner now rejects lower ballots."""


class AlreadyDispatched(_Message, frozen=True, tag="kc"):
    """The owner has dispatched the request to ``upstream``; ``outcome`` may be ``Pending``."""

    upstream: UpstreamName
    outcome: Outcome


class ClaimObstacle(StrEnum):
    """Why an owner cannot decide a claim."""

    AWAITING_HANDOVER = "awaiting_handover"
    NOT_OWNER = "not_owner"
    SUPERSEDED = "superseded"
    LEASE_NOT_FRESH = "standing_back"
    LEDGER_FULL = "ledger_full"
    PREVIOUS_OWNER_LOST = "previous_owner_lost"

    @property
    def is_final(self) -> bool:
        """Whether a retry soon afterwards would fail as well."""
        return self is ClaimObstacle.PREVIOUS_OWNER_LOST or self is ClaimObstacle.LEDGER_FULL


class Inconclusive(_Message, frozen=True, tag="kx"):
    """The owner can confirm neither that the request was dispatched nor that it was not."""

    obstacle: ClaimObstacle


ClaimVerdict: TypeAlias = NotDispatched | AlreadyDispatched | Inconclusive


class ClaimReply(_Message, frozen=True, tag="cr"):
    """An owner's reply to a claim."""

    key: RequestKey
    ballot: Ballot
    verdict: ClaimVerdict


class StreamState(_Message, frozen=True):
    """The state of a stream as recorded by one host; ``request`` registers it again.

    ``owner`` is the host through which the stream is registered, ``registration`` the
    message ID of the request that registered it.
    """

    stream: StreamKey
    upstream: UpstreamName
    owner: HostName
    registration: int
    request: bytes


class KeyState(_Message, frozen=True):
    """The state of a request key at an owner; a key that was only claimed has no outcome."""

    key: RequestKey
    upstream: UpstreamName
    outcome: Outcome | None
    ballot: Ballot


class HomeHandover(_Message, frozen=True, tag="hh"):
    """Flows, streams and block-wise transfers handed over to a new home, in chunks."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...] = ()
    streams: tuple[StreamState, ...] = ()
    transfers: tuple[TransferState, ...] = ()


class OwnerHandover(_Message, frozen=True, tag="ce"):
    """Handover of an upstream from its owner to the next owner, in chunks.

    Requests that still run at the previous owner are finished there. ``lost_owners`` lists
    previous owners that failed without a handover, each with the time in seconds
    for which its requests must still be considered. The successor starts to act as
    owner on the chunk with ``last``.
    """

    upstream: UpstreamName
    gate: GateState
    flows: tuple[FlowKey, ...]
    keys: tuple[KeyState, ...]
    lost_owners: tuple[tuple[HostName, float], ...]
    last: bool


class HandoverProgress(_Message, frozen=True, tag="rl"):
    """Requests in flight and open connections left at the previous owner after a handover."""

    upstream: UpstreamName
    in_flight: int
    connections: int
    keys: tuple[KeyState, ...]


DataMessage: TypeAlias = (
    ToHome
    | Dispatch
    | CancelDispatch
    | CancelStream
    | Result
    | Notification
    | StreamEnded
    | FlowData
    | FlowRefused
    | FlowsAlive
    | Lookup
    | LookupReply
    | Claim
    | ClaimReply
    | FindTransfer
    | TransferFound
    | HomeHandover
    | OwnerHandover
    | HandoverProgress
)
