"""The hosts that the platform names for others to ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from banyanline.core.types import Endpoint


class Seeds:
    """A few addresses, perhaps stale, of which this host may be one."""

    def __init__(self, own: Endpoint | None, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._seeds: tuple[Endpoint, ...] = ()
        self._has_own = False

    @property
    def has_own(self) -> bool:
        """Whether others ask this host."""
        return self._has_own

    def set(self, seeds: Sequence[Endpoint]) -> None:
        """Ask these hosts from now on, but never oneself."""
        self._has_own = self._own in seeds
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def choose(self) -> Endpoint | None:
        """Return one of them at random, or None without any."""
        return self._rng.choice(self._seeds) if self._seeds else None
