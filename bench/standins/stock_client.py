"""Runs ``aiocoap-client``, a CoAP client independent of this project, as a caller."""

from __future__ import annotations

import asyncio
import sys
from typing import NamedTuple

from bench.standins.sockets import Address

TIMEOUT_S = 20.0


class ClientResult(NamedTuple):
    """Exit status and output of the client."""

    exit_status: int
    text: str
    errors: str


async def run_stock_client(address: Address, path: str, *options: str) -> ClientResult:
    """Run the stock client on ``coap://address/path``; raise TimeoutError if it hangs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "aiocoap.cli.client",
        *options,
        f"coap://{address[0]}:{address[1]}/{path}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        output, errors = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return ClientResult(
        process.returncode or 0,
        output.decode("utf-8", "replace").strip(),
        errors.decode("utf-8", "replace").strip(),
    )
