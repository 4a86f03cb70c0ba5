"""Plays the same days with and without each mechanism, and prints what it is worth.

    python -m bench.steering.ablation --bench FLEETBENCH --scratch FOLDER \
        --site SITE.toml --day trouble-1 --day scale-2 --seeds 11,12,13 --jobs 3

For each mechanism (``--mechanism``, default: all) the committed repository is cloned into
FOLDER, which must not be under the temporary folder, and the mechanism is replaced by its
stand-in (:mod:`bench.steering.mechanisms`). The users' bench plays each day with each seed in
the clone, without counting processor time, and once more in an unchanged clone. The difference
of two plays of the same day and seed is what the mechanism is worth there. ``--repeat`` adds
a second unchanged clone, whose differences show how much two equal plays vary.
"""

from __future__ import annotations

import json
import shutil
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple, TypedDict

from absl import app, flags

from bench.steering.mechanisms import MECHANISMS, Mechanism, apply_stand_in

FLAGS = flags.FLAGS

UNCHANGED = Mechanism("unchanged", "nothing is replaced", ())
REPEATED = Mechanism("repeated", "nothing is replaced", ())

JOURNAL = "journal"
BUILD_OUTPUT = "target"
MAX_PLAY_S = 1_800


class Play(NamedTuple):
    """One day of a site, with a seed."""

    site: Path
    day: str
    seed: int

    @property
    def label(self) -> str:
        """A short name for output and files.

        >>> Play(Path("sites/north.toml"), "trouble-1", 7).label
        'north.trouble-1.7'
        """
        return f"{self.site.stem}.{Path(self.day).stem}.{self.seed}"


class Report(TypedDict):
    """The part of the bench's report that is used here."""

    G: float
    served: float
    breaks: dict[str, int]


class Result(NamedTuple):
    """Score, share of requests served, and number of broken rules of a play."""

    worth: float
    served: float
    broken: int


class Difference(NamedTuple):
    """What a mechanism is worth over several plays: mean and standard deviation."""

    plays: int
    worth: float
    worth_spread: float
    served: float
    served_spread: float
    broken: int


def compare(with_it: dict[Play, Result], without: dict[Play, Result]) -> Difference | None:
    """Return the paired differences of the plays that both have, or None if there are none.

    ``broken`` is the number of plays without the mechanism in which a rule was broken.
    """
    plays = sorted(with_it.keys() & without.keys(), key=lambda play: play.label)
    if not plays:
        return None
    worth = [with_it[play].worth - without[play].worth for play in plays]
    served = [with_it[play].served - without[play].served for play in plays]
    return Difference(
        len(plays),
        statistics.fmean(worth),
        statistics.pstdev(worth),
        statistics.fmean(served),
        statistics.pstdev(served),
        sum(without[play].broken > 0 for play in plays),
    )


def format_row(name: str, difference: Difference | None) -> str:
    """Format one row of the table."""
    if difference is None:
        return f"| {name} | 0 | not played | | |"
    return (
        f"| {name} | {difference.plays} "
        f"| {difference.worth:+.4f} ± {difference.worth_spread:.4f} "
        f"| {difference.served:+.4f} ± {difference.served_spread:.4f} "
        f"| {difference.broken or ''} |"
    )


class Bench:
    """Plays days in clones of a repository."""

    def __init__(self, program: Path, repository: Path, scratch: Path) -> None:
        self._program = program
        self._repository = repository
        self._scratch = scratch

    def prepare(self, mechanism: Mechanism) -> Path:
        """Return a clone of the committed repository without a mechanism, ready to be played."""
        clone = self._scratch / mechanism.name
        if clone.exists():
            shutil.rmtree(clone)
        _run(["git", "clone", "--quiet", "--shared", str(self._repository), str(clone)])
        apply_stand_in(clone, mechanism)
        built = self._repository / BUILD_OUTPUT
        if built.exists():
            shutil.copytree(built, clone / BUILD_OUTPUT)
        return clone

    def play(self, clone: Path, play: Play) -> Result | None:
        """Play a day in a clone, and keep the journal entry; return None if it was given up."""
        report = clone / f"{play.label}.report.json"
        command = [str(self._program), "run", str(play.site), play.day, "--seed", str(play.seed)]
        command += ["--no-cpu", "--jobs", "1", "--report", str(report)]
        why = f"ablation: without {clone.name}, or unchanged; {play.label}"
        _run([*command, "--why", why], folder=clone)
        if not report.exists():
            return None
        return read_result(report)

    def keep_journal(self, clone: Path) -> None:
        """Copy the journal entries of a clone's plays into the repository."""
        shutil.copytree(clone / JOURNAL, self._repository / JOURNAL, dirs_exist_ok=True)


def read_result(path: Path) -> Result:
    """Read a report of the bench."""
    report: Report = json.loads(path.read_text(encoding="utf-8"))
    return Result(report["G"], report["served"], sum(report["breaks"].values()))


def _run(command: list[str], folder: Path | None = None) -> None:
    """Run a program without its output; its failure shows in what it leaves behind."""
    subprocess.run(command, cwd=folder, capture_output=True, timeout=MAX_PLAY_S, check=False)


def _define_flags() -> None:
    flags.DEFINE_string("bench", None, "the users' bench", required=True)
    flags.DEFINE_string("scratch", None, "folder for clones", required=True)
    flags.DEFINE_multi_string("site", None, "site files", required=True)
    flags.DEFINE_multi_string("day", None, "names or files of days", required=True)
    flags.DEFINE_list("seeds", None, "seeds of each day", required=True)
    flags.DEFINE_multi_string("mechanism", None, "mechanisms to replace; default: all")
    flags.DEFINE_bool("repeat", False, "play the unchanged repository twice")
    flags.DEFINE_integer("jobs", 1, "days to play at a time", lower_bound=1)


def main(argv: list[str]) -> int:
    """Play the days for each mechanism, and print a row for each."""
    del argv
    known = {mechanism.name: mechanism for mechanism in MECHANISMS}
    names = FLAGS.mechanism or list(known)
    if unknown := set(names) - known.keys():
        print(f"unknown: {sorted(unknown)}; known: {', '.join(known)}", file=sys.stderr)
        return 2
    plays = [
        Play(Path(site).resolve(), day, int(seed))
        for site in FLAGS.site
        for day in FLAGS.day
        for seed in FLAGS.seeds
    ]
    bench = Bench(Path(FLAGS.bench).resolve(), Path.cwd(), Path(FLAGS.scratch).resolve())
    chosen = [UNCHANGED, *([REPEATED] if FLAGS.repeat else []), *(known[name] for name in names)]
    print("| without | plays | worth of the mechanism | served | plays with a broken rule |")
    print("|---|---|---|---|---|", flush=True)
    unchanged: dict[Play, Result] = {}
    for mechanism in chosen:
        results = _play_all(bench, mechanism, plays)
        if mechanism is UNCHANGED:
            unchanged = results
        else:
            print(format_row(mechanism.name, compare(unchanged, results)), flush=True)
    return 0


def _play_all(bench: Bench, mechanism: Mechanism, plays: list[Play]) -> dict[Play, Result]:
    """Play all days without a mechanism; return the results of those that were not given up."""
    clone = bench.prepare(mechanism)
    with ThreadPoolExecutor(FLAGS.jobs) as pool:
        results = list(pool.map(lambda play: bench.play(clone, play), plays))
    bench.keep_journal(clone)
    shutil.rmtree(clone)
    return {play: result for play, result in zip(plays, results, strict=True) if result is not None}


if __name__ == "__main__":
    _define_flags()
    app.run(main)
