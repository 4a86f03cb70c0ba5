"""The stand-in for the platform: Consul-style reads and blocking queries.

Each balancer reads from its own listening address. The address identifies the
reader, so that one reader can get an older state than another or none at all.
Nothing can be written over the network.
"""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11

READ_BYTES = 4096
POLL_INTERVAL_S = 0.05
DEFAULT_WAIT_S = 60.0
KV_PREFIX = "/v1/kv/"


class _Version(NamedTuple):
    modify_index: int
    at: float
    value: bytes


class ReaderView(NamedTuple):
    """State that one reader gets: none if down, an old one if stale, a delayed one with lag."""

    is_down: bool = False
    stale_index: int | None = None
    lag_s: float = 0.0


class _Query(NamedTuple):
    key: str
    known_index: int
    wait_s: float


class Platform:
    """A key-value store that only this process writes."""

    def __init__(self) -> None:
        self._versions: dict[str, list[_Version]] = {}
        self._views: dict[str, ReaderView] = {}
        self._key_lag_s: dict[str, float] = {}
        self._servers: list[asyncio.Server] = []
        self._connections: dict[str, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._index = 0
        self._calls: dict[str, int] = {}

    @property
    def index(self) -> int:
        """The index of the last change."""
        return self._index

    @property
    def calls(self) -> dict[str, int]:
        """Number of calls by reader; a blocking query counts as one."""
        return self._calls

    def set(self, key: str, value: bytes) -> None:
        """Write ``value``; when a reader sees it depends on its view and the key's lag."""
        self._index += 1
        versions = self._versions.setdefault(key, [])
        versions.append(_Version(self._index, time.monotonic(), value))

    def set_lag(self, key: str, lag_s: float) -> None:
        """Delay changes of ``key`` for all readers by ``lag_s`` seconds."""
        self._key_lag_s[key] = lag_s

    def set_view(self, reader: str, view: ReaderView) -> None:
        """Set the view of the reader with the listening address ``reader``.

        A view that is down also aborts the reader's open connections.
        """
        self._views[reader] = view
        if view.is_down:
            for writer in self._connections.get(reader, set()):
                writer.transport.abort()

    async def listen(self, reader: str, port: int) -> None:
        """Serve one reader at its own listening address."""
        self._views.setdefault(reader, ReaderView())
        self._connections.setdefault(reader, set())
        handler = partial(self._accept, reader)
        self._servers.append(await asyncio.start_server(handler, reader, port))

    async def close(self) -> None:
        """Stop serving."""
        for server in self._servers:
            server.close()
        for writers in self._connections.values():
            for writer in list(writers):
                writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def visible_version(self, reader: str, key: str) -> tuple[int, bytes] | None:
        """Return the index and value of ``key`` that ``reader`` gets now, or None."""
        view = self._views[reader]
        visible_until = time.monotonic() - view.lag_s - self._key_lag_s.get(key, 0.0)
        versions = self._versions.get(key, [])
        visible_versions = [
            version
            for version in versions
            if version.at <= visible_until
            and (view.stale_index is None or version.modify_index <= view.stale_index)
        ]
        if not visible_versions:
            return (versions[0].modify_index, versions[0].value) if versions else None
        return visible_versions[-1].modify_index, visible_versions[-1].value

    def _accept(
        self, reader: str, stream: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, stream, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: str, stream: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._views[reader].is_down:
            writer.transport.abort()
            return
        self._connections[reader].add(writer)
        try:
            await self._serve_requests(reader, stream, writer)
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            self._connections[reader].discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: str, stream: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                writer.write(await self._respond(reader, request, connection))
                await writer.drain()
                if connection.our_state is h11.MUST_CLOSE:
                    return
                connection.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _respond(
        self, reader: str, request: h11.Request, connection: h11.Connection
    ) -> bytes:
        self._calls[reader] = self._calls.get(reader, 0) + 1
        query = _parse_target(request.target.decode("ascii", "replace"))
        if request.method != b"GET" or query is None:
            return _encode(connection, 405, b"", {})
        found = await self._wait(reader, query)
        if found is None:
            return _encode(connection, 404, b"", {"X-Consul-Index": str(self._index)})
        index, value = found
        return _encode(connection, 200, value, {"X-Consul-Index": str(index)})

    async def _wait(self, reader: str, query: _Query) -> tuple[int, bytes] | None:
        deadline = time.monotonic() + query.wait_s
        while True:
            found = self.visible_version(reader, query.key)
            if query.known_index <= 0 or (found is not None and found[0] > query.known_index):
                return found
            if time.monotonic() >= deadline:
                return found
            await asyncio.sleep(POLL_INTERVAL_S)


def parse_duration_s(text: str) -> float:
    """Parse a duration of Consul's API into seconds; raise ValueError for any other text.

    >>> parse_duration_s("1500ms"), parse_duration_s("10s"), parse_duration_s("2m")
    (1.5, 10.0, 120.0)
    """
    for suffix, scale_s in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(suffix):
            return float(text.removesuffix(suffix)) * scale_s
    raise ValueError(f"duration needs the unit ms, s or m: {text!r}")


def _parse_target(target: str) -> _Query | None:
    parts = urlsplit(target)
    if not parts.path.startswith(KV_PREFIX):
        return None
    values = parse_qs(parts.query, keep_blank_values=True)
    wait = values.get("wait", [f"{DEFAULT_WAIT_S}s"])[0]
    try:
        known_index = int(values.get("index", ["0"])[0])
        wait_s = parse_duration_s(wait)
    except ValueError:
        return None
    return _Query(parts.path.removeprefix(KV_PREFIX), known_index, wait_s)


def _encode(connection: h11.Connection, status: int, body: bytes, headers: dict[str, str]) -> bytes:
    headers = {**headers, "Content-Length": str(len(body)), "Content-Type": "application/json"}
    response = h11.Response(status_code=status, headers=list(headers.items()))
    parts = (
        connection.send(response),
        connection.send(h11.Data(data=body)),
        connection.send(h11.EndOfMessage()),
    )
    return b"".join(part for part in parts if part)
