from __future__ import annotations

import os

import pytest

from banyanline.net.output import NonBlockingOutput

LINE = "x" * 99 + "\n"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def read_all(reader: int) -> bytes:
    parts: list[bytes] = []
    while True:
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return b"".join(parts)
        if not part:
            return b"".join(parts)
        parts.append(part)


def test_lines_are_written(pipe):
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    output.write("a\n")
    output.write("é\n")
    assert read_all(reader) == "a\né\n".encode()


def test_stalled_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    output = NonBlockingOutput(writer, max_pending_bytes=1000)
    for _ in range(5000):
        output.write(LINE)
    assert output.dropped_lines > 0
    received = read_all(reader)
    output.write("next\n")
    received += read_all(reader)
    output.write("after\n")
    received += read_all(reader)
    lines = received.decode().splitlines()
    assert lines[-1] == "after"
    assert f"event=log_lines_left_out count={output.dropped_lines}" in lines
    assert lines.count(LINE.strip()) + output.dropped_lines == 5000


def test_write_after_reader_closed_does_not_fail(pipe):
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    os.close(reader)
    for _ in range(3):
        assert output.write(LINE) == len(LINE)
