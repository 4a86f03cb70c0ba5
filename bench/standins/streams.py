"""Observe streams of a caller: opened, watched for gaps and moves, opened again."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from bench.scenarios.observations import Echo, FlowEnd, FlowRecord, Outcome, parse_echo
from bench.standins import coap
from bench.standins.answer import judge_echo
from bench.standins.caller import Caller

GAP_S = 5.0
"""A stream whose caller hears nothing for this long is broken."""
REOPEN_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.25


class Stream:
    """One stream of readings; :meth:`run` keeps one open until it is cancelled."""

    def __init__(self, caller: Caller, service: str) -> None:
        self._caller = caller
        self._service = service
        self._key = ""
        self._token = b""
        self._first: Echo | None = None
        self._opened_at = 0.0
        self._heard_at = 0.0
        self._end: FlowEnd | None = None

    @property
    def is_open(self) -> bool:
        """Whether the stream is established and unbroken."""
        return self._first is not None

    async def run(self) -> None:
        """Keep a stream open; on cancellation close it."""
        try:
            while True:
                if await self._open():
                    await self._watch()
                    self._record()
                await asyncio.sleep(REOPEN_DELAY_S)
        except asyncio.CancelledError:
            self._end = FlowEnd.CLOSED
            self._record()
            self._deregister()
            raise

    def on_notification(self, message: Any) -> None:
        """Take a notification and check that it is of the same stream and upstream."""
        if self._first is None or self._end is not None:
            return
        if not message.code.is_successful():
            self._end = FlowEnd.REFUSED
            return
        echo = parse_echo(message.payload)
        if echo is None or (echo.key, echo.service) != (self._key, self._service):
            self._caller.observations.misdelivered += 1
            return
        if (echo.upstream, echo.boot) != (self._first.upstream, self._first.boot):
            self._end = FlowEnd.MOVED
            return
        self._heard_at = time.monotonic()

    async def _open(self) -> bool:
        caller = self._caller
        self._key = caller.new_key()
        self._first = None
        self._end = None
        request = caller.new_request(
            coap.GET, self._service, "readings", query=(f"k={self._key}",)
        )._replace(observe=0)
        self._token = request.token
        caller.subscribe(self._token, self._service, self)
        started_at = time.monotonic()
        message = await caller.ask(self._service, request, started_at + caller.times.patience_s)
        outcome, detail = judge_echo(message, self._key, self._service)
        caller.record(self._key, "stream", self._service, started_at, outcome, detail)
        if outcome is not Outcome.ANSWERED or message.opt.observe is None:
            caller.unsubscribe(self._token)
            return False
        self._first = parse_echo(message.payload)
        self._opened_at = self._heard_at = time.monotonic()
        return True

    async def _watch(self) -> None:
        while self._end is None:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - self._heard_at > GAP_S and self._end is None:
                self._end = FlowEnd.SILENT

    def _record(self) -> None:
        self._caller.unsubscribe(self._token)
        if self._first is None or self._end is None:
            return
        record = FlowRecord(
            self._key,
            self._service,
            self._first.upstream,
            self._opened_at,
            self._heard_at,
            self._end,
        )
        self._first = None
        self._caller.observations.flows.append(record)

    def _deregister(self) -> None:
        request = coap.Request(
            coap.GET,
            self._caller.next_message_id(),
            self._token,
            (self._service, "readings"),
            (f"k={self._key}",),
            observe=1,
            kind=coap.Kind.NON,
        )
        self._caller.send(self._service, request)
