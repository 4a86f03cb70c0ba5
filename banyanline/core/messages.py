"""Messages between balancers, as msgspec structs with one tag each.

They travel as MessagePack arrays inside sealed frames. Membership messages stand
in :mod:`banyanline.core.membership`; those here belong to the data path and to the
recovery and handover of flows and requests.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import msgspec

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
    in_flight: int
    queued: int
    slots: int
    expected_wait_ms: int
    cold: bool
    sequence: int


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages: immutable, encoded as arrays."""


class ToHome(_Message, tag="h"):
    """A caller's datagram on its way from the ingress to the flow's home."""

    flow: FlowKey
    payload: bytes
    hops: int


class Dispatch(_Message, tag="d"):
    """A request from its home to the owner of the chosen upstream."""

    serial: int
    key: RequestKey
    upstream: UpstreamName
    remaining_ms: int
    ballot: Ballot
    attempt: int
    idempotent: bool
    stream: bool
    resume: bool
    payload: bytes


class CancelDispatch(_Message, tag="c"):
    """The home no longer waits for this request."""

    serial: int
    key: RequestKey
    upstream: UpstreamName


class CancelStream(_Message, tag="cs"):
    """The caller or the home no longer wants this stream from this owner."""

    stream: StreamKey
    upstream: UpstreamName


class Answered(_Message, tag="a"):
    """The upstream's outcome, as a CoAP message."""

    payload: bytes


class NotRun(_Message, tag="n"):
    """The owner promises that its upstream has not run and will not run the request."""

    reason: str
    retry_after_s: float


class Unknown(_Message, tag="u"):
    """The upstream may or may not have run the request."""

    reason: str


class Superseded(_Message, tag="s"):
    """Another home has claimed the key; the home that asks must not answer the caller."""


class Pending(_Message, tag="p"):
    """The request is queued or runs; its result follows."""


Outcome: TypeAlias = Answered | NotRun | Unknown | Superseded | Pending


class Result(_Message, tag="r"):
    """An owner's outcome for one dispatch."""

    serial: int
    key: RequestKey
    outcome: Outcome
    load: LoadReport | None


class Notification(_Message, tag="o"):
    """An upstream's notification on its way from the owner to the stream's home."""

    stream: StreamKey
    upstream: UpstreamName
    payload: bytes
    request: bytes


class StreamEnded(_Message, tag="e"):
    """The upstream or the owner ended the stream; ``payload`` is the last message."""

    stream: StreamKey
    upstream: UpstreamName
    payload: bytes


class FlowData(_Message, tag="f"):
    """An opaque datagram from the flow's home to the owner of its upstream."""

    flow: FlowKey
    upstream: UpstreamName
    payload: bytes


class FlowRefused(_Message, tag="fr"):
    """The owner could not take the flow."""

    flow: FlowKey
    upstream: UpstreamName
    reason: str


class FlowsAlive(_Message, tag="fa"):
    """Flows with traffic from the upstream alone, so that their home keeps them."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...]


class Lookup(_Message, tag="l"):
    """A new home asks an owner which upstreams these flows have."""

    question: int
    flows: tuple[FlowKey, ...]


class LookupReply(_Message, tag="lr"):
    """Those of the flows asked for that the owner knows."""

    question: int
    known: tuple[tuple[FlowKey, UpstreamName], ...]


class Claim(_Message, tag="cl"):
    """A new home asks an owner for a request key before it dispatches the key.

    ``previous_homes`` are the hosts that held the slot within the lifetime of a
    request; ``upstreams`` those of the service that the claimer takes the receiver to own.
    """

    key: RequestKey
    ballot: Ballot
    previous_homes: tuple[HostName, ...]
    upstreams: tuple[UpstreamName, ...]


class Free(_Message, tag="kf"):
    """No upstream of this owner has seen the key, and lower ballots are refused from now on."""


class Carried(_Message, tag="kc"):
    """The owner has carried the key to ``upstream``; the outcome if it is known."""

    upstream: UpstreamName
    outcome: Outcome


class CannotTell(_Message, tag="kx"):
    """A previous owner may have carried the key, or a greater ballot holds it."""

    reason: str


Verdict: TypeAlias = Free | Carried | CannotTell


class ClaimReply(_Message, tag="cr"):
    """An owner's verdict on a claim."""

    key: RequestKey
    ballot: Ballot
    verdict: Verdict


class StreamState(_Message):
    """A stream as one witness knows it; ``request`` registers it again."""

    stream: StreamKey
    upstream: UpstreamName
    request: bytes


class KeyState(_Message):
    """A request key as an owner knows it."""

    key: RequestKey
    upstream: UpstreamName
    outcome: Outcome
    ballot: Ballot


class HomeHandover(_Message, tag="hh"):
    """Flows and streams that move to a new home, in chunks."""

    flows: tuple[tuple[FlowKey, UpstreamName], ...]
    streams: tuple[StreamState, ...]


class Cede(_Message, tag="ce"):
    """An owner gives an upstream up to its successor.

    ``in_flight`` requests still run at the old owner, which finishes them. The
    last chunk has ``last`` set; the successor begins when it has come.
    """

    upstream: UpstreamName
    in_flight: int
    ramp_share: float
    flows: tuple[FlowKey, ...]
    keys: tuple[KeyState, ...]
    last: bool


class Released(_Message, tag="rl"):
    """How many of a ceded upstream's requests still run at the old owner."""

    upstream: UpstreamName
    in_flight: int


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
    | HomeHandover
    | Cede
    | Released
)
