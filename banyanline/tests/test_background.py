"""Pattern: an unexpected error in a background task of a host."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from banyanline.net.steering import background
from banyanline.net.steering.background import keep_running


async def test_a_failed_task_is_reported_and_runs_again(monkeypatch):
    monkeypatch.setattr(background, "RESTART_DELAY_S", 0.0)
    reports: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: reports.append(context))
    runs = 0
    recovered = asyncio.Event()

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs < 3:
            raise KeyError("unexpected")
        recovered.set()
        await asyncio.Event().wait()

    task = asyncio.create_task(keep_running("feed", run))
    async with asyncio.timeout(5.0):
        await recovered.wait()
    assert [report["message"] for report in reports] == ["background task feed failed"] * 2
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert runs == 3
