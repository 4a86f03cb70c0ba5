"""A host whose own link or processor is slow does not take working upstreams for lost."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace
from typing import NamedTuple

import pytest

from banyanline.core.steering.check_evidence import (
    EVIDENCE_LIFETIME_S,
    ROUND_TRIP_MARGIN_S,
    HealthCheck,
    ReferenceAnswers,
)
from banyanline.core.steering.failure_detection import CHECK_INTERVAL_S, CheckResult
from banyanline.net.steering.connection_checks import ATTEMPT_INTERVAL_S, ConnectionChecker
from banyanline.tests.simulated_time import run_simulated
from banyanline.tests.steering import Host, entry

UP = [f"orders-{number}" for number in range(1, 11)]
DOWN = [f"orders-{number}" for number in range(11, 26)]
ROUND_TRIP_S = 0.003
MAX_DETECTION_S = 2 * ATTEMPT_INTERVAL_S + 0.001


class Network(NamedTuple):
    """Upstreams by their state, and the delays in the queues of this host's own link.

    Nothing arrives before ``stalled_until_s``, and everything takes ``queue_s`` longer.
    ``lost`` are the numbers of the attempts whose packets are lost.
    """

    up: Sequence[str] = ()
    silent: Sequence[str] = ()
    refusing: Sequence[str] = ()
    stalled_until_s: float = 0.0
    queue_s: float = 0.0
    lost: Sequence[int] = ()


class Outcome(NamedTuple):
    """The result of a check, and how long it took in seconds."""

    result: CheckResult
    took_s: float


def check_all(
    monkeypatch: pytest.MonkeyPatch, network: Network, names: Sequence[str]
) -> dict[str, Outcome]:
    """Check upstreams at the same time; return the outcome of each."""
    host = Host(*map(entry, [*network.up, *network.silent, *network.refusing]))
    by_port = {upstream.entry.endpoint.port: upstream.name for upstream in host.catalog.upstreams}
    attempted: list[str] = []
    outcomes: dict[str, Outcome] = {}

    async def open_connection(_ip: str, port: int) -> tuple[None, SimpleNamespace]:
        name = by_port[port]
        attempted.append(name)
        if name in network.silent or len(attempted) in network.lost:
            await asyncio.sleep(100.0)
        now = asyncio.get_running_loop().time()
        arrives_at = max(now + ROUND_TRIP_S + network.queue_s, network.stalled_until_s)
        await asyncio.sleep(arrives_at - now)
        if name in network.refusing:
            raise ConnectionRefusedError
        return None, SimpleNamespace(close=lambda: None)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        for name in names:
            host.steering.check_scheduler.request_check(host.upstream(name), loop.time())
        checker = ConnectionChecker(host.steering, loop)
        checker.start_due()
        await asyncio.sleep(CHECK_INTERVAL_S)
        checker.close()

    def on_check(check, result, now):
        outcomes[check.upstream.name] = Outcome(result, now - check.began_at)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    monkeypatch.setattr(host.steering, "on_check", on_check)
    run_simulated(run())
    return outcomes


@pytest.mark.parametrize(
    "network",
    [
        pytest.param(Network(UP, DOWN, stalled_until_s=0.289), id="just in time"),
        pytest.param(Network(UP, DOWN, stalled_until_s=0.31), id="just too late"),
        pytest.param(Network(UP, DOWN, stalled_until_s=5.0), id="longer than a check"),
        pytest.param(Network(UP, DOWN, queue_s=0.155), id="queue of a link in use"),
        pytest.param(Network(UP, DOWN, queue_s=0.5), id="long queue"),
        pytest.param(Network(UP, lost=(1, 5, 9)), id="lost packets"),
        pytest.param(Network(UP, DOWN, lost=(1, 5), queue_s=0.2), id="lost packets and queue"),
    ],
)
def test_working_upstreams_are_not_lost_by_a_slow_host(monkeypatch, network):
    """Fifteen checks end together, late, as the host reads a large configuration."""
    outcomes = check_all(monkeypatch, network, [*network.up, *network.silent])
    assert CheckResult.UNANSWERED not in {outcomes[name].result for name in network.up}
    assert CheckResult.ANSWERED not in {outcomes[name].result for name in network.silent}


@pytest.mark.parametrize(
    ("network", "within_s"),
    [
        pytest.param(Network(UP, DOWN[:1]), MAX_DETECTION_S, id="one"),
        pytest.param(Network(UP, DOWN), MAX_DETECTION_S, id="a data centre is cut off"),
        pytest.param(Network(UP[:1], DOWN), MAX_DETECTION_S, id="all but one"),
        pytest.param(Network(UP, refusing=DOWN), 0.02, id="refused"),
        pytest.param(Network(refusing=DOWN[:1]), 0.02, id="the only upstream refuses"),
        pytest.param(Network(UP, DOWN, queue_s=0.1), 0.451, id="slow link"),
        pytest.param(Network(UP, DOWN, queue_s=0.25), 0.601, id="slower link"),
    ],
)
def test_lost_upstreams_are_found_in_time(monkeypatch, network, within_s):
    down = [*network.silent, *network.refusing]
    for outcome in check_all(monkeypatch, network, down).values():
        assert outcome.result is CheckResult.UNANSWERED
        assert outcome.took_s <= within_s


@pytest.mark.parametrize(
    "network",
    [
        pytest.param(Network(silent=DOWN), id="cut off"),
        pytest.param(Network(refusing=DOWN), id="cut off by a network that refuses"),
        pytest.param(Network(silent=DOWN[:1]), id="the only upstream is silent"),
    ],
)
def test_a_host_to_which_no_upstream_answers_concludes_nothing(monkeypatch, network):
    """Other hosts may reach the upstreams, and no upstream here could take a retry."""
    down = [*network.silent, *network.refusing]
    for outcome in check_all(monkeypatch, network, down).values():
        assert outcome.result is CheckResult.INCONCLUSIVE
        assert outcome.took_s < CHECK_INTERVAL_S


class AnswerCase(NamedTuple):
    """When a reference was tried and answered, for attempts at 10.0 and 10.15 s."""

    began_at: float
    answered_at: float
    of: str = UP[1]


@pytest.mark.parametrize(
    ("case", "proves"),
    [
        pytest.param(AnswerCase(10.15, 10.16), True, id="prompt"),
        pytest.param(AnswerCase(10.2, 10.3 - ROUND_TRIP_MARGIN_S), True, id="within the margin"),
        pytest.param(AnswerCase(10.15, 10.29), False, id="as late as the check"),
        pytest.param(AnswerCase(10.0, 10.02), False, id="before the second attempt"),
        pytest.param(AnswerCase(10.15, 10.16, of=UP[0]), False, id="its own"),
    ],
)
def test_a_failure_takes_an_answer_to_a_later_attempt_at_another_upstream(case, proves):
    host = Host(*map(entry, UP))
    answers = ReferenceAnswers(host.catalog.upstreams)
    health_check = HealthCheck(host.upstream(UP[0]), answers)
    for began_at in (10.0, 10.15):
        health_check.begin_attempt(began_at)
    answers.on_answer(host.upstream(case.of), case.began_at, case.answered_at)
    assert (health_check.result(10.3) is CheckResult.UNANSWERED) is proves


def test_references_are_upstreams_that_responded_last():
    host = Host(*map(entry, UP[:5]))
    answers = ReferenceAnswers(host.catalog.upstreams)
    for name, responded_at in zip(UP[:5], (99.9, 99.8, 99.7, 99.6, 99.5), strict=True):
        host.upstream(name).failure_detector.on_response(responded_at)
    host.upstream(UP[1]).failure_detector.on_retransmission("flow", 99.9, 100.0, is_open=True)
    host.remove(UP[4])

    def choose(now: float) -> str | None:
        chosen = answers.choose_reference({host.upstream(UP[0])}, now)
        return chosen.name if chosen else None

    assert choose(100.0) == UP[2]
    answers.on_answer(host.upstream(UP[2]), 100.0, 100.01)
    assert [choose(100.1) for _ in range(4)] == [UP[2], UP[3], UP[1], None]
    assert choose(100.1 + EVIDENCE_LIFETIME_S) == UP[2]
