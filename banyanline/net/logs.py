"""Logging in logfmt: one line per event, rate-limited because packets can trigger events."""

from __future__ import annotations

import logging
import sys
import time
import traceback
from typing import TYPE_CHECKING, Any, TextIO, cast

import structlog

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from banyanline.net.output import NonBlockingOutput

LEVELS = ("debug", "info", "warning", "error")
LINES_PER_S = 20.0
MAX_EVENT_NAMES = 256
"""Number of event names with their own rate limit; all further names share one limit."""

_LEADING_KEYS = ["timestamp", "level", "event", "host"]
_SHARED_BUCKET = ""


class _TokenBucket:
    """Token bucket for the lines of one event name, with a capacity of one second's lines."""

    __slots__ = ("lines_per_s", "suppressed", "tokens", "updated_s")

    def __init__(self, lines_per_s: float, now_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.tokens = max(1.0, lines_per_s)
        self.updated_s = now_s
        self.suppressed = 0

    def take(self, now_s: float) -> bool:
        refill = (now_s - self.updated_s) * self.lines_per_s
        self.tokens = min(max(1.0, self.lines_per_s), self.tokens + refill)
        self.updated_s = now_s
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class RateLimiter:
    """Structlog processor that limits the lines per second of each event name.

    The next line that passes has a field ``suppressed`` with the number of lines dropped
    before it for the same event. ``clock`` is monotonic, in seconds.
    """

    def __init__(
        self, lines_per_s: float = LINES_PER_S, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}

    def __call__(self, _logger: Any, _method: str, event_dict: Any) -> Any:
        """Return the event, or raise DropEvent if it exceeds the rate."""
        bucket = self._bucket(str(event_dict.get("event")))
        if not bucket.take(self._clock()):
            raise structlog.DropEvent
        if bucket.suppressed:
            event_dict["suppressed"] = bucket.suppressed
            bucket.suppressed = 0
        return event_dict

    def _bucket(self, event: str) -> _TokenBucket:
        if event not in self._buckets and len(self._buckets) >= MAX_EVENT_NAMES:
            event = _SHARED_BUCKET
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(self._lines_per_s, self._clock())
        return bucket


class _LibraryHandler(logging.Handler):
    """Forwards records of :mod:`logging`, as used by libraries, as one structlog line each."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        detail = record.getMessage().partition("\n")[0]
        fields = {"logger_name": record.name, "detail": detail}
        if error is not None:
            fields["error"] = repr(error)
        structlog.get_logger().warning("library_message", **fields)


def configure_logs(
    level: str = "info",
    *,
    host: str = "",
    lines_per_s: float = LINES_PER_S,
    output: TextIO | NonBlockingOutput | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Write structlog's events from ``level`` up to ``output`` (default stderr) in logfmt.

    At most ``lines_per_s`` lines per second are written for each event name.

    Raises KeyError for a level that is not one of ``LEVELS``.
    """
    numeric_level = logging.getLevelNamesMapping()[level.upper()]
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()], force=True)
    if host:
        structlog.contextvars.bind_contextvars(host=host)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            RateLimiter(lines_per_s, clock),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=_LEADING_KEYS, drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric_level),
        logger_factory=structlog.WriteLoggerFactory(cast("TextIO", output or sys.stderr)),
        cache_logger_on_first_use=False,
    )


def log_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exception handler for an event loop: logs an unhandled exception as one line."""
    error = context.get("exception")
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    structlog.get_logger().error(
        "unhandled_error", detail=str(context.get("message")), error=repr(error), place=place
    )
