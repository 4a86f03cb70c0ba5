"""The platform's metadata store: range reads and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from standins.packet import Address

ANSWER_S = 0.004
MAX_ITEMS = 500
MAX_WAIT_S = 30.0


class _Item(NamedTuple):
    value: bytes
    revision: int
    created: int


class Store:
    """A linearizable store that the operator and the targets write, and the hosts read."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._is_down = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def is_down(self) -> bool:
        """Whether the store answers all calls with 503 and takes no writes."""
        return self._is_down

    def set_down(self, *, is_down: bool) -> None:
        """Go down, which cuts waiting watches, or come back; nothing acknowledged is lost."""
        self._is_down = is_down
        if is_down:
            for writer in self._writers:
                writer.transport.abort()

    async def start(self) -> None:
        """Start to serve; raises OSError if the address is in use."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: Any) -> None:
        """Write a JSON value; it is acknowledged when this returns."""
        self._revision += 1
        known = self._items.get(key)
        created = known.created if known else self._revision
        self._items[key] = _Item(json.dumps(value).encode(), self._revision, created)
        self._publish(_fields(key, self._items[key]))

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._publish({"key": key, "revision": self._revision, "deleted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if self._is_down:
                status: int = 503
                body: dict[str, Any] = {"error": "down"}
            else:
                status, body = await self._answer(head.split()[1].decode())
            await asyncio.sleep(ANSWER_S)
            writer.write(_response(status, body))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended while a watch was waiting.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if parts.path == "/kv-watch":
            wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000.0)
            return 200, await self._watch(query.get("prefix", ""), int(query["after"]), wait_s)
        item = self._items.get(query.get("key", ""))
        if parts.path == "/kv-key" and item is not None:
            return 200, _fields(query["key"], item) | {"as_of": self._revision}
        return 404, {"error": "no such key"}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [_fields(key, self._items[key]) for key in keys[:MAX_ITEMS]]
        return {"items": items, "truncated": len(keys) > MAX_ITEMS, "as_of": self._revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while not (events := self._events_after(prefix, after)) and loop.time() < ends_at:
            changed = self._changed
            try:
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
            except TimeoutError:
                break
        return {"events": events or self._events_after(prefix, after), "as_of": self._revision}

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


def _fields(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": 0,
    }


def _response(status: int, body: dict[str, Any]) -> bytes:
    data = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + data
