"""Keeps a host's catalog of upstreams and configuration in sync with the platform's store."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyanline.core.steering.model import DataCentreChanged, UpstreamChanged
from banyanline.net.steering.change_log import log_change
from banyanline.net.steering.unusable_items import UnusableItems
from banyanline.net.steering.views import ViewQuery, fetch_view
from banyanline.platform.entries import UnrelatedItem, UnusableItem, decode_item
from banyanline.platform.store import ANSWER_TIMEOUT_S, StoreFailed, StoreFailureReason, StorePage

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.model import Change, Revision, StoreEra
    from banyanline.core.types import DataCentreName, Endpoint, Seconds, UpstreamName
    from banyanline.net.steering.seeds import Seeds
    from banyanline.platform.entries import StoreItem
    from banyanline.platform.store import StoreClient

ALL_KEYS_PREFIX = ""
"""Empty prefix: one watch covers upstreams, the configuration and evacuations."""

WATCH_SHARE = 0.6
"""Wait time of a watch, as a share of ``contact_s``.

Time bounds apply to a host that has been healthy for ``contact_s``. The share is below 1,
as a lost response is detected only after the watch should have ended.
"""

COALESCE_S = 0.8
"""Pause after changes arrive, to coalesce changes made close together into one call."""

MIN_RELAY_BOUND_S = 5.0
"""A host with at least this much time to act on a change polls a seed, not the store."""

SEED_WATCH_SHARE = 0.3
"""Like ``WATCH_SHARE``, for a seed that other hosts poll."""

RELAY_WAIT_S = 1.2
MAX_RELAY_AGE_S = 2.6
"""A seed with older data may be isolated from the store: its watches end sooner than this."""

RELAY_JITTER_S = 0.3
RELIST_SPREAD_S = 2.0
"""Hosts that follow seeds learn at the same time that they have to list the store again."""

DIRECT_AFTER_FAILURE_S = 3.0
"""How long this host polls the store directly after a seed has failed."""

MAX_TIMEOUT_DOUBLINGS = 2
"""Page timeouts double after each failure: many hosts may read at once over slow links."""

INITIAL_RETRY_S = 0.1
MAX_RETRY_S = 0.8

log = structlog.get_logger()


class _Listing:
    """What a full listing has found so far in one era of the store.

    ``out`` are the data centres out of service, ``after`` the last key, and ``as_of`` the
    oldest page's revision.
    """

    def __init__(self, era: StoreEra) -> None:
        self.era = era
        self.after = ""
        self.as_of: Revision = sys.maxsize
        self.keys: set[str] = set()
        self.upstreams: list[UpstreamName] = []
        self.out: list[DataCentreName] = []


class _Position(NamedTuple):
    """All changes up to a revision of an era of the store."""

    era: StoreEra
    revision: Revision


class StoreFeed:
    """Lists the store in full, then watches for changes; retries all failures of the store.

    Polls a nearby seed instead of the store if this host has enough time for the extra
    hop and is not a seed itself.
    """

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
        self._watch_wait_s = 0.0
        self._uses_relays = False
        self._direct_until: Seconds = 0.0
        self._on_change = on_change
        self._failed_calls = 0
        self._synced_at: Seconds | None = None
        self._unusable_items = UnusableItems()

    @property
    def unusable_items(self) -> Mapping[str, str]:
        """Why items of the store cannot be used, by key."""
        return self._unusable_items.details

    @property
    def client(self) -> StoreClient:
        """Client used for calls to the store."""
        return self._client

    @property
    def synced_at(self) -> Seconds | None:
        """Time as of which this host has the store's state, or None before a full listing."""
        return self._synced_at

    @property
    def last_contact_at(self) -> Seconds | None:
        """Time of the last contact with the store, direct or through a seed.

        Each page of a listing counts as a contact.
        """
        known = [at for at in (self._synced_at, self._client.answered_at) if at is not None]
        return max(known, default=None)

    def set_source(self, store: Endpoint, contact_s: Seconds, change_bound_s: Seconds) -> None:
        """Set the store endpoint and time bounds for the next calls.

        Time bounds apply to a host that has been healthy for ``contact_s``;
        ``change_bound_s`` is the shortest time within which it must act on a change.
        """
        self._client.endpoint = store
        self._uses_relays = change_bound_s >= MIN_RELAY_BOUND_S
        share = SEED_WATCH_SHARE if self._uses_relays and self._seeds.includes_self else WATCH_SHARE
        self._watch_wait_s = contact_s * share

    async def run(self) -> None:
        """Synchronise with the store, forever."""
        while True:
            await self._follow(await self._read_all())
            if self._follows_seeds:
                await asyncio.sleep(RELIST_SPREAD_S * self._rng.random())

    async def _read_all(self) -> _Position:
        """List all pages, retrying each until it arrives; return the oldest page's position.

        The watch starts at that revision, so it delivers all changes made during the
        listing, whichever page they belong to.
        """
        listing, failures = _Listing(self._catalog.era), 0
        while True:
            timeout_s = ANSWER_TIMEOUT_S * 2.0 ** min(failures, MAX_TIMEOUT_DOUBLINGS)
            page = await self._client.read_page(ALL_KEYS_PREFIX, listing.after, timeout_s)
            if isinstance(page, StorePage) and self._is_of_earlier_era(page.era):
                page = StoreFailed(StoreFailureReason.EARLIER_ERA)
            if isinstance(page, StoreFailed):
                failures += 1
                await self._back_off(page)
                continue
            failures = 0
            self._begin_era(page.era)
            if self._catalog.era != listing.era:
                is_first_page = not listing.after
                listing = _Listing(self._catalog.era)
                if not is_first_page:
                    continue
            self._apply_page(listing, page)
            if not page.truncated:
                self._finish_listing(listing)
                return _Position(listing.era, listing.as_of)

    async def _follow(self, position: _Position) -> None:
        """Apply changes until the store has to be listed again.

        That is when it has dropped the history of changes after ``position``, or was
        restored from a copy.
        """
        while self._is_continuous(position):
            seed = self._choose_relay()
            if seed is not None:
                position = await self._follow_seed(seed, position)
                continue
            changes = await self._client.wait_for_changes(
                ALL_KEYS_PREFIX, position.revision, self._watch_wait_s
            )
            if isinstance(changes, StoreFailed):
                if changes.reason is StoreFailureReason.HISTORY_GONE:
                    log.warning("store_history_gone", as_of=position.revision)
                    return
                await self._back_off(changes)
            elif self._is_of_earlier_era(changes.era):
                await self._back_off(StoreFailed(StoreFailureReason.EARLIER_ERA))
            elif not self._begin_era(changes.era):
                position = position._replace(revision=max(position.revision, changes.as_of))
                await self._apply_changes(changes.events, position.revision)

    async def _apply_changes(self, events: Sequence[StoreItem], as_of: Revision) -> None:
        self._record_sync(0.0)
        if events:
            self._apply(events)
            self._catalog.advance_revision(as_of)
            self._on_change()
            await asyncio.sleep(COALESCE_S)

    def _is_continuous(self, position: _Position) -> bool:
        """Whether the changes after ``position`` complete what this host knows."""
        return self._catalog.era == position.era and not self._catalog.is_listing_due(self._clock())

    def _is_of_earlier_era(self, era: StoreEra) -> bool:
        return 0 < era < self._catalog.era

    def _begin_era(self, era: StoreEra) -> bool:
        """Record the era of a response; return whether the store was restored before it."""
        before = self._catalog.era
        if not self._catalog.begin_era(era, self._clock()):
            return False
        if before:
            log.warning("store_restored", era=era, before=before)
        return True

    def _choose_relay(self) -> Endpoint | None:
        """Return the seed to poll instead of the store, or None to poll the store."""
        if not self._follows_seeds or self._clock() < self._direct_until:
            return None
        return self._seeds.choose_near()

    @property
    def _follows_seeds(self) -> bool:
        return self._uses_relays and not self._seeds.includes_self

    async def _follow_seed(self, seed: Endpoint, position: _Position) -> _Position:
        """Poll a seed and apply its view; return the position reached.

        Switches to the store for a while if the seed does not answer, if its data is too
        old or behind this host, or if the view omits a configuration too large to relay.
        """
        query = ViewQuery(
            position.revision, RELAY_WAIT_S, whole=False, host=self._host, era=position.era
        )
        view = await fetch_view(seed, query)
        if (
            view is None
            or view.age_s > MAX_RELAY_AGE_S
            or (view.era, view.revision) < position
            or view.era < self._catalog.era
        ):
            self._seeds.on_failure(seed)
            self._direct_until = self._clock() + DIRECT_AFTER_FAILURE_S
            return position
        self._seeds.on_answer(seed, view.data_centre)
        if view.polling_hosts:
            self._catalog.set_host_count(view.polling_hosts * self._seeds.count)
        self._record_sync(view.age_s)
        for change in self._catalog.apply_view(view, self._clock()):
            log_change(change)
        if view.table_version > self._catalog.version:
            self._direct_until = self._clock() + COALESCE_S
            return position
        reached = _Position(view.era, view.revision)
        if reached > position:
            log.info("view_applied", seed=str(seed), had=position.revision, **reached._asdict())
            self._on_change()
            await asyncio.sleep(RELAY_JITTER_S * self._rng.random())
        return reached

    def _apply_page(self, listing: _Listing, page: StorePage) -> None:
        """Apply one page at once; on a slow link the others may take seconds."""
        self._record_contact()
        listing.as_of = min(listing.as_of, page.as_of)
        listing.after = page.last_key
        listing.keys.update(item.key for item in page.items)
        for change in self._apply(page.items):
            if isinstance(change, UpstreamChanged):
                listing.upstreams.append(change.entry.name)
            elif isinstance(change, DataCentreChanged):
                listing.out.append(change.data_centre)
        self._on_change()

    def _finish_listing(self, listing: _Listing) -> None:
        """Remove from the catalog what no page contained."""
        self._record_sync(0.0)
        self._catalog.remove_missing(listing.upstreams, listing.out, listing.as_of, self._clock())
        self._unusable_items.keep_only(listing.keys)
        self._on_change()
        log.info("store_read", items=len(listing.keys), as_of=listing.as_of, era=listing.era)

    def _apply(self, items: Sequence[StoreItem]) -> list[Change]:
        now = self._clock()
        changes = []
        for item in items:
            decoded = decode_item(item)
            if isinstance(decoded, UnrelatedItem):
                continue
            if isinstance(decoded, UnusableItem):
                self._unusable_items.add(decoded)
                continue
            self._unusable_items.discard(item.key)
            changes.append(decoded)
            if self._catalog.on_change(decoded, now):
                log_change(decoded)
        return changes

    def _record_sync(self, age_s: Seconds) -> None:
        """Record that this host has the store's state as of ``age_s`` ago."""
        self._record_contact()
        self._synced_at = self._clock() - age_s

    def _record_contact(self) -> None:
        if self._failed_calls:
            log.info("store_recovered", failed_calls=self._failed_calls)
        self._failed_calls = 0

    async def _back_off(self, failure: StoreFailed) -> None:
        self._failed_calls += 1
        fields = {"reason": failure.reason.value, "detail": failure.detail}
        if self._failed_calls == 1:
            log.warning("store_lost", **fields)
        else:
            log.info("store_still_lost", failed_calls=self._failed_calls, **fields)
        longest_s = min(MAX_RETRY_S, INITIAL_RETRY_S * 2.0 ** (self._failed_calls - 1))
        await asyncio.sleep(longest_s * self._rng.uniform(0.5, 1.0))
