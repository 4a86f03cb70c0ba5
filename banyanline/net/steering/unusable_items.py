"""Items of the platform's store that cannot be decoded, each logged once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyanline.platform.entries import UnusableItem

MAX_ITEMS = 200
"""Further items are logged but not remembered."""

log = structlog.get_logger()


class UnusableItems:
    """The unusable items of the store by key, with the reason of each."""

    def __init__(self) -> None:
        self._details: dict[str, str] = {}

    @property
    def details(self) -> Mapping[str, str]:
        """Why each item cannot be used, by key."""
        return self._details

    def add(self, item: UnusableItem) -> None:
        """Record an item, and log it if it or its reason is new."""
        if self._details.get(item.key) == item.detail:
            return
        if item.key in self._details or len(self._details) < MAX_ITEMS:
            self._details[item.key] = item.detail
        log.warning("item_unusable", key=item.key, detail=item.detail)

    def discard(self, key: str) -> None:
        """Record that the item under a key was decoded or removed."""
        self._details.pop(key, None)

    def keep_only(self, keys: set[str]) -> None:
        """Forget the items under keys that a complete listing of the store does not hold."""
        self._details = {key: why for key, why in self._details.items() if key in keys}
