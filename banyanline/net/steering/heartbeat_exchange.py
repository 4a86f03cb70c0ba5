"""Sends this host's heartbeats, and hands those received to ``Steering.liveness``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyanline.core.steering.host_liveness import Heartbeat, HostState
from banyanline.core.steering.remote_hosts import RemoteHosts
from banyanline.net.steering.heartbeat_codec import decode_heartbeat, encode_heartbeat

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import DataCentreName, Endpoint, Seconds

MIN_INTERVAL_S = 0.2
"""Time between heartbeats in a small data centre."""

MAX_HEARTBEATS_PER_S = 40.0
"""Limit on the heartbeats of one host; in a large data centre they are less frequent."""


class HeartbeatExchange:
    """Sends and receives heartbeats on the socket of the report exchange."""

    def __init__(
        self,
        data_centre: DataCentreName,
        steering: Steering,
        state: Callable[[], HostState],
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._steering = steering
        self._state = state
        self._remote = RemoteHosts(rng)
        self._next_at: Seconds = 0.0

    def learn_remote(self, endpoints: Iterable[Endpoint], now: Seconds) -> None:
        """Record hosts of other data centres, which a seed has named."""
        self._remote.learn(endpoints, now)

    def receive(self, data: bytes, sender: Endpoint, now: Seconds) -> bool:
        """Use a heartbeat; return False if the datagram isn't one."""
        heartbeat = decode_heartbeat(data)
        if heartbeat is None:
            return False
        self._steering.liveness.on_heartbeat(sender, heartbeat, now)
        if heartbeat.data_centre != self._data_centre:
            self._remote.on_heartbeat(sender, now)
        return True

    def send(
        self, local: Sequence[Endpoint], send: Callable[[bytes, Endpoint], object], now: Seconds
    ) -> None:
        """Send a heartbeat if one is due, to hosts of this data centre and a few elsewhere."""
        if now < self._next_at:
            return
        destinations = [*local, *self._remote.choose()]
        interval_s = max(MIN_INTERVAL_S, len(destinations) / MAX_HEARTBEATS_PER_S)
        self._next_at = now + interval_s
        heartbeat = Heartbeat(self._data_centre, self._present_state(now), interval_s)
        data = encode_heartbeat(heartbeat)
        for destination in destinations:
            send(data, destination)

    def _present_state(self, now: Seconds) -> HostState:
        state = self._state()
        has_majority = self._steering.liveness.count(now).has_majority
        if state is HostState.AVAILABLE and not has_majority:
            return HostState.UNAVAILABLE
        return state
