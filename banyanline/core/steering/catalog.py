"""What a host knows of the platform: routes, upstreams, and data centres out of service.

It is told by the platform's store and by other hosts, in any order and more than
once. What is older than what is known changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.model import (
    DataCentreOut,
    FleetView,
    KnownUpstream,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.steering.upstreams import UpstreamStanding, UpstreamTable, is_suspect

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from banyanline.core.steering.model import Change, Revision, Route, RoutingTable
    from banyanline.core.steering.packet import ServiceAddress
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName, UpstreamName

COLD_GAP_S = 1.0
"""Time between two opening packets from one host to a cold upstream, in a small fleet."""

COLD_HOSTS = 6
"""Hosts up to which a fleet is small: what all send together stays well within what is borne."""

MAX_TOLD_ROUTES = 400
"""A larger configuration is read from the store rather than told by a host on a small link."""


class Catalog:
    """Routes and upstreams as they are known to one host."""

    def __init__(self) -> None:
        self._upstreams = UpstreamTable()
        self._table: RoutingTable | None = None
        self._table_revision: Revision = 0
        self._removed_routes: set[ServiceAddress] = set()
        self._out: dict[DataCentreName, Revision] = {}
        self._back: dict[DataCentreName, Revision] = {}
        self._revision: Revision = 0
        self._cold_gap_s = COLD_GAP_S

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
        """The revision of the platform up to which this host knows all changes."""
        return self._revision

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
        return frozenset(self._out)

    @property
    def cold_gap_s(self) -> Seconds:
        """Time between two opening packets from this host to one cold upstream."""
        return self._cold_gap_s

    def route(self, address: ServiceAddress) -> Route | None:
        """Return the route of a service address in the configuration in force."""
        return self._table.routes.get(address) if self._table else None

    def is_route_removed(self, address: ServiceAddress) -> bool:
        """Whether this host has had a route for the address, and has none now."""
        return address in self._removed_routes

    def note_hosts(self, hosts: int) -> None:
        """Take in about how many hosts there are, which share what cold upstreams bear."""
        self._cold_gap_s = COLD_GAP_S * max(1.0, hosts / COLD_HOSTS)

    def limits_cold(self, service: ServiceName) -> bool:
        """Whether upstreams of the service bear a limited rate of new flows while cold."""
        limit = self._table.cold_limits.get(service) if self._table else None
        return limit is not None and limit.rate > 0.0

    def usable(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service that may get new flows."""
        return [
            upstream
            for upstream in self._upstreams.of_service(service)
            if upstream.takes_flows
            and upstream.entry.data_centre not in self._out
            and self._upstreams.is_addressable(upstream)
        ]

    def standing(self, upstream: Upstream, now: Seconds) -> UpstreamStanding:
        """Return how this host regards an upstream."""
        if upstream.removed_at is not None:
            return UpstreamStanding.REMOVED
        if upstream.entry.is_leaving:
            return UpstreamStanding.LEAVING
        if upstream.entry.data_centre in self._out:
            return UpstreamStanding.OUT
        if upstream.silence.is_lost(now):
            return UpstreamStanding.LOST
        if is_suspect(upstream, now):
            return UpstreamStanding.SUSPECT
        return UpstreamStanding.COLD if upstream.is_cold(now) else UpstreamStanding.WELL

    def on_change(self, change: Change, now: Seconds) -> bool:
        """Take in what the platform says; return whether it was news."""
        if isinstance(change, UpstreamChanged):
            known = self._upstreams.get(change.entry.name)
            before = known.revision if known else 0
            self._upstreams.put(change.entry, change.revision, change.created, now)
            return change.revision > before
        if isinstance(change, UpstreamRemoved):
            return self._upstreams.remove(change.name, change.revision, now) is not None
        if isinstance(change, TableChanged):
            return self._put_table(change.table, change.revision)
        return self._put_out(change)

    def settle(self, as_of: Revision) -> None:
        """Take in that all changes up to ``as_of`` have been told."""
        self._revision = max(self._revision, as_of)

    def retain(
        self,
        names: Collection[UpstreamName],
        out: Collection[DataCentreName],
        as_of: Revision,
        now: Seconds,
    ) -> None:
        """Take in a complete list: what is not on it was removed by revision ``as_of``."""
        self.settle(as_of)
        for name in set(self._upstreams.names_with_entry()) - set(names):
            self._upstreams.remove(name, as_of, now)
        for data_centre in set(self._out) - set(out):
            self._put_out(DataCentreOut(data_centre, False, as_of))

    def view(
        self, now: Seconds, have: Revision = 0, age_s: Seconds = 0.0, *, whole: bool = True
    ) -> FleetView:
        """Return what changed after the revision ``have``, for another host.

        A large configuration is told only if the view is to be ``whole``.
        """
        table = self._table if self._table_revision > have else None
        if table is not None and not whole and len(table.routes) > MAX_TOLD_ROUTES:
            table = None
        return FleetView(
            self._revision,
            age_s,
            self.version,
            table,
            tuple(
                _known(upstream, now) for upstream in self._upstreams if upstream.revision > have
            ),
            tuple(
                DataCentreOut(name, is_out, revision)
                for words, is_out in ((self._out, True), (self._back, False))
                for name, revision in words.items()
                if revision > have
            ),
        )

    def on_view(self, view: FleetView, now: Seconds) -> list[Change]:
        """Take in what another host knows; return what was news. Older words change nothing."""
        news = [change for change in _changes(view) if self.on_change(change, now)]
        if self.version >= view.table_version:
            self.settle(view.revision)
        return news

    def _put_table(self, table: RoutingTable, revision: Revision) -> bool:
        if table.version <= self.version:
            return False
        self._table_revision = revision
        if self._table is not None:
            self._removed_routes |= self._table.routes.keys()
        self._removed_routes -= table.routes.keys()
        self._table = table
        return True

    def _put_out(self, change: DataCentreOut) -> bool:
        name = change.data_centre
        known = max(self._out.get(name, 0), self._back.get(name, 0))
        if change.revision <= known:
            return False
        self._out.pop(name, None)
        self._back.pop(name, None)
        (self._out if change.is_out else self._back)[name] = change.revision
        return True


def _known(upstream: Upstream, now: Seconds) -> KnownUpstream:
    cold_for_s = max(0.0, upstream.cold_until - now)
    return KnownUpstream(
        upstream.entry._replace(cold_for_s=cold_for_s),
        upstream.revision,
        upstream.created,
        upstream.removed_at is None,
    )


def _changes(view: FleetView) -> Iterator[Change]:
    """Return the changes that a view stands for."""
    if view.table is not None:
        yield TableChanged(view.table, view.revision)
    for known in view.upstreams:
        yield UpstreamChanged(known.entry, known.revision, known.created)
        if not known.has_entry:
            yield UpstreamRemoved(known.entry.name, known.revision)
    yield from view.data_centres
