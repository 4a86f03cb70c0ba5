"""Whether a host should take new callers: not while its data centre is cut off from a service.

Answers the load in which operators have taken the upstreams of a data centre out of
service, and the data centre is then cut off from the others: its hosts reach no usable
upstream, while hosts elsewhere could serve the callers. Routers move callers away only
when no host of the data centre is ready, so its hosts have to decide alike:

- A host finds a service *out of reach* if all usable upstreams of the service have failed
  their health checks, and so have upstreams of other services in the other data centres.
  A service that is down everywhere is therefore not out of reach.
- A host is not ready while it finds a service out of reach, and so do more than half of the
  hosts of its data centre that report the service. A host with a broken link is alone with
  its finding, and stays ready.
- A host to which most others report a service out of reach checks its upstreams itself, so
  that all hosts find out at about the same time, whether callers ask them or not.

A host without reports of others decides nothing here, and is ready.
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
"""Number of upstreams of another service that are checked in a data centre.

More than one, as single upstreams may be down for reasons of their own.
"""

ASKED_S = 3.0
"""How long after a caller's opening packet this host follows the reach of a service."""

MAX_REQUESTED_CHECKS = 8
"""Limit on the health checks that reports of others cause in one update."""

MIN_READY_S = 2.0
"""Minimum time between becoming ready and not being ready again.

Routers need two checks to move callers; faster changes would only move callers to and fro.
"""


class ReachFinding(NamedTuple):
    """Whether a service is out of reach, and the upstreams whose checks would show more."""

    is_out_of_reach: bool
    to_check: tuple[Upstream, ...] = ()


IN_REACH = ReachFinding(False)


def find_reach(catalog: Catalog, service: ServiceName, data_centre: DataCentreName) -> ReachFinding:
    """Return whether a service is out of reach of a host in ``data_centre``.

    If only the upstreams of other services are left to be checked, some are returned.
    """
    usable = catalog.usable(service)
    elsewhere = {upstream.entry.data_centre for upstream in usable} - {data_centre}
    if not elsewhere or not all(_has_failed(upstream) for upstream in usable):
        return IN_REACH
    references = [
        upstream
        for other in sorted(elsewhere)
        for upstream in _reference_upstreams(catalog, service, other)
    ]
    unproven = tuple(upstream for upstream in references if not _has_failed(upstream))
    return ReachFinding(bool(references) and not unproven, unproven)


def _reference_upstreams(
    catalog: Catalog, service: ServiceName, data_centre: DataCentreName
) -> Sequence[Upstream]:
    """Return a few upstreams of other services in a data centre."""
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
    """Decides whether this host is ready, from its own findings and the reports of others.

    Update it when a health check has ended and when reports may have changed.
    """

    def __init__(self, catalog: Catalog, peers: PeerReports, data_centre: DataCentreName) -> None:
        self._catalog = catalog
        self._peers = peers
        self._data_centre = data_centre
        self._asked_at: dict[ServiceName, Seconds] = {}
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
        self._asked_at[service] = now

    def update(self, now: Seconds) -> tuple[Upstream, ...]:
        """Decide again; return the upstreams whose health checks would show more."""
        self._forget_unasked(now)
        reported = self._peers.out_of_reach()
        findings = {
            service: find_reach(self._catalog, service, self._data_centre)
            for service in {*self._asked_at, *reported}
        }
        self._out_of_reach = frozenset(
            service for service, finding in findings.items() if finding.is_out_of_reach
        )
        self._decide(now)
        to_check = [upstream for finding in findings.values() for upstream in finding.to_check]
        for service in reported - self._out_of_reach:
            to_check.extend(self._unchecked(service))
        return tuple(to_check)

    def _forget_unasked(self, now: Seconds) -> None:
        """Follow a service that is out of reach until it is back, whether callers ask or not."""
        self._asked_at = {
            service: asked_at
            for service, asked_at in self._asked_at.items()
            if now - asked_at < ASKED_S or service in self._out_of_reach
        }

    def _decide(self, now: Seconds) -> None:
        agreed = frozenset(filter(self._is_agreed, self._out_of_reach))
        if self._cut_off and not agreed:
            self._ready_at = now
        self._cut_off = agreed if now - self._ready_at >= MIN_READY_S else frozenset()

    def _is_agreed(self, service: ServiceName) -> bool:
        """Whether more than half of the hosts find a service out of reach, this one included."""
        reach = self._peers.reach(service)
        if not reach.hosts:
            return False
        return 2 * (reach.out_of_reach + 1) > reach.hosts + 1

    def _unchecked(self, service: ServiceName) -> Sequence[Upstream]:
        """Return some upstreams of a service that most others cannot reach, and this host may."""
        reach = self._peers.reach(service)
        if 2 * reach.out_of_reach <= reach.hosts:
            return ()
        unchecked = [each for each in self._catalog.usable(service) if not _has_failed(each)]
        return unchecked[:MAX_REQUESTED_CHECKS]
