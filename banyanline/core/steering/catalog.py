"""A host's view of the platform: routes, upstreams, and data centres out of service.

Changes arrive from the platform's store and from other hosts, in any order and possibly
more than once. Applying them is idempotent: changes older than the known state are
ignored.

The store may be restored from an older copy, which begins a new era: its revisions go
back and are used again. What this host knew is kept, without revisions, until the copy
has been completed by new writes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.model import (
    DataCentreChanged,
    FleetView,
    KnownUpstream,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.steering.upstreams import UpstreamAvailability, UpstreamTable, is_suspect

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from banyanline.core.steering.model import Change, Revision, Route, RoutingTable, StoreEra
    from banyanline.core.steering.packet import ServiceAddress
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName, UpstreamName

RESTORE_SETTLE_S = 5.0
"""Time in which operators and upstreams write again what a restored store has lost.

Until then an item that the store does not hold is not known to have been removed.
"""

MAX_RELAYED_ROUTES = 400
"""Larger configurations are read from the store, not relayed by hosts on small links."""


class Catalog:
    """The routes, upstreams and data centres that one host knows."""

    def __init__(self) -> None:
        self._upstreams = UpstreamTable()
        self._table: RoutingTable | None = None
        self._table_revision: Revision = 0
        self._removed_routes: set[ServiceAddress] = set()
        self._out_of_service: dict[DataCentreName, Revision] = {}
        self._in_service: dict[DataCentreName, Revision] = {}
        self._revision: Revision = 0
        self._era: StoreEra = 0
        self._settles_at: Seconds | None = None
        self._host_count: int | None = None

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._table is not None

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        return self._table.version if self._table else 0

    @property
    def revision(self) -> Revision:
        """The store revision up to which this host knows all changes."""
        return self._revision

    @property
    def era(self) -> StoreEra:
        """The latest known era of the store."""
        return self._era

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force."""
        return self._table

    @property
    def upstreams(self) -> UpstreamTable:
        """The upstreams that this host knows."""
        return self._upstreams

    @property
    def data_centres_out(self) -> frozenset[DataCentreName]:
        """The data centres that operators have taken out of service."""
        return frozenset(self._out_of_service)

    @property
    def host_count(self) -> int | None:
        """The approximate number of hosts of all data centres, or None if it is unknown."""
        return self._host_count

    def route(self, address: ServiceAddress) -> Route | None:
        """Return the route of a service address in the configuration in force."""
        return self._table.routes.get(address) if self._table else None

    def is_route_removed(self, address: ServiceAddress) -> bool:
        """Whether this host had a route for the address that was removed since."""
        return address in self._removed_routes

    def set_host_count(self, hosts: int) -> None:
        """Set the approximate number of hosts, which share the cold limit of each upstream."""
        self._host_count = hosts

    def cold_rate(self, service: ServiceName) -> float:
        """Return the limit on new flows per second to a cold upstream, 0 for no limit."""
        limit = self._table.cold_limits.get(service) if self._table else None
        return limit.rate if limit is not None else 0.0

    def usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that are eligible for new flows."""
        return [
            upstream
            for upstream in self._upstreams.of_service(service)
            if upstream.accepts_flows
            and upstream.entry.data_centre not in self._out_of_service
            and self._upstreams.owns_cookie(upstream)
        ]

    def availability(self, upstream: Upstream, now: Seconds) -> UpstreamAvailability:
        """Return the availability of an upstream as this host sees it."""
        if upstream.removed_at is not None:
            return UpstreamAvailability.REMOVED
        if upstream.entry.is_leaving:
            return UpstreamAvailability.LEAVING
        if upstream.entry.data_centre in self._out_of_service:
            return UpstreamAvailability.DATA_CENTRE_OUT
        if upstream.failure_detector.is_lost(now):
            return UpstreamAvailability.LOST
        if is_suspect(upstream, now):
            return UpstreamAvailability.SUSPECT
        return UpstreamAvailability.COLD if upstream.is_cold(now) else UpstreamAvailability.WELL

    def is_listing_due(self, now: Seconds) -> bool:
        """Whether a restored store has settled, and has not been listed completely since."""
        return self._settles_at is not None and now >= self._settles_at

    def begin_era(self, era: StoreEra, now: Seconds) -> bool:
        """Record an era of the store; return whether it is later than the known one.

        The revisions of the known state are reset, so that any change of the new era
        replaces it.
        """
        if era <= self._era:
            return False
        self._era = era
        if self._table is None and not self._upstreams:
            return True
        self._revision = 0
        self._table_revision = 0
        self._upstreams.reset_revisions()
        self._out_of_service = dict.fromkeys(self._out_of_service, 0)
        self._in_service = dict.fromkeys(self._in_service, 0)
        self._settles_at = now + RESTORE_SETTLE_S
        return True

    def on_change(self, change: Change, now: Seconds) -> bool:
        """Apply a change; return whether it was new to this host."""
        if isinstance(change, UpstreamChanged):
            return self._put_upstream(change, now)
        if isinstance(change, UpstreamRemoved):
            return self._upstreams.remove(change.name, change.revision, now) is not None
        if isinstance(change, TableChanged):
            return self._set_table(change.table, change.revision)
        return self._set_data_centre(change)

    def advance_revision(self, as_of: Revision) -> None:
        """Record that all changes up to revision ``as_of`` have been applied."""
        self._revision = max(self._revision, as_of)

    def remove_missing(
        self,
        names: Collection[UpstreamName],
        out: Collection[DataCentreName],
        as_of: Revision,
        now: Seconds,
    ) -> None:
        """Remove what a complete listing of the store at revision ``as_of`` does not hold.

        Nothing is removed until a restored store has settled.
        """
        self.advance_revision(as_of)
        if self._is_settling(now):
            return
        self._settles_at = None
        for name in set(self._upstreams.names_with_entry()) - set(names):
            self._upstreams.remove(name, as_of, now)
        for data_centre in set(self._out_of_service) - set(out):
            self._set_data_centre(DataCentreChanged(data_centre, False, as_of))

    def view(
        self, now: Seconds, have: Revision = 0, age_s: Seconds = 0.0, *, whole: bool = True
    ) -> FleetView:
        """Return the changes after the revision ``have`` of this era, for another host.

        With ``have`` 0 that is everything. A configuration above ``MAX_RELAYED_ROUTES`` is
        included only if ``whole``.
        """
        since = have or -1
        table = self._table if self._table_revision > since else None
        if table is not None and not whole and len(table.routes) > MAX_RELAYED_ROUTES:
            table = None
        return FleetView(
            self._revision,
            age_s,
            self.version,
            table,
            tuple(
                _known_upstream(upstream, now)
                for upstream in self._upstreams
                if upstream.revision > since
            ),
            tuple(
                DataCentreChanged(name, is_out, revision)
                for revisions, is_out in ((self._out_of_service, True), (self._in_service, False))
                for name, revision in revisions.items()
                if revision > since
            ),
            era=self._era,
        )

    def apply_view(self, view: FleetView, now: Seconds) -> list[Change]:
        """Apply another host's view; return the changes that were new to this host.

        Of a view of an earlier era only the configuration is used, as its versions do not
        go back.
        """
        if view.era < self._era:
            view = view._replace(revision=0, upstreams=(), data_centres=())
        else:
            self.begin_era(view.era, now)
        applied = [change for change in _changes(view) if self.on_change(change, now)]
        if self.version >= view.table_version:
            self.advance_revision(view.revision)
        return applied

    def _is_settling(self, now: Seconds) -> bool:
        return self._settles_at is not None and now < self._settles_at

    def _put_upstream(self, change: UpstreamChanged, now: Seconds) -> bool:
        known = self._upstreams.get(change.entry.name)
        before = known.revision if known else 0
        if self._is_settling(now) and not before and self._upstreams.is_outdated(change.entry):
            return False
        self._upstreams.put(change.entry, change.revision, change.created, now)
        return change.revision > before

    def _set_table(self, table: RoutingTable, revision: Revision) -> bool:
        if table.version <= self.version:
            return False
        self._table_revision = revision
        if self._table is not None and table.is_complete:
            # Without an unreadable route's address, none is known to have been removed.
            self._removed_routes |= self._table.routes.keys()
        self._removed_routes -= table.routes.keys()
        self._table = table
        return True

    def _set_data_centre(self, change: DataCentreChanged) -> bool:
        name = change.data_centre
        known = max(self._out_of_service.get(name, -1), self._in_service.get(name, -1))
        if change.revision <= known:
            return False
        self._out_of_service.pop(name, None)
        self._in_service.pop(name, None)
        (self._out_of_service if change.is_out else self._in_service)[name] = change.revision
        return True


def _known_upstream(upstream: Upstream, now: Seconds) -> KnownUpstream:
    cold_for_s = max(0.0, upstream.cold_until - now)
    return KnownUpstream(
        upstream.entry._replace(cold_for_s=cold_for_s),
        upstream.revision,
        upstream.created,
        upstream.removed_at is None,
    )


def _changes(view: FleetView) -> Iterator[Change]:
    """Return a view as a sequence of changes."""
    if view.table is not None:
        yield TableChanged(view.table, view.revision)
    for known in view.upstreams:
        yield UpstreamChanged(known.entry, known.revision, known.created)
        if not known.has_entry:
            yield UpstreamRemoved(known.entry.name, known.revision)
    yield from view.data_centres
