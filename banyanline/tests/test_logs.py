from __future__ import annotations

import asyncio
import io
import logging

import pytest
import structlog

from banyanline.net.logs import MAX_EVENT_NAMES, configure_logs, log_loop_error


@pytest.fixture
def output():
    stream = io.StringIO()
    yield stream
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()
    logging.basicConfig(handlers=[], force=True)


def test_line_is_logfmt_with_leading_keys(output):
    configure_logs("info", host="north-1", output=output)
    structlog.get_logger().info("frame_rejected", reason="bad mac", sender="south-1")
    (line,) = output.getvalue().splitlines()
    assert line.startswith("timestamp=")
    assert line.endswith(
        'level=info event=frame_rejected host=north-1 reason="bad mac" sender=south-1'
    )


@pytest.mark.parametrize(
    ("level", "lines"),
    [
        pytest.param("debug", 3, id="debug"),
        pytest.param("info", 2, id="info"),
        pytest.param("error", 1, id="error"),
    ],
)
def test_log_level(level, lines, output):
    configure_logs(level, output=output)
    logger = structlog.get_logger()
    logger.debug("a")
    logger.info("b")
    logger.error("c")
    assert len(output.getvalue().splitlines()) == lines


def test_rate_limit_per_event_name_counts_suppressed_lines(output):
    now_s = [0.0]
    configure_logs("info", lines_per_s=10.0, output=output, clock=lambda: now_s[0])
    logger = structlog.get_logger()
    for _ in range(1000):
        logger.info("frame_rejected")
    logger.info("stopped")
    now_s[0] = 1.5
    logger.info("frame_rejected")
    lines = output.getvalue().splitlines()
    assert len(lines) == 12
    assert "event=stopped" in lines[10]
    assert "suppressed=990" in lines[11]


def test_number_of_event_names_is_bounded(output):
    configure_logs("info", lines_per_s=10.0, output=output, clock=lambda: 0.0)
    logger = structlog.get_logger()
    for number in range(MAX_EVENT_NAMES + 1000):
        logger.info(f"event_{number}")
    assert len(output.getvalue().splitlines()) == MAX_EVENT_NAMES + 10


async def test_callback_error_is_logged_as_one_line(output):
    configure_logs("info", output=output)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    loop.call_soon(lambda: 1 / 0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    (line,) = output.getvalue().splitlines()
    assert "event=unhandled_error" in line
    assert "ZeroDivisionError" in line
    assert "test_logs.py:" in line


def test_library_traceback_is_logged_as_one_line(output):
    configure_logs("info", output=output)
    try:
        raise RuntimeError("fault\nof two lines")
    except RuntimeError:
        logging.getLogger("grpc").exception("call failed\nTraceback")
    (line,) = output.getvalue().splitlines()
    assert "event=library_message" in line
    assert 'detail="call failed"' in line
    assert "RuntimeError" in line
