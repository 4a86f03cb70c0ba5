"""What a host asks, of whom, and what it makes of the answers."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from banyanline.core.steering.catalog import COLD_GAP_S, Catalog
from banyanline.core.steering.model import DataCentreOut, FleetView, TableChanged
from banyanline.core.types import Endpoint
from banyanline.net.steering import feed as feed_module
from banyanline.net.steering.feed import DIRECT_S, RELAY_AGE_S, RELAY_BOUND_S, StoreFeed
from banyanline.net.steering.seeds import Seeds
from banyanline.platform.entries import StoreItem
from banyanline.platform.store import Changes, Page, StoreFailed, StoreFailure
from banyanline.tests.steering import table

STORE = Endpoint("192.0.2.9", 80)
OWN = Endpoint("192.0.2.1", 80)
SEED = Endpoint("192.0.2.2", 80)
START = 7
OUT = StoreItem("op/evacuate/north", START + 1, "e30=")


class Script:
    """A store and a seed that answer from a list each; the time passes only in sleeps."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, watches: list[Any], views: list[Any]):
        self.now = 100.0
        self.asked: list[str] = []
        self.endpoint = STORE
        self.pages: list[list[StoreItem] | StoreFailed] = []
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
        """Run the feed until a list is at its end; return who was asked."""
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
        return self.asked

    async def read_page(self, prefix: str, after: str, timeout_s: float) -> Any:
        self.asked.append(f"page after {after}" if after else "all")
        self.timeouts.append(timeout_s)
        self.out.append(self.catalog.data_centres_out)
        page = self.pages.pop(0) if self.pages else []
        if isinstance(page, StoreFailed):
            return page
        return Page(page, bool(self.pages), START)

    async def wait_for_changes(self, prefix: str, after: int, wait_s: float) -> Any:
        self.asked.append(f"store {after}")
        return await self._next(self._watches)

    async def _fetch_view(self, host: Endpoint, query: Any) -> Any:
        self.asked.append(f"seed {query.have}")
        return await self._next(self._views)

    async def _next(self, answers: list[Any]) -> Any:
        if not answers:
            self._done.set()
            await asyncio.Event().wait()
        return answers.pop(0)

    async def _sleep(self, seconds: float) -> None:
        self.now += seconds


def view(revision: int, age_s: float = 0.1, version: int = 1, out: bool = False) -> FleetView:
    words = (DataCentreOut("north", True, revision),) if out else ()
    return FleetView(revision, age_s, version, None, (), words)


NOTHING = Changes((), START)


@pytest.mark.parametrize(
    ("bound_s", "seeds", "first"),
    [
        pytest.param(RELAY_BOUND_S, [SEED], "seed 7", id="through a seed"),
        pytest.param(RELAY_BOUND_S - 0.1, [SEED], "store 7", id="no time for two steps"),
        pytest.param(RELAY_BOUND_S, [OWN, SEED], "store 7", id="a seed itself"),
        pytest.param(RELAY_BOUND_S, [], "store 7", id="no seeds"),
    ],
)
async def test_who_is_asked(monkeypatch, bound_s, seeds, first):
    script = Script(monkeypatch, [], [])
    assert await script.play(bound_s=bound_s, seeds=seeds) == ["all", first]


@pytest.mark.parametrize(
    ("answer", "then"),
    [
        pytest.param(view(START), "seed 7", id="nothing new"),
        pytest.param(view(START + 2, out=True), "seed 9", id="news"),
        pytest.param(None, "store 7", id="silent"),
        pytest.param(view(START, age_s=RELAY_AGE_S + 0.1), "store 7", id="cut off from the store"),
        pytest.param(view(START - 1), "store 7", id="behind"),
        pytest.param(view(START + 2, version=2), "store 7", id="a configuration not told"),
    ],
)
async def test_what_follows_a_seed_s_answer(monkeypatch, answer, then):
    script = Script(monkeypatch, [], [answer])
    asked = await script.play(bound_s=RELAY_BOUND_S, seeds=[SEED])
    assert asked == ["all", "seed 7", then]


