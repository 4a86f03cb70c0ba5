from __future__ import annotations

import asyncio

from bench.steering.demo import CALLERS, Demo


def test_planned_changes_break_nothing(tmp_path):
    promises = asyncio.run(Demo(tmp_path).run())
    assert promises.violations == []
    assert set(promises.outcomes) == {"answered"}
    assert promises.outcomes["answered"] > 10 * CALLERS
