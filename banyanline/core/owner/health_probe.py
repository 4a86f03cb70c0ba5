"""Health probe: periodic requests to the health endpoint of one upstream."""

from __future__ import annotations

import msgspec
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core.gate import HealthReport, ReportedState
from banyanline.core.types import Seconds

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8


class HealthDocument(msgspec.Struct, frozen=True):
    """The JSON body of a health response."""

    boot: str
    state: ReportedState
    load: float = 0.0


class HealthProbe:
    """Schedules health requests to one upstream and tracks the open one.

    ``phase``, between 0 and 1, spreads the first requests to many upstreams over time.
    """

    def __init__(self, now: Seconds, phase: float) -> None:
        self._next_at = now + 0.1 * PROBE_INTERVAL_S * phase
        self._token: bytes | None = None
        self._sent_at = now
        self._last: HealthReport | None = None

    @property
    def next_at(self) -> Seconds:
        """When the next request is due, or the open one times out."""
        return self._next_at if self._token is None else self._sent_at + PROBE_TIMEOUT_S

    @property
    def token(self) -> bytes | None:
        """The token of the open request."""
        return self._token

    @property
    def last(self) -> HealthReport | None:
        """The latest report, if the latest request was answered."""
        return self._last

    def is_due(self, now: Seconds) -> bool:
        """Whether a request is due."""
        return self._token is None and now >= self._next_at

    def expire(self, now: Seconds) -> bool:
        """Close the open request if it has timed out; return whether it has."""
        if self._token is None or now < self._sent_at + PROBE_TIMEOUT_S:
            return False
        self._token = None
        self._last = None
        return True

    def start(self, path: str, token: bytes, message_id: int, now: Seconds) -> bytes:
        """Open a request and return its encoded message."""
        self._token = token
        self._sent_at = now
        self._next_at = now + PROBE_INTERVAL_S
        message = Message(code=Code.GET)
        message.opt.uri_path = tuple(part for part in path.split("/") if part)
        message.mtype = Type.NON
        message.mid = message_id
        message.token = token
        return bytes(message.encode())

    def handle_response(self, payload: bytes) -> HealthReport | None:
        """Close the open request and parse the response; ``None`` if it is no health document."""
        self._token = None
        try:
            document = msgspec.json.decode(payload, type=HealthDocument)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        self._last = HealthReport(document.boot, document.state, document.load)
        return self._last
