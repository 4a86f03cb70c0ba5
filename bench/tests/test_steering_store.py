"""Tests of the client of the platform's store against the stand-in store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from banyanline.core.types import Endpoint
from banyanline.platform.store import Changes, Page, StoreClient, StoreFailed, StoreFailure
from bench.steering.store import PAGE_ITEMS, StandInStore, StoreFault

ENTRIES = 3 * PAGE_ITEMS - 1


@contextlib.asynccontextmanager
async def stores() -> AsyncIterator[tuple[StandInStore, StoreClient]]:
    """Start a store with several pages of entries, and a client for it."""
    store = StandInStore()
    address = await store.start("127.0.0.1")
    try:
        for number in range(ENTRIES):
            await store.put(f"servers/i-{number:02}", {"number": number})
        yield store, StoreClient(Endpoint(*address), asyncio.get_running_loop().time)
    finally:
        await store.close()


async def read_all(client: StoreClient) -> list[Page]:
    pages: list[Page] = []
    while not pages or pages[-1].truncated:
        page = await client.read_page("", pages[-1].last_key if pages else "")
        assert isinstance(page, Page)
        pages.append(page)
    return pages


async def test_only_the_first_page_counts_towards_the_rate_limit():
    async with stores() as (store, client):
        pages = await read_all(client)
        assert [len(page.items) for page in pages] == [PAGE_ITEMS, PAGE_ITEMS, PAGE_ITEMS - 1]
        assert [item.key for page in pages for item in page.items] == [
            f"servers/i-{number:02}" for number in range(ENTRIES)
        ]
        assert {page.as_of for page in pages} == {store.revision}
        assert (client.calls, store.consistent_reads) == (3, 1)


async def test_watch_returns_changes_since_a_stale_page():
    async with stores() as (store, client):
        store.freeze_stale_reads()
        stale_revision = store.revision
        await store.delete(f"servers/i-{ENTRIES - 1:02}")
        await store.put("servers/i-99", {"number": 99})
        as_of = min(page.as_of for page in await read_all(client))
        assert as_of == stale_revision
        changes = await client.wait_for_changes("", as_of, 0.0)
        assert isinstance(changes, Changes)
        assert [event.key for event in changes.events] == [
            f"servers/i-{ENTRIES - 1:02}",
            "servers/i-99",
        ]


@pytest.mark.parametrize(
    ("fault", "reason"),
    [
        pytest.param(StoreFault.BUSY, StoreFailure.BAD_STATUS, id="busy"),
        pytest.param(StoreFault.RESET, StoreFailure.CLOSED_EARLY, id="reset"),
        pytest.param(StoreFault.MALFORMED, StoreFailure.MALFORMED, id="malformed"),
    ],
)
async def test_failed_read_reports_its_reason_and_counts_as_no_response(fault, reason):
    async with stores() as (store, client):
        store.fault = fault
        result = await client.read_page("")
        assert isinstance(result, StoreFailed)
        assert result.reason is reason
        assert client.failures[reason] >= (fault is not StoreFault.MALFORMED)
        assert (client.answered_at is not None) == (fault is StoreFault.MALFORMED)
