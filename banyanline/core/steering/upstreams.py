"""The upstreams that this host knows, indexed by name, service and cookie."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from banyanline.core.steering.failure_detection import FailureDetector
from banyanline.core.steering.responses import ResponseTracker

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from banyanline.core.steering.model import Revision, UpstreamEntry
    from banyanline.core.steering.packet import Cookie
    from banyanline.core.types import Seconds, ServiceName, UpstreamName

FORGET_AFTER_S = 120.0
"""How long an upstream without an entry is kept for the flows that it may still have."""

NEVER = float("-inf")


class UpstreamAvailability(StrEnum):
    """The availability of an upstream as one host sees it, worst first."""

    REMOVED = "removed"
    LEAVING = "leaving"
    DATA_CENTRE_OUT = "data_centre_out"
    LOST = "lost"
    SUSPECT = "suspect"
    COLD = "cold"
    WELL = "well"


class Upstream:
    """One upstream: its entry, its load from this host, and its failure detector.

    ``removed_at`` is None while the upstream has an entry. ``next_cold_opening_at`` is
    the earliest time when this host may send it an opening packet while it is cold, and
    None if no such time has been set since it became cold. ``cold_openings`` counts the
    opening packets sent to it while cold since this host last reported it.
    """

    __slots__ = (
        "cold_openings",
        "cold_until",
        "created",
        "entry",
        "failure_detector",
        "next_cold_opening_at",
        "open_flows",
        "pending_opens",
        "removed_at",
        "responses",
        "revision",
    )

    def __init__(self, entry: UpstreamEntry, created: Revision) -> None:
        self.entry = entry
        self.created = created
        self.revision: Revision = 0
        self.removed_at: Seconds | None = None
        self.cold_until: Seconds = NEVER
        self.next_cold_opening_at: Seconds | None = None
        self.cold_openings = 0
        self.open_flows = 0
        self.pending_opens = 0
        self.responses = ResponseTracker()
        self.failure_detector = FailureDetector()

    @property
    def name(self) -> UpstreamName:
        """The upstream's name."""
        return self.entry.name

    @property
    def is_silent_since_removal(self) -> bool:
        """Whether the entry was removed and no response was observed since."""
        return self.removed_at is not None and self.failure_detector.responded_at < self.removed_at

    @property
    def accepts_flows(self) -> bool:
        """Whether the upstream has an entry and is not leaving."""
        return self.removed_at is None and not self.entry.is_leaving

    def is_cold(self, now: Seconds) -> bool:
        """Whether the upstream is in the cold period after its start."""
        return now < self.cold_until


def is_suspect(upstream: Upstream, now: Seconds) -> bool:
    """Whether new flows should avoid the upstream if there are others."""
    return upstream.failure_detector.is_suspect(now, has_pending_open=upstream.pending_opens > 0)


class UpstreamTable:
    """All upstreams by name, service and cookie.

    An upstream whose entry is removed is kept for ``FORGET_AFTER_S``: the entry may only
    have lapsed while flows of the upstream continue.
    """

    def __init__(self) -> None:
        self._by_name: dict[UpstreamName, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._by_cookie: dict[Cookie, Upstream] = {}
        self._is_index_current = True

    def __len__(self) -> int:
        """Return the number of upstreams, with those whose entry was removed recently."""
        return len(self._by_name)

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams, with those whose entry was removed recently."""
        return iter(self._by_name.values())

    def of_service(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that have an entry."""
        self._rebuild_indexes()
        return self._by_service.get(service, [])

    def get(self, name: UpstreamName) -> Upstream | None:
        """Return the upstream with that name, or None."""
        return self._by_name.get(name)

    def by_cookie(self, cookie: Cookie) -> Upstream | None:
        """Return the upstream that a cookie identifies, or None."""
        self._rebuild_indexes()
        return self._by_cookie.get(cookie)

    def name_of(self, cookie: Cookie) -> UpstreamName | None:
        """Return the name of the upstream that a cookie identifies, or None."""
        upstream = self.by_cookie(cookie)
        return None if upstream is None else upstream.name

    def cookie_of(self, name: UpstreamName) -> Cookie | None:
        """Return the cookie of a known upstream, or None."""
        upstream = self._by_name.get(name)
        return None if upstream is None else upstream.entry.cookie

    def owns_cookie(self, upstream: Upstream) -> bool:
        """Whether the upstream's cookie identifies it rather than an upstream created earlier."""
        return self.by_cookie(upstream.entry.cookie) is upstream

    def put(
        self, entry: UpstreamEntry, revision: Revision, created: Revision, now: Seconds
    ) -> Upstream:
        """Add or update an entry; one with an older revision is ignored."""
        upstream = self._by_name.get(entry.name)
        if upstream is None:
            upstream = self._by_name[entry.name] = Upstream(entry, created)
        elif revision <= upstream.revision:
            return upstream
        elif upstream.entry.incarnation != entry.incarnation or upstream.removed_at is not None:
            upstream.failure_detector.clear()
        if not upstream.is_cold(now):
            upstream.next_cold_opening_at = None
        upstream.entry = entry
        upstream.revision = revision
        upstream.removed_at = None
        upstream.cold_until = now + entry.cold_for_s
        self._is_index_current = False
        return upstream

    def remove(self, name: UpstreamName, revision: Revision, now: Seconds) -> Upstream | None:
        """Mark an upstream's entry as removed; return the upstream if it had one."""
        upstream = self._by_name.get(name)
        if upstream is None or revision < upstream.revision or upstream.removed_at is not None:
            return None
        upstream.revision = revision
        upstream.removed_at = now
        self._is_index_current = False
        return upstream

    def reset_revisions(self) -> None:
        """Reset all revisions to 0, so that any entry or removal replaces what is known."""
        for upstream in self:
            upstream.revision = 0

    def is_outdated(self, entry: UpstreamEntry) -> bool:
        """Whether the upstream itself wrote a later entry, or left after writing this one."""
        known = self._by_name.get(entry.name)
        if known is None:
            return False
        written, latest = _write_order(entry), _write_order(known.entry)
        return written < latest or (written == latest and known.removed_at is not None)

    def names_with_entry(self) -> Iterable[UpstreamName]:
        """Return the names of the upstreams that have an entry."""
        return [upstream.name for upstream in self if upstream.removed_at is None]

    def forget_removed(self, now: Seconds) -> None:
        """Drop upstreams whose entry was removed ``FORGET_AFTER_S`` ago."""
        kept = {
            name: upstream
            for name, upstream in self._by_name.items()
            if upstream.removed_at is None or now - upstream.removed_at < FORGET_AFTER_S
        }
        if len(kept) < len(self._by_name):
            self._by_name = kept
            self._is_index_current = False

    def _rebuild_indexes(self) -> None:
        """Rebuild the indexes if they are out of date.

        If two upstreams have the same cookie, the one created first owns it. The rebuild
        is deferred to the next lookup, as many entries arrive at once.
        """
        if self._is_index_current:
            return
        self._is_index_current = True
        self._by_service = {}
        self._by_cookie = {}
        for upstream in sorted(self, key=lambda upstream: upstream.created):
            self._by_cookie.setdefault(upstream.entry.cookie, upstream)
            if upstream.removed_at is None:
                self._by_service.setdefault(upstream.entry.service, []).append(upstream)


def _write_order(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.incarnation or 0, entry.sequence
