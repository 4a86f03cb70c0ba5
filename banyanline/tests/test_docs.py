from __future__ import annotations

import random
import re
from enum import StrEnum
from pathlib import Path

import pytest

from banyanline.core.counters import Counters
from banyanline.core.steering.catalog import Catalog
from banyanline.core.steering.outcomes import DropReason, ResetReason
from banyanline.core.steering.steering import Steering
from banyanline.core.steering.upstreams import UpstreamAvailability
from banyanline.net.metrics import GAUGE_DOCS, PREFIX, Gauges, IoCounts, Metrics, MetricSources
from banyanline.net.steering.metrics import SteeringMetrics, SteeringSources
from banyanline.net.steering.report_exchange import ReportCounts

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
METRIC_ROW = re.compile(r"^\| (`[a-z_]+`(?:, `[a-z_]+`)*) \|", re.MULTILINE)
CODE_NAME = re.compile(r"`([a-z_]+)`")
RENDERED = re.compile(rf"^# TYPE {PREFIX}_([a-z_]+) ", re.MULTILINE)
LOG_CALL = re.compile(r"\blog(?:\.[a-z]+|ger\(\)\.[a-z]+)?\(\s*\"([a-z_]+)\"")
GET_LOGGER_CALL = re.compile(r"get_logger\(\)\.[a-z]+\(\s*\"([a-z_]+)\"")
SELF_LOG_CALL = re.compile(r"self\._log\(\s*\"([a-z_]+)\"")


def relative_path(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


@pytest.mark.parametrize("page", PAGES, ids=relative_path)
def test_relative_links_point_to_files(page: Path) -> None:
    targets = [link.split("#")[0] for link in LINK.findall(page.read_text(encoding="utf-8"))]
    relative = [target for target in targets if target and "://" not in target]
    assert [target for target in relative if not (page.parent / target).exists()] == []


def rendered_metrics() -> set[str]:
    """Return the names of all scraped metrics, including those without a value."""
    body, _ = Metrics(MetricSources(Counters(), IoCounts(), Gauges)).render()
    return set(RENDERED.findall(body.decode()))


def test_metrics_page_lists_rendered_metrics() -> None:
    page = (ROOT / "docs/operators/metrics.md").read_text(encoding="utf-8")
    counters = {name for row in METRIC_ROW.findall(page) for name in CODE_NAME.findall(row)}
    gauges = set(CODE_NAME.findall(page.split("\nGauges: ")[1].split("\n\n")[0]))
    assert gauges == {gauge.name for gauge in GAUGE_DOCS}
    assert counters | gauges == rendered_metrics()


def logged_events() -> set[str]:
    """Return the names of all events passed to loggers in the source code."""
    sources = [path for path in (ROOT / "banyanline").rglob("*.py") if "tests" not in path.parts]
    text = "\n".join(path.read_text(encoding="utf-8") for path in sources)
    return {
        name
        for pattern in (LOG_CALL, GET_LOGGER_CALL, SELF_LOG_CALL)
        for name in pattern.findall(text)
    }


def test_logs_page_lists_each_event() -> None:
    page = (ROOT / "docs/operators/logs.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `([a-z_]+)` \|", page, re.MULTILINE))
    assert listed == logged_events()


def test_platform_page_lists_its_metrics() -> None:
    steering = Steering(Catalog(), "here", random.Random(1))
    sources = SteeringSources(
        steering, lambda: 0.0, lambda: 0, dict, lambda: 0.0, lambda: 0, lambda: 0, ReportCounts
    )
    body, _ = SteeringMetrics(sources).render()
    page = (ROOT / "docs/operators/platform.md").read_text(encoding="utf-8")
    table = page.split("\n## Metrics\n")[1]
    assert set(METRIC_ROW.findall(table)) == {
        f"`{name}`" for name in RENDERED.findall(body.decode())
    }


@pytest.mark.parametrize(
    "enum",
    [
        pytest.param(ResetReason, id="resets"),
        pytest.param(DropReason, id="drops"),
        pytest.param(UpstreamAvailability, id="standings"),
    ],
)
def test_platform_page_explains_each_enum_value(enum: type[StrEnum]) -> None:
    page = (ROOT / "docs/operators/platform.md").read_text(encoding="utf-8")
    assert [member for member in enum if f"`{member}`" not in page] == []
