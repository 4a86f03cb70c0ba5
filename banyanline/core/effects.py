"""Effects: typed values by which the core tells the runtime which I/O to perform."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from banyanline.core.membership import MembershipMessage
from banyanline.core.messages import DataMessage, FlowKey
from banyanline.core.types import Endpoint, HostName, ServiceName, UpstreamName


class SendToPeer(NamedTuple):
    """Send a message to another balancer in one datagram."""

    host: HostName
    message: DataMessage


class SendProbe(NamedTuple):
    """Send a membership message to an endpoint, whose host may not be in the view yet."""

    host: HostName
    endpoint: Endpoint
    message: MembershipMessage


class TransferToPeer(NamedTuple):
    """Send a large message to another balancer over its control port."""

    host: HostName
    message: DataMessage


class SendToCaller(NamedTuple):
    """Send a datagram from the service's address to a caller."""

    service: ServiceName
    caller: Endpoint
    payload: bytes


class SendToUpstream(NamedTuple):
    """Send a datagram on the request socket of an upstream."""

    upstream: UpstreamName
    endpoint: Endpoint
    payload: bytes


class SendOnFlow(NamedTuple):
    """Send a datagram on the flow's own connected socket, opening it if necessary."""

    flow: FlowKey
    endpoint: Endpoint
    payload: bytes


class CloseFlow(NamedTuple):
    """Close the flow's own socket."""

    flow: FlowKey


class LogEvent(NamedTuple):
    """Write one log line."""

    event: str
    fields: dict[str, object]


Effect: TypeAlias = (
    SendToPeer
    | SendProbe
    | TransferToPeer
    | SendToCaller
    | SendToUpstream
    | SendOnFlow
    | CloseFlow
    | LogEvent
)
