"""The other hosts of a data centre to which a host sends its reports.

A host learns endpoints from seeds, from other hosts' reports and from the senders of reports.
It sends each report to all hosts that it has heard recently. It retries the others with
exponential backoff, so that hosts find each other again after a partition without any seed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.peer_reports import REPORT_LIFETIME_S

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from banyanline.core.types import Endpoint, HostName, Seconds

RECENTLY_HEARD_S = 3.0
"""A host that was heard within this time may be named to others."""

MAX_SHARED_PEERS = 3
"""Limit on the endpoints of other hosts in one report."""

INITIAL_RETRY_S = 1.0
"""Time from the first report to a silent host to the second; doubled with each further one."""

MAX_RETRY_S = 10.0
"""Largest time between reports to a silent host."""

MAX_BACKOFF_DOUBLINGS = 10
"""More would not make the time between attempts longer."""

PEER_LIFETIME_S = 600.0
"""How long a host is kept after this host last heard it or was told of it."""

MAX_PEERS = 250
"""Limit on the endpoints that are kept, which bounds memory and the size of report rounds."""


class _Peer:
    """What is known of one endpoint; ``host`` is empty until the first report from it.

    ``known_at`` is when it was last heard or named, and ``attempts`` the number of reports
    sent to it since it was heard.
    """

    __slots__ = ("attempts", "heard_at", "host", "known_at", "next_attempt_at")

    def __init__(self, now: Seconds) -> None:
        self.host: HostName = ""
        self.known_at = now
        self.heard_at = float("-inf")
        self.attempts = 0
        self.next_attempt_at = now

    def is_heard(self, now: Seconds) -> bool:
        """Whether a report from this endpoint arrived within the lifetime of a report."""
        return now - self.heard_at < REPORT_LIFETIME_S


class PeerMembership:
    """The endpoints of the other hosts in this data centre, and when each was last heard."""

    def __init__(self, own: Endpoint, rng: random.Random) -> None:
        self._own_endpoint = own
        self._rng = rng
        self._peers: dict[Endpoint, _Peer] = {}
        self._endpoint_by_host: dict[HostName, Endpoint] = {}

    def __len__(self) -> int:
        """Return the number of endpoints, including those that are silent."""
        return len(self._peers)

    def learn(self, endpoints: Iterable[Endpoint], now: Seconds) -> None:
        """Record endpoints that another host has named."""
        for endpoint in endpoints:
            peer = self._find_or_add(endpoint, now)
            if peer is not None:
                peer.known_at = now

    def on_report(self, host: HostName, endpoint: Endpoint, now: Seconds) -> bool:
        """Record a report and its sender's address.

        Returns False if the host is being heard from another address, or if there are
        too many hosts.
        """
        previous = self._endpoint_by_host.get(host, endpoint)
        if previous != endpoint and self._is_heard(previous, now):
            return False
        peer = self._find_or_add(endpoint, now)
        if peer is None:
            return False
        if peer.host != host:
            self._endpoint_by_host.pop(peer.host, None)
        peer.host = host
        peer.known_at = peer.heard_at = now
        peer.attempts = 0
        self._endpoint_by_host[host] = endpoint
        return True

    def due(self, now: Seconds) -> list[Endpoint]:
        """Return the endpoints to send a report to now; call this once for each report."""
        self._forget_old(now)
        return [endpoint for endpoint, peer in self._peers.items() if self._is_due(peer, now)]

    def heard_within(self, age_s: Seconds, now: Seconds) -> list[Endpoint]:
        """Return the endpoints that were heard in the last ``age_s``."""
        return [endpoint for endpoint, peer in self._peers.items() if now - peer.heard_at < age_s]

    def recent(self, now: Seconds) -> list[Endpoint]:
        """Return a few random endpoints that were heard recently, to name them to others."""
        recent = self.heard_within(RECENTLY_HEARD_S, now)
        return self._rng.sample(recent, min(MAX_SHARED_PEERS, len(recent)))

    def _is_due(self, peer: _Peer, now: Seconds) -> bool:
        if peer.is_heard(now):
            return True
        if now < peer.next_attempt_at:
            return False
        retry_s = min(MAX_RETRY_S, INITIAL_RETRY_S * 2.0**peer.attempts)
        peer.attempts = min(peer.attempts + 1, MAX_BACKOFF_DOUBLINGS)
        peer.next_attempt_at = now + retry_s * self._rng.uniform(0.75, 1.0)
        return True

    def _is_heard(self, endpoint: Endpoint, now: Seconds) -> bool:
        peer = self._peers.get(endpoint)
        return peer is not None and peer.is_heard(now)

    def _find_or_add(self, endpoint: Endpoint, now: Seconds) -> _Peer | None:
        """Return the peer at an endpoint; None for this host, or if there are too many."""
        if endpoint == self._own_endpoint:
            return None
        peer = self._peers.get(endpoint)
        if peer is None and (len(self._peers) < MAX_PEERS or self._drop_one(now)):
            peer = self._peers[endpoint] = _Peer(now)
        return peer

    def _drop_one(self, now: Seconds) -> bool:
        """Drop the silent peer that was named least recently; return False without any."""
        silent = [each for each, peer in self._peers.items() if not peer.is_heard(now)]
        if not silent:
            return False
        self._drop(min(silent, key=lambda each: self._peers[each].known_at))
        return True

    def _forget_old(self, now: Seconds) -> None:
        old = [
            endpoint
            for endpoint, peer in self._peers.items()
            if now - peer.known_at >= PEER_LIFETIME_S
        ]
        for endpoint in old:
            self._drop(endpoint)

    def _drop(self, endpoint: Endpoint) -> None:
        host = self._peers.pop(endpoint).host
        if self._endpoint_by_host.get(host) == endpoint:
            del self._endpoint_by_host[host]