async def test_each_page_of_a_read_counts_at_once_and_what_none_holds_is_gone(monkeypatch):
    """On a small link the pages of 3,000 upstreams take seconds."""
    script = Script(monkeypatch, [], [])
    script.catalog.on_change(DataCentreOut("west", True, 1), script.now)
    script.pages = [[OUT], [StoreItem("op/evacuate/south", START - 1, "e30=")]]
    await script.play(bound_s=RELAY_BOUND_S, seeds=[])
    assert script.out == [{"west"}, {"west", "north"}]
    assert script.asked == ["all", "page after op/evacuate/north", "store 7"]
    assert script.catalog.data_centres_out == {"north", "south"}


async def test_a_page_that_does_not_come_is_asked_for_again_with_more_time(monkeypatch):
    """All hosts of a large fleet read at once after a loss of power."""
    script = Script(monkeypatch, [], [])
    late = StoreFailed(StoreFailure.TIMEOUT)
    south = StoreItem("op/evacuate/south", START, "e30=")
    script.pages = [[OUT], late, late, late, [south], late, []]
    await script.play(bound_s=RELAY_BOUND_S, seeds=[])
    north, after = "page after op/evacuate/north", "page after op/evacuate/south"
    assert script.asked == ["all", north, north, north, north, after, after, "store 7"]
    assert script.timeouts == [0.8, 0.8, 1.6, 3.2, 3.2, 0.8, 1.6]
    assert script.catalog.data_centres_out == {"north", "south"}


@pytest.mark.parametrize(
    ("askers", "gap_s"),
    [
        pytest.param(0, COLD_GAP_S, id="not told"),
        pytest.param(2, COLD_GAP_S, id="small fleet"),
        pytest.param(30, 10.0 * COLD_GAP_S, id="sixty hosts and two seeds"),
    ],
)
async def test_a_seed_tells_how_many_hosts_share_what_cold_upstreams_bear(
    monkeypatch, askers, gap_s
):
    script = Script(monkeypatch, [], [view(START)._replace(askers=askers)])
    await script.play(bound_s=RELAY_BOUND_S, seeds=[SEED, Endpoint("192.0.2.3", 80)])
    assert script.catalog.cold_gap_s == pytest.approx(gap_s)


async def test_a_seed_is_asked_again_after_a_while(monkeypatch):
    script = Script(monkeypatch, [NOTHING, Changes((OUT,), START + 1)], [None])
    script._sleep = lambda seconds: _advance(script, DIRECT_S)  # type: ignore[method-assign]
    monkeypatch.setattr(asyncio, "sleep", script._sleep)
    asked = await script.play(bound_s=RELAY_BOUND_S, seeds=[SEED])
    assert asked == ["all", "seed 7", "store 7", "store 7", "seed 8"]


async def _advance(script: Script, seconds: float) -> None:
    script.now += seconds


async def test_changes_are_applied_and_the_next_watch_begins_after_them(monkeypatch):
    script = Script(monkeypatch, [Changes((OUT,), START + 3)], [])
    asked = await script.play(bound_s=3.0, seeds=[])
    assert asked == ["all", "store 7", "store 10"]
    assert script.catalog.data_centres_out == {"north"}
    assert script.catalog.revision == START + 3


async def test_a_lost_history_is_read_anew_and_a_failed_call_is_made_again(monkeypatch):
    failed = StoreFailed(StoreFailure.TIMEOUT)
    gone = StoreFailed(StoreFailure.HISTORY_GONE)
    script = Script(monkeypatch, [failed, failed, gone], [])
    asked = await script.play(bound_s=3.0, seeds=[])
    assert asked == ["all", "store 7", "store 7", "store 7", "all", "store 7"]
    assert script.now > 100.0
