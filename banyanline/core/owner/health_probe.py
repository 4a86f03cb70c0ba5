"""Requests to the health endpoint of one upstream."""

from __future__ import annotations

import msgspec
from aiocoap.message import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from banyanline.core.gate import HealthReport, ReportedState
from banyanline.core.types import Seconds

INTERVAL_S = 1.0
TIMEOUT_S = 0.8


class HealthDocument(msgspec.Struct, frozen=True):
    """The JSON body of a health answer."""

    boot: str
    state: ReportedState
    load: float = 0.0


class HealthProbe:
    """When to ask, and whether the last question was answered.

    ``phase`` between 0 and 1 spreads the first questions of many upstreams.
    """

    def __init__(self, now: Seconds, phase: float) -> None:
        self._next_at = now + 0.1 * INTERVAL_S * phase
        self._token: bytes | None = None
        self._asked_at = now
        self._last: HealthReport | None = None

    @property
    def next_at(self) -> Seconds:
        """When the probe needs attention next."""
        return self._next_at if self._token is None else self._asked_at + TIMEOUT_S

    @property
    def token(self) -> bytes | None:
        """The token of the open question."""
        return self._token

    @property
    def last(self) -> HealthReport | None:
        """The latest report, if the latest question was answered."""
        return self._last

    def is_due(self, now: Seconds) -> bool:
        """Whether a question is due."""
        return self._token is None and now >= self._next_at

    def is_missed(self, now: Seconds) -> bool:
        """Whether the open question was not answered in time; it is closed then."""
        if self._token is None or now < self._asked_at + TIMEOUT_S:
            return False
        self._token = None
        self._last = None
        return True

    def ask(self, path: str, token: bytes, message_id: int, now: Seconds) -> bytes:
        """Return the encoded question."""
        self._token = token
        self._asked_at = now
        self._next_at = now + INTERVAL_S
        message = Message(code=Code.GET)
        message.opt.uri_path = tuple(part for part in path.split("/") if part)
        message.mtype = Type.NON
        message.mid = message_id
        message.token = token
        return bytes(message.encode())

    def answered(self, payload: bytes) -> HealthReport | None:
        """Read an answer; ``None`` if it is not a health document."""
        self._token = None
        try:
            document = msgspec.json.decode(payload, type=HealthDocument)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        self._last = HealthReport(document.boot, document.state, document.load)
        return self._last
