"""A host whose own link or processor is slow does not take working upstreams for lost."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

import pytest

from banyanline.core.steering.check_evidence import (
    DISTANCE_MARGIN_S,
    EVIDENCE_LIFETIME_S,
    MAX_ATTEMPTS,
    CheckTrial,
    HostPath,
)
from banyanline.core.steering.failure_detection import CHECK_INTERVAL_S, CheckResult
from banyanline.net.steering.connection_checks import ATTEMPT_INTERVAL_S, ConnectionChecker
from banyanline.tests.simulated_time import SimulatedLoop, run_simulated
from banyanline.tests.steering import THERE, Host, entry

UP = [f"orders-{number}" for number in range(1, 11)]
DOWN = [f"orders-{number}" for number in range(11, 26)]
FAR = [f"orders-{number}" for number in range(26, 30)]
ROUND_TRIP_S = 0.003
TWO_ATTEMPTS_S = 2 * ATTEMPT_INTERVAL_S

ANSWERED = CheckResult.ANSWERED
UNANSWERED = CheckResult.UNANSWERED
INCONCLUSIVE = CheckResult.INCONCLUSIVE


class Network(NamedTuple):
    """Upstreams by their state, and the delays in the queues of this host's own link.

    Nothing arrives before ``stalled_until_s``, and everything takes ``queue_s`` longer.
    ``lost`` are the numbers of the attempts whose packets are lost.
    """

    up: Sequence[str]
    silent: Sequence[str] = ()
    refusing: Sequence[str] = ()
    stalled_until_s: float = 0.0
    queue_s: float = 0.0
    lost: Sequence[int] = ()


class Outcome(NamedTuple):
    """The result of a check, and how long it took in seconds."""

    result: CheckResult
    took_s: float


def check(
    monkeypatch: pytest.MonkeyPatch, network: Network, checked: Sequence[str]
) -> list[Outcome]:
    """Check upstreams at the same time; return the outcomes in the order of ``checked``."""
    names = [*network.up, *network.silent, *network.refusing]
    host = Host(*(entry(name, data_centre=THERE if name in FAR else "here") for name in names))
    by_port = {host.upstream(name).entry.endpoint.port: name for name in names}
    attempted: list[str] = []
    ended: dict[str, Outcome] = {}

    async def open_connection(_ip: str, port: int) -> tuple[None, Connection]:
        attempted.append(by_port[port])
        if by_port[port] in network.silent or len(attempted) in network.lost:
            await asyncio.sleep(100.0)
        now = asyncio.get_running_loop().time()
        arrives_at = max(now + ROUND_TRIP_S + network.queue_s, network.stalled_until_s)
        await asyncio.sleep(arrives_at - now)
        if by_port[port] in network.refusing:
            raise ConnectionRefusedError
        return None, Connection()

    async def run() -> None:
        loop = asyncio.get_running_loop()
        record = host.steering.on_check

        def on_check(due, result, now):
            ended[due.upstream.name] = Outcome(result, now)
            record(due, result, now)

        monkeypatch.setattr(host.steering, "on_check", on_check)
        for name in checked:
            host.steering.check_scheduler.request_check(host.upstream(name), loop.time())
        checker = ConnectionChecker(host.steering, loop)
        checker.start_due()
        await asyncio.sleep(CHECK_INTERVAL_S)
        checker.close()

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    run_simulated(run())
    return [ended[name] for name in checked]


class Connection:
    """A connection that can be closed."""

    def close(self) -> None:
        """Close nothing."""


@pytest.mark.parametrize(
    "network",
    [
        pytest.param(Network(UP, DOWN, stalled_until_s=0.289), id="just in time"),
        pytest.param(Network(UP, DOWN, stalled_until_s=0.31), id="just too late"),
        pytest.param(Network(UP, DOWN, stalled_until_s=0.7), id="long"),
        pytest.param(Network(UP, DOWN, queue_s=0.155), id="queue of a link in use"),
        pytest.param(Network(UP, DOWN, queue_s=0.5), id="long queue"),
        pytest.param(Network(UP, lost=(1, 5, 9)), id="lost packets"),
        pytest.param(Network(UP, DOWN, lost=(1, 5), queue_s=0.2), id="lost packets and queue"),
        pytest.param(Network(UP, [*DOWN, *FAR], stalled_until_s=5.0), id="longer than a check"),
    ],
)
def test_working_upstreams_are_not_lost_by_a_slow_host(monkeypatch, network):
    """Fifteen checks end together, late, as the host reads a large configuration."""
    outcomes = check(monkeypatch, network, [*network.up, *network.silent])
    for outcome in outcomes[: len(network.up)]:
        assert outcome.result is not UNANSWERED
    for outcome in outcomes[len(network.up) :]:
        assert outcome.result is not ANSWERED


@pytest.mark.parametrize(
    ("network", "within_s"),
    [
        pytest.param(Network(UP, DOWN[:1]), TWO_ATTEMPTS_S, id="one"),
        pytest.param(Network(UP, DOWN), TWO_ATTEMPTS_S, id="fifteen at once"),
        pytest.param(Network(UP[:1], DOWN), TWO_ATTEMPTS_S, id="all but one"),
        pytest.param(Network(UP, FAR), TWO_ATTEMPTS_S, id="a data centre is cut off"),
        pytest.param(Network(UP, (), DOWN), 0.02, id="refused"),
        pytest.param(Network(UP, DOWN, queue_s=0.1), TWO_ATTEMPTS_S + 0.15, id="slow link"),
        pytest.param(Network(UP, DOWN, queue_s=0.25), TWO_ATTEMPTS_S + 0.3, id="slower link"),
        pytest.param(Network(UP, DOWN, stalled_until_s=0.35), TWO_ATTEMPTS_S + 0.3, id="stall"),
    ],
)
def test_lost_upstreams_are_found_as_fast_as_before(monkeypatch, network, within_s):
    """Upstreams that answered last are checked with the others only by chance."""
    down = [*network.silent, *network.refusing]
    for outcome in check(monkeypatch, network, down):
        assert outcome.result is UNANSWERED
        assert outcome.took_s <= within_s + 0.001


@pytest.mark.parametrize(
    ("network", "expected"),
    [
        pytest.param(Network((), DOWN), INCONCLUSIVE, id="cut off"),
        pytest.param(Network((), (), DOWN), INCONCLUSIVE, id="cut off by a refusing network"),
        pytest.param(Network((), DOWN[:1]), INCONCLUSIVE, id="the only upstream is silent"),
        pytest.param(Network((), (), DOWN[:1]), UNANSWERED, id="the only upstream refuses"),
    ],
)
def test_a_host_to_which_no_upstream_answers(monkeypatch, network, expected):
    """Other hosts may reach the upstreams, and no upstream here could take a retry."""
    checked = [*network.silent, *network.refusing]
    for outcome in check(monkeypatch, network, checked):
        assert outcome.result is expected
        assert outcome.took_s < CHECK_INTERVAL_S


def test_a_check_that_is_answered_opens_no_other_connection(monkeypatch):
    host_references = []
    monkeypatch.setattr(
        HostPath, "choose_reference", lambda *arguments: host_references.append(arguments)
    )
    (outcome,) = check(monkeypatch, Network(UP), UP[:1])
    assert outcome.result is ANSWERED
    assert host_references == []


class AnswerCase(NamedTuple):
    """When a reference was tried and answered, for attempts at 10.0 and 10.15 s."""

    began_at: float
    answered_at: float
    of: str = UP[1]


@pytest.mark.parametrize(
    ("case", "proves"),
    [
        pytest.param(AnswerCase(10.15, 10.16), True, id="prompt"),
        pytest.param(AnswerCase(10.15, 10.3 - DISTANCE_MARGIN_S), True, id="within the margin"),
        pytest.param(AnswerCase(10.2, 10.21), True, id="later"),
        pytest.param(AnswerCase(10.15, 10.29), False, id="as late as the check"),
        pytest.param(AnswerCase(10.0, 10.02), False, id="before the second attempt"),
        pytest.param(AnswerCase(10.15, 10.16, of=UP[0]), False, id="its own"),
    ],
)
def test_a_failure_takes_an_answer_to_a_later_attempt_at_another_upstream(case, proves):
    host = Host(*map(entry, UP))
    path = HostPath(host.catalog.upstreams)
    trial = CheckTrial(host.upstream(UP[0]), path)
    for began_at in (10.0, 10.15):
        trial.begin_attempt(began_at)
    path.on_answer(host.upstream(case.of), case.began_at, case.answered_at)
    assert (trial.result(10.3) is UNANSWERED) is proves
    assert (trial.reference is host.upstream(case.of)) is proves


def test_an_answer_that_was_noticed_late_proves_nothing():
    """The processor was busy: the answers of both upstreams may be waiting."""

    async def run() -> CheckResult | None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimulatedLoop)
        host = Host(*map(entry, UP))
        path = HostPath(host.catalog.upstreams)
        trial = CheckTrial(host.upstream(UP[0]), path)
        for _ in range(2):
            trial.begin_attempt(loop.time())
        began_at = loop.time()
        loop.block(0.5)
        path.on_answer(host.upstream(UP[1]), began_at, loop.time())
        return trial.result(loop.time())

    assert run_simulated(run()) is None


def test_a_check_without_evidence_ends():
    host = Host(*map(entry, UP))
    trial = CheckTrial(host.upstream(UP[0]), HostPath(host.catalog.upstreams))
    for number in range(MAX_ATTEMPTS):
        assert trial.result(10.0 + number) is None
        trial.begin_attempt(10.0 + number)
    assert trial.result(20.0) is INCONCLUSIVE


def test_references_are_upstreams_that_responded_last():
    host = Host(*map(entry, UP[:5]))
    path = HostPath(host.catalog.upstreams)
    for name, responded_at in zip(UP[:5], (99.9, 99.8, 99.7, 99.6, 99.5), strict=True):
        host.upstream(name).failure_detector.on_response(responded_at)
    host.upstream(UP[1]).failure_detector.on_retransmission("flow", 99.9, 100.0, is_open=True)
    host.remove(UP[4])
    checked = {host.upstream(UP[0])}

    def choose(now: float) -> str | None:
        chosen = path.choose_reference(checked, now)
        return chosen.name if chosen else None

    assert choose(100.0) == UP[2]
    path.on_answer(host.upstream(UP[2]), 100.0, 100.01)
    assert choose(100.1) == UP[2]
    assert [choose(100.2) for _ in range(3)] == [UP[3], UP[1], None]
    assert choose(100.2 + EVIDENCE_LIFETIME_S) == UP[2]
