"""The home role of a balancer: routes messages to its requests, streams and flows."""

from __future__ import annotations

from aiocoap.numbers.types import Type

from banyanline.core import coap
from banyanline.core.context import Context
from banyanline.core.counters import DropReason, FlowEnd
from banyanline.core.home.datagrams import Datagrams
from banyanline.core.home.policies import Policies
from banyanline.core.home.requests import Requests
from banyanline.core.home.streams import Streams
from banyanline.core.home.transfers import Transfers
from banyanline.core.messages import FlowKey, HomeHandover
from banyanline.core.types import Endpoint, HostName, Protocol, Seconds, UpstreamName


class Home:
    """The flows, requests, streams and transfers whose home is this balancer."""

    def __init__(
        self,
        context: Context,
        first_serial: int,
        flow_idle_timeout_s: float,
    ) -> None:
        self._context = context
        self._streams = Streams(context, self._next_serial)
        self._transfers = Transfers(context)
        self._policies = Policies(context)
        self._requests = Requests(
            context, self._policies, self._streams, self._transfers, first_serial
        )
        self._datagrams = Datagrams(context, self._policies, flow_idle_timeout_s)

    @property
    def requests(self) -> Requests:
        """The requests whose home is this balancer."""
        return self._requests

    @property
    def streams(self) -> Streams:
        """The streams whose home is this balancer."""
        return self._streams

    @property
    def datagrams(self) -> Datagrams:
        """The flows of ``udp`` services whose home is this balancer."""
        return self._datagrams

    @property
    def next_at(self) -> Seconds:
        """Time at which ``tick`` is next due."""
        return min(self._requests.next_at, self._streams.next_at, self._datagrams.next_at)

    def _next_serial(self) -> int:
        return self._requests.next_serial()

    def rendezvous_upstream(self, flow: FlowKey) -> UpstreamName | None:
        """Return the upstream that rendezvous hashing ranks first for the flow."""
        return self._policies.rendezvous_choice(flow.service, self._context.hash_of(flow))

    def receive(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        """Process a datagram from a caller."""
        service = self._context.directory.service(flow.service)
        if service is None:
            self._context.counters.drops[DropReason.UNKNOWN_SERVICE] += 1
        elif service.protocol is Protocol.UDP:
            self._datagrams.receive(flow, payload, now)
        else:
            self._receive_coap(flow, payload, now)

    def _receive_coap(self, flow: FlowKey, payload: bytes, now: Seconds) -> None:
        decoded = coap.decode(payload)
        drops = self._context.counters.drops
        match decoded:
            case coap.Request():
                if decoded.observe == coap.OBSERVE_DEREGISTER:
                    self._streams.cancel(flow, decoded.token)
                self._requests.receive(flow, decoded, now)
            case coap.Empty():
                self._receive_empty(flow, decoded)
            case coap.Malformed(reason):
                is_oversized = reason == "oversized"
                drops[DropReason.OVERSIZED if is_oversized else DropReason.MALFORMED] += 1
            case coap.Response():
                drops[DropReason.STRAY_RESPONSE] += 1

    def _receive_empty(self, flow: FlowKey, message: coap.Empty) -> None:
        if message.kind is Type.CON:
            # An empty confirmable message is a ping and is answered by a reset (RFC 7252, 4.3).
            caller = Endpoint(flow.caller_ip, flow.caller_port)
            self._context.answer(
                flow.service, caller, coap.encode_empty(Type.RST, message.message_id)
            )
        elif message.kind is not Type.RST or not self._streams.reset(flow, message.message_id):
            self._context.counters.drops[DropReason.STRAY_EMPTY] += 1

    def tick(self, now: Seconds) -> None:
        """Run the timers that are due."""
        self._requests.tick(now)
        self._streams.tick(now)
        self._datagrams.tick(now)
        self._transfers.expire(now)

    def configuration_changed(self) -> None:
        """Apply a new configuration to the choice of upstreams."""
        self._policies.configuration_changed()

    def placement_changed(self, now: Seconds) -> None:
        """Hand over flows whose slot has moved, and re-register streams with new owners."""
        self._streams.hand_over()
        self._transfers.hand_over()
        self._datagrams.hand_over()
        self._streams.owners_changed(now)

    def take_over(self, message: HomeHandover, now: Seconds) -> None:
        """Add flows, streams and transfers handed over by their previous home."""
        self._datagrams.take_over(message.flows, now)
        self._streams.take_over(message.streams, now)
        self._transfers.take_over(message.transfers, now)

    def host_lost(self, host: HostName, now: Seconds) -> None:
        """Fail or retry the requests that depend on a dead host."""
        self._requests.host_lost(host, now)

    def upstreams_removed(self, end_reasons: dict[UpstreamName, FlowEnd]) -> None:
        """End the streams and flows of upstreams that packets may no longer be sent to.

        Requests in flight there are ended by the upstream's owner, after it has given
        them time to respond.
        """
        self._streams.upstreams_removed(end_reasons)
        self._datagrams.upstreams_removed(end_reasons)
