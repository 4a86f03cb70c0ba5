"""Signals to a real balancer process."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys

import pytest

from bench.network.addresses import AddressPlan

TIMEOUT_S = 30.0
SETTINGS = """\
[host]
name = a-1
data_centre = a
address = {address}
[platform]
addresses = {platform}:8500
[keys]
file = {key}
"""


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.95, 1.05])
async def test_a_second_signal_ends_the_process_at_once_and_cleanly(tmp_path, delay_s):
    plan = AddressPlan.acquire(hint=140)
    key, settings = tmp_path / "peer.key", tmp_path / "settings.ini"
    key.write_text(f"k1 {secrets.token_hex(32)}\n")
    settings.write_text(
        SETTINGS.format(address=plan.balancer(0), platform=plan.platform(0), key=key)
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "banyanline.cli.balancer",
        f"--settings={settings}",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while b"event=balancer_started" not in await process.stderr.readline():
                pass
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(delay_s)
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            rest = (await process.stderr.read()).decode()
            assert await process.wait() == 0
            assert "Traceback" not in rest
            assert "Warning" not in rest
            assert rest.count("event=balancer_stopped") == 1
    finally:
        if process.returncode is None:
            process.kill()
        plan.release()
