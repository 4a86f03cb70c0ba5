"""A seed's register of the hosts of each data centre, and where they receive reports."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from banyanline.core.types import DataCentreName, Endpoint, Seconds

REGISTRATION_LIFETIME_S = 60.0
"""How long a host is named to others after its last request."""

MAX_REGISTRATIONS = 2_000
"""Limit on the hosts of all data centres, which bounds memory."""

MAX_NAMED_PEERS = 64
"""Limit on the endpoints in one response; hosts learn the others from reports."""

MAX_NAMED_REMOTE_HOSTS = 16
"""The same for hosts of other data centres, of which a sample is enough."""


class _Registration(NamedTuple):
    data_centre: DataCentreName
    registered_at: Seconds


class PeerRegistry:
    """Where the hosts of each data centre receive reports, ordered by their last request."""

    def __init__(self) -> None:
        self._registrations: dict[Endpoint, _Registration] = {}

    def register(self, endpoint: Endpoint, data_centre: DataCentreName, now: Seconds) -> None:
        """Record a host; beyond ``MAX_REGISTRATIONS`` the oldest is dropped."""
        self._registrations.pop(endpoint, None)
        self._registrations[endpoint] = _Registration(data_centre, now)
        if len(self._registrations) > MAX_REGISTRATIONS:
            del self._registrations[next(iter(self._registrations))]

    def endpoints(self, data_centre: DataCentreName, now: Seconds) -> list[Endpoint]:
        """Return where hosts of a data centre receive reports, the latest first."""
        found = (each for each, where in self._recent(now) if where == data_centre)
        return list(itertools.islice(found, MAX_NAMED_PEERS))

    def remote_endpoints(self, data_centre: DataCentreName, now: Seconds) -> list[Endpoint]:
        """Return where a few hosts of other data centres receive reports, the latest first."""
        found = (each for each, where in self._recent(now) if where != data_centre)
        return list(itertools.islice(found, MAX_NAMED_REMOTE_HOSTS))

    def _recent(self, now: Seconds) -> Iterator[tuple[Endpoint, DataCentreName]]:
        """Return the hosts with a recent request, the latest first."""
        for endpoint, registration in reversed(self._registrations.items()):
            if now - registration.registered_at >= REGISTRATION_LIFETIME_S:
                return
            yield endpoint, registration.data_centre
