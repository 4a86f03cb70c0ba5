"""Logs each change of platform data and of the availability of upstreams, one line each."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.model import (
    DataCentreChanged,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.steering.opening_window import PaceStep
from banyanline.core.steering.upstreams import UpstreamAvailability
from banyanline.platform.entries import CONFIGURATION_KEY

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyanline.core.steering.admission import Admission
    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.steering.opening_window import PaceChange
    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Seconds, ServiceName, UpstreamName

UNHEALTHY = (UpstreamAvailability.SUSPECT, UpstreamAvailability.LOST)

log = structlog.get_logger()


@singledispatch
def log_change(change: object) -> None:
    """Log one change of platform data; raises TypeError for an unknown type."""
    raise TypeError(f"unsupported change type: {change!r}")


@log_change.register
def _(change: UpstreamChanged) -> None:
    entry = change.entry
    log.info(
        "upstream_changed",
        upstream=entry.name,
        service=entry.service,
        data_centre=entry.data_centre,
        leaving=entry.is_leaving,
        cold_s=entry.cold_for_s,
        incarnation=entry.incarnation,
        revision=change.revision,
    )


@log_change.register
def _(change: UpstreamRemoved) -> None:
    log.info("upstream_removed", upstream=change.name, revision=change.revision)


@log_change.register
def _(change: TableChanged) -> None:
    log.info(
        "routes_in_force",
        version=change.table.version,
        routes=len(change.table.routes),
        revision=change.revision,
    )
    for defect in change.table.defects:
        log.warning(
            "element_unreadable",
            key=CONFIGURATION_KEY,
            version=change.table.version,
            **defect._asdict(),
        )


@log_change.register
def _(change: DataCentreChanged) -> None:
    log.info(
        "data_centre_changed",
        data_centre=change.data_centre,
        out=change.is_out,
        revision=change.revision,
    )


def log_pace(change: PaceChange) -> None:
    """Log that the pacing of openings to an upstream has begun or ended."""
    fields = {"upstream": change.upstream, "cause": change.cause.value, "window": change.size}
    if change.step is PaceStep.ENDED:
        log.info("upstream_pace_ended", **fields, age_s=change.age_s)
    else:
        log.info("upstream_paced", **fields)


class UpstreamAvailabilityLog:
    """Logs when an upstream becomes suspect or lost, and when it recovers."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._unhealthy: dict[UpstreamName, UpstreamAvailability] = {}

    def update(self, now: Seconds) -> None:
        """Log the changes since the last call."""
        for upstream in self._catalog.upstreams:
            availability = self._catalog.availability(upstream, now)
            before = self._unhealthy.get(upstream.name)
            if availability is before or (before is None and availability not in UNHEALTHY):
                continue
            if availability in UNHEALTHY:
                self._unhealthy[upstream.name] = availability
            else:
                del self._unhealthy[upstream.name]
            log.info(
                "upstream_standing",
                upstream=upstream.name,
                service=upstream.entry.service,
                standing=availability.value,
                before=before.value if before else None,
                **upstream.failure_detector.report(now)._asdict(),
            )
        self._forget_removed()

    def _forget_removed(self) -> None:
        known = self._catalog.upstreams
        self._unhealthy = {
            name: availability for name, availability in self._unhealthy.items() if known.get(name)
        }


class ReadinessLog:
    """Logs why this host stops being ready, with what it has heard, and when it is ready again."""

    def __init__(self, steering: Steering) -> None:
        self._steering = steering
        self._cut_off: frozenset[ServiceName] = frozenset()
        self._has_failed_over = False

    def update(self, now: Seconds) -> None:
        """Log the change since the last call, if there is one."""
        cut_off = self._steering.readiness.cut_off
        has_failed_over = self._steering.failover.is_active
        if (cut_off, has_failed_over) == (self._cut_off, self._has_failed_over):
            return
        self._cut_off = cut_off
        self._has_failed_over = has_failed_over
        liveness = self._steering.liveness
        count = liveness.count(now)
        silent = liveness.silent(now)
        log.warning(
            "readiness_changed",
            ready=self._steering.is_ready,
            out_of_reach=",".join(sorted(cut_off)),
            failed_over=has_failed_over,
            hosts=count.known,
            alive=count.alive,
            silent=",".join(f"{host}:{age_s:.1f}" for host, age_s in sorted(silent.items())),
        )


class ShortageLog:
    """Logs the beginning and the end of each service's shortage of capacity."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._shortages: Mapping[ServiceName, int] = {}

    def update(self, now: Seconds) -> None:
        """Log the changes since the last call."""
        shortages = self._admission.shortages(now)
        for service in shortages.keys() ^ self._shortages.keys():
            log.info(
                "room_changed",
                service=service,
                short=service in shortages,
                reserved=shortages.get(service, 0),
            )
        self._shortages = shortages
