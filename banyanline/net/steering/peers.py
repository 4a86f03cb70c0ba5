"""What hosts tell each other of the platform while some of them cannot read it.

A host that has just started, or that the store does not answer, asks the hosts
among its seeds for what they know. It goes on asking the store meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import msgspec
import structlog

from banyanline.core.steering.model import FleetView
from banyanline.net.http import HttpFailed, http_get
from banyanline.net.pages import PageResponse

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from banyanline.core.steering.steering import Steering
    from banyanline.core.types import Endpoint, Seconds
    from banyanline.net.http import HttpResult

VIEW_PATH = "/view"
MAX_VIEW_BYTES = 4 * 1024 * 1024
ANSWER_TIMEOUT_S = 0.5
FIRST_ASK_S = 0.05
"""The store is given this time to answer first."""

ASK_INTERVAL_S = 0.15
REFRESH_INTERVAL_S = 1.0
STORE_LOST_S = 4.0
"""A store that has not answered for so long is taken for lost; watches are shorter."""

_CONTENT_TYPE = {"Content-Type": "application/vnd.msgpack"}
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetView)

log = structlog.get_logger()


def encode_view(view: FleetView) -> bytes:
    """Return a view as other hosts of this version read it."""
    return _ENCODER.encode(view)


def decode_view(data: bytes) -> FleetView | None:
    """Return the view that another host sent, or None if it cannot be read."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        log.warning("view_unreadable", detail=str(error))
        return None


def view_page(steering: Steering, target: str, now: Seconds) -> PageResponse:
    """Return the page on which a host tells what it knows after ``have``.

    The status is 204 if it knows nothing newer, and 503 before it is configured.
    """
    parts = urlsplit(target)
    if parts.path != VIEW_PATH:
        return PageResponse(404, b"no such page\n")
    if not steering.is_configured:
        return PageResponse(503, b"not configured\n")
    have = parse_qs(parts.query).get("have", ["0"])[0]
    if not (have.isascii() and have.isdecimal() and len(have) < 20):
        return PageResponse(400, b"have is not a revision\n")
    if int(have) >= steering.revision:
        return PageResponse(204, b"")
    return PageResponse(200, encode_view(steering.view(now)), _CONTENT_TYPE)


class PeerReader:
    """Asks seeds while the store does not answer."""

    def __init__(
        self,
        steering: Steering,
        own: Endpoint | None,
        clock: Callable[[], Seconds],
        rng: random.Random,
        heard_at: Callable[[], Seconds | None],
        on_change: Callable[[], None],
    ) -> None:
        self._steering = steering
        self._own = own
        self._clock = clock
        self._rng = rng
        self._heard_at = heard_at
        self._on_change = on_change
        self._seeds: tuple[Endpoint, ...] = ()

    def set_seeds(self, seeds: Sequence[Endpoint]) -> None:
        """Ask these hosts from now on."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    async def run(self) -> None:
        """Ask whenever it is needed, without end."""
        await asyncio.sleep(FIRST_ASK_S)
        while True:
            if self._seeds and self._is_store_lost():
                await self._ask(self._rng.choice(self._seeds))
            interval_s = REFRESH_INTERVAL_S if self._steering.is_configured else ASK_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def _is_store_lost(self) -> bool:
        heard_at = self._heard_at()
        return heard_at is None or self._clock() - heard_at > STORE_LOST_S

    async def _ask(self, seed: Endpoint) -> None:
        have = self._steering.revision
        result = await http_get(
            seed,
            f"{VIEW_PATH}?have={have}",
            timeout_s=ANSWER_TIMEOUT_S,
            max_body_bytes=MAX_VIEW_BYTES,
        )
        view = _view_of(result, seed)
        if view is None:
            return
        self._steering.on_view(view, self._clock())
        log.info(
            "view_taken",
            seed=str(seed),
            had=have,
            revision=view.revision,
            version=self._steering.version,
        )
        self._on_change()


def _view_of(result: HttpResult, seed: Endpoint) -> FleetView | None:
    if isinstance(result, HttpFailed):
        log.info("seed_silent", seed=str(seed), reason=result.reason.value)
        return None
    return decode_view(result.body) if result.status == 200 else None
