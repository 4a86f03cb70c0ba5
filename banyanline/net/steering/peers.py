"""Asks other hosts for what they know while the store does not answer this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from banyanline.net.steering.beliefs import log_change
from banyanline.net.steering.views import ViewQuery, fetch_view

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.types import Endpoint, Seconds
    from banyanline.net.steering.seeds import Seeds

FIRST_ASK_S = 0.05
"""The store is given this time to answer first."""

ASK_INTERVAL_S = 0.15
REFRESH_INTERVAL_S = 1.0
STORE_LOST_S = 4.0
"""A store that has not been heard of for so long is taken for lost; watches are shorter."""

log = structlog.get_logger()


class PeerReader:
    """Asks seeds whenever the store is lost, without end."""

    def __init__(
        self,
        catalog: Catalog,
        seeds: Seeds,
        clock: Callable[[], Seconds],
        rng: random.Random,
        heard_at: Callable[[], Seconds | None],
        on_change: Callable[[], None],
    ) -> None:
        self._catalog = catalog
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._heard_at = heard_at
        self._on_change = on_change

    async def run(self) -> None:
        """Ask whenever it is needed, without end."""
        await asyncio.sleep(FIRST_ASK_S)
        while True:
            seed = self._choose() if self._is_store_lost() else None
            if seed is not None:
                await self._ask(seed)
            interval_s = REFRESH_INTERVAL_S if self._catalog.is_configured else ASK_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def _choose(self) -> Endpoint | None:
        """Return a near seed for a start; later any, as near ones may have lost the store too."""
        return self._seeds.choose() if self._catalog.is_configured else self._seeds.choose_near()

    def _is_store_lost(self) -> bool:
        heard_at = self._heard_at()
        return heard_at is None or self._clock() - heard_at > STORE_LOST_S

    async def _ask(self, seed: Endpoint) -> None:
        have = self._catalog.revision
        view = await fetch_view(seed, ViewQuery(have))
        if view is None or view.revision <= have:
            return
        for change in self._catalog.on_view(view, self._clock()):
            log_change(change)
        log.info(
            "view_taken",
            seed=str(seed),
            had=have,
            revision=view.revision,
            version=self._catalog.version,
            age_s=round(view.age_s, 3),
        )
        self._on_change()
