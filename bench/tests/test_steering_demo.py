from __future__ import annotations

import asyncio

from bench.steering.demo import CALLERS, Demo


def test_planned_changes_break_nothing(tmp_path):
    checker = asyncio.run(Demo(tmp_path).run())
    assert checker.violations == []
    assert set(checker.outcomes) == {"answered"}
    assert checker.outcomes["answered"] > 10 * CALLERS
