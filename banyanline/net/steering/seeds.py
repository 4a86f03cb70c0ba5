"""The hosts that the platform names for others to ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from banyanline.core.types import DataCentreName, Endpoint


class Seeds:
    """A few addresses, perhaps stale, of which this host may be one.

    Where a seed is, it says itself when it answers.
    """

    def __init__(
        self, own: Endpoint | None, rng: random.Random, data_centre: DataCentreName = ""
    ) -> None:
        self._own = own
        self._rng = rng
        self._data_centre = data_centre
        self._seeds: tuple[Endpoint, ...] = ()
        self._has_own = False
        self._places: dict[Endpoint, DataCentreName] = {}

    @property
    def has_own(self) -> bool:
        """Whether others ask this host."""
        return self._has_own

    @property
    def count(self) -> int:
        """How many there are, this host among them if it is one."""
        return len(self._seeds) + self._has_own

    def set(self, seeds: Sequence[Endpoint]) -> None:
        """Ask these hosts from now on, but never oneself."""
        self._has_own = self._own in seeds
        self._seeds = tuple(seed for seed in seeds if seed != self._own)
        self._places = {seed: place for seed, place in self._places.items() if seed in seeds}

    def on_answer(self, seed: Endpoint, data_centre: DataCentreName) -> None:
        """Take in that a seed answered, and where it is."""
        self._places[seed] = data_centre

    def on_failure(self, seed: Endpoint) -> None:
        """Take in that a seed did not answer: it may have moved, and another one may be near."""
        self._places.pop(seed, None)

    def choose(self) -> Endpoint | None:
        """Return one of them at random, or None without any."""
        return self._rng.choice(self._seeds) if self._seeds else None

    def choose_near(self) -> Endpoint | None:
        """Return one in this data centre if one is known, else one that is not known yet."""
        near = [seed for seed in self._seeds if self._places.get(seed) == self._data_centre]
        unknown = [seed for seed in self._seeds if seed not in self._places]
        candidates = near or unknown or self._seeds
        return self._rng.choice(candidates) if candidates else None
