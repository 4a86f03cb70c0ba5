"""Keeps a host's view of upstreams and configuration up to date from the platform's store."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyanline.core.steering.model import DataCentreOut, UpstreamChanged
from banyanline.net.steering.beliefs import log_change
from banyanline.net.steering.views import ViewQuery, fetch_view
from banyanline.platform.entries import Unrelated, UnusableItem, decode_item
from banyanline.platform.store import ANSWER_TIMEOUT_S, StoreFailed, StoreFailure

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.model import Change
    from banyanline.core.types import DataCentreName, Endpoint, Seconds, UpstreamName
    from banyanline.net.steering.seeds import Seeds
    from banyanline.platform.entries import StoreItem
    from banyanline.platform.store import StoreClient

EVERYTHING = ""
"""One prefix for upstreams and the operators' words, so that one watch serves for both."""

WATCH_SHARE = 0.6
"""How long a watch waits, as a share of the time after which a host is held to its bounds.

A lost answer shows only when the watch should have ended.
"""

PAUSE_S = 0.8
"""Pause after an answer, so that changes that come together cost one call."""

RELAY_BOUND_S = 5.0
"""Hosts that have this long to act on a change leave the store to the seeds."""

SEED_WATCH_SHARE = 0.3
"""The same share for a seed on which other hosts rely."""

RELAY_WAIT_S = 1.2
RELAY_AGE_S = 2.6
"""A seed that has heard of the store longer ago may be cut off: its watches are shorter."""

RELAY_PAUSE_S = 0.3
DIRECT_S = 3.0
"""How long the store is asked directly after a seed has failed."""

MAX_DOUBLINGS = 2
"""How often the time for a page is doubled: many hosts may read at once over small links."""

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8

log = structlog.get_logger()


class _Listing(NamedTuple):
    """What a read of all pages has found so far."""

    upstreams: list[UpstreamName]
    out: list[DataCentreName]


