"""Discovers the other hosts of this data centre through seeds, and responds to such requests.

A request tells the seed where the requesting host receives reports, so that the seed can
name it to others. Hosts of earlier versions respond with status 404.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs, urlencode, urlsplit

from banyanline.core.steering.peer_registry import MAX_NAMED_PEERS, PeerRegistry
from banyanline.core.types import Endpoint
from banyanline.net.pages import PageResponse
from banyanline.net.steering.report_codec import (
    ENDPOINT_BYTES,
    MAX_NAME_CHARACTERS,
    decode_endpoints,
    encode_endpoints,
)
from banyanline.platform.host_settings import parse_endpoint
from banyanline.transport.http import HttpFailed, http_get

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from banyanline.core.types import DataCentreName, Seconds
    from banyanline.net.steering.heartbeat_exchange import HeartbeatExchange
    from banyanline.net.steering.report_exchange import ReportExchange
    from banyanline.net.steering.seeds import Seeds

PEERS_PATH = "/peers"
STARTUP_DELAY_S = 0.2
"""Time from the start of the process to the first request."""

INITIAL_INTERVAL_S = 1.0
"""Time between requests while no other host is heard; doubled with each one afterwards."""

MAX_INTERVAL_S = 30.0
"""Largest time between requests, as hosts that hear others learn of new ones from reports."""

RESPONSE_TIMEOUT_S = 1.0
MAX_ENDPOINTS = 2 * MAX_NAMED_PEERS
"""Limit on the endpoints read from a response; later versions may send more than this one."""

_CONTENT_TYPE = {"Content-Type": "application/octet-stream"}
_HTTP_OK = 200


class PeersQuery(NamedTuple):
    """A request for the hosts of a data centre, from the host that listens at ``endpoint``.

    With ``is_remote`` it is for hosts of the other data centres.
    """

    data_centre: DataCentreName
    endpoint: Endpoint
    is_remote: bool = False


def parse_peers_query(target: str) -> PeersQuery | PageResponse:
    """Parse a request target; return an error response if it is invalid.

    >>> parse_peers_query("/peers?data_centre=north&endpoint=192.0.2.1:7720").data_centre
    'north'
    """
    fields = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
    data_centre = fields.get("data_centre", "")
    try:
        endpoint = parse_endpoint("endpoint", fields.get("endpoint", ""))
    except ValueError as error:
        return PageResponse(400, f"{error}\n".encode())
    if not 0 < len(data_centre) <= MAX_NAME_CHARACTERS:
        return PageResponse(400, b"data_centre is missing or too long\n")
    return PeersQuery(data_centre, endpoint, fields.get("remote") == "1")


class PeerDiscovery:
    """Requests the hosts of this data centre from seeds, and responds to such requests."""

    def __init__(
        self,
        data_centre: DataCentreName,
        seeds: Seeds,
        reports: ReportExchange,
        heartbeats: HeartbeatExchange,
        clock: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._seeds = seeds
        self._reports = reports
        self._heartbeats = heartbeats
        self._clock = clock
        self._rng = rng
        self._registry = PeerRegistry()

    async def run(self) -> None:
        """Request hosts from seeds forever, with backoff while other hosts are heard."""
        await asyncio.sleep(STARTUP_DELAY_S)
        interval_s = INITIAL_INTERVAL_S
        while True:
            await self._reports.wait_until_open()
            await self._request_hosts()
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            has_peers = bool(self._reports.hosts)
            interval_s = min(MAX_INTERVAL_S, 2.0 * interval_s) if has_peers else INITIAL_INTERVAL_S

    def respond(self, target: str) -> PageResponse:
        """Respond to a request, and name the requesting host to others from now on."""
        query = parse_peers_query(target)
        if isinstance(query, PageResponse):
            return query
        now = self._clock()
        find = self._remote_endpoints if query.is_remote else self._local_endpoints
        endpoints = find(query, now)
        self._registry.register(query.endpoint, query.data_centre, now)
        return PageResponse(_HTTP_OK, encode_endpoints(endpoints), _CONTENT_TYPE)

    def _local_endpoints(self, query: PeersQuery, now: Seconds) -> list[Endpoint]:
        """Return hosts of the requesting host's data centre."""
        endpoints = self._registry.endpoints(query.data_centre, now)
        if query.data_centre == self._data_centre and self._reports.endpoint is not None:
            endpoints += [self._reports.endpoint, *self._reports.recent_peers()]
            self._reports.learn([query.endpoint])
        return endpoints

    def _remote_endpoints(self, query: PeersQuery, now: Seconds) -> list[Endpoint]:
        """Return a few hosts of other data centres than the requesting host's."""
        endpoints = self._registry.remote_endpoints(query.data_centre, now)
        if query.data_centre != self._data_centre and self._reports.endpoint is not None:
            endpoints.append(self._reports.endpoint)
        return endpoints

    async def _request_hosts(self) -> None:
        """Request hosts from a random seed; hosts of one seed alone would form their own group."""
        seed, endpoint = self._seeds.choose(), self._reports.endpoint
        if seed is None or endpoint is None:
            return
        fields = {"data_centre": self._data_centre, "endpoint": str(endpoint)}
        self._reports.learn(await _request(seed, fields))
        remote = await _request(seed, {**fields, "remote": "1"})
        self._heartbeats.learn_remote(remote, self._clock())


async def _request(seed: Endpoint, fields: Mapping[str, str]) -> tuple[Endpoint, ...]:
    """Return the hosts that a seed names, none if it doesn't respond."""
    result = await http_get(
        seed,
        f"{PEERS_PATH}?{urlencode(fields)}",
        timeout_s=RESPONSE_TIMEOUT_S,
        max_body_bytes=MAX_ENDPOINTS * ENDPOINT_BYTES,
    )
    if isinstance(result, HttpFailed) or result.status != _HTTP_OK:
        return ()
    return decode_endpoints(result.body)
