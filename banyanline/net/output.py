"""Non-blocking log output: drops lines instead of waiting for a slow reader."""

from __future__ import annotations

import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""Size of the buffer for a slow reader; lines that do not fit are dropped."""


class NonBlockingOutput:
    """Writes lines to a non-blocking file descriptor and buffers what is not accepted yet.

    Lines that do not fit into the buffer are dropped and counted. The next
    write that finds the buffer empty adds a line with the number of dropped lines.
    """

    def __init__(self, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self._descriptor = descriptor
        self._max_pending_bytes = max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported_drops = 0
        self._dropped_total = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped_total

    def write(self, text: str) -> int:
        """Write or buffer one or more complete lines."""
        self.flush()
        if self._unreported_drops and self._pending_bytes == 0:
            self._append(f"event=log_lines_left_out count={self._unreported_drops}\n".encode())
            self._unreported_drops = 0
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > self._max_pending_bytes:
            self._unreported_drops += 1
            self._dropped_total += 1
        else:
            self._append(data)
            self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as possible without blocking; discard the buffer if writing fails."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # For example, the reader closed the pipe. The error cannot be reported, as the
                # log itself failed.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(self._pending[0]):
                self._pending[0] = self._pending[0][written:]
            else:
                self._pending.popleft()

    def _append(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)
