"""The upstreams that this host knows, and which of them a packet's cookie names."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from banyanline.core.steering.responses import Responses
from banyanline.core.steering.silence import Silence

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from banyanline.core.steering.model import Revision, UpstreamEntry
    from banyanline.core.steering.packet import Cookie
    from banyanline.core.types import Seconds, ServiceName, UpstreamName

FORGET_AFTER_S = 120.0
"""How long an upstream without an entry is remembered for the flows that it may still have."""

NEVER = float("-inf")


class UpstreamStanding(StrEnum):
    """How a host regards an upstream, the worst first."""

    REMOVED = "removed"
    LEAVING = "leaving"
    OUT = "data_centre_out"
    LOST = "lost"
    SUSPECT = "suspect"
    COLD = "cold"
    WELL = "well"


class Upstream:
    """One upstream: its entry, the work that this host sends it, and signs of its life.

    ``removed_at`` is None while the upstream has an entry. ``next_cold_opening_at`` is
    when this host may send it an opening packet while it is cold, None if that was not
    decided since it became cold.
    """

    __slots__ = (
        "cold_until",
        "created",
        "entry",
        "next_cold_opening_at",
        "open_flows",
        "pending_opens",
        "removed_at",
        "responses",
        "revision",
        "silence",
    )

    def __init__(self, entry: UpstreamEntry, created: Revision) -> None:
        self.entry = entry
        self.created = created
        self.revision: Revision = 0
        self.removed_at: Seconds | None = None
        self.cold_until: Seconds = NEVER
        self.next_cold_opening_at: Seconds | None = None
        self.open_flows = 0
        self.pending_opens = 0
        self.responses = Responses()
        self.silence = Silence()

    @property
    def name(self) -> UpstreamName:
        """The upstream's name."""
        return self.entry.name

    @property
    def is_unheard_since_removal(self) -> bool:
        """Whether the entry was removed, and no flow has had an answer since."""
        return self.removed_at is not None and self.silence.sign_at < self.removed_at

    @property
    def takes_flows(self) -> bool:
        """Whether the upstream itself is willing to get new flows."""
        return self.removed_at is None and not self.entry.is_leaving

    def is_cold(self, now: Seconds) -> bool:
        """Whether the upstream has started a short while ago."""
        return now < self.cold_until


def is_suspect(upstream: Upstream, now: Seconds) -> bool:
    """Whether new flows should avoid the upstream while there are others."""
    return upstream.silence.is_suspect(now, is_tried=upstream.pending_opens > 0)


class UpstreamTable:
    """All upstreams by name, service and cookie.

    An upstream whose entry goes is remembered for a while: the entry may have
    lapsed while its flows go on.
    """

    def __init__(self) -> None:
        self._by_name: dict[UpstreamName, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._by_cookie: dict[Cookie, Upstream] = {}
        self._is_indexed = True

    def __len__(self) -> int:
        """Return the number of upstreams that are known or remembered."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams that are known or remembered."""
        return iter(self._by_name.values())

    def of_service(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that have an entry."""
        self._index()
        return self._by_service.get(service, [])

    def get(self, name: UpstreamName) -> Upstream | None:
        """Return the upstream with that name."""
        return self._by_name.get(name)

    def by_cookie(self, cookie: Cookie) -> Upstream | None:
        """Return the upstream that a cookie names."""
        self._index()
        return self._by_cookie.get(cookie)

    def is_addressable(self, upstream: Upstream) -> bool:
        """Whether the upstream's cookie names it and no other."""
        return self.by_cookie(upstream.entry.cookie) is upstream

    def put(
        self, entry: UpstreamEntry, revision: Revision, created: Revision, now: Seconds
    ) -> Upstream:
        """Take in an entry; one that is older than what is known changes nothing."""
        upstream = self._by_name.get(entry.name)
        if upstream is None:
            upstream = self._by_name[entry.name] = Upstream(entry, created)
        elif revision <= upstream.revision:
            return upstream
        elif upstream.entry.incarnation != entry.incarnation or upstream.removed_at is not None:
            upstream.silence.clear()
        if not upstream.is_cold(now):
            upstream.next_cold_opening_at = None
        upstream.entry = entry
        upstream.revision = revision
        upstream.removed_at = None
        upstream.cold_until = now + entry.cold_for_s
        self._is_indexed = False
        return upstream

    def remove(self, name: UpstreamName, revision: Revision, now: Seconds) -> Upstream | None:
        """Take in that an upstream has no entry any more; return it if it had one."""
        upstream = self._by_name.get(name)
        if upstream is None or revision < upstream.revision or upstream.removed_at is not None:
            return None
        upstream.revision = revision
        upstream.removed_at = now
        self._is_indexed = False
        return upstream

    def names_with_entry(self) -> Iterable[UpstreamName]:
        """Return the names of the upstreams that have an entry."""
        return [upstream.name for upstream in self if upstream.removed_at is None]

    def forget_removed(self, now: Seconds) -> None:
        """Drop upstreams that have had no entry for long."""
        kept = {
            name: upstream
            for name, upstream in self._by_name.items()
            if upstream.removed_at is None or now - upstream.removed_at < FORGET_AFTER_S
        }
        if len(kept) < len(self._by_name):
            self._by_name = kept
            self._is_indexed = False

    def _index(self) -> None:
        """Rebuild the indexes after changes; who was created first owns a cookie.

        Many entries come at once, so this is done when the first packet after them asks.
        """
        if self._is_indexed:
            return
        self._is_indexed = True
        self._by_service = {}
        self._by_cookie = {}
        for upstream in sorted(self, key=lambda upstream: upstream.created):
            self._by_cookie.setdefault(upstream.entry.cookie, upstream)
            if upstream.removed_at is None:
                self._by_service.setdefault(upstream.entry.service, []).append(upstream)
