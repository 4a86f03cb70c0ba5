"""A client of another make, ``aiocoap-client``, as one more caller."""

from __future__ import annotations

import asyncio
import sys
from typing import NamedTuple

from bench.standins.sockets import Address

TIMEOUT_S = 20.0


class ClientAnswer(NamedTuple):
    """What the client printed, and its exit status."""

    exit_status: int
    text: str
    errors: str


async def ask(address: Address, path: str, *options: str) -> ClientAnswer:
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
    return ClientAnswer(
        process.returncode or 0,
        output.decode("utf-8", "replace").strip(),
        errors.decode("utf-8", "replace").strip(),
    )
