"""Writes an HTML page with plots of results: latency over time, load and broken flows."""

from __future__ import annotations

import base64
import html
import io
import json
from collections import Counter
from pathlib import Path
from typing import Any

import matplotlib as mpl
from absl import app, flags

from bench.scenarios.evaluation import Result
from bench.scenarios.execute import Series, format_table, series_path

mpl.use("Agg")
from matplotlib import pyplot as plt

FLAGS = flags.FLAGS
FIGURE_SIZE_IN = (11.0, 3.6)
DOTS_PER_INCH = 110
BIN_S = 0.5
OUTCOME_COLOURS = {
    "answered": "#1f77b4",
    "refused": "#ff7f0e",
    "unknown": "#9467bd",
    "wrong": "#d62728",
    "no_answer": "#7f7f7f",
}
FLOW_COLOURS = {
    "closed": "#2ca02c",
    "silent": "#d62728",
    "moved": "#9467bd",
    "refused": "#ff7f0e",
}
STYLE = (
    "body{font-family:sans-serif;max-width:75em;margin:2em auto}img{width:100%}pre{font-size:12px}"
)


def _new_axes(title: str, ylabel: str) -> tuple[Any, Any]:
    figure, axes = plt.subplots(figsize=FIGURE_SIZE_IN, layout="constrained")
    axes.set_title(title, loc="left", fontsize=10)
    axes.set_xlabel("seconds since the load started")
    axes.set_ylabel(ylabel)
    axes.grid(visible=True, alpha=0.3)
    axes.set_prop_cycle(color=plt.get_cmap("tab20").colors)
    axes.margins(y=0.2)
    return figure, axes


def _mark_events(axes: Any, events: list[tuple[float, str]]) -> None:
    """Draw a vertical line for each event; labels cycle through four heights to avoid overlap."""
    for number, (at, what) in enumerate(events):
        axes.axvline(at, color="black", linewidth=0.7, linestyle="--", alpha=0.6)
        height = 0.97 - 0.08 * (number % 4)
        axes.annotate(
            what,
            (at, height),
            xycoords=("data", "axes fraction"),
            xytext=(3, 0),
            textcoords="offset points",
            fontsize=7,
            va="top",
            bbox={"boxstyle": "square,pad=0.1", "fc": "white", "ec": "none", "alpha": 0.8},
        )


def plot_latency(series: Series) -> Any:
    """Plot the latency of each request by its start time, coloured by outcome."""
    figure, axes = _new_axes("latency by start time of the request", "milliseconds")
    for outcome, colour in OUTCOME_COLOURS.items():
        points = [(at, ms) for at, ms, what in series["requests"] if what == outcome]
        if points:
            xs, ys = zip(*points, strict=True)
            label = f"{outcome} ({len(points)})"
            axes.scatter(xs, ys, s=4, color=colour, label=label, alpha=0.6, linewidths=0)
    axes.set_yscale("log")
    _mark_events(axes, series["events"])
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8, markerscale=3)
    return figure


def plot_load(series: Series) -> Any:
    """Plot the rate of new requests and flows of each upstream in bins of ``BIN_S``."""
    figure, axes = _new_axes("new requests and flows by upstream", "requests/s")
    for name, times in series["upstream_work"].items():
        bins = Counter(int(at // BIN_S) for at in times if at >= 0)
        if bins:
            numbers = range(max(bins) + 1)
            rates = [bins[number] / BIN_S for number in numbers]
            axes.step([n * BIN_S for n in numbers], rates, where="post", label=name, linewidth=1)
    axes.set_ylim(bottom=0)
    _mark_events(axes, series["events"])
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    return figure


def plot_flows(series: Series) -> Any:
    """Plot the cumulative number of broken flows by reason; closed ones are left out."""
    figure, axes = _new_axes(
        "flows that ended before their callers closed them", "flows, cumulative"
    )
    ends = sorted(series["flow_ends"])
    last = max((at for at, _, _ in series["requests"]), default=1.0)
    for end, colour in FLOW_COLOURS.items():
        times = [at for at, what in ends if what == end]
        if end == "closed":
            continue
        if not times:
            continue
        xs = [0.0, *times, max(last, times[-1])]
        ys = [*range(len(times) + 1), len(times)]
        axes.step(xs, ys, where="post", color=colour, label=f"{end} ({len(times)})")
    axes.set_xlim(0.0, last)
    axes.set_ylim(bottom=0, top=None if axes.lines else 1)
    axes.yaxis.get_major_locator().set_params(integer=True)
    _mark_events(axes, series["events"])
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    return figure


def _embed(figure: Any) -> str:
    """Return the figure as an HTML image with a data URL."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH)
    plt.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="plot" src="data:image/png;base64,{data}">'


def render(files: list[Path]) -> str:
    """Return the HTML page for the results in ``files``."""
    results: dict[str, Result] = {path.stem: json.loads(path.read_text()) for path in files}
    parts = ["<!doctype html><meta charset=utf-8><title>banyanline runs</title>"]
    parts.append(f"<style>{STYLE}</style><h1>Runs</h1>")
    parts.append(f"<pre>{html.escape(format_table(results))}</pre>")
    for path in files:
        result = results[path.stem]
        title = f"{result['scenario']}, {result['deployment']}, seed {result['seed']}"
        parts.append(f"<h2>{html.escape(path.stem)}: {html.escape(title)}</h2>")
        series: Series = json.loads(series_path(path).read_text())
        if series["evidence"]:
            parts.append(f"<pre>{html.escape(chr(10).join(series['evidence']))}</pre>")
        parts += [_embed(plot(series)) for plot in (plot_latency, plot_load, plot_flows)]
    return "\n".join(parts)


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_string("out", "report.html", "File to write the page to.")


def main(argv: list[str]) -> None:
    """Write the page for the result files on the command line."""
    if len(argv) < 2:
        raise app.UsageError("at least one result file is required")
    Path(FLAGS.out).write_text(render([Path(name) for name in argv[1:]]))


if __name__ == "__main__":
    define_flags()
    app.run(main)
