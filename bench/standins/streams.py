"""Observe streams of a caller: opens them, detects gaps and changes of upstream, reopens."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from bench.scenarios.observations import Echo, FlowEnd, FlowRecord, Outcome, parse_echo
from bench.standins import coap
from bench.standins.caller import Caller
from bench.standins.responses import classify_response

FLOW_TIMEOUT_S = 5.0
"""A stream or UDP flow that delivers nothing to its caller for this long is broken."""
REOPEN_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.25


class Stream:
    """One stream of readings; :meth:`run` keeps one open until it is cancelled."""

    def __init__(self, caller: Caller, service: str) -> None:
        self._caller = caller
        self._service = service
        self._key = ""
        self._token = b""
        self._first_echo: Echo | None = None
        self._opened_at = 0.0
        self._last_received_at = 0.0
        self._end: FlowEnd | None = None

    @property
    def is_open(self) -> bool:
        """Whether the stream is established and unbroken."""
        return self._first_echo is not None

    async def run(self) -> None:
        """Keep a stream open, reopening it when it ends; close it on cancellation."""
        try:
            while True:
                if await self._open():
                    await self._wait_for_end()
                    self._record()
                await asyncio.sleep(REOPEN_DELAY_S)
        except asyncio.CancelledError:
            self._end = FlowEnd.CLOSED
            self._record()
            self._deregister()
            raise

    def on_notification(self, message: Any) -> None:
        """Check that a notification belongs to this stream and comes from the same upstream."""
        if self._first_echo is None or self._end is not None:
            return
        if not message.code.is_successful():
            self._end = FlowEnd.REFUSED
            return
        echo = parse_echo(message.payload)
        if echo is None or (echo.key, echo.service) != (self._key, self._service):
            self._caller.observations.misdelivered += 1
            return
        if (echo.upstream, echo.boot) != (self._first_echo.upstream, self._first_echo.boot):
            self._end = FlowEnd.MOVED
            return
        self._last_received_at = time.monotonic()

    async def _open(self) -> bool:
        caller = self._caller
        self._key = caller.new_key()
        self._first_echo = None
        self._end = None
        request = caller.new_request(
            coap.GET, self._service, "readings", query=(f"k={self._key}",)
        )._replace(observe=0)
        self._token = request.token
        caller.subscribe(self._token, self._service, self)
        started_at = time.monotonic()
        message = await caller.send_confirmable(
            self._service, request, started_at + caller.times.patience_s
        )
        outcome, detail = classify_response(message, self._key, self._service)
        caller.record(self._key, "stream", self._service, started_at, outcome, detail)
        if outcome is not Outcome.ANSWERED or message.opt.observe is None:
            caller.unsubscribe(self._token)
            return False
        self._first_echo = parse_echo(message.payload)
        self._opened_at = self._last_received_at = time.monotonic()
        return True

    async def _wait_for_end(self) -> None:
        while self._end is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - self._last_received_at > FLOW_TIMEOUT_S and self._end is None:
                self._end = FlowEnd.SILENT

    def _record(self) -> None:
        self._caller.unsubscribe(self._token)
        if self._first_echo is None or self._end is None:
            return
        record = FlowRecord(
            self._key,
            self._service,
            self._first_echo.upstream,
            self._opened_at,
            self._last_received_at,
            self._end,
        )
        self._first_echo = None
        self._caller.observations.flows.append(record)

    def _deregister(self) -> None:
        request = coap.Request(
            coap.GET,
            self._caller.next_message_id(),
            self._token,
            (self._service, "readings"),
            (f"k={self._key}",),
            observe=1,
            message_type=coap.MessageType.NON,
        )
        self._caller.send(self._service, request)
