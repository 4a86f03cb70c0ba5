"""Failure detectors and slot tables under random faults, on a simulated network."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
)

from banyanline.core.membership import View
from banyanline.core.placement import SlotTable
from banyanline.tests.fleet import GROUP, PERFECT_LINK, Fleet, Link, make_hosts

HOSTS = make_hosts(7)
NAMES = [host.name for host in HOSTS]
CONVERGENCE_S = 25.0
"""Time after the last fault within which all views agree: one dead host is probed per second."""

REQUEST_LIFETIME_S = 60.0
MAX_CONFLICT_S = 0.5
"""Longest time for which two hosts that may both act disagree on the home of a slot."""

WATCHED_SLOTS = range(0, 16384, 512)

names = st.sampled_from(NAMES)
durations = st.sampled_from([0.0, 0.4, 1.5, 4.0])
links = st.builds(
    Link,
    loss=st.sampled_from([0.0, 0.02, 0.1, 0.2]),
    duplication=st.sampled_from([0.0, 0.1]),
    min_delay_s=st.just(0.001),
    max_delay_s=st.sampled_from([0.003, 0.05, 0.12]),
)


class FleetMachine(RuleBasedStateMachine):
    """Injects faults in any order, also several at once, and lets time pass between them."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = Fleet(HOSTS, seed)
        self.slots: dict[str, SlotTable] = {}
        self.views: dict[str, View] = {}
        self.homes: dict[str, tuple[str | None, ...]] = {}
        self.incarnations: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.conflict_since: dict[tuple[str, str], float] = {}
        self.fleet.on_event = self.check_after_event
        self.fleet.run(3.0)

    @rule(name=names, duration_s=durations)
    def crash(self, name, duration_s):
        if name in self.fleet.members and len(self.fleet.members) > 1:
            self.fleet.crash(name)
            self.leaving.discard(name)
            for state_by_host in (self.slots, self.views, self.homes):
                state_by_host.pop(name, None)
        self.fleet.run(duration_s)

    @rule(name=names, duration_s=durations)
    def start_host(self, name, duration_s):
        if name not in self.fleet.members:
            self.fleet.start(name)
        self.fleet.run(duration_s)

    @rule(name=names, duration_s=durations)
    def leave(self, name, duration_s):
        if name in self.fleet.members and name not in self.fleet.paused:
            self.fleet.leave(name)
            self.leaving.add(name)
            self.check_after_event(name)
        self.fleet.run(duration_s)

    @rule(name=names, duration_s=durations)
    def pause(self, name, duration_s):
        if name in self.fleet.members:
            self.fleet.pause(name)
        self.fleet.run(duration_s)

    @rule(name=names, duration_s=durations)
    def resume(self, name, duration_s):
        if name in self.fleet.paused:
            self.fleet.resume(name)
        self.fleet.run(duration_s)

    @rule(side=st.sets(names, min_size=1, max_size=3), duration_s=durations)
    def partition(self, side, duration_s):
        self.fleet.partition(sorted(side))
        self.fleet.run(duration_s)

    @rule(sender=names, receiver=names, duration_s=durations)
    def block_one_way(self, sender, receiver, duration_s):
        self.fleet.blocked.add((sender, receiver))
        self.fleet.run(duration_s)

    @rule(link=links, duration_s=durations)
    def change_links(self, link, duration_s):
        self.fleet.link = link
        self.fleet.run(duration_s)

    @rule(listed=st.sets(names, min_size=3), duration_s=durations)
    def publish_partial_host_list(self, listed, duration_s):
        self.fleet.list_hosts([host for host in HOSTS if host.name in listed])
        self.fleet.run(duration_s)

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 4.0]))
    def advance_time(self, seconds):
        self.fleet.run(seconds)

    @rule()
    def end_all_faults(self):
        for name in list(self.fleet.paused):
            self.fleet.resume(name)
        self.fleet.heal()
        self.fleet.link = PERFECT_LINK
        self.fleet.list_hosts(HOSTS)
        assert self.fleet.run(CONVERGENCE_S, until=self.have_views_converged), self.homes
        assert len(set(self.homes.values())) == 1

    def teardown(self):
        if hasattr(self, "fleet"):
            self.end_all_faults()

    def have_views_converged(self):
        homes = tuple(sorted(set(self.fleet.members) - self.leaving))
        return all(
            self.views.get(name) is member.view and member.view.homes(GROUP) == homes
            for name, member in self.fleet.members.items()
        )

    def check_after_event(self, name):
        """Check the invariants after each event."""
        member = self.fleet.members[name]
        assert member.incarnation >= self.incarnations.get(name, 0)
        self.incarnations[name] = member.incarnation
        if self.views.get(name) is not member.view:
            self.apply_view(name, member.view)
        self.check_conflicts(name)

    def apply_view(self, name, view):
        for seen in view.members:
            assert seen.incarnation <= self.incarnations.get(seen.host.name, 0)
        table = self.slots.setdefault(name, SlotTable(REQUEST_LIFETIME_S))
        table.update(view.homes(GROUP), self.fleet.now)
        self.views[name] = view
        self.homes[name] = tuple(table.home_of_slot(slot) for slot in WATCHED_SLOTS)

    def check_conflicts(self, name):
        """Check that no other host serves a slot of ``name`` for longer than ``MAX_CONFLICT_S``."""
        for other in self.fleet.members:
            if other == name or other not in self.homes:
                continue
            pair = (min(name, other), max(name, other))
            if not self.is_in_conflict(*pair):
                self.conflict_since.pop(pair, None)
                continue
            since = self.conflict_since.setdefault(pair, self.fleet.now)
            assert self.fleet.now - since <= MAX_CONFLICT_S, pair

    def is_in_conflict(self, one, other):
        if self.homes[one] == self.homes[other] or self.fleet.paused & {one, other}:
            return False
        return bool(self.served_by(one) & self.served_by(other))

    def served_by(self, name):
        """Return the slots for which ``name`` may dispatch requests.

        It needs a majority, and has to have held its lease and been the home of the slot
        for at least the takeover wait.
        """
        member, table, now = self.fleet.members[name], self.slots[name], self.fleet.now
        lease_fresh_since = member.lease_fresh_since(now)
        if lease_fresh_since is None or not member.has_majority(GROUP, now):
            return set()
        latest = now - member.takeover_wait_s
        if lease_fresh_since > latest:
            return set()
        return {
            slot
            for slot, home in zip(WATCHED_SLOTS, self.homes[name], strict=True)
            if home == name and table.stable_since(slot) <= latest
        }


FleetMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)

TestFleet = FleetMachine.TestCase
