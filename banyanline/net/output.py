"""Log output that never makes the process wait for its reader."""

from __future__ import annotations

import os
from collections import deque

MAX_PENDING_BYTES = 256 * 1024
"""What is kept for a reader that has fallen behind; lines beyond it are left out."""


class NonBlockingOutput:
    """Writes lines to a file descriptor as far as its reader takes them.

    Lines that do not fit are counted, and a line that says how many were left out
    follows as soon as there is room again.
    """

    def __init__(self, descriptor: int, max_pending_bytes: int = MAX_PENDING_BYTES) -> None:
        self._descriptor = descriptor
        self._max_pending_bytes = max_pending_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._left_out = 0
        self._left_out_total = 0
        os.set_blocking(descriptor, False)

    @property
    def left_out(self) -> int:
        """Lines left out so far."""
        return self._left_out_total

    def write(self, text: str) -> int:
        """Take in text that ends with a whole line."""
        self.flush()
        if self._left_out and self._pending_bytes == 0:
            self._append(f"event=log_lines_left_out count={self._left_out}\n".encode())
            self._left_out = 0
        data = text.encode("utf-8", "replace")
        if self._pending_bytes + len(data) > self._max_pending_bytes:
            self._left_out += 1
            self._left_out_total += 1
        else:
            self._append(data)
            self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now; a reader that is gone loses the rest."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending[0])
            except BlockingIOError:
                return
            except OSError:
                # There is nobody left to tell.
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
