"""Exchange of platform views between hosts: HTTP server, client, query and encoding."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec
import structlog

from banyanline.core.steering.model import FleetView
from banyanline.net.pages import PageResponse
from banyanline.transport.http import HttpFailed, http_get

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.types import DataCentreName, Endpoint, Seconds

VIEW_PATH = "/view"
MAX_VIEW_BYTES = 4 * 1024 * 1024
ANSWER_TIMEOUT_S = 0.5
MAX_WAIT_S = 3.0
POLLING_HOST_LIFETIME_S = 5.0
"""How long a host counts as polling after its last request."""

MAX_NAME_CHARACTERS = 100
MAX_POLLING_HOSTS = 2_000
MAX_CONNECTIONS = 600
"""Limit on hosts that wait for a response of one host at the same time."""

DEFLATE_LEVEL = 1
MIN_DEFLATE_BYTES = 512
"""Shorter responses fit into one packet uncompressed."""

_ENCODING = "deflate"
_CONTENT_TYPE = {"Content-Type": "application/vnd.msgpack"}
_DEFLATED = _CONTENT_TYPE | {"Content-Encoding": _ENCODING}
_MAX_DIGITS = 19
_HTTP_OK = 200
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetView)

log = structlog.get_logger()


class ViewQuery(NamedTuple):
    """A request for the changes after revision ``have``, waiting up to ``wait_s`` for one.

    ``era`` is that of the revision; a host in another era sends everything. Without
    ``whole`` the response may omit a large configuration; with ``deflate`` it may be
    compressed. ``host`` is the name of the polling host.
    """

    have: int
    wait_s: Seconds = 0.0
    whole: bool = True
    deflate: bool = False
    host: str = ""
    era: int = 0


def encode_view(view: FleetView) -> bytes:
    """Encode a view for other hosts of this version."""
    return _ENCODER.encode(view)


def decode_view(data: bytes) -> FleetView | None:
    """Decode a peer's view; return None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        log.warning("view_unreadable", detail=str(error))
        return None


def decode_deflated_view(data: bytes) -> FleetView | None:
    """Decode a peer's compressed view; return None if it is malformed."""
    inflater = zlib.decompressobj()
    try:
        view = inflater.decompress(data, MAX_VIEW_BYTES)
    except zlib.error as error:
        log.warning("view_unreadable", detail=str(error))
        return None
    if not inflater.eof:
        log.warning("view_unreadable", detail=f"truncated, or larger than {MAX_VIEW_BYTES} bytes")
        return None
    return decode_view(view)


def parse_query(target: str) -> ViewQuery | PageResponse:
    """Parse a request target; return an error response if it is invalid.

    >>> parse_query("/view?have=7&wait_ms=500&whole=0")
    ViewQuery(have=7, wait_s=0.5, whole=False, deflate=False, host='', era=0)
    """
    parts = urlsplit(target)
    if parts.path != VIEW_PATH:
        return PageResponse(404, b"no such page\n")
    fields = {name: values[0] for name, values in parse_qs(parts.query).items()}
    numbers = [fields.get(name, default) for name, default in _FIELDS]
    if not all(_is_number(number) for number in numbers):
        return PageResponse(400, b"have, wait_ms, whole, deflate and era are whole numbers\n")
    have, wait_ms, whole, deflate, era = (int(number) for number in numbers)
    host = fields.get("host", "")[:MAX_NAME_CHARACTERS]
    return ViewQuery(have, min(MAX_WAIT_S, wait_ms / 1000.0), whole != 0, deflate != 0, host, era)


_FIELDS = (("have", "0"), ("wait_ms", "0"), ("whole", "1"), ("deflate", "0"), ("era", "0"))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS


class ViewServer:
    """Serves this host's view to other hosts, at once or on the next change (long polling)."""

    def __init__(
        self,
        catalog: Catalog,
        clock: Callable[[], Seconds],
        age_s: Callable[[], Seconds],
        data_centre: DataCentreName = "",
    ) -> None:
        self._catalog = catalog
        self._data_centre = data_centre
        self._clock = clock
        self._age_s = age_s
        self._change_event = asyncio.Event()
        self._last_polled_at: dict[str, Seconds] = {}

    @property
    def polling_hosts(self) -> int:
        """Number of hosts that poll this one, including itself."""
        oldest = self._clock() - POLLING_HOST_LIFETIME_S
        while self._last_polled_at:
            host, polled_at = next(iter(self._last_polled_at.items()))
            if polled_at >= oldest:
                break
            del self._last_polled_at[host]
        return len(self._last_polled_at) + 1

    def notify_waiters(self) -> None:
        """Answer the requests that wait for a change."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def respond(self, target: str) -> PageResponse:
        """Answer a request; status 503 before there is a configuration."""
        query = parse_query(target)
        if isinstance(query, PageResponse):
            return query
        if not self._catalog.is_configured:
            return PageResponse(503, b"not configured\n")
        self._record_poll(query.host)
        if self._has_nothing_new(query) and query.wait_s > 0:
            await self._wait(query.wait_s)
        have = query.have if query.era == self._catalog.era else 0
        view = self._catalog.view(self._clock(), have, self._age_s(), whole=query.whole)
        response_view = view._replace(
            data_centre=self._data_centre, polling_hosts=self.polling_hosts
        )
        data = encode_view(response_view)
        if not query.deflate or len(data) < MIN_DEFLATE_BYTES:
            return PageResponse(200, data, _CONTENT_TYPE)
        return PageResponse(200, zlib.compress(data, DEFLATE_LEVEL), _DEFLATED)

    def _has_nothing_new(self, query: ViewQuery) -> bool:
        return query.era == self._catalog.era and query.have >= self._catalog.revision

    def _record_poll(self, host: str) -> None:
        if host and (host in self._last_polled_at or len(self._last_polled_at) < MAX_POLLING_HOSTS):
            # Move to the end, to keep the entries ordered by the time of the last poll.
            self._last_polled_at.pop(host, None)
            self._last_polled_at[host] = self._clock()

    async def _wait(self, wait_s: Seconds) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._change_event.wait()
        except TimeoutError:
            return


async def fetch_view(host: Endpoint, query: ViewQuery) -> FleetView | None:
    """Fetch a peer's view; return None if that fails or the peer has no configuration."""
    fields = {
        "have": query.have,
        "wait_ms": int(query.wait_s * 1000),
        "whole": int(query.whole),
        "deflate": 1,
        "host": query.host,
        "era": query.era,
    }
    result = await http_get(
        host,
        f"{VIEW_PATH}?{urlencode(fields)}",
        timeout_s=query.wait_s + ANSWER_TIMEOUT_S,
        max_body_bytes=MAX_VIEW_BYTES,
    )
    if isinstance(result, HttpFailed):
        log.info("seed_unreachable", seed=str(host), reason=result.reason.value)
        return None
    if result.status != _HTTP_OK:
        return None
    if result.headers.get("content-encoding") == _ENCODING:
        return decode_deflated_view(result.body)
    return decode_view(result.body)
