"""The mechanisms of the steering decisions, each with its simplest stand-in.

A stand-in replaces lines of the source. :mod:`bench.steering.ablation` applies it to a copy
of the repository, so that the product needs no switch for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from pathlib import Path

CORE = "banyanline/core/steering"
NET = "banyanline/net/steering"


class StandInError(ValueError):
    """The source has changed, so that a stand-in no longer fits."""


class Replacement(NamedTuple):
    """Lines of a file that occur there exactly once, and those that replace them."""

    path: str
    old: str
    new: str


class Mechanism(NamedTuple):
    """A mechanism, what replaces it, and how."""

    name: str
    stand_in: str
    replacements: tuple[Replacement, ...]


MECHANISMS = (
    Mechanism(
        "copies",
        "a retransmitted opening packet goes to the same upstream",
        (
            Replacement(
                f"{CORE}/steering.py",
                "            self._on_retransmission(flow, now)\n        else:",
                "            self._on_retransmission(flow, now)\n"
                "            return Forward(flow.upstream)\n        else:",
            ),
        ),
    ),
    Mechanism(
        "response-times",
        "all upstreams respond equally fast",
        (
            Replacement(
                f"{CORE}/placement.py",
                "    expected_s = upstream.responses.expected_s(now)\n",
                "    return 1.0\n    expected_s = upstream.responses.expected_s(now)\n",
            ),
            Replacement(
                f"{CORE}/peer_placement.py",
                "upstream.entry.slots * self._responses.speed(name)",
                "upstream.entry.slots",
            ),
        ),
    ),
    Mechanism(
        "load",
        "the available upstreams take flows at random",
        (
            Replacement(
                f"{CORE}/placement.py",
                "        load = float(upstream.responses.under_way(now) + upstream.pending_opens)\n"
                "        load += policy.flow * upstream.open_flows"
                " + policy.jitter * self._rng.random()\n",
                "        load = self._rng.random()\n",
            ),
            Replacement(
                f"{CORE}/peer_placement.py",
                "                factor = 1.0 + LOAD_GAIN - gain * load\n",
                "                factor = 1.0\n",
            ),
        ),
    ),
    Mechanism(
        "local-first",
        "upstreams of all data centres are equally near",
        (
            Replacement(f"{CORE}/placement.py", "REMOTE_WEIGHT = 6.0", "REMOTE_WEIGHT = 0.0"),
            Replacement(
                f"{CORE}/overflow.py",
                "        if not local or len(local) == len(upstreams):",
                "        if local or not local:",
            ),
        ),
    ),
    Mechanism(
        "placement-by-reports",
        "each host places flows by its own load alone",
        (
            Replacement(
                f"{CORE}/steering.py",
                "            if self._peer_placement.is_active:\n",
                "            if self._peer_placement is None:\n",
            ),
        ),
    ),
    Mechanism(
        "overflow",
        "no flows to other data centres while an upstream of this one is available",
        (
            Replacement(
                f"{CORE}/overflow.py",
                "        if self._rng.random() >= share.value:\n",
                "        if share.value >= 0.0:\n",
            ),
        ),
    ),
    Mechanism(
        "reserved-upstreams",
        "important flows share all upstreams with the others",
        (
            Replacement(
                f"{CORE}/admission.py",
                "        if state is None or now >= state.shortage_until or not state.reserved:\n",
                "        if state is None or now >= state.shortage_until or state.reserved:\n",
            ),
        ),
    ),
    Mechanism(
        "refusals",
        "all flows are admitted",
        (
            Replacement(
                f"{CORE}/admission.py",
                "        return self._rng.random() >= state.refused_share[_is_top(state, route)]\n",
                "        return True\n",
            ),
        ),
    ),
    Mechanism(
        "pace",
        "cold upstreams get flows only if there are no others",
        (
            Replacement(
                f"{CORE}/pace.py",
                "        paced = [each for each in upstreams if self._is_paced(each, now)]\n"
                "        if not paced:\n",
                "        paced = [each for each in upstreams if self._is_paced(each, now)]\n"
                "        if paced or not paced:\n",
            ),
        ),
    ),
    Mechanism(
        "cold-limit",
        "cold upstreams get as many flows as others",
        (
            Replacement(
                f"{CORE}/cold_limit.py",
                "        if limit_per_s == 0.0:\n",
                "        if limit_per_s >= 0.0:\n",
            ),
            Replacement(
                f"{CORE}/placement.py",
                "    is_reserve = upstream not in paced and upstream.is_cold(now)\n",
                "    is_reserve = False\n",
            ),
        ),
    ),
    Mechanism(
        "readiness",
        "a host that is configured is ready",
        (
            Replacement(
                f"{CORE}/readiness.py",
                "        return not self._cut_off\n",
                "        return True\n",
            ),
        ),
    ),
    Mechanism(
        "failover",
        "hosts stay ready when most hosts of their data centre are silent",
        (
            Replacement(
                f"{CORE}/failover.py",
                "        self._is_active = is_needed and now - self._ended_at >= MIN_READY_S\n",
                "        self._is_active = False\n",
            ),
        ),
    ),
    Mechanism(
        "reports",
        "hosts exchange neither reports nor heartbeats",
        (
            Replacement(
                f"{NET}/process.py",
                "        if settings.internal_ports:\n",
                "        if not settings.internal_ports:\n",
            ),
        ),
    ),
    Mechanism(
        "suspicion",
        "upstreams that left a packet unanswered get new flows",
        (
            Replacement(
                f"{CORE}/upstreams.py",
                "    return upstream.failure_detector.is_suspect("
                "now, has_pending_open=upstream.pending_opens > 0)\n",
                "    return False\n",
            ),
        ),
    ),
    Mechanism(
        "checks",
        "no health checks",
        (
            Replacement(
                f"{CORE}/check_schedule.py",
                "        if upstream.failure_detector.begin_check(now):\n",
                "        if upstream.failure_detector.begin_check(now) and not upstream:\n",
            ),
        ),
    ),
    Mechanism(
        "checks-of-openings",
        "no health check after an opening packet that was not confirmed in time",
        (
            Replacement(
                f"{CORE}/check_schedule.py",
                "            elif not flow.is_open and flow.upstream is upstream:\n",
                "            elif not flow.is_open and flow.upstream is None:\n",
            ),
        ),
    ),
    Mechanism(
        "checks-of-neighbours",
        "no health checks of the upstreams beside one that failed",
        (
            Replacement(
                f"{CORE}/check_schedule.py",
                "        if not had_failed_check:\n",
                "        if not had_failed_check and False:\n",
            ),
        ),
    ),
    Mechanism(
        "check-evidence",
        "two attempts without an answer are a failure",
        (
            Replacement(
                f"{CORE}/check_evidence.py",
                "        if is_refused and not self._reference_answers"
                ".has_other_upstream(self._upstream):\n",
                "        if self.attempts >= MIN_ATTEMPTS:\n",
            ),
        ),
    ),
    Mechanism(
        "resets",
        "flows at lost upstreams are not reset",
        (
            Replacement(
                f"{CORE}/steering.py",
                "        return route is not None and route.kind.is_idempotent\n",
                "        return False\n",
            ),
        ),
    ),
    Mechanism(
        "polling-of-seeds",
        "each host reads the store",
        (
            Replacement(
                f"{NET}/feed.py",
                "        self._uses_relays = change_bound_s >= MIN_RELAY_BOUND_S\n",
                "        self._uses_relays = False\n",
            ),
        ),
    ),
    Mechanism(
        "held-packets",
        "packets that arrive before the configuration are dropped",
        (
            Replacement(
                f"{NET}/packet_path.py",
                "            self._held.append(_HeldPacket(data, packet, now))\n",
                "            self._held.clear()\n",
            ),
        ),
    ),
    Mechanism(
        "pause-drop",
        "packets that waited during a pause of the process are forwarded",
        (
            Replacement(
                f"{NET}/packet_path.py",
                "            self._drop_until = now + DROP_AFTER_PAUSE_S\n",
                "            self._drop_until = 0.0\n",
            ),
        ),
    ),
)


def apply_stand_in(root: Path, mechanism: Mechanism) -> None:
    """Replace a mechanism in the repository at ``root``.

    Raises :class:`StandInError` if its lines don't occur there exactly once.
    """
    for path, old, new in mechanism.replacements:
        file = root / path
        source = file.read_text(encoding="utf-8")
        if source.count(old) != 1:
            raise StandInError(f"{mechanism.name}: {source.count(old)} places for it in {path}")
        file.write_text(source.replace(old, new), encoding="utf-8")
