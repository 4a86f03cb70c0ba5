"""Log lines on what a host believes of the platform and of upstreams, one a change."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

import structlog

from banyanline.core.steering.model import (
    DataCentreOut,
    TableChanged,
    UpstreamChanged,
    UpstreamRemoved,
)
from banyanline.core.steering.upstreams import UpstreamStanding

if TYPE_CHECKING:
    from banyanline.core.steering.catalog import Catalog
    from banyanline.core.types import Seconds, UpstreamName

DOUBTED = (UpstreamStanding.SUSPECT, UpstreamStanding.LOST)

log = structlog.get_logger()


@singledispatch
def log_change(change: object) -> None:
    """Write a line on what the platform says anew; raises TypeError for an unknown type."""
    raise TypeError(f"no change of the platform: {change!r}")


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


@log_change.register
def _(change: DataCentreOut) -> None:
    log.info(
        "data_centre_changed",
        data_centre=change.data_centre,
        out=change.is_out,
        revision=change.revision,
    )


class StandingLog:
    """Writes a line when an upstream becomes suspect or lost, and when it is well again."""

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._doubted: dict[UpstreamName, UpstreamStanding] = {}

    def update(self, now: Seconds) -> None:
        """Write what has changed since the last call."""
        for upstream in self._catalog.upstreams:
            standing = self._catalog.standing(upstream, now)
            before = self._doubted.get(upstream.name)
            if standing is before or (before is None and standing not in DOUBTED):
                continue
            if standing in DOUBTED:
                self._doubted[upstream.name] = standing
            else:
                del self._doubted[upstream.name]
            log.info(
                "upstream_standing",
                upstream=upstream.name,
                service=upstream.entry.service,
                standing=standing.value,
                before=before.value if before else None,
                **upstream.silence.report(now)._asdict(),
            )
        self._forget_unknown()

    def _forget_unknown(self) -> None:
        known = self._catalog.upstreams
        self._doubted = {name: at for name, at in self._doubted.items() if known.get(name)}