class StoreFeed:
    """Reads everything once, then follows the changes, whatever befalls the store."""

    def __init__(
        self,
        client: StoreClient,
        catalog: Catalog,
        clock: Callable[[], Seconds],
        rng: random.Random,
        seeds: Seeds,
        on_change: Callable[[], None],
        host: str = "",
    ) -> None:
        self._client = client
        self._host = host
        self._catalog = catalog
        self._clock = clock
        self._rng = rng
        self._seeds = seeds
        self._watch_s = 0.0
        self._relays = False
        self._direct_until: Seconds = 0.0
        self._on_change = on_change
        self._failed = 0
        self._heard_at: Seconds | None = None

    @property
    def client(self) -> StoreClient:
        """The client that makes the calls."""
        return self._client

    @property
    def heard_at(self) -> Seconds | None:
        """As of when this host knows the store, or None before the first whole answer."""
        return self._heard_at

    @property
    def contact_at(self) -> Seconds | None:
        """When the store answered any call, perhaps with one page of many, or a seed did."""
        known = [at for at in (self._heard_at, self._client.answered_at) if at is not None]
        return max(known, default=None)

    def set_source(self, store: Endpoint, contact_s: Seconds, bound_s: Seconds) -> None:
        """Make the calls to come to this store.

        ``contact_s`` is the time after which a well host is held to its bounds, and
        ``bound_s`` the shortest time within which it has to act on a change.
        """
        self._client.endpoint = store
        self._relays = bound_s >= RELAY_BOUND_S
        share = SEED_WATCH_SHARE if self._relays and self._seeds.has_own else WATCH_SHARE
        self._watch_s = contact_s * share

    async def run(self) -> None:
        """Follow the store without end."""
        while True:
            await self._follow(await self._read_all())

    async def _read_all(self) -> int:
        """Read page after page, each again until it comes; return the revision of the oldest.

        Changes made since then are told by the watch, whichever page they fell into.
        """
        listing = _Listing([], [])
        items, after, as_of, failures = 0, "", sys.maxsize, 0
        while True:
            timeout_s = ANSWER_TIMEOUT_S * 2.0 ** min(failures, MAX_DOUBLINGS)
            page = await self._client.read_page(EVERYTHING, after, timeout_s)
            if isinstance(page, StoreFailed):
                failures += 1
                await self._pause_after(page)
                continue
            failures = 0
            items += len(page.items)
            as_of = min(as_of, page.as_of)
            self._take_page(listing, page.items)
            if not page.truncated:
                self._take_all(listing, items, as_of)
                return as_of
            after = page.last_key

    async def _follow(self, as_of: int) -> None:
        """Apply changes until their history is lost."""
        while True:
            seed = self._relay()
            if seed is not None:
                as_of = await self._follow_seed(seed, as_of)
                continue
            changes = await self._client.wait_for_changes(EVERYTHING, as_of, self._watch_s)
            if isinstance(changes, StoreFailed):
                if changes.reason is StoreFailure.HISTORY_GONE:
                    log.warning("store_history_gone", as_of=as_of)
                    return
                await self._pause_after(changes)
                continue
            self._note_answer(0.0)
            as_of = max(as_of, changes.as_of)
            if changes.events:
                self._apply(changes.events)
                self._catalog.settle(as_of)
                self._on_change()
                await asyncio.sleep(PAUSE_S)

    def _relay(self) -> Endpoint | None:
        """Return the seed to ask instead of the store, or None to ask the store."""
        if not self._relays or self._seeds.has_own or self._clock() < self._direct_until:
            return None
        return self._seeds.choose_near()

    async def _follow_seed(self, seed: Endpoint, as_of: int) -> int:
        """Apply what a seed tells; return up to which revision that goes.

        The store is asked directly for a while if the seed does not answer, or has
        not heard of the store lately, or has more to tell than its link should carry.
        """
        query = ViewQuery(as_of, RELAY_WAIT_S, whole=False, host=self._host)
        view = await fetch_view(seed, query)
        if view is None or view.age_s > RELAY_AGE_S or view.revision < as_of:
            self._seeds.on_failure(seed)
            self._direct_until = self._clock() + DIRECT_S
            return as_of
        self._seeds.on_answer(seed, view.data_centre)
        if view.askers:
            self._catalog.note_hosts(view.askers * self._seeds.count)
        self._note_answer(view.age_s)
        for change in self._catalog.on_view(view, self._clock()):
            log_change(change)
        if view.table_version > self._catalog.version:
            self._direct_until = self._clock() + PAUSE_S
            return as_of
        if view.revision > as_of:
            log.info("view_taken", seed=str(seed), had=as_of, revision=view.revision)
            self._on_change()
            await asyncio.sleep(RELAY_PAUSE_S * self._rng.random())
        return view.revision

    def _take_page(self, listing: _Listing, items: Sequence[StoreItem]) -> None:
        """Serve with what one page holds; on a small link the others may take seconds."""
        self._note_contact()
        for change in self._apply(items):
            if isinstance(change, UpstreamChanged):
                listing.upstreams.append(change.entry.name)
            elif isinstance(change, DataCentreOut):
                listing.out.append(change.data_centre)
        self._on_change()

    def _take_all(self, listing: _Listing, items: int, as_of: int) -> None:
        """Take what no page held for removed."""
        self._note_answer(0.0)
        self._catalog.retain(listing.upstreams, listing.out, as_of, self._clock())
        self._on_change()
        log.info("store_read", items=items, as_of=as_of)

    def _apply(self, items: Sequence[StoreItem]) -> list[Change]:
        now = self._clock()
        changes = []
        for item in items:
            decoded = decode_item(item)
            if isinstance(decoded, Unrelated):
                continue
            if isinstance(decoded, UnusableItem):
                log.warning("item_unusable", key=decoded.key, detail=decoded.detail)
                continue
            changes.append(decoded)
            if self._catalog.on_change(decoded, now):
                log_change(decoded)
        return changes

    def _note_answer(self, age_s: Seconds) -> None:
        """Take in that all is known as it was ``age_s`` ago."""
        self._note_contact()
        self._heard_at = self._clock() - age_s

    def _note_contact(self) -> None:
        if self._failed:
            log.info("store_regained", failed_calls=self._failed)
        self._failed = 0

    async def _pause_after(self, failure: StoreFailed) -> None:
        self._failed += 1
        fields = {"reason": failure.reason.value, "detail": failure.detail}
        if self._failed == 1:
            log.warning("store_lost", **fields)
        else:
            log.info("store_still_lost", failed_calls=self._failed, **fields)
        longest_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** (self._failed - 1))
        await asyncio.sleep(longest_s * self._rng.uniform(0.5, 1.0))
