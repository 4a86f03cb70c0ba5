"""The fields of a caller's packet that steering reads."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

FlowId: TypeAlias = bytes
"""The two addresses and ports of a flow, as opaque bytes."""

ServiceAddress: TypeAlias = bytes
"""The address and port that a caller sends to, as opaque bytes."""

Cookie: TypeAlias = int
"""A 32-bit number that both ends of a flow echo; it identifies the flow's upstream."""

NO_COOKIE: Cookie = 0


class CallerPacket(NamedTuple):
    """The header of a packet that a caller sent.

    A packet with ``opens_flow`` (SYN) asks for a new flow; its ``ack`` is 0 at first and
    counts its retransmissions. After a packet with ``ends_flow`` (FIN or RST) the caller
    sends nothing new. Sequence numbers have 32 bits and wrap around.
    """

    flow: FlowId
    destination: ServiceAddress
    opens_flow: bool
    ends_flow: bool
    data_bytes: int
    seq: int
    ack: int
    cookie: Cookie
