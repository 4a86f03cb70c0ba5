"""Which hosts of a data centre watch the platform for all others."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyanline.core.types import HostName

_SALT = "configuration-reader/"


def _weight(host: HostName) -> tuple[int, HostName]:
    return xxhash.xxh3_64_intdigest((_SALT + host).encode()), host


def readers(hosts: Iterable[HostName], count: int) -> tuple[HostName, ...]:
    """Return the ``count`` hosts that watch, by rendezvous (highest random weight).

    ``hosts`` are the live hosts of one data centre that are not leaving. Two balancers
    whose views differ in one host agree on all readers but one, so that the calls
    that the platform gets grow with the data centres and not with the hosts.

    >>> hosts = [f"north-{number}" for number in range(73)]
    >>> chosen = readers(hosts, 3)
    >>> len(chosen)
    3
    >>> set(chosen) - set(readers(set(hosts) - {chosen[0]}, 3)) == {chosen[0]}
    True
    """
    return tuple(heapq.nlargest(count, hosts, key=_weight))
