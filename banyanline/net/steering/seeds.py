"""Seeds: the hosts that the platform names for other hosts to poll."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from banyanline.core.types import DataCentreName, Endpoint


class Seeds:
    """The control endpoints of the seeds; some may be stale, and one may be this host's.

    The data centre of a seed is known once it has answered.
    """

    def __init__(
        self, own: Endpoint | None, rng: random.Random, data_centre: DataCentreName = ""
    ) -> None:
        self._own_endpoint = own
        self._rng = rng
        self._own_data_centre = data_centre
        self._seeds: tuple[Endpoint, ...] = ()
        self._includes_self = False
        self._data_centre_by_seed: dict[Endpoint, DataCentreName] = {}

    @property
    def includes_self(self) -> bool:
        """Whether this host is a seed itself."""
        return self._includes_self

    @property
    def count(self) -> int:
        """Number of seeds, including this host if it is one."""
        return len(self._seeds) + self._includes_self

    def set(self, seeds: Sequence[Endpoint]) -> None:
        """Replace the seeds; this host's own endpoint is never chosen."""
        self._includes_self = self._own_endpoint in seeds
        self._seeds = tuple(seed for seed in seeds if seed != self._own_endpoint)
        self._data_centre_by_seed = {
            seed: seed_data_centre
            for seed, seed_data_centre in self._data_centre_by_seed.items()
            if seed in seeds
        }

    def on_answer(self, seed: Endpoint, data_centre: DataCentreName) -> None:
        """Record that a seed answered, and its data centre."""
        self._data_centre_by_seed[seed] = data_centre

    def on_failure(self, seed: Endpoint) -> None:
        """Forget the data centre of a seed that failed.

        It may have moved, and another seed may be nearby.
        """
        self._data_centre_by_seed.pop(seed, None)

    def choose(self) -> Endpoint | None:
        """Return a random seed, or None if there are none."""
        return self._rng.choice(self._seeds) if self._seeds else None

    def choose_near(self) -> Endpoint | None:
        """Return a seed in this data centre, else one in an unknown data centre, else any."""
        near = [
            seed
            for seed in self._seeds
            if self._data_centre_by_seed.get(seed) == self._own_data_centre
        ]
        unknown = [seed for seed in self._seeds if seed not in self._data_centre_by_seed]
        candidates = near or unknown or self._seeds
        return self._rng.choice(candidates) if candidates else None
