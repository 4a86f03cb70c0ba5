"""Life cycle of a balancer process on the operators' platform: start, reload, shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import structlog

from banyanline.core.steering.catalog import Catalog
from banyanline.core.steering.graceful_shutdown import GracefulShutdown
from banyanline.core.steering.host_liveness import HostState
from banyanline.core.steering.steering import Steering
from banyanline.core.types import Endpoint
from banyanline.net.logs import log_loop_error
from banyanline.net.pages import PageResponse, PageServer
from banyanline.net.steering.background import keep_running
from banyanline.net.steering.change_log import (
    ReadinessLog,
    ShortageLog,
    UpstreamAvailabilityLog,
    log_pace,
)
from banyanline.net.steering.feed import StoreFeed
from banyanline.net.steering.heartbeat_exchange import HeartbeatExchange
from banyanline.net.steering.packet_path import PacketPath
from banyanline.net.steering.peer_discovery import PEERS_PATH, PeerDiscovery
from banyanline.net.steering.peers import PeerReader
from banyanline.net.steering.report_exchange import ReportExchange, ReportSource
from banyanline.net.steering.seeds import Seeds
from banyanline.net.steering.views import MAX_CONNECTIONS, ViewServer
from banyanline.platform.endpoints import METRICS_PORT, READY_TARGET
from banyanline.platform.host_settings import HostSettingsError, SettingsFile
from banyanline.platform.store import StoreClient

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from banyanline.net.admin import AdminPages
    from banyanline.net.output import NonBlockingOutput
    from banyanline.net.steering.metrics import SteeringMetrics
    from banyanline.net.steering.status import FlowExplanation, SteeringStatus
    from banyanline.platform.host_settings import HostSettings

TICK_S = 1.0
SHUTDOWN_POLL_S = 0.05

log = structlog.get_logger()


class SteeringProcess:
    """Connects :class:`Steering` with sockets, timers and HTTP servers."""

    def __init__(
        self,
        settings: HostSettings,
        path: Path,
        rng: random.Random,
        output: NonBlockingOutput,
        packets: socket.socket | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._settings_file = SettingsFile(path)
        self._clock: Callable[[], float] = loop.time
        self._catalog = Catalog()
        self._steering = Steering(self._catalog, settings.data_centre, rng)
        self._packet_path = PacketPath(loop, settings.packets, self._steering, packets)
        self._seeds = Seeds(settings.control, rng, settings.data_centre)
        # Reports have their own generator, so that placement draws the same numbers without them.
        reports_rng = random.Random()
        self._heartbeats = HeartbeatExchange(
            settings.data_centre, self._steering, self._host_state, reports_rng
        )
        self._reports = _report_exchange(settings, self._steering, reports_rng, self._heartbeats)
        self._discovery = PeerDiscovery(
            settings.data_centre,
            self._seeds,
            self._reports,
            self._heartbeats,
            self._clock,
            reports_rng,
        )
        self._feed = self._store_feed(rng)
        self._peers = PeerReader(
            self._catalog,
            self._seeds,
            self._clock,
            rng,
            lambda: self._feed.last_contact_at,
            self._on_change,
        )
        self._view_server = ViewServer(
            self._catalog, self._clock, self._store_age_s, settings.data_centre
        )
        self._set_sources(settings)
        self._availability_log = UpstreamAvailabilityLog(self._catalog)
        self._readiness_log = ReadinessLog(self._steering)
        self._shortage_log = ShortageLog(self._steering.peer_placement.admission)
        self._shutdown: GracefulShutdown | None = None
        self._servers = self._page_servers()
        self._output = output
        self._admin: AdminPages | None = None
        metrics = Endpoint(settings.packets.ip, METRICS_PORT)
        self._admin_server = PageServer(metrics, self._respond_admin)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets here."""
        return self._catalog.is_configured and self._shutdown is None and self._steering.is_ready

    async def start(self) -> None:
        """Start the background tasks and HTTP servers; raises OSError if an address is in use."""
        settings = self._settings
        log.info(
            "host_started",
            data_centre=settings.data_centre,
            packets=str(settings.packets),
            store=str(settings.store),
        )
        self._tasks = [
            asyncio.create_task(keep_running("feed", self._feed.run)),
            asyncio.create_task(keep_running("peers", self._peers.run)),
            asyncio.create_task(keep_running("reports", self._reports.run)),
            asyncio.create_task(keep_running("discovery", self._discovery.run)),
            asyncio.create_task(keep_running("tick", self._tick)),
        ]
        for defect in settings.defects:
            log.warning("setting_unreadable", **defect._asdict())
        for server in self._servers:
            await server.start()
        try:
            await self._admin_server.start()
        except OSError as error:
            log.warning("metrics_not_served", port=METRICS_PORT, detail=str(error))

    def reload(self) -> None:
        """Reload the settings; an invalid or partly unreadable file leaves the old in force."""
        settings = self._settings_file.read()
        if isinstance(settings, HostSettingsError):
            log.error("settings_refused", detail=str(settings))
        elif settings.defects:
            defect = settings.defects[0]
            log.error("settings_refused", detail=f"{defect.path}: {defect.effect}")
        else:
            self._apply_settings(settings)

    async def stop(self) -> None:
        """Shut down gracefully: fail readiness checks and serve until the routers have noticed."""
        began_at = self._clock()
        shutdown = self._shutdown = GracefulShutdown(began_at, self._settings.stop_grace_s)
        while not shutdown.is_over(self._clock()):
            await asyncio.sleep(SHUTDOWN_POLL_S)
            if (
                self._packet_path.last_packet_at is not None
                and self._packet_path.last_packet_at > began_at
            ):
                shutdown.on_packet(self._packet_path.last_packet_at)
        for task in self._tasks:
            task.cancel()
        self._packet_path.close()
        self._reports.close()
        log.info("host_stopped", after_s=round(self._clock() - began_at, 3), checks=shutdown.checks)

    def _store_feed(self, rng: random.Random) -> StoreFeed:
        return StoreFeed(
            StoreClient(self._settings.store, self._clock),
            self._catalog,
            self._clock,
            rng,
            self._seeds,
            self._on_change,
            self._settings.host,
        )

    def _page_servers(self) -> list[PageServer]:
        """Return the servers of the readiness page and, if it is configured, the control port."""
        servers = [PageServer(self._settings.readiness, self._respond_readiness)]
        if self._settings.control is not None:
            servers.append(
                PageServer(self._settings.control, self._respond_control, MAX_CONNECTIONS)
            )
        return servers

    def _apply_settings(self, settings: HostSettings) -> None:
        """Apply the settings that may change at run time; the others need a restart."""
        applied = settings._replace(
            packets=self._settings.packets,
            readiness=self._settings.readiness,
            control=self._settings.control,
            internal_ports=self._settings.internal_ports,
            data_centre=self._settings.data_centre,
            host=self._settings.host,
        )
        if applied != settings:
            log.warning("settings_need_restart", detail="addresses, name or data centre changed")
        self._settings = applied
        self._set_sources(applied)
        log.info("settings_reloaded", seeds=len(applied.seeds))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self._packet_path.check_for_pause(now)
            self._steering.on_tick(now)
            self._packet_path.start_due_checks()
            self._reports.on_tick(now)
            self._update_host_count()
            self._availability_log.update(now)
            self._readiness_log.update(now)
            self._shortage_log.update(now)
            for change in self._steering.pace.take_changes():
                log_pace(change)
            if self._settings_file.has_changed():
                self.reload()

    def _update_host_count(self) -> None:
        polling_hosts = self._view_server.polling_hosts
        if self._seeds.includes_self and polling_hosts > 1:
            self._catalog.set_host_count(polling_hosts * self._seeds.count)

    def _respond_readiness(self, target: str, _accepts: Sequence[str]) -> PageResponse:
        if target != READY_TARGET:
            return PageResponse(404, b"no such page\n")
        self._readiness_log.update(self._clock())
        if self.is_ready:
            return PageResponse(200, b"ready\n")
        if self._shutdown is not None:
            self._shutdown.on_check(self._clock())
        return PageResponse(503, b"not ready\n")

    def _respond_admin(self, target: str, accepts: Sequence[str]) -> PageResponse:
        from banyanline.net.admin import AdminPages, respond

        if self._admin is None:
            self._admin = AdminPages(
                self._load_metrics().render, self._status, lambda: self.is_ready, self._explain
            )
        return respond(self._admin, target, accepts)

    def _status(self) -> SteeringStatus:
        from banyanline.net.steering.status import steering_status

        return steering_status(
            self._steering,
            host=self._settings.host,
            data_centre=self._settings.data_centre,
            state=self._state(),
            store_age_s=None if self._feed.synced_at is None else self._store_age_s(),
            unusable_items=self._feed.unusable_items,
            now=self._clock(),
        )

    def _state(self) -> str:
        if self._shutdown is not None:
            return "leaving"
        if not self._catalog.is_configured:
            return "not configured"
        if not self._steering.readiness.is_ready:
            return "cut off"
        return "failed over" if self._steering.failover.is_active else "ready"

    def _host_state(self) -> HostState:
        """Return what this host says of itself in heartbeats."""
        if self._shutdown is not None:
            return HostState.LEAVING
        is_able = self._catalog.is_configured and self._steering.readiness.is_ready
        return HostState.AVAILABLE if is_able else HostState.UNAVAILABLE

    def _explain(self, caller: Endpoint, service: str) -> FlowExplanation | None:
        from banyanline.net.steering.status import explain_flow

        return explain_flow(self._steering, caller, service, self._clock())

    def _load_metrics(self) -> SteeringMetrics:
        from banyanline.net.steering.metrics import SteeringMetrics, SteeringSources

        sources = SteeringSources(
            self._steering,
            self._clock,
            lambda: self._feed.client.calls,
            lambda: self._feed.client.failures,
            self._store_age_s,
            lambda: len(self._feed.unusable_items),
            lambda: self._output.dropped_lines,
            lambda: self._reports.counts,
        )
        return SteeringMetrics(sources)

    def _store_age_s(self) -> float:
        synced_at = self._feed.synced_at
        return float("inf") if synced_at is None else self._clock() - synced_at

    async def _respond_control(self, target: str, _accepts: Sequence[str]) -> PageResponse:
        if urlsplit(target).path == PEERS_PATH:
            return self._discovery.respond(target)
        return await self._view_server.respond(target)

    def _set_sources(self, settings: HostSettings) -> None:
        self._seeds.set(settings.seeds)
        self._feed.set_source(settings.store, settings.contact_s, settings.change_bound_s)
        self._reports.set_link(settings.link_mbps)
        if settings.internal_ports:
            self._reports.open()
        else:
            self._reports.close()

    def _on_change(self) -> None:
        self._packet_path.release_held()
        self._view_server.notify_waiters()


async def serve(
    settings: HostSettings,
    path: Path,
    output: NonBlockingOutput,
    packets: socket.socket | None = None,
) -> None:
    """Run a balancer until SIGTERM or SIGINT; ``packets`` is a socket already bound, if any."""
    process = SteeringProcess(settings, path, random.Random(), output, packets)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    await stop.wait()
    log.info("host_leaving", grace_s=settings.stop_grace_s)
    await process.stop()


def _report_exchange(
    settings: HostSettings,
    steering: Steering,
    rng: random.Random,
    heartbeats: HeartbeatExchange,
) -> ReportExchange:
    return ReportExchange(
        ReportSource(settings.host, settings.data_centre, steering),
        Endpoint(settings.packets.ip, settings.internal_ports.start),
        settings.link_mbps,
        rng,
        heartbeats,
    )
