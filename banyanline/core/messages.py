"""Messages between balancers, as msgspec structs with one tag each.

They travel as MessagePack arrays inside sealed frames. Membership messages stand
in :mod:`banyanline.core.membership`; those here belong to the data path and to the
recovery and handover of flows and requests.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

import msgspec

from banyanline.core.answers import RefusalReason
from banyanline.core.gate import HandOver, LoadWord
from banyanline.core.types import HostName, ServiceName, UpstreamName


class RequestKey(NamedTuple):
    """What tells one CoAP request of a caller from all others (RFC 7252, 4.2)."""

    service: ServiceName
    caller_ip: str
    caller_port: int
    message_id: int
    token: bytes


class StreamKey(NamedTuple):
    """What tells one observation of a caller from all others (RFC 7641, 1.2)."""

    service: ServiceName
    caller_ip: str
    caller_port: int
    token: bytes


class FlowKey(NamedTuple):
    """A caller endpoint at a service."""

    service: ServiceName
    caller_ip: str
    caller_port: int


class Ballot(NamedTuple):
    """A total order of the claims on one request key: the later, the greater.

    ``Ballot(0, "")`` is what a home sends that has held the slot for longer than the
    lifetime of a request and therefore claimed nothing.
    """

    wall_ms: int
    home: HostName


NO_BALLOT = Ballot(0, "")


class LoadReport(NamedTuple):
    """An owner's word on the load of one upstream; rides on data-path replies."""

    upstream: UpstreamName
    load: LoadWord


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages: immutable, encoded as arrays."""


class ToHome(_Message, frozen=True, tag="h"):
    """A caller's datagram on its way from the ingress to the flow's home."""

    flow: FlowKey
    payload: bytes
    hops: int


class Dispatch(_Message, frozen=True, tag="d"):
    """A request from its home to the owner of the chosen upstream.

    An ``established`` one belongs to a stream or a transfer that the upstream has
    begun. With ``join`` the home only wants the outcome of a dispatch by an earlier home;
    nothing is started for it.

    ``owner_incarnation`` names the owner's process as the home knew it when it sent
    the attempt for the first time. A process that has started since cannot know
    whether the one before it ran the request.
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
    """The home no longer waits for this request."""

    serial: int
    key: RequestKey
    upstream: UpstreamName


class CancelStream(_Message, frozen=True, tag="cs"):
    """The caller or the home no longer wants this registration of a stream.

    A later registration of the same stream at the same owner stays.
    """

    stream: StreamKey
    upstream: UpstreamName
    registration: int


class Answered(_Message, frozen=True, tag="a"):
    """The upstream's outcome, as a CoAP message."""

    payload: bytes


class NotRun(_Message, frozen=True, tag="n"):
    """The owner promises that its upstream has not run and will not run the request."""

    reason: RefusalReason
    retry_after_s: float


class Unknown(_Message, frozen=True, tag="u"):
    """The upstream may or may not have run the request."""

    reason: str


class Superseded(_Message, frozen=True, tag="s"):
    """Another home has claimed the key; the home that asks must not answer the caller."""


class Pending(_Message, frozen=True, tag="p"):
    """The request is queued or runs; its result follows."""


Outcome: TypeAlias = Answered | NotRun | Unknown | Superseded | Pending


class Result(_Message, frozen=True, tag="r"):
    """An owner's outcome for one dispatch."""

    serial: int
    key: RequestKey
    outcome: Outcome
    load: LoadReport | None


class Notification(_Message, frozen=True, tag="o"):
    """An upstream's notification on its way from the owner to the stream's home.

    ``request`` registers the stream again, should its home have to learn it.
    ``registration`` is the message ID of the request that registered it.
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
    """An opaque datagram from the flow's home to the owner of its upstream."""

    flow: FlowKey
    upstream: UpstreamName
    is_new: bool
    payload: bytes


class FlowRefused(_Message, frozen=True, tag="fr"):
    """The owner could not take the flow."""

    flow: FlowKey
    upstream: UpstreamName
    reason: RefusalReason


