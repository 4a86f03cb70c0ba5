"""Synchronisation of a host with the store, directly or through a seed."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from banyanline.core.steering.catalog import Catalog
from banyanline.core.steering.model import DataCentreChanged, FleetView, TableChanged
from banyanline.core.types import Endpoint
from banyanline.net.steering import feed as feed_module
from banyanline.net.steering.feed import (
    DIRECT_AFTER_FAILURE_S,
    MAX_RELAY_AGE_S,
    MIN_RELAY_BOUND_S,
    StoreFeed,
)
from banyanline.net.steering.seeds import Seeds
from banyanline.platform.entries import StoreItem
from banyanline.platform.store import Changes, StoreFailed, StoreFailureReason, StorePage
from banyanline.tests.steering import table

STORE = Endpoint("192.0.2.9", 80)
OWN = Endpoint("192.0.2.1", 80)
SEED = Endpoint("192.0.2.2", 80)
START = 7
OUT = StoreItem("op/evacuate/north", START + 1, "e30=")


class Script:
    """A scripted store and seed, each with a list of responses; time advances only in sleeps."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, watches: list[Any], views: list[Any]):
        self.now = 100.0
        self.requests: list[str] = []
        self.endpoint = STORE
        self.pages: list[list[StoreItem] | StoreFailed] = []
        self.eras: list[int] = []
        self.seconds_per_watch = 0.0
        self.timeouts: list[float] = []
        self.out: list[frozenset[str]] = []
        self.calls = 0
        self.answered_at: float | None = None
        self._watches = watches
        self._views = views
        self._done = asyncio.Event()
        self.catalog = Catalog()
        self.catalog.on_change(TableChanged(table(), 1), self.now)
        monkeypatch.setattr(asyncio, "sleep", self._sleep)
        monkeypatch.setattr(feed_module, "fetch_view", self._fetch_view)

    async def play(self, *, bound_s: float, seeds: list[Endpoint]) -> list[str]:
        """Run the feed until a list of responses is used up; return the requests made."""
        known = Seeds(OWN, random.Random(1))
        known.set(seeds)
        reader: Any = self
        feed = StoreFeed(
            reader, self.catalog, lambda: self.now, random.Random(1), known, lambda: None
        )
        feed.set_source(STORE, 5.0, bound_s)
        task = asyncio.create_task(feed.run())
        await self._done.wait()
        task.cancel()
        return self.requests

    async def read_page(self, prefix: str, after: str, timeout_s: float) -> Any:
        self.requests.append(f"page after {after}" if after else "all")
        self.timeouts.append(timeout_s)
        self.out.append(self.catalog.data_centres_out)
        page = self.pages.pop(0) if self.pages else []
        if isinstance(page, StoreFailed):
            return page
        era = self.eras.pop(0) if self.eras else self.catalog.era
        return StorePage(page, bool(self.pages), START, era)

    async def wait_for_changes(self, prefix: str, after: int, wait_s: float) -> Any:
        self.requests.append(f"store {after}")
        self.now += self.seconds_per_watch
        return await self._next(self._watches)

    async def _fetch_view(self, host: Endpoint, query: Any) -> Any:
        self.requests.append(f"seed {query.have}")
        return await self._next(self._views)

    async def _next(self, answers: list[Any]) -> Any:
        if not answers:
            self._done.set()
            await asyncio.Event().wait()
        return answers.pop(0)

    async def _sleep(self, seconds: float) -> None:
        self.now += seconds


def view(revision: int, age_s: float = 0.1, version: int = 1, out: bool = False) -> FleetView:
    changes = (DataCentreChanged("north", True, revision),) if out else ()
    return FleetView(revision, age_s, version, None, (), changes)


NO_CHANGES = Changes((), START)


@pytest.mark.parametrize(
    ("bound_s", "seeds", "first"),
    [
        pytest.param(MIN_RELAY_BOUND_S, [SEED], "seed 7", id="through a seed"),
        pytest.param(MIN_RELAY_BOUND_S - 0.1, [SEED], "store 7", id="no time for an extra hop"),
        pytest.param(MIN_RELAY_BOUND_S, [OWN, SEED], "store 7", id="host is a seed"),
        pytest.param(MIN_RELAY_BOUND_S, [], "store 7", id="no seeds"),
    ],
)
async def test_source_of_changes(monkeypatch, bound_s, seeds, first):
    script = Script(monkeypatch, [], [])
    assert await script.play(bound_s=bound_s, seeds=seeds) == ["all", first]


