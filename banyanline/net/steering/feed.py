"""Keeps a host's view of upstreams and configuration up to date from the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.model import DataCentreOut, UpstreamChanged
from banyanline.net.steering.beliefs import log_change
from banyanline.platform.entries import Unrelated, UnusableItem, decode_item
from banyanline.platform.store import Snapshot, StoreFailed, StoreFailure

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from banyanline.core.steering.model import Change
    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Seconds
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

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8

log = structlog.get_logger()


class StoreFeed:
    """Reads everything once, then follows the changes, whatever befalls the store."""

    def __init__(
        self,
        client: StoreClient,
        steering: Steering,
        clock: Callable[[], Seconds],
        rng: random.Random,
        contact_s: Seconds,
        on_change: Callable[[], None],
    ) -> None:
        self._client = client
        self._steering = steering
        self._clock = clock
        self._rng = rng
        self._watch_s = contact_s * WATCH_SHARE
        self._on_change = on_change
        self._failed = 0
        self._heard_at: Seconds | None = None

    @property
    def client(self) -> StoreClient:
        """The client that makes the calls."""
        return self._client

    @property
    def heard_at(self) -> Seconds | None:
        """When the store answered last, or None before the first answer."""
        return self._heard_at

    def set_source(self, client: StoreClient, contact_s: Seconds) -> None:
        """Make the calls to come with this client."""
        self._client = client
        self._watch_s = contact_s * WATCH_SHARE

    async def run(self) -> None:
        """Follow the store without end."""
        while True:
            snapshot = await self._client.read_all(EVERYTHING)
            if isinstance(snapshot, StoreFailed):
                await self._pause_after(snapshot)
                continue
            self._take_snapshot(snapshot)
            await self._follow(snapshot.as_of)

    async def _follow(self, as_of: int) -> None:
        """Apply changes until their history is lost."""
        while True:
            changes = await self._client.wait_for_changes(EVERYTHING, as_of, self._watch_s)
            if isinstance(changes, StoreFailed):
                if changes.reason is StoreFailure.HISTORY_GONE:
                    log.warning("store_history_gone", as_of=as_of)
                    return
                await self._pause_after(changes)
                continue
            self._note_answer()
            as_of = max(as_of, changes.as_of)
            if changes.events:
                self._apply(changes.events)
                await asyncio.sleep(PAUSE_S)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self._note_answer()
        changes = self._apply(snapshot.items)
        names = [change.entry.name for change in changes if isinstance(change, UpstreamChanged)]
        out = [change.data_centre for change in changes if isinstance(change, DataCentreOut)]
        self._steering.retain(names, out, snapshot.as_of, self._clock())
        log.info("store_read", items=len(snapshot.items), as_of=snapshot.as_of)

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
            if self._steering.on_change(decoded, now):
                log_change(decoded)
        self._on_change()
        return changes

    def _note_answer(self) -> None:
        if self._failed:
            log.info("store_regained", failed_calls=self._failed)
        self._failed = 0
        self._heard_at = self._clock()

    async def _pause_after(self, failure: StoreFailed) -> None:
        self._failed += 1
        fields = {"reason": failure.reason.value, "detail": failure.detail}
        if self._failed == 1:
            log.warning("store_lost", **fields)
        else:
            log.info("store_still_lost", failed_calls=self._failed, **fields)
        longest_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** (self._failed - 1))
        await asyncio.sleep(longest_s * self._rng.uniform(0.5, 1.0))
