from __future__ import annotations

import re
from enum import StrEnum
from pathlib import Path

import pytest

from banyanline.core.counters import FlowEnd
from banyanline.core.error_responses import RefusalReason, UnknownReason

PAGE = Path(__file__).resolve().parents[2] / "docs" / "answers.md"
REASON_ROW = re.compile(r"^\| `([a-z_]+)` \|", re.MULTILINE)
NOTIFIED_FLOW_ENDS = frozenset({FlowEnd.DATA_CENTRE_OUT, FlowEnd.UPSTREAM_REMOVED})


def reasons_under(heading: str) -> list[str]:
    """Return the first cells of the table in one section of the page."""
    section = PAGE.read_text(encoding="utf-8").split(f"\n## {heading}\n")[1].split("\n## ")[0]
    return REASON_ROW.findall(section)


@pytest.mark.parametrize(
    ("heading", "reasons"),
    [
        pytest.param("`not-run:` reasons", RefusalReason, id="not-run"),
        pytest.param("`unknown:` reasons", UnknownReason, id="unknown"),
        pytest.param("`stream ended:` reasons", NOTIFIED_FLOW_ENDS, id="stream-ended"),
    ],
)
def test_page_lists_each_reason_once(
    heading: str, reasons: type[StrEnum] | frozenset[StrEnum]
) -> None:
    assert sorted(reasons_under(heading)) == sorted(reasons)
