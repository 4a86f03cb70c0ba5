"""Selects the hosts of a data centre that watch the platform on behalf of the others."""

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


def select_readers(hosts: Iterable[HostName], count: int) -> tuple[HostName, ...]:
    """Return the ``count`` hosts that watch the platform, by rendezvous hashing.

    ``hosts`` are the live hosts of one data centre that are not leaving. Two balancers
    whose views differ in one host agree on all readers but one. The number of platform
    calls therefore grows with the number of data centres, not of hosts. Rendezvous
    hashing is also known as highest random weight.

    >>> hosts = [f"north-{number}" for number in range(73)]
    >>> chosen = select_readers(hosts, 3)
    >>> len(chosen)
    3
    >>> set(chosen) - set(select_readers(set(hosts) - {chosen[0]}, 3)) == {chosen[0]}
    True
    """
    return tuple(heapq.nlargest(count, hosts, key=_weight))
