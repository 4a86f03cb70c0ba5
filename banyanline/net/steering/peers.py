"""Fetches the views of peers while this host has no contact with the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from banyanline.net.steering.change_log import log_change
from banyanline.net.steering.views import ViewQuery, fetch_view

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.types import Endpoint, Seconds
    from banyanline.net.steering.seeds import Seeds

INITIAL_DELAY_S = 0.05
"""Delay after start in which the store may answer first."""

UNCONFIGURED_INTERVAL_S = 0.15
REFRESH_INTERVAL_S = 1.0
STORE_LOST_S = 4.0
"""Time without contact after which the store counts as lost; watches are shorter."""

log = structlog.get_logger()


class PeerReader:
    """Polls seeds whenever the contact with the store is lost."""

    def __init__(
        self,
        catalog: Catalog,
        seeds: Seeds,
        clock: Callable[[], Seconds],
        rng: random.Random,
        last_contact_at: Callable[[], Seconds | None],
        on_change: Callable[[], None],
    ) -> None:
        self._catalog = catalog
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._last_contact_at = last_contact_at
        self._on_change = on_change

    async def run(self) -> None:
        """Poll a seed whenever the store is lost, forever."""
        await asyncio.sleep(INITIAL_DELAY_S)
        while True:
            seed = self._choose_seed() if self._is_store_lost() else None
            if seed is not None:
                await self._query_seed(seed)
            interval_s = (
                REFRESH_INTERVAL_S if self._catalog.is_configured else UNCONFIGURED_INTERVAL_S
            )
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def _choose_seed(self) -> Endpoint | None:
        """Return a nearby seed until there is a configuration, then any seed.

        Nearby seeds may have lost the store too.
        """
        return self._seeds.choose() if self._catalog.is_configured else self._seeds.choose_near()

    def _is_store_lost(self) -> bool:
        last_contact_at = self._last_contact_at()
        return last_contact_at is None or self._clock() - last_contact_at > STORE_LOST_S

    async def _query_seed(self, seed: Endpoint) -> None:
        have, era = self._catalog.revision, self._catalog.era
        view = await fetch_view(seed, ViewQuery(have, era=era))
        if view is None or (view.era, view.revision) <= (era, have):
            return
        for change in self._catalog.apply_view(view, self._clock()):
            log_change(change)
        log.info(
            "view_applied",
            seed=str(seed),
            had=have,
            revision=view.revision,
            version=self._catalog.version,
            age_s=round(view.age_s, 3),
        )
        self._on_change()
