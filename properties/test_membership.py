"""Failure detectors and slot tables under random faults, on a bus in memory."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from banyanline.core.placement import SlotTable
from banyanline.tests.fleet import GROUP, PERFECT_LINK, Fleet, Link, make_hosts

HOSTS = make_hosts(7)
NAMES = [host.name for host in HOSTS]
MERGE_S = 25.0
"""Within this time after the last fault all views agree: one dead host is probed a second."""

REQUEST_LIFETIME_S = 60.0
CONFLICT_BOUND_S = 1.0
"""Two hosts that may both act do not disagree on a home for longer than this."""

WATCHED_SLOTS = range(0, 16384, 512)

names = st.sampled_from(NAMES)
links = st.builds(
    Link,
    loss=st.sampled_from([0.0, 0.02, 0.1, 0.2]),
    duplication=st.sampled_from([0.0, 0.1]),
    min_delay_s=st.just(0.001),
    max_delay_s=st.sampled_from([0.003, 0.05, 0.12]),
)


class FleetMachine(RuleBasedStateMachine):
    """Faults come in any order, also several at once; time passes between them."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = Fleet(HOSTS, seed)
        self.slots: dict[str, SlotTable] = {}
        self.slots_since: dict[str, object] = {}
        self.incarnations: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.conflict_since: dict[tuple[str, str], float] = {}
        self.fleet.on_event = self.observe
        self.fleet.run(3.0)

    @rule(name=names)
    def crash(self, name):
        if name in self.fleet.members and len(self.fleet.members) > 1:
            self.fleet.crash(name)
            self.leaving.discard(name)
            self.slots.pop(name, None)

    @rule(name=names)
    def start_host(self, name):
        if name not in self.fleet.members:
            self.fleet.start(name)

    @rule(name=names)
    def leave(self, name):
        if name in self.fleet.members and name not in self.fleet.paused:
            self.fleet.leave(name)
            self.leaving.add(name)
            self.observe(name)

    @rule(name=names)
    def pause(self, name):
        if name in self.fleet.members:
            self.fleet.pause(name)

    @rule(name=names)
    def wake(self, name):
        if name in self.fleet.paused:
            self.fleet.wake(name)

    @rule(side=st.sets(names, min_size=1, max_size=3))
    def cut(self, side):
        self.fleet.cut(sorted(side))

    @rule(sender=names, receiver=names)
    def block_one_way(self, sender, receiver):
        self.fleet.blocked.add((sender, receiver))

    @rule(link=links)
    def change_links(self, link):
        self.fleet.link = link

    @rule(listed=st.sets(names, min_size=3))
    def lag_the_list(self, listed):
        self.fleet.list_hosts([host for host in HOSTS if host.name in listed])

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 6.0]))
    def let_time_pass(self, seconds):
        self.fleet.run(seconds)

    @rule()
    def end_all_faults(self):
        for name in list(self.fleet.paused):
            self.fleet.wake(name)
        self.fleet.heal()
        self.fleet.link = PERFECT_LINK
        self.fleet.list_hosts(HOSTS)
        homes = tuple(sorted(set(self.fleet.members) - self.leaving))
        views = [member.view for member in self.fleet.members.values()]
        has_merged = self.fleet.run(
            MERGE_S,
            until=lambda: all(
                member.view.homes(GROUP) == homes for member in self.fleet.members.values()
            ),
        )
        assert has_merged, (homes, [view.homes(GROUP) for view in views])
        self.fleet.run(1.0)
        assert (
            len(
                {
                    tuple(table.home_of_slot(s) for s in WATCHED_SLOTS)
                    for table in self.slots.values()
                }
            )
            <= 1
        )

    def observe(self, name):
        """Check what has to hold after every single event."""
        member = self.fleet.members[name]
        known = self.incarnations.get(name, 0)
        assert member.incarnation >= known
        self.incarnations[name] = member.incarnation
        table = self.slots.setdefault(name, SlotTable(REQUEST_LIFETIME_S))
        if self.slots_since.get(name) is not member.view:
            self.slots_since[name] = member.view
            table.update(member.view.homes(GROUP), self.fleet.now)
        self.check_conflicts(name)

    def check_conflicts(self, name):
        """Compare the slots that ``name`` would serve with those of all others."""
        for other in self.fleet.members:
            if other == name or other in self.fleet.paused or other not in self.slots:
                continue
            pair = (min(name, other), max(name, other))
            if not self.is_in_conflict(*pair):
                self.conflict_since.pop(pair, None)
                continue
            since = self.conflict_since.setdefault(pair, self.fleet.now)
            assert self.fleet.now - since <= CONFLICT_BOUND_S, pair

    def is_in_conflict(self, one, other):
        return any(
            self.acts_for(one, slot) and self.acts_for(other, slot) for slot in WATCHED_SLOTS
        )

    def acts_for(self, name, slot):
        """Whether ``name`` dispatches for ``slot``: its home, by right and for long enough."""
        member, table, now = self.fleet.members[name], self.slots[name], self.fleet.now
        since = table.home_since(slot, name)
        lease_since = member.lease_since(now)
        if since is None or lease_since is None or not member.has_majority(GROUP, now):
            return False
        return now - max(since, lease_since) >= member.takeover_wait_s

    @invariant()
    @precondition(lambda self: hasattr(self, "fleet"))
    def known_incarnations_exist(self):
        for member in self.fleet.members.values():
            for seen in member.view.members:
                assert seen.incarnation <= self.incarnations.get(seen.host.name, 0)


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
