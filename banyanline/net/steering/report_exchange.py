"""Sends this host's reports to the other hosts of its data centre, and receives theirs."""

from __future__ import annotations

import asyncio
import functools
import math
import socket
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import structlog

from banyanline.core.steering.host_liveness import COUNTED_S
from banyanline.core.steering.peer_membership import MAX_SHARED_PEERS, PeerMembership
from banyanline.core.steering.report_budget import MAX_REPORT_BYTES, report_budget
from banyanline.core.steering.report_composer import HostIdentity, ReportComposer
from banyanline.core.types import Endpoint
from banyanline.net.steering.report_codec import MalformedReport, ReportCodec, envelope_bytes
from banyanline.transport.datagram import open_socket

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import DataCentreName, HostName, Seconds, ServiceName
    from banyanline.net.steering.heartbeat_exchange import HeartbeatExchange
    from banyanline.transport.datagram import SocketAddress

START_BITS = 32
"""Size of the random number that identifies a start of the process."""

POLL_INTERVAL_S = 0.2
"""Time between reads of the socket, so that one wake-up handles several reports."""

BATCHES_PER_REPORT = 5
"""Batches of destinations, one per poll, so that callers' packets don't queue behind a report."""

MAX_READS_PER_POLL = 500
"""Limit on datagrams read at a time, so that a flood doesn't delay callers' packets."""

INTERVAL_JITTER = 0.1
"""Largest random change of the interval, as a share, so that hosts don't send in step."""

RECEIVE_BUFFER_BYTES = 256 * 1024
"""Space for the reports of a poll interval from all hosts of a large data centre."""

REJECTION_LOG_INTERVAL_S = 10.0
"""Minimum time between log events of rejected reports."""

log = structlog.get_logger()


class RejectReason(StrEnum):
    """Why a received report is not used."""

    MALFORMED = "malformed"
    DATA_CENTRE = "data_centre"
    ADDRESS = "address"
    """A host of this name is heard from another address, or there are too many hosts."""
    OUTDATED = "outdated"
    """A later report of the host was received before; not an error."""


class ReportCounts:
    """Reports and their bytes, without headers, since the process started."""

    __slots__ = ("received", "received_bytes", "rejected", "sent", "sent_bytes")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self.rejected: Counter[RejectReason] = Counter()


class ReportSource(NamedTuple):
    """What a host reports: its names, and what its steering decisions show."""

    host: HostName
    data_centre: DataCentreName
    steering: Steering