class FlowsAlive(_Message, frozen=True, tag="fa"):
    """Flows with traffic from the upstream alone, so that their home keeps them."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...]


class Lookup(_Message, frozen=True, tag="l"):
    """A new home asks an owner which upstreams these flows have."""

    question: int
    flows: tuple[FlowKey, ...]


class LookupReply(_Message, frozen=True, tag="lr"):
    """Those of the flows asked for that the owner knows."""

    question: int
    known: tuple[tuple[FlowKey, UpstreamName], ...]


class TransferKey(NamedTuple):
    """A resource that a caller is transferring block by block (RFC 7959)."""

    flow: FlowKey
    path: tuple[str, ...]
    query: tuple[str, ...]


class TransferState(NamedTuple):
    """The upstream of a block-wise transfer and the version (ETag) of its blocks, if known."""

    transfer: TransferKey
    upstream: UpstreamName
    version: bytes | None


class FindTransfer(_Message, frozen=True, tag="ft"):
    """A new home asks an owner for the upstream that sent the earlier blocks."""

    key: RequestKey
    transfer: TransferKey


class TransferFound(_Message, frozen=True, tag="tf"):
    """The owner knows the transfer."""

    key: RequestKey
    upstream: UpstreamName


class Claim(_Message, frozen=True, tag="cl"):
    """A new home asks an owner for a request key before it dispatches the key.

    ``previous_homes`` are the hosts that held the slot within the lifetime of a
    request, all of them if the claimer ``knows_history``. ``upstreams`` are those of
    the service that the claimer takes the receiver to own, and ``former`` those that
    it was the last to own, before they were taken out.
    """

    key: RequestKey
    ballot: Ballot
    previous_homes: tuple[HostName, ...]
    knows_history: bool
    upstreams: tuple[UpstreamName, ...]
    former: tuple[UpstreamName, ...] = ()


class Free(_Message, frozen=True, tag="kf"):
    """No upstream of this owner has seen the key, and lower ballots are refused from now on."""


class Carried(_Message, frozen=True, tag="kc"):
    """The owner has carried the key to ``upstream``; the outcome if it is known."""

    upstream: UpstreamName
    outcome: Outcome


class ClaimObstacle(StrEnum):
    """Why an owner cannot answer a claim."""

    AWAITING_HANDOVER = "awaiting_handover"
    NOT_OWNER = "not_owner"
    SUPERSEDED = "superseded"
    STANDING_BACK = "standing_back"
    LEDGER_FULL = "ledger_full"
    PREVIOUS_OWNER_LOST = "previous_owner_lost"

    @property
    def is_final(self) -> bool:
        """Whether asking again soon is of no use."""
        return self is ClaimObstacle.PREVIOUS_OWNER_LOST or self is ClaimObstacle.LEDGER_FULL


class CannotTell(_Message, frozen=True, tag="kx"):
    """The owner can neither say that the key is free nor that it was carried."""

    obstacle: ClaimObstacle


Verdict: TypeAlias = Free | Carried | CannotTell


class ClaimReply(_Message, frozen=True, tag="cr"):
    """An owner's verdict on a claim."""

    key: RequestKey
    ballot: Ballot
    verdict: Verdict


class StreamState(_Message, frozen=True):
    """A stream as one witness knows it; ``request`` registers it again.

    ``owner`` is the host through which it is registered, ``registration`` the
    message ID of the request that did so.
    """

    stream: StreamKey
    upstream: UpstreamName
    owner: HostName
    registration: int
    request: bytes


class KeyState(_Message, frozen=True):
    """A request key as an owner knows it; one that was only claimed has no outcome."""

    key: RequestKey
    upstream: UpstreamName
    outcome: Outcome | None
    ballot: Ballot


class HomeHandover(_Message, frozen=True, tag="hh"):
    """Flows, streams and block-wise transfers that move to a new home, in chunks."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...] = ()
    streams: tuple[StreamState, ...] = ()
    transfers: tuple[TransferState, ...] = ()


class Cede(_Message, frozen=True, tag="ce"):
    """An owner gives an upstream up to its successor.

    What still runs at the old owner is finished there. ``uncertain`` names hosts
    that owned the upstream before and were lost without ceding it, with the time
    in seconds for which their requests still count. The successor begins when the
    chunk with ``last`` has come.
    """

    upstream: UpstreamName
    gate: HandOver
    flows: tuple[FlowKey, ...]
    keys: tuple[KeyState, ...]
    uncertain: tuple[tuple[HostName, float], ...]
    last: bool


class Released(_Message, frozen=True, tag="rl"):
    """What still runs and is still open at the old owner of a ceded upstream."""

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
    | Cede
    | Released
)
