"""Decides whether this host takes new callers: not while its data centre is cut off.

If operators take the upstreams of a data centre out of service, and the data centre is then
cut off from the others, its hosts reach no usable upstream, while hosts elsewhere could serve
the callers. Routers move callers away only when no host of the data centre is ready, so all
its hosts have to decide alike:

- A host finds a service *out of reach* if all usable upstreams of the service have failed
  their health checks, and so have upstreams of other services in the other data centres.
  A service that is down everywhere is therefore not out of reach.
- A host is not ready while it finds a service out of reach, and more than half of the hosts
  of its data centre that report the service do so too, this one included. A host whose own
  link is broken is in the minority, and stays ready.
- If most other hosts report a service out of reach, a host checks the upstreams itself, even
  without opening packets from callers, so that all hosts decide at about the same time.

A host without reports from others is always ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.peer_reports import PeerReports
    from banyanline.core.steering.upstreams import Upstream
    from banyanline.core.types import DataCentreName, Seconds, ServiceName

REFERENCE_UPSTREAMS = 3
"""Number of upstreams of other services that are checked in each data centre.

More than one, as a single upstream may be down for another reason.
"""

TRACK_AFTER_OPENING_S = 3.0
"""How long after an opening packet this host assesses whether the service is in reach."""

MAX_CHECKS_FOR_REPORTS = 8
"""Limit on the health checks per service and update that other hosts' reports cause."""

MIN_READY_S = 2.0
"""Minimum time that this host stays ready after it was cut off.

Routers move callers after two checks; faster changes would move them back and forth.
"""


class Reachability(NamedTuple):
    """Whether a service is out of reach, and the upstreams to check to find out."""

    is_out_of_reach: bool
    to_check: tuple[Upstream, ...] = ()


REACHABLE = Reachability(False)


def assess_reachability(
    catalog: Catalog, service: ServiceName, data_centre: DataCentreName
) -> Reachability:
    """Return whether a service is out of reach of a host in ``data_centre``.

    If all upstreams of the service have failed, the upstreams of other services that have
    not failed are to be checked: they show whether the data centre is cut off.
    """
    usable = catalog.usable(service)
    elsewhere = {upstream.entry.data_centre for upstream in usable} - {data_centre}
    if not elsewhere or not all(_has_failed(upstream) for upstream in usable):
        return REACHABLE
    references = [
        upstream
        for other in sorted(elsewhere)
        for upstream in _reference_upstreams(catalog, service, other)
    ]
    unchecked = tuple(upstream for upstream in references if not _has_failed(upstream))
    return Reachability(bool(references) and not unchecked, unchecked)


def _reference_upstreams(
    catalog: Catalog, service: ServiceName, data_centre: DataCentreName
) -> Sequence[Upstream]:
    """Return up to ``REFERENCE_UPSTREAMS`` upstreams of other services in a data centre."""
    others = [
        upstream
        for upstream in catalog.upstreams
        if upstream.accepts_flows
        and upstream.entry.service != service
        and upstream.entry.data_centre == data_centre
    ]
    return sorted(others, key=lambda upstream: upstream.name)[:REFERENCE_UPSTREAMS]


def _has_failed(upstream: Upstream) -> bool:
    return upstream.failure_detector.has_failed_check


class Readiness:
    """Decides whether this host is ready, from its own checks and the reports of others.

    Update it when a health check has ended and when reports may have changed.
    """

    def __init__(self, catalog: Catalog, peers: PeerReports, data_centre: DataCentreName) -> None:
        self._catalog = catalog
        self._peers = peers
        self._data_centre = data_centre
        self._latest_opening_at: dict[ServiceName, Seconds] = {}
        self._out_of_reach: frozenset[ServiceName] = frozenset()
        self._cut_off: frozenset[ServiceName] = frozenset()
        self._ready_at: Seconds = float("-inf")

    @property
    def out_of_reach(self) -> frozenset[ServiceName]:
        """The services that this host itself finds out of reach."""
        return self._out_of_reach

    @property
    def cut_off(self) -> frozenset[ServiceName]:
        """The services because of which this host is not ready; empty if it is ready."""
        return self._cut_off

    @property
    def is_ready(self) -> bool:
        """Whether this host should take new callers."""
        return not self._cut_off

    def on_opening(self, service: ServiceName, now: Seconds) -> None:
        """Record that a caller asked for a service."""
        self._latest_opening_at[service] = now

    def update(self, now: Seconds) -> tuple[Upstream, ...]:
        """Update the decision; return the upstreams whose health checks it needs."""
        self._drop_unused(now)
        reported = self._peers.out_of_reach()
        reachabilities = {
            service: assess_reachability(self._catalog, service, self._data_centre)
            for service in {*self._latest_opening_at, *reported}
        }
        self._out_of_reach = frozenset(
            service
            for service, reachability in reachabilities.items()
            if reachability.is_out_of_reach
        )
        self._decide(now)
        to_check = [
            upstream
            for reachability in reachabilities.values()
            for upstream in reachability.to_check
        ]
        for service in reported - self._out_of_reach:
            to_check.extend(self._upstreams_to_check(service))
        return tuple(to_check)

    def _drop_unused(self, now: Seconds) -> None:
        """Drop services without recent opening packets, unless they are out of reach."""
        self._latest_opening_at = {
            service: latest_opening_at
            for service, latest_opening_at in self._latest_opening_at.items()
            if now - latest_opening_at < TRACK_AFTER_OPENING_S or service in self._out_of_reach
        }

    def _decide(self, now: Seconds) -> None:
        confirmed = frozenset(filter(self._has_majority, self._out_of_reach))
        if self._cut_off and not confirmed:
            self._ready_at = now
        self._cut_off = confirmed if now - self._ready_at >= MIN_READY_S else frozenset()

    def _has_majority(self, service: ServiceName) -> bool:
        """Whether more than half of the hosts find a service out of reach, this one included."""
        count = self._peers.reachability(service)
        if not count.hosts:
            return False
        return 2 * (count.out_of_reach + 1) > count.hosts + 1

    def _upstreams_to_check(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams to check of a service that most other hosts cannot reach."""
        count = self._peers.reachability(service)
        if 2 * count.out_of_reach <= count.hosts:
            return ()
        unchecked = [each for each in self._catalog.usable(service) if not _has_failed(each)]
        return unchecked[:MAX_CHECKS_FOR_REPORTS]
