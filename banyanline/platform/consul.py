"""Reads Consul's key-value store through blocking queries of its HTTP API.

Indexes follow the rules in Consul's documentation of blocking queries: reset the index
to 0 if it goes backwards, treat an index below 1 as 1, and expect the server to lengthen
the wait by up to one sixteenth.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

from banyanline.platform.reader import (
    MAX_VALUE_BYTES,
    PlatformReader,
    PlatformValue,
    ReadFailed,
    ReadFailureReason,
    ReadResult,
)
from banyanline.transport.http import HttpFailed, HttpResponse, http_get

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Mapping, Sequence

    from banyanline.core.types import Endpoint

BODY_SLACK_BYTES = 4 * 1024
ANSWER_TIMEOUT_S = 3.0
"""Response timeout in addition to the wait time of a blocking query."""

WAIT_JITTER_SHARE = 1 / 16
MIN_CALL_INTERVAL_S = 0.1
"""Limits the request rate if the server returns from blocking queries at once."""

MAX_BACKOFF_DOUBLINGS = 4
HTTP_OK = 200
HTTP_NOT_FOUND = 404
INDEX_HEADER = "x-consul-index"
MAX_INDEX_DIGITS = 19


class WatchTiming(NamedTuple):
    """``wait_s`` is the wait time of a blocking query, ``retry_interval_s`` the base backoff."""

    wait_s: float = 60.0
    retry_interval_s: float = 1.0


class ConsulReader(PlatformReader):
    """Reads keys from one of several server addresses and fails over to the next.

    After a failed call the next address is used. Retries use exponential backoff with an
    upper bound; ``rng`` adds jitter so that many readers do not retry in step.
    """

    def __init__(
        self, addresses: Sequence[Endpoint], rng: random.Random, watch: WatchTiming | None = None
    ) -> None:
        if not addresses:
            raise ValueError("no platform address given")
        self._addresses = tuple(addresses)
        self._rng = rng
        self._watch = watch or WatchTiming()
        self._address_index = rng.randrange(len(addresses))
        self._calls = 0
        self._failures: Counter[ReadFailureReason] = Counter()

    @property
    def calls(self) -> int:
        """Number of calls so far, including one that is waiting."""
        return self._calls

    @property
    def failures(self) -> Mapping[ReadFailureReason, int]:
        """Number of failed calls by reason."""
        return self._failures

    async def read(self, key: str) -> ReadResult:
        """Read the current value of ``key`` once, from the current address."""
        result = await self._call(key, 0)
        if isinstance(result, ReadFailed):
            self._failures[result.reason] += 1
            self._address_index += 1
        return result

    async def watch(self, key: str) -> AsyncIterator[PlatformValue]:
        """Yield the value of ``key`` now and after each change, forever."""
        index = 0
        consecutive_failures = 0
        while True:
            result = await self._call(key, index)
            if isinstance(result, ReadFailed):
                self._failures[result.reason] += 1
                self._address_index += 1
                consecutive_failures += 1
                await asyncio.sleep(self._backoff_s(consecutive_failures))
                continue
            consecutive_failures = 0
            if result.modify_index < index:
                self._failures[ReadFailureReason.INDEX_RESET] += 1
                index = 0
            elif result.modify_index > index:
                index = result.modify_index
                yield result
            await asyncio.sleep(MIN_CALL_INTERVAL_S)

    def _backoff_s(self, consecutive_failures: int) -> float:
        doublings = min(consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        return self._watch.retry_interval_s * 2.0**doublings * self._rng.uniform(0.5, 1.5)

    async def _call(self, key: str, index: int) -> ReadResult:
        target = f"/v1/kv/{quote(key)}?raw"
        timeout_s = ANSWER_TIMEOUT_S
        if index > 0:
            wait_s = self._watch.wait_s
            target += f"&index={index}&wait={wait_s:g}s"
            timeout_s += wait_s * (1 + WAIT_JITTER_SHARE)
        self._calls += 1
        response = await http_get(
            self._addresses[self._address_index % len(self._addresses)],
            target,
            timeout_s=timeout_s,
            max_body_bytes=MAX_VALUE_BYTES + BODY_SLACK_BYTES,
        )
        if isinstance(response, HttpFailed):
            return ReadFailed(ReadFailureReason(response.reason.value), response.detail)
        return parse_response(response)


def parse_response(response: HttpResponse) -> ReadResult:
    """Return the value and index from the response to a key read.

    >>> parse_response(HttpResponse(200, {"x-consul-index": "7"}, b"value"))
    PlatformValue(value=b'value', modify_index=7)
    """
    if response.status == HTTP_NOT_FOUND:
        return ReadFailed(ReadFailureReason.NO_SUCH_KEY)
    if response.status != HTTP_OK:
        return ReadFailed(ReadFailureReason.BAD_STATUS, str(response.status))
    digits = response.headers.get(INDEX_HEADER, "")
    if not (digits.isascii() and digits.isdecimal() and len(digits) <= MAX_INDEX_DIGITS):
        return ReadFailed(ReadFailureReason.NO_INDEX, f"{INDEX_HEADER}: {digits[:40]!r}")
    return PlatformValue(response.body, max(1, int(digits)))
