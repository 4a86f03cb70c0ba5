"""The stand-in for an upstream of an opaque ``udp`` service: echoes each datagram.

A datagram is ``#key service number``; the response is ``#`` and the text of
:meth:`~bench.standins.upstream.Upstream.echo`. The prefix distinguishes datagrams from
CoAP health requests, whose first byte is at least 0x40.
"""

from __future__ import annotations

import time
from typing import Any

from bench.standins import coap
from bench.standins.sockets import Address
from bench.standins.upstream import Upstream, is_health_request

DATAGRAM_PREFIX = b"#"


class UdpUpstream(Upstream):
    """An upstream that responds to each datagram of its flows."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._known_flows: set[str] = set()
        super().__init__(*args, **kwargs)

    @property
    def active(self) -> int:
        """Number of requests in progress: always 0, as datagrams are answered at once."""
        return 0

    def discard_state(self) -> None:
        """Discard the known flows."""
        self._known_flows.clear()

    def on_tick(self) -> None:
        """Do nothing: there is no periodic work."""

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Respond to a datagram of a flow or to a health request."""
        if not data.startswith(DATAGRAM_PREFIX):
            self._on_health(data, source)
            return
        fields = data[len(DATAGRAM_PREFIX) :].decode("utf-8", "replace").split(" ")
        if len(fields) != 3:
            return
        key, service, number = fields
        if service != self._spec.service:
            self._counts.misdelivered += 1
        if key not in self._known_flows:
            self._known_flows.add(key)
            self._counts.new_work_times.append(time.monotonic())
        self.send(DATAGRAM_PREFIX + self.echo(key, number).encode(), source)

    def _on_health(self, data: bytes, source: Address) -> None:
        message = coap.decode(data)
        if message is None or not message.code.is_request() or not is_health_request(message):
            return
        response = coap.encode_response(
            self.health_response(), coap.MessageType.ACK, message.mid, message.token
        )
        self.send(response, source)
