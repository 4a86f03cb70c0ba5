"""The stand-in for an upstream of an opaque ``udp`` service: echoes each datagram.

A datagram is ``#key service number``; the answer is the echo of
:meth:`~bench.standins.upstream.Upstream.echo`. The first character keeps datagrams apart
from CoAP health requests, whose first byte is at least 0x40.
"""

from __future__ import annotations

import time
from typing import Any

from bench.standins import coap
from bench.standins.sockets import Address
from bench.standins.upstream import Upstream, is_health_request

MARK = b"#"


class UdpUpstream(Upstream):
    """An upstream that answers each datagram of its flows."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._flows: set[str] = set()
        super().__init__(*args, **kwargs)

    @property
    def active(self) -> int:
        """Requests that run now: datagrams are answered at once."""
        return 0

    def clear(self) -> None:
        """Forget the flows."""
        self._flows.clear()

    def on_tick(self) -> None:
        """Do nothing."""

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Answer a datagram of a flow or a health request."""
        if not data.startswith(MARK):
            self._on_health(data, source)
            return
        words = data[len(MARK) :].decode("utf-8", "replace").split(" ")
        if len(words) != 3:
            return
        key, service, number = words
        if service != self._spec.service:
            self._counts.misdelivered += 1
        if key not in self._flows:
            self._flows.add(key)
            self._counts.new_work.append(time.monotonic())
        self.send(MARK + self.echo(key, number).encode(), source)

    def _on_health(self, data: bytes, source: Address) -> None:
        message = coap.decode(data)
        if message is None or not message.code.is_request() or not is_health_request(message):
            return
        answer = coap.encode_response(
            self.health_response(), coap.Kind.ACK, message.mid, message.token
        )
        self.send(answer, source)