@pytest.mark.parametrize(
    ("answer", "then"),
    [
        pytest.param(view(START), "seed 7", id="no change"),
        pytest.param(view(START + 2, out=True), "seed 9", id="change"),
        pytest.param(None, "store 7", id="silent"),
        pytest.param(
            view(START, age_s=MAX_RELAY_AGE_S + 0.1), "store 7", id="cut off from the store"
        ),
        pytest.param(view(START - 1), "store 7", id="behind"),
        pytest.param(view(START + 2, version=2), "store 7", id="configuration omitted"),
    ],
)
async def test_next_request_after_a_seed_response(monkeypatch, answer, then):
    script = Script(monkeypatch, [], [answer])
    requests = await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[SEED])
    assert requests == ["all", "seed 7", then]


async def test_each_page_is_applied_at_once_and_unlisted_items_are_removed(monkeypatch):
    """The pages of 3,000 upstreams take seconds on a slow link; the first must not wait."""
    script = Script(monkeypatch, [], [])
    script.catalog.on_change(DataCentreChanged("west", True, 1), script.now)
    script.pages = [[OUT], [StoreItem("op/evacuate/south", START - 1, "e30=")]]
    await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[])
    assert script.out == [{"west"}, {"west", "north"}]
    assert script.requests == ["all", "page after op/evacuate/north", "store 7"]
    assert script.catalog.data_centres_out == {"north", "south"}


async def test_a_failed_page_is_retried_with_a_longer_timeout(monkeypatch):
    """After a power loss all hosts of a large fleet list the store at once, so pages are slow."""
    script = Script(monkeypatch, [], [])
    late = StoreFailed(StoreFailureReason.TIMEOUT)
    south = StoreItem("op/evacuate/south", START, "e30=")
    script.pages = [[OUT], late, late, late, [south], late, []]
    await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[])
    north, after = "page after op/evacuate/north", "page after op/evacuate/south"
    assert script.requests == ["all", north, north, north, north, after, after, "store 7"]
    assert script.timeouts == [0.8, 0.8, 1.6, 3.2, 3.2, 0.8, 1.6]
    assert script.catalog.data_centres_out == {"north", "south"}


@pytest.mark.parametrize(
    ("polling_hosts", "hosts"),
    [
        pytest.param(0, None, id="unknown"),
        pytest.param(2, 4, id="small fleet"),
        pytest.param(30, 60, id="sixty hosts and two seeds"),
    ],
)
async def test_a_host_learns_the_number_of_hosts_from_a_seed(monkeypatch, polling_hosts, hosts):
    script = Script(monkeypatch, [], [view(START)._replace(polling_hosts=polling_hosts)])
    await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[SEED, Endpoint("192.0.2.3", 80)])
    assert script.catalog.host_count == hosts


async def test_a_failed_seed_is_polled_again_after_a_delay(monkeypatch):
    script = Script(monkeypatch, [NO_CHANGES, Changes((OUT,), START + 1)], [None])
    script._sleep = lambda seconds: _advance(script, DIRECT_AFTER_FAILURE_S)  # type: ignore[method-assign]
    monkeypatch.setattr(asyncio, "sleep", script._sleep)
    requests = await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[SEED])
    assert requests == ["all", "seed 7", "store 7", "store 7", "seed 8"]


async def _advance(script: Script, seconds: float) -> None:
    script.now += seconds


async def test_changes_are_applied_and_the_next_watch_starts_after_them(monkeypatch):
    script = Script(monkeypatch, [Changes((OUT,), START + 3)], [])
    requests = await script.play(bound_s=3.0, seeds=[])
    assert requests == ["all", "store 7", "store 10"]
    assert script.catalog.data_centres_out == {"north"}
    assert script.catalog.revision == START + 3


async def test_failed_watches_are_retried_and_lost_history_causes_a_new_listing(monkeypatch):
    failed = StoreFailed(StoreFailureReason.TIMEOUT)
    gone = StoreFailed(StoreFailureReason.HISTORY_GONE)
    script = Script(monkeypatch, [failed, failed, gone], [])
    requests = await script.play(bound_s=3.0, seeds=[])
    assert requests == ["all", "store 7", "store 7", "store 7", "all", "store 7"]
    assert script.now > 100.0
