"""Reads the admin pages of balancers for debugging; the evaluation does not use them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from bench.network.addresses import ADMIN_PORT
from bench.scenarios.fleet import Balancer

PAGE_TIMEOUT_S = 2.0
PAGES = {"/status": "status.json", "/metrics": "metrics.txt"}


async def read_page(balancer: Balancer, path: str) -> str:
    """Return the body of an admin page; raise OSError or TimeoutError if it can't be read."""
    connecting = asyncio.open_connection(balancer.ip, ADMIN_PORT)
    reader, writer = await asyncio.wait_for(connecting, PAGE_TIMEOUT_S)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n".encode())
        raw = await asyncio.wait_for(reader.read(-1), PAGE_TIMEOUT_S)
    finally:
        writer.close()
    return raw.decode("utf-8", "replace").partition("\r\n\r\n")[2]


async def write_pages(balancers: list[Balancer], directory: Path) -> None:
    """Write the pages of each balancer into ``directory``; skip those that can't be read."""
    for balancer in balancers:
        for path, suffix in PAGES.items():
            try:
                page = await read_page(balancer, path)
            except (OSError, TimeoutError):
                continue
            (directory / f"{balancer.name}.{suffix}").write_text(page)
