"""Measures the bytes, processor time and memory a configuration costs, at three sizes.

Run as ``python -m bench.measure.configuration``.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from banyanline.cli.table import render_table
from banyanline.config import (
    ConfigurationErrors,
    IncrementalParser,
    check_document,
    parse_document,
    render_document,
)
from banyanline.core.patience import PatienceTable
from banyanline.core.revisions import RevisionHistory
from banyanline.core.updates import Delta, FullDocument
from examples import large

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyanline.core.model import Configuration

SIZES = ((85, 825), (170, 1_650), (340, 3_300))
REPEATS = 7
CHANGES_PER_DAY = 1_300
SECONDS_PER_DAY = 86_400
LOOKUPS = 20_000
US_PER_S = 1_000_000.0
MS_PER_S = 1_000.0


class Row(NamedTuple):
    """Measured values for one configuration size; the field names label the printed table."""

    services: int
    upstreams: int
    document_bytes: int
    full_update_bytes: int
    delta_bytes: int
    out_delta_bytes: int
    parse_ms: float
    parse_change_ms: float
    accept_change_ms: float
    apply_delta_ms: float
    apply_full_ms: float
    held_kib: float


def _configuration(revision: int, size: tuple[int, int], slots: int = 2) -> Configuration:
    document = large.configuration(revision, *size)
    document["services"][0]["upstreams"][0]["slots"] = slots
    return _require_valid(check_document(document))


def _require_valid(result: Configuration | ConfigurationErrors) -> Configuration:
    if isinstance(result, ConfigurationErrors):
        raise AssertionError(str(result))
    return result


def _median_ms(action: Callable[[int], object]) -> float:
    """Return the median processor time of ``action`` in ms; its argument counts calls from 1."""
    times = []
    for number in range(1, REPEATS + 1):
        start = time.process_time()
        action(number)
        times.append(time.process_time() - start)
    return statistics.median(times) * MS_PER_S


def _history(configuration: Configuration) -> RevisionHistory:
    history = RevisionHistory()
    history.accept(configuration)
    return history


def _deltas(size: tuple[int, int]) -> list[Delta]:
    """Return deltas that each change one service."""
    sender = _history(_configuration(1, size))
    deltas = []
    for number in range(1, REPEATS + 1):
        sender.accept(_configuration(number + 1, size, slots=number + 2))
        delta = sender.update_since(number)
        if not isinstance(delta, Delta):
            raise AssertionError("expected a delta update")
        deltas.append(delta)
    return deltas


def _data_centre_out_delta(size: tuple[int, int]) -> bytes:
    """Return the encoded delta that takes one data centre out of service."""
    before = large.configuration(1, *size)
    sender = _history(_require_valid(check_document(before)))
    after = large.configuration(2, *size)
    after["data_centres"][0]["state"] = "out"
    sender.accept(_require_valid(check_document(after)))
    return msgspec.msgpack.encode(sender.update_since(1))


def _held_kib(data: bytes) -> float:
    """Return the memory in KiB that a reader of the store holds.

    That is the configuration, the parts in its revision history, and the parser.
    """
    tracemalloc.start()
    parser = IncrementalParser()
    history = _history(_require_valid(parser.parse(data)))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if history.in_force is None:
        raise AssertionError("no configuration is in force")
    return held / 1024


def measure(size: tuple[int, int]) -> Row:
    """Return the measured values at ``size`` (services, upstreams)."""
    first = _configuration(1, size)
    texts = [
        render_document(_configuration(number, size, slots=number))
        for number in range(1, REPEATS + 2)
    ]
    parser = IncrementalParser()
    parser.parse(texts[0])
    accepting_history = _history(first)
    configurations = [_require_valid(parse_document(text)) for text in texts]
    deltas = _deltas(size)
    applying_history = _history(first)
    full = _history(first).update_since(0)
    if not isinstance(full, FullDocument):
        raise AssertionError("expected an update with the full document")
    return Row(
        services=size[0],
        upstreams=size[1],
        document_bytes=len(texts[0]),
        full_update_bytes=len(msgspec.msgpack.encode(full)),
        delta_bytes=len(msgspec.msgpack.encode(deltas[0])),
        out_delta_bytes=len(_data_centre_out_delta(size)),
        parse_ms=_median_ms(lambda number: parse_document(texts[number])),
        parse_change_ms=_median_ms(lambda number: parser.parse(texts[number])),
        accept_change_ms=_median_ms(
            lambda number: accepting_history.accept(configurations[number])
        ),
        apply_delta_ms=_median_ms(lambda number: applying_history.apply(deltas[number - 1])),
        apply_full_ms=_median_ms(lambda _: RevisionHistory().apply(full)),
        held_kib=_held_kib(texts[0]),
    )


def _lookup_us() -> float:
    table = PatienceTable(_configuration(1, SIZES[0]).caller_groups)
    callers = [f"10.{number % 20}.{number % 256}.7" for number in range(LOOKUPS)]
    now_s = float(SECONDS_PER_DAY)
    start = time.process_time()
    for caller in callers:
        table.patience_s(caller, now_s)
    return (time.process_time() - start) / LOOKUPS * US_PER_S


def main() -> None:
    """Run all measurements and print the results."""
    rows = [measure(size) for size in SIZES]
    cells: list[list[object]] = [
        [f"{value:.1f}" if isinstance(value, float) else value for value in row] for row in rows
    ]
    print(render_table(("figure", *map(str, range(len(rows)))), _transposed(cells)))
    largest = rows[-1]
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    delta_bytes_per_s = largest.delta_bytes * changes_per_s
    document_bytes_per_s = largest.document_bytes * changes_per_s
    reader_cpu_ms = largest.parse_change_ms + largest.accept_change_ms
    print(
        f"deltas received, {CHANGES_PER_DAY} changes a day: "
        f"{delta_bytes_per_s:.1f} bytes/s per node"
    )
    print(
        f"documents read, {CHANGES_PER_DAY} changes a day: "
        f"{document_bytes_per_s:.0f} bytes/s per reader"
    )
    print(f"processor time of a reader: {reader_cpu_ms / MS_PER_S * changes_per_s:.4%} of a core")
    print(
        "processor time of other nodes: "
        f"{largest.apply_delta_ms / MS_PER_S * changes_per_s:.4%} of a core"
    )
    print(f"patience lookup: {_lookup_us():.2f} us")


def _transposed(cells: list[list[object]]) -> list[list[object]]:
    return [
        [name, *column] for name, column in zip(Row._fields, zip(*cells, strict=True), strict=True)
    ]


if __name__ == "__main__":
    main()
