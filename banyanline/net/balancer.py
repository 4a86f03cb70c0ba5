"""Runtime of one balancer: connects the core to sockets, timers and gRPC."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Any

import structlog

from banyanline.core.counters import DropReason
from banyanline.core.dispatch import singledispatchmethod
from banyanline.core.effects import (
    CloseFlow,
    Effect,
    LogEvent,
    SendOnFlow,
    SendProbe,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    TransferToPeer,
)
from banyanline.core.invariants import InvariantError
from banyanline.core.keys import KeyRing
from banyanline.core.membership import Probe, ProbeAck, ProbeRequest
from banyanline.core.messages import FlowKey
from banyanline.core.model import Configuration
from banyanline.core.node import Node
from banyanline.core.owner.requests import LATE_ANSWER_WINDOW_S
from banyanline.core.readers import select_readers
from banyanline.core.types import Endpoint, Host, HostName, ServiceName, UpstreamName
from banyanline.net import explain
from banyanline.net.admin import AdminPages, AdminServer
from banyanline.net.configuration import (
    FETCH_METHOD,
    ConfigurationSync,
    FetchReply,
    FetchRequest,
)
from banyanline.net.control import ControlClient, ControlMethod, ControlServer
from banyanline.net.frames import decode_frame, encode_frame
from banyanline.net.metrics import ControlTraffic, IoCounts, Metrics, MetricSources
from banyanline.net.node_settings import node_settings
from banyanline.net.seal import Purpose, Rejected, RejectionReason, Sealer
from banyanline.net.sockets import FlowSockets, ServiceSockets, UpstreamSockets
from banyanline.net.stalls import StallMonitor
from banyanline.net.transfers import (
    TRANSFER_METHOD,
    TransferDone,
    TransferRequest,
    Transfers,
)
from banyanline.platform.consul import ConsulReader, WatchTiming
from banyanline.settings import BalancerSettings
from banyanline.transport.datagram import DatagramSocket, SocketAddress

MEMBERSHIP_TYPES = (Probe, ProbeAck, ProbeRequest)
MIN_TIMER_DELAY_S = 0.001
STOP_POLL_S = 0.02
ABORT_TIMEOUT_S = 1.0
MIN_STOP_DURATION_S = 1.0
"""Minimum duration of a graceful shutdown, so that all peers learn that the host is leaving."""

log = structlog.get_logger()


class Balancer:
    """Runs one :class:`Node` on the asyncio event loop."""

    def __init__(self, settings: BalancerSettings, keys: KeyRing) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._rng = random.Random()
        self._node = Node(node_settings(settings, time.time()), self._rng, time.time, self._clock())
        self._counts = IoCounts()
        name = settings.host.name
        self._sealer = Sealer(keys, name, time.time)
        control_sealer = Sealer(keys, name, time.time, purpose=Purpose.CONTROL)
        local_ip = settings.host.local_ip
        self._services = ServiceSockets(
            local_ip, settings.fabric.delivery, self._on_caller_datagram
        )
        self._upstreams = UpstreamSockets(
            local_ip, self._on_upstream_datagram, self._on_upstream_unreachable
        )
        self._flows = FlowSockets(local_ip, settings.limits.flow_sockets, self._on_flow_datagram)
        self._peer_socket: DatagramSocket | None = None
        self._control = ControlServer(
            Endpoint(local_ip, settings.host.control_port),
            control_sealer,
            {
                TRANSFER_METHOD: ControlMethod(TransferRequest, self._handle_transfer),
                FETCH_METHOD: ControlMethod(FetchRequest, self._handle_fetch),
            },
            count_rejection=self._counts.count_frame_rejection,
        )
        self._client = ControlClient(control_sealer)
        self._transfers = Transfers(self._client, self._find_host, self._counts)
        platform = settings.platform
        self._reader = ConsulReader(
            platform.addresses,
            self._rng,
            WatchTiming(platform.watch_wait_s, platform.retry_interval_s),
        )
        self._sync = ConfigurationSync(
            self._reader,
            platform.configuration_key,
            platform.hosts_key,
            self._client,
            self._counts,
            self._apply_configuration,
            self._apply_hosts,
        )
        self._metrics = Metrics(
            MetricSources(
                self._node.context.counters,
                self._counts,
                lambda: explain.gauges(self._node, self._clock()),
                lambda: self._reader.calls,
                self._datagram_totals,
                lambda: self._reader.failures,
            )
        )
        self._admin = AdminServer(
            Endpoint(local_ip, settings.host.admin_port),
            AdminPages(
                self._metrics.render,
                lambda: explain.status(self._node, self._sync.is_reader, self._clock()),
                lambda: self._node.revision > 0,
                lambda caller, service: explain.explain_placement(self._node, caller, service),
            ),
        )
        self._stalls = StallMonitor(self._on_stall)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._is_wakeup_end_scheduled = False
        self._is_closed = False
        self._failure: asyncio.Future[None] | None = None

    @property
    def node(self) -> Node:
        """The core of this balancer."""
        return self._node

    async def start(self) -> None:
        """Bind all sockets and start operating; raises OSError if a socket cannot be bound."""
        loop = asyncio.get_running_loop()
        self._failure = loop.create_future()
        host = self._settings.host
        self._peer_socket = DatagramSocket(
            loop, Endpoint(host.local_ip, host.peer_port), self._on_peer_datagram
        )
        await self._control.start()
        await self._admin.start()
        await self._sync.read_once()
        self._update_reader()
        self._on_timer()
        self._stalls.start()
        log.info("balancer_started", revision=self._node.revision)

    async def wait_for_failure(self) -> None:
        """Wait for an :class:`InvariantError`, which must end the process, and raise it."""
        assert self._failure is not None
        await self._failure

    async def stop(self) -> None:
        """Shut down gracefully: hand over all state and finish open requests within ``grace_s``."""
        started = self._clock()
        log.info("balancer_leaving")
        self._handle(self._node.begin_stop, started)
        deadline = started + self._settings.stop.grace_s
        while self._clock() < deadline:
            min_duration_passed = self._clock() - started >= MIN_STOP_DURATION_S
            if min_duration_passed and self._node.is_drained and self._transfers.is_idle:
                break
            await asyncio.sleep(STOP_POLL_S)
        log.info("balancer_stopped", drained=self._node.is_drained)
        await self._close()

    async def abort(self) -> None:
        """Close all sockets at once, without a graceful shutdown or in the middle of one."""
        log.info("balancer_stopped", drained=self._node.is_drained)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ABORT_TIMEOUT_S):
                await self._close()

    async def _close(self) -> None:
        self._is_closed = True
        self._stalls.stop()
        if self._timer is not None:
            self._timer.cancel()
        await self._sync.close()
        await self._transfers.close()
        self._services.close()
        self._upstreams.close()
        self._flows.close()
        if self._peer_socket is not None:
            self._peer_socket.close()
        await self._admin.stop()
        await self._client.close()
        await self._control.stop(0)

    # -- events

    def _handle(self, method: Callable[..., list[Effect]], *args: Any) -> None:
        """Pass an event to the core, run its effects, and schedule the update of the timer."""
        try:
            effects = method(*args)
        except InvariantError as error:
            self._fail(error)
            return
        for effect in effects:
            self._run_effect(effect)
        if not self._is_wakeup_end_scheduled:
            self._is_wakeup_end_scheduled = True
            asyncio.get_running_loop().call_soon(self._finish_wakeup)

    def _finish_wakeup(self) -> None:
        """Check for a higher revision and update the timer, once per wake-up of the event loop."""
        self._is_wakeup_end_scheduled = False
        if self._is_closed:
            return
        self._check_revision()
        self._set_timer()

    def _fail(self, error: InvariantError) -> None:
        if self._failure is not None and not self._failure.done():
            self._failure.set_exception(error)

    def _on_caller_datagram(self, service: ServiceName, caller: Endpoint, payload: bytes) -> None:
        self._handle(self._node.receive_from_caller, service, caller, payload, self._clock())

    def _on_upstream_datagram(self, upstream: UpstreamName, payload: bytes) -> None:
        self._handle(self._node.receive_from_upstream, upstream, payload, self._clock())

    def _on_upstream_unreachable(self, upstream: UpstreamName) -> None:
        self._handle(self._node.upstream_unreachable, upstream, self._clock())

    def _on_flow_datagram(self, flow: FlowKey, payload: bytes) -> None:
        self._handle(self._node.receive_on_flow, flow, payload, self._clock())

    def _on_peer_datagram(self, frame: bytes, _addr: SocketAddress) -> None:
        if len(frame) > self._settings.limits.peer_frame_bytes:
            self._counts.count_frame_rejection(RejectionReason.OVERSIZED)
            return
        received = decode_frame(self._sealer, frame, time.time())
        if isinstance(received, Rejected):
            self._counts.count_frame_rejection(received.reason)
            log.warning("frame_rejected", reason=received.reason.value)
            return
        message = received.message
        now = self._clock()
        if not isinstance(message, MEMBERSHIP_TYPES):
            self._handle(self._node.receive_from_peer, received.sender, message, now)
        elif message.sender == received.sender:
            self._handle(self._node.receive_probe, message, now)
        else:
            self._counts.count_frame_rejection(RejectionReason.BAD_PAYLOAD)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self._handle(self._node.tick, self._clock())

    def _set_timer(self) -> None:
        now = self._clock()
        due = max(self._node.next_at(now), now + MIN_TIMER_DELAY_S)
        if self._timer is not None and self._timer_at <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_later(due - now, self._on_timer)

    # -- effects

    @singledispatchmethod
    def _run_effect(self, effect: Effect) -> None:
        raise TypeError(f"no handler for effect {effect!r}")

    @_run_effect.register
    def _(self, effect: SendToPeer) -> None:
        host = self._find_host(effect.host)
        if host is not None:
            self._send_frame(host.name, host.peer_endpoint, effect.message)

    @_run_effect.register
    def _(self, effect: SendProbe) -> None:
        size = self._send_frame(effect.host, effect.endpoint, effect.message)
        self._counts.add_control_bytes(ControlTraffic.PROBE, size)

    @_run_effect.register
    def _(self, effect: TransferToPeer) -> None:
        self._transfers.send(effect.host, effect.message)

    @_run_effect.register
    def _(self, effect: SendToCaller) -> None:
        self._services.send(effect.service, effect.caller, effect.payload)

    @_run_effect.register
    def _(self, effect: SendToUpstream) -> None:
        self._upstreams.send(effect.upstream, effect.endpoint, effect.payload)

    @_run_effect.register
    def _(self, effect: SendOnFlow) -> None:
        self._flows.send(effect.flow, effect.endpoint, effect.payload)

    @_run_effect.register
    def _(self, effect: CloseFlow) -> None:
        self._flows.close_flow(effect.flow)

    @_run_effect.register
    def _(self, effect: LogEvent) -> None:
        log.info(effect.event, **effect.fields)
        if effect.event == "view_changed":
            asyncio.get_running_loop().call_soon(self._update_reader)

    def _send_frame(self, host: HostName, endpoint: Endpoint, message: Any) -> int:
        """Send a message in one datagram; return its size in bytes, or 0 if it is too large."""
        frame = encode_frame(self._sealer, host, message)
        if len(frame) > self._settings.limits.peer_frame_bytes:
            self._node.context.counters.drop(DropReason.OVERSIZED)
            return 0
        if self._peer_socket is not None:
            self._peer_socket.send(frame, endpoint)
        return len(frame)

    def _find_host(self, name: HostName) -> Host | None:
        return self._node.membership.view.host(name)

    # -- configuration and hosts

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._handle(self._node.configure, configuration, self._clock())
        for service, error in self._services.update(configuration.services):
            log.error("service_address_not_bound", service=service, error=str(error))
        asyncio.get_running_loop().call_later(LATE_ANSWER_WINDOW_S, self._close_unused_sockets)
        self._update_reader()

    def _apply_hosts(self, hosts: tuple[Host, ...]) -> None:
        self._handle(self._node.apply_host_list, hosts, self._clock())

    def _close_unused_sockets(self) -> None:
        self._upstreams.keep_only(self._node.context.directory.reachable)

    def _update_reader(self) -> None:
        """Start or stop watching the platform, depending on whether this host is a reader.

        A host without a configuration is always a reader, except while it is stopping.
        """
        host = self._settings.host
        candidates = self._node.membership.view.owners(host.data_centre)
        chosen = select_readers(candidates, self._settings.platform.readers_per_data_centre)
        is_reader = host.name in chosen or self._node.revision == 0
        self._sync.set_reader(is_reader and not self._node.context.stopping)

    def _check_revision(self) -> None:
        revision, host = self._node.highest_revision_seen
        if revision > self._node.revision:
            self._sync.fetch_if_newer(self._find_host(host), host, revision)

    async def _handle_transfer(self, sender: HostName, request: TransferRequest) -> TransferDone:
        now = self._clock()
        self._handle(self._node.receive_from_peer, sender, request.message, now)
        return TransferDone()

    async def _handle_fetch(self, _sender: HostName, request: FetchRequest) -> FetchReply:
        return self._sync.handle_fetch(request)

    def _on_stall(self, late_s: float) -> None:
        self._counts.count_stall(late_s)
        log.warning("loop_stalled", late_s=round(late_s, 3))

    def _datagram_totals(self) -> dict[str, Any]:
        return {"caller": self._services.totals(), "upstream": self._upstreams.totals()}
