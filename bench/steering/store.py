"""The stand-in for the platform's store: ranges and watches over HTTP, one page at a time."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from enum import Enum, auto
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from bench.steering.listening import TcpStandIn

PAGE_ITEMS = 5
"""Small, so that tests read several pages."""

HISTORY_EVENTS = 50


class Fault(Enum):
    """How the store treats those that call it."""

    NONE = auto()
    BUSY = auto()
    RESET = auto()
    SILENT = auto()
    LOSE_ANSWERS = auto()
    RUBBISH = auto()


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int


class StandInStore(TcpStandIn):
    """A store that only this process writes."""

    def __init__(self) -> None:
        super().__init__()
        self.fault = Fault.NONE
        self.calls = 0
        self.counted_reads = 0
        self.revision = 10
        self._floor = 10
        self._frozen: tuple[int, dict[str, _Item]] | None = None
        self._items: dict[str, _Item] = {}
        self._events: deque[dict[str, Any]] = deque(maxlen=HISTORY_EVENTS)
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: Any) -> int:
        """Write a JSON value and tell those who watch; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known else self.revision
        self._items[key] = _Item(data, self.revision, created)
        await self._tell(_event(key, self._items[key]))
        return self.revision

    async def delete(self, key: str) -> int:
        """Remove a key; return the revision."""
        self.revision += 1
        self._items.pop(key, None)
        await self._tell({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def freeze_stale_reads(self) -> None:
        """Answer reads that may be stale as of now from here on."""
        self._frozen = (self.revision, dict(self._items))

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        self._events.clear()
        self._floor = self.revision

    async def _tell(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            await self._answer(head.split()[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.RESET:
            writer.transport.abort()
            return
        if self.fault is Fault.SILENT:
            await asyncio.sleep(60.0)
        if self.fault is Fault.BUSY:
            writer.write(_response(503, {}))
            return
        if self.fault is Fault.RUBBISH:
            writer.write(_response(200, ["rubbish"]))
            return
        status, body = await self._result(target)
        if self.fault is Fault.LOSE_ANSWERS:
            await asyncio.sleep(60.0)
        writer.write(_response(status, body))

    async def _result(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            may_be_stale = query.get("allow_stale") == "1"
            self.counted_reads += not may_be_stale
            return 200, self._page(prefix, query.get("after", ""), may_be_stale=may_be_stale)
        if parts.path == "/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000.0)
        return 404, {}

    def _page(self, prefix: str, after: str, *, may_be_stale: bool) -> dict[str, Any]:
        revision, known = self.revision, self._items
        if may_be_stale and self._frozen is not None:
            revision, known = self._frozen
        keys = sorted(key for key in known if key.startswith(prefix) and key > after)
        items = [_event(key, known[key]) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "truncated": len(keys) > PAGE_ITEMS, "as_of": revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        if after < self._floor:
            return 410, {}
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._since(prefix, after))
        except TimeoutError:
            pass
        return 200, {"events": self._since(prefix, after), "as_of": self.revision}

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


def _event(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": 0,
    }


def _response(status: int, body: Any) -> bytes:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data
