"""Logs: one line of key=value pairs for each event, bounded for what packets can cause."""

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
MAX_EVENTS = 256
"""Event names whose rate is bounded apart; the names beyond it share one allowance."""

_LEADING_KEYS = ["timestamp", "level", "event", "host"]
_OTHER_EVENTS = ""


class _Allowance:
    """A token bucket for the lines of one event name, which holds those of one second."""

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


class RateBound:
    """A structlog processor that bounds the lines a second of each event name.

    The next line that passes says in ``suppressed`` how many of its event were
    left out before it. ``clock`` is monotonic, in seconds.
    """

    def __init__(
        self, lines_per_s: float = LINES_PER_S, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._allowances: dict[str, _Allowance] = {}

    def __call__(self, _logger: Any, _method: str, event_dict: Any) -> Any:
        """Pass the event on, or drop it."""
        allowance = self._allowance(str(event_dict.get("event")))
        if not allowance.take(self._clock()):
            raise structlog.DropEvent
        if allowance.suppressed:
            event_dict["suppressed"] = allowance.suppressed
            allowance.suppressed = 0
        return event_dict

    def _allowance(self, event: str) -> _Allowance:
        if event not in self._allowances and len(self._allowances) >= MAX_EVENTS:
            event = _OTHER_EVENTS
        allowance = self._allowances.get(event)
        if allowance is None:
            allowance = self._allowances[event] = _Allowance(self._lines_per_s, self._clock())
        return allowance


class _LibraryHandler(logging.Handler):
    """Writes what libraries log through :mod:`logging` as one line of their last words."""

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
    """Send structlog's events at ``level`` and above to ``output`` (stderr) as logfmt lines.

    At most ``lines_per_s`` lines a second of each event name are written.

    Raises KeyError for a level that is not one of ``LEVELS``.
    """
    numeric = logging.getLevelNamesMapping()[level.upper()]
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()], force=True)
    if host:
        structlog.contextvars.bind_contextvars(host=host)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            RateBound(lines_per_s, clock),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=_LEADING_KEYS, drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric),
        logger_factory=structlog.WriteLoggerFactory(cast("TextIO", output or sys.stderr)),
        cache_logger_on_first_use=False,
    )


def log_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what a callback or task raised as one line; for the loop's exception handler."""
    error = context.get("exception")
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    structlog.get_logger().error(
        "unhandled_error", detail=str(context.get("message")), error=repr(error), place=place
    )