class ReportExchange:
    """Exchanges reports on one UDP port and puts those received into ``Steering.peers``.

    Nothing is sent before :meth:`open`.
    """

    def __init__(
        self,
        source: ReportSource,
        endpoint: Endpoint,
        link_mbps: float,
        rng: random.Random,
        heartbeats: HeartbeatExchange,
    ) -> None:
        self._source = source
        self._endpoint = endpoint
        self._link_mbps = link_mbps
        self._rng = rng
        self._heartbeats = heartbeats
        self._membership = PeerMembership(endpoint, rng)
        identity = HostIdentity(source.host, source.data_centre, rng.getrandbits(START_BITS))
        self._composer = ReportComposer(source.steering, identity, self._is_out_of_reach)
        self._reported_out_of_reach: frozenset[ServiceName] = frozenset()
        upstreams = source.steering.catalog.upstreams
        self._codec = ReportCodec(upstreams.cookie_of, upstreams.name_of)
        self._counts = ReportCounts()
        self._rejected_since_log: Counter[RejectReason] = Counter()
        self._next_log_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._opened = asyncio.Event()
        self._next_report_at = 0.0
        self._report = b""
        self._pending: list[Endpoint] = []
        self._batch_size = 0

    @property
    def endpoint(self) -> Endpoint | None:
        """Where this host receives reports, or None while it does not."""
        return None if self._socket is None else self._endpoint

    @property
    def counts(self) -> ReportCounts:
        """Reports sent, received and rejected."""
        return self._counts

    @property
    def hosts(self) -> Collection[HostName]:
        """The hosts that are heard."""
        return self._source.steering.peers.hosts

    def recent_peers(self) -> list[Endpoint]:
        """Return where a few hosts that were heard recently receive reports."""
        return self._membership.recent(self._loop.time())

    def set_link(self, link_mbps: float) -> None:
        """Set the capacity of this host's link, which limits size and rate of its reports."""
        self._link_mbps = link_mbps

    def open(self) -> None:
        """Start to exchange reports; if the port is in use, log that there are none."""
        if self._socket is not None:
            return
        try:
            self._socket = open_socket(self._endpoint, receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        except OSError as error:
            log.warning("reports_not_exchanged", endpoint=str(self._endpoint), detail=str(error))
        else:
            self._opened.set()

    def close(self) -> None:
        """Stop receiving and sending reports."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            self._opened.clear()

    async def wait_until_open(self) -> None:
        """Wait until this host exchanges reports."""
        await self._opened.wait()

    def learn(self, endpoints: Iterable[Endpoint]) -> None:
        """Record endpoints of other hosts of this data centre, which a seed has named."""
        if self._socket is not None:
            self._membership.learn(endpoints, self._loop.time())

    def on_tick(self, now: Seconds) -> None:
        """Drop the reports of hosts that are not heard any more; call this once a second."""
        for host in self._source.steering.peers.expire(now):
            log.info("peer_lost", peer=host, peers=len(self._source.steering.peers.hosts))

    async def run(self) -> None:
        """Receive and send reports, forever."""
        while True:
            await self._opened.wait()
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._socket is not None:
                self._poll(self._socket, self._loop.time())

    def _poll(self, sock: socket.socket, now: Seconds) -> None:
        steering = self._source.steering
        steering.liveness.update(now)
        self._read_datagrams(sock)
        steering.failover.update(now)
        hosts = self._membership.heard_within(COUNTED_S, now)
        self._heartbeats.send(hosts, functools.partial(_send, sock), now)
        self._send_reports(sock, now)

    def _send_reports(self, sock: socket.socket, now: Seconds) -> None:
        out_of_reach = self._source.steering.readiness.out_of_reach
        has_changed = out_of_reach != self._reported_out_of_reach
        self._reported_out_of_reach = out_of_reach
        if has_changed or now >= self._next_report_at:
            self._begin_report(now)
        if has_changed:
            # Send to all hosts now: readiness depends on the findings of a majority.
            self._batch_size = len(self._pending)
        for _ in range(min(self._batch_size, len(self._pending))):
            self._send_report(sock, self._pending.pop())

    def _begin_report(self, now: Seconds) -> None:
        """Compose the next report and choose its destinations."""
        self._pending = self._membership.due(now)
        self._rng.shuffle(self._pending)
        self._batch_size = math.ceil(len(self._pending) / BATCHES_PER_REPORT)
        budget = report_budget(len(self._pending), self._link_mbps)
        jitter = self._rng.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
        self._next_report_at = now + budget.interval_s * jitter
        if self._pending:
            self._report = self._encode_report(budget.max_bytes, now)

    def _is_out_of_reach(self, service: ServiceName) -> bool:
        return service in self._source.steering.readiness.out_of_reach

    def _encode_report(self, max_bytes: int, now: Seconds) -> bytes:
        source = self._source
        envelope = envelope_bytes(source.host, source.data_centre, MAX_SHARED_PEERS)
        report = self._composer.compose(now, max_bytes - envelope, self._codec.size)
        return self._codec.encode(report, self._membership.recent(now))

    def _send_report(self, sock: socket.socket, destination: Endpoint) -> None:
        if _send(sock, self._report, destination):
            self._counts.sent += 1
            self._counts.sent_bytes += len(self._report)

    def _read_datagrams(self, sock: socket.socket) -> None:
        for _ in range(MAX_READS_PER_POLL):
            try:
                data, address = sock.recvfrom(MAX_REPORT_BYTES + 1)
            except OSError:
                return
            self._on_datagram(data, address)

    def _on_datagram(self, data: bytes, address: SocketAddress) -> None:
        if self._heartbeats.receive(data, Endpoint(*address), self._loop.time()):
            return
        self._counts.received += 1
        self._counts.received_bytes += len(data)
        rejected = self._receive(data, Endpoint(*address))
        if rejected is not None:
            self._counts.rejected[rejected] += 1
            if rejected is not RejectReason.OUTDATED:
                self._log_rejection(rejected, Endpoint(*address))

    def _receive(self, data: bytes, sender: Endpoint) -> RejectReason | None:
        """Use a report; return why it is not used, or None."""
        received = self._codec.decode(data) if len(data) <= MAX_REPORT_BYTES else None
        if received is None or isinstance(received, MalformedReport):
            return RejectReason.MALFORMED
        report, now = received.report, self._loop.time()
        if report.data_centre != self._source.data_centre:
            return RejectReason.DATA_CENTRE
        is_own_name = report.host == self._source.host
        if is_own_name or not self._membership.on_report(report.host, sender, now):
            return RejectReason.ADDRESS
        self._membership.learn(received.peers, now)
        peers = self._source.steering.peers
        is_new = report.host not in peers.hosts
        if not self._source.steering.on_report(report, now):
            return RejectReason.OUTDATED
        if is_new:
            log.info("peer_joined", peer=report.host, address=str(sender), peers=len(peers.hosts))
        return None

    def _log_rejection(self, reason: RejectReason, sender: Endpoint) -> None:
        """Log a rejected report, at most one per interval, with the number since the last."""
        self._rejected_since_log[reason] += 1
        now = self._loop.time()
        if now < self._next_log_at:
            return
        self._next_log_at = now + REJECTION_LOG_INTERVAL_S
        log.warning(
            "report_rejected",
            reason=reason.value,
            sender=str(sender),
            rejected=self._rejected_since_log.total(),
        )
        self._rejected_since_log.clear()


def _send(sock: socket.socket, data: bytes, destination: Endpoint) -> bool:
    """Send a datagram once, without waiting; return False if it cannot be sent."""
    try:
        sock.sendto(data, destination)
    except OSError:
        return False
    return True
