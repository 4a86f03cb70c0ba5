"""Client of the platform's store: lists items by prefix and watches changes after a revision."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypeAlias
from urllib.parse import urlencode

import msgspec

from banyanline.core.steering.model import StoreEra
from banyanline.platform.entries import StoreItem
from banyanline.transport.http import HttpFailed, http_get

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from banyanline.core.types import Endpoint, Seconds

MAX_BODY_BYTES = 4 * 1024 * 1024
"""A page is about 1 MB before base64 encoding of its values."""

ANSWER_TIMEOUT_S = 0.8
"""Response timeout in addition to the wait time of a watch."""

_ERA_HEADER = "store-era"
_MAX_ERA_DIGITS = 18
_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_TOO_MANY = 429


class StoreFailureReason(StrEnum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED_EARLY = "closed_early"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_CALLS = "too_many_calls"
    BAD_STATUS = "bad_status"
    HISTORY_GONE = "history_gone"
    EARLIER_ERA = "earlier_era"
    """The response is from before the store was restored from a copy."""


class StoreFailed(NamedTuple):
    """The result of a failed call to the store."""

    reason: StoreFailureReason
    detail: str = ""


class Changes(NamedTuple):
    """The changes after the requested revision, up to revision ``as_of`` of the store's era."""

    events: tuple[StoreItem, ...]
    as_of: int
    era: StoreEra = 0


ChangesResult: TypeAlias = Changes | StoreFailed


class StorePage(msgspec.Struct):
    """One page of a listing; if ``truncated``, the next page begins after the last key."""

    items: list[StoreItem]
    truncated: bool
    as_of: int
    era: StoreEra = 0

    @property
    def last_key(self) -> str:
        """Key after which the next page begins."""
        return self.items[-1].key if self.items else ""


class _Events(msgspec.Struct):
    events: list[StoreItem]
    as_of: int


PageResult: TypeAlias = "StorePage | StoreFailed"

_PAGE_DECODER = msgspec.json.Decoder(StorePage)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class _Response(NamedTuple):
    body: bytes
    era: StoreEra


class StoreClient:
    """Calls the store at one endpoint; errors are returned, never raised."""

    def __init__(self, endpoint: Endpoint, clock: Callable[[], Seconds]) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._answered_at: Seconds | None = None
        self._calls = 0
        self._failures: Counter[StoreFailureReason] = Counter()

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the store; may be changed at any time."""
        return self._endpoint

    @endpoint.setter
    def endpoint(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    @property
    def calls(self) -> int:
        """Number of calls so far."""
        return self._calls

    @property
    def failures(self) -> Counter[StoreFailureReason]:
        """Number of failed calls by reason."""
        return self._failures

    @property
    def answered_at(self) -> Seconds | None:
        """Time of the last response with status 200, or None before the first."""
        return self._answered_at

    async def read_page(
        self, prefix: str, after: str = "", timeout_s: Seconds = ANSWER_TIMEOUT_S
    ) -> PageResult:
        """Read one page of the items under ``prefix`` whose keys come after ``after``.

        Pages after the first may be seconds old, as they are requested with
        ``allow_stale``: such calls do not count towards the store's rate limit.
        """
        query = {"prefix": prefix} | (_later_page_query(after) if after else {})
        response = await self._get("/kv-range", query, timeout_s)
        if isinstance(response, StoreFailed):
            return response
        page = parse_page(response.body, response.era)
        if isinstance(page, StorePage) and page.truncated and page.last_key <= after:
            return StoreFailed(
                StoreFailureReason.MALFORMED,
                "truncated page does not advance past the previous key",
            )
        return page

    async def wait_for_changes(self, prefix: str, after: int, wait_s: Seconds) -> ChangesResult:
        """Wait up to ``wait_s`` for changes after a revision; may return an empty result.

        Fails with ``HISTORY_GONE`` if the store no longer holds the changes since then.
        """
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(int(wait_s * 1000))}
        response = await self._get("/kv-watch", query, wait_s + ANSWER_TIMEOUT_S)
        if isinstance(response, StoreFailed):
            return response
        return parse_changes(response.body, response.era)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: Seconds
    ) -> _Response | StoreFailed:
        self._calls += 1
        result = await self._call(path, query, timeout_s)
        if isinstance(result, StoreFailed):
            self._failures[result.reason] += 1
        return result

    async def _call(
        self, path: str, query: dict[str, str], timeout_s: Seconds
    ) -> _Response | StoreFailed:
        response = await http_get(
            self._endpoint,
            f"{path}?{urlencode(query)}",
            timeout_s=timeout_s,
            max_body_bytes=MAX_BODY_BYTES,
        )
        if isinstance(response, HttpFailed):
            return StoreFailed(StoreFailureReason(response.reason.value), response.detail)
        if response.status == _HTTP_OK:
            self._answered_at = self._clock()
            return _Response(response.body, parse_era(response.headers))
        if response.status == _HTTP_GONE:
            return StoreFailed(StoreFailureReason.HISTORY_GONE)
        if response.status == _HTTP_TOO_MANY:
            return StoreFailed(StoreFailureReason.TOO_MANY_CALLS)
        return StoreFailed(StoreFailureReason.BAD_STATUS, str(response.status))


def _later_page_query(after: str) -> dict[str, str]:
    return {"after": after, "allow_stale": "1"}


def parse_era(headers: Mapping[str, str]) -> StoreEra:
    """Return the era that a response names, or 0 if it names none.

    >>> parse_era({"store-era": "3"}), parse_era({})
    (3, 0)
    """
    era = headers.get(_ERA_HEADER, "")
    return int(era) if era.isascii() and era.isdecimal() and len(era) <= _MAX_ERA_DIGITS else 0


def parse_page(body: bytes, era: StoreEra = 0) -> PageResult:
    """Decode a page of items from the store."""
    try:
        page = _PAGE_DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return StoreFailed(StoreFailureReason.MALFORMED, str(error))
    page.era = era
    return page


def parse_changes(body: bytes, era: StoreEra = 0) -> ChangesResult:
    """Decode a list of changes from the store.

    >>> parse_changes(b'{"events":[],"as_of":413}')
    Changes(events=(), as_of=413, era=0)
    """
    try:
        changes = _EVENTS_DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return StoreFailed(StoreFailureReason.MALFORMED, str(error))
    return Changes(tuple(changes.events), changes.as_of, era)
