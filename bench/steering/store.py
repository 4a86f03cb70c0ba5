"""Stand-in for the platform's store: serves paged range reads and watches over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from enum import Enum, auto
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from bench.steering.tcp_stand_in import TcpStandIn

PAGE_ITEMS = 5
"""Small, so that reads in tests span several pages."""

HISTORY_EVENTS = 50


class StoreFault(Enum):
    """Faults that the store injects.

    ``NO_RESPONSE`` stalls before a call is handled, ``DROP_RESPONSES`` after that.
    """

    NONE = auto()
    BUSY = auto()
    RESET = auto()
    NO_RESPONSE = auto()
    DROP_RESPONSES = auto()
    MALFORMED = auto()


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int


class StoreCopy(NamedTuple):
    """A copy of the store's state, from which it can be restored."""

    revision: int
    items: dict[str, _Item]


class StandInStore(TcpStandIn):
    """A key-value store that only this process writes.

    ``era`` is the number of the store's start, and increases when it is restored from a copy.

    ``consistent_reads`` counts the page reads without ``allow_stale``; only these count
    towards the limit on the rate of calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = StoreFault.NONE
        self.calls = 0
        self.consistent_reads = 0
        self.revision = 10
        self.era = 1
        self._history_start = 10
        self._stale_snapshot: tuple[int, dict[str, _Item]] | None = None
        self._items: dict[str, _Item] = {}
        self._events: deque[dict[str, Any]] = deque(maxlen=HISTORY_EVENTS)
        self._changed = asyncio.Condition()

    async def put(self, key: str, value: Any) -> int:
        """Write bytes or a JSON value and notify the watches; return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        previous = self._items.get(key)
        created = previous.created if previous else self.revision
        self._items[key] = _Item(data, self.revision, created)
        await self._publish(_event(key, self._items[key]))
        return self.revision

    async def delete(self, key: str) -> int:
        """Remove a key and notify the watches; return the revision."""
        self.revision += 1
        self._items.pop(key, None)
        await self._publish({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def freeze_stale_reads(self) -> None:
        """From now on, serve reads with ``allow_stale`` from a snapshot of the present items."""
        self._stale_snapshot = (self.revision, dict(self._items))

    def discard_history(self) -> None:
        """Discard past events; a watch from an earlier revision gets status 410."""
        self._events.clear()
        self._history_start = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(self.revision, dict(self._items))

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, and their revisions are used again.

        Waiting watches get status 410, unless the revision that they wait for exists.
        """
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._events.clear()
        self._history_start = copy.revision
        async with self._changed:
            self._changed.notify_all()

    async def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            await self._respond(head.split()[1].decode(), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _respond(self, target: str, writer: asyncio.StreamWriter) -> None:
        if self.fault is StoreFault.RESET:
            writer.transport.abort()
            return
        if self.fault is StoreFault.NO_RESPONSE:
            await asyncio.sleep(60.0)
        if self.fault is StoreFault.BUSY:
            writer.write(_http_response(503, {}, self.era))
            return
        if self.fault is StoreFault.MALFORMED:
            writer.write(_http_response(200, ["rubbish"], self.era))
            return
        status, body = await self._handle(target)
        if self.fault is StoreFault.DROP_RESPONSES:
            await asyncio.sleep(60.0)
        writer.write(_http_response(status, body, self.era))

    async def _handle(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            allow_stale = query.get("allow_stale") == "1"
            self.consistent_reads += not allow_stale
            return 200, self._page(prefix, query.get("after", ""), allow_stale=allow_stale)
        if parts.path == "/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000.0)
        return 404, {}

    def _page(self, prefix: str, after: str, *, allow_stale: bool) -> dict[str, Any]:
        revision, items_by_key = self.revision, self._items
        if allow_stale and self._stale_snapshot is not None:
            revision, items_by_key = self._stale_snapshot
        keys = sorted(key for key in items_by_key if key.startswith(prefix) and key > after)
        items = [_event(key, items_by_key[key]) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "truncated": len(keys) > PAGE_ITEMS, "as_of": revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        era = self.era
        if not self._history_start <= after <= self.revision:
            return 410, {}
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.era != era or self._events_after(prefix, after)
                )
        except TimeoutError:
            pass
        if not self._history_start <= after <= self.revision:
            return 410, {}
        return 200, {"events": self._events_after(prefix, after), "as_of": self.revision}

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
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


def _http_response(status: int, body: Any, era: int) -> bytes:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n"
    return f"{head}Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data
