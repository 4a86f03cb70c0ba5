"""Base class of the stand-ins that serve TCP connections."""

from __future__ import annotations

import asyncio


class TcpStandIn:
    """A TCP server that runs ``_serve`` in a task of its own for each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, ip: str, port: int = 0) -> tuple[str, int]:
        """Listen on an address, with port 0 on a free port; return the bound address."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def close(self) -> None:
        """Stop listening, and cancel the tasks of all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
