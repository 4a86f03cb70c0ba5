from __future__ import annotations

import random

import pytest

from banyanline.core.membership import (
    Membership,
    MembershipSettings,
    MemberStatus,
    MemberUpdate,
    Probe,
)
from banyanline.core.types import HostState
from banyanline.tests.fleet import GROUP, Datagram, Fleet, Link, make_hosts

SEEDS = [pytest.param(seed, id=f"seed-{seed}") for seed in range(5)]
NINE = make_hosts(9)
NAMES = [host.name for host in NINE]
FIRST, SECOND, THIRD = NAMES[:3]
CONVERGENCE_S = 3.0
LEASE_S = MembershipSettings().lease_s


def make_converged_fleet(seed: int) -> Fleet:
    fleet = Fleet(NINE, seed)
    fleet.run(CONVERGENCE_S)
    assert fleet.views_agree()
    return fleet


def make_probe_with_claim(
    fleet: Fleet, status: MemberStatus, about: str, sender: str = SECOND
) -> Probe:
    update = MemberUpdate(about, status, fleet.members[about].incarnation, origin=1)
    return Probe(sender, fleet.members[sender].incarnation, False, 0, 7, (update,))


@pytest.mark.parametrize("seed", SEEDS)
def test_crashed_host_is_removed_from_all_views_within_two_seconds(seed):
    fleet = make_converged_fleet(seed)
    fleet.crash(FIRST)
    assert fleet.run(2.0, until=fleet.views_agree)


@pytest.mark.parametrize("seed", SEEDS)
def test_paused_host_loses_its_lease_and_suspects_no_one(seed):
    fleet = make_converged_fleet(seed)
    paused = fleet.members[FIRST]
    incarnation = paused.incarnation
    fleet.pause(FIRST)
    fleet.run(10.0)
    assert not fleet.members[SECOND].view.is_alive(FIRST)
    assert not paused.lease_fresh(fleet.now)
    view_sizes = []
    fleet.on_event = lambda name: view_sizes.append(len(paused.view.homes(GROUP)))
    fleet.resume(FIRST)
    assert fleet.run(3.0, until=lambda: fleet.views_agree() and paused.lease_fresh(fleet.now))
    assert min(view_sizes) == len(NINE)
    assert paused.incarnation > incarnation
    assert (paused.lease_fresh_since(fleet.now) or 0.0) > CONVERGENCE_S + 10.0


@pytest.mark.parametrize("seed", SEEDS)
def test_suspicions_from_before_a_pause_do_not_expire_during_it(seed):
    fleet = make_converged_fleet(seed)
    fleet.partition([FIRST])
    fleet.run(0.85)
    fleet.pause(FIRST)
    fleet.heal()
    fleet.run(10.0)
    view_sizes = []
    paused = fleet.members[FIRST]
    fleet.on_event = lambda name: view_sizes.append(len(paused.view.homes(GROUP)))
    fleet.resume(FIRST)
    fleet.run(CONVERGENCE_S)
    assert min(view_sizes) == len(NINE)


@pytest.mark.parametrize("seed", SEEDS)
def test_relayed_suspicion_removes_no_host_without_an_own_failed_probe(seed):
    fleet = make_converged_fleet(seed)
    claimed_at = fleet.now
    probed_at: list[float] = []

    def record_probe(datagram: Datagram) -> None:
        is_probe = isinstance(datagram.message, Probe)
        if is_probe and (datagram.sender, datagram.receiver) == (SECOND, FIRST):
            probed_at.append(fleet.now)

    fleet.on_send = record_probe
    fleet.blocked = {(name, SECOND) for name in NAMES}
    fleet.inject(SECOND, make_probe_with_claim(fleet, MemberStatus.SUSPECT, FIRST, sender=THIRD))
    assert fleet.run(5.0, until=lambda: not fleet.members[SECOND].view.is_alive(FIRST))
    probed_after_claim = [at for at in probed_at if at > claimed_at]
    assert probed_after_claim
    assert fleet.now >= probed_after_claim[0] + fleet.settings.probe_failed_s


PARTITIONS = [
    pytest.param(NAMES[:1], id="one"),
    pytest.param(NAMES[::3], id="data-centre"),
    pytest.param(NAMES[:4], id="four"),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("minority", PARTITIONS)
def test_lease_of_a_partitioned_host_expires_before_takeover(minority, seed):
    fleet = make_converged_fleet(seed)
    majority = [name for name in NAMES if name not in minority]
    removed_at: dict[str, float] = {}
    fresh_until: dict[str, float] = {}

    def observe(name: str) -> None:
        for other in minority:
            if name in majority and not fleet.members[name].view.is_alive(other):
                removed_at.setdefault(other, fleet.now)
        if name in minority and fleet.members[name].lease_fresh(fleet.now):
            fresh_until[name] = fleet.now

    fleet.on_event = observe
    fleet.partition(minority)
    fleet.run(8.0)
    wait_s = fleet.settings.takeover_wait_s
    assert set(removed_at) == set(minority)
    assert all(fresh_until[name] < removed_at[name] + wait_s for name in minority)
    assert not any(fleet.members[name].has_majority(GROUP, fleet.now) for name in minority)
    assert all(fleet.members[name].has_majority(GROUP, fleet.now) for name in majority)
    assert all(fleet.members[name].lease_fresh(fleet.now) for name in majority)


@pytest.mark.parametrize("seed", [pytest.param(seed, id=f"seed-{seed}") for seed in range(12)])
def test_lease_expires_before_takeover_if_the_removing_host_was_partitioned_first(seed):
    fleet = make_converged_fleet(seed)
    removed_at: list[float] = []
    fresh_at: list[float] = []
    partitioned = fleet.members[THIRD]

    def observe(name: str) -> None:
        if not removed_at and not fleet.members[FIRST].view.is_alive(THIRD):
            removed_at.append(fleet.now)
        if (partitioned.lease_fresh_since(fleet.now) or fleet.now) < CONVERGENCE_S:
            fresh_at.append(fleet.now)

    fleet.on_event = observe
    fleet.partition([FIRST, SECOND])
    fleet.run(1.6)
    fleet.partition([THIRD])
    fleet.run(5.0)
    assert removed_at
    assert fresh_at[-1] < removed_at[0] + fleet.settings.takeover_wait_s


@pytest.mark.parametrize("seed", SEEDS)
def test_host_that_receives_but_cannot_send_loses_its_lease(seed):
    fleet = make_converged_fleet(seed)
    fleet.blocked = {(FIRST, name) for name in NAMES}
    fleet.run(LEASE_S + 0.5)
    assert not fleet.members[FIRST].lease_fresh(fleet.now)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("minority", PARTITIONS)
def test_views_merge_after_a_partition(minority, seed):
    fleet = make_converged_fleet(seed)
    fleet.partition(minority)
    fleet.run(20.0)
    assert not fleet.views_agree()
    fleet.heal()
    assert fleet.run(8.0, until=fleet.views_agree)


@pytest.mark.parametrize("seed", SEEDS)
def test_updates_missed_during_a_partition_come_from_other_hosts(seed):
    forty = make_hosts(40)
    fleet = Fleet(forty, seed)
    fleet.run(CONVERGENCE_S)
    first, unheard = forty[0].name, forty[1].name
    fleet.partition([first])
    fleet.run(6.0)
    fleet.inject(
        unheard, make_probe_with_claim(fleet, MemberStatus.SUSPECT, unheard, sender=forty[2].name)
    )
    fleet.run(25.0)
    fleet.heal()
    fleet.blocked = {(unheard, first)}
    member = fleet.members[first]
    others = {host.name for host in forty} - {first, unheard}
    fleet.run(60.0, until=lambda: others <= set(member.view.homes(GROUP)))
    assert fleet.run(1.0, until=lambda: member.view.is_alive(unheard))


@pytest.mark.parametrize("seed", SEEDS)
def test_one_dead_link_removes_no_host(seed):
    fleet = make_converged_fleet(seed)
    fleet.blocked = {(FIRST, SECOND), (SECOND, FIRST)}
    assert not fleet.run(20.0, until=lambda: not fleet.views_agree())


@pytest.mark.parametrize("seed", SEEDS)
def test_removals_caused_by_packet_loss_are_undone(seed):
    fleet = make_converged_fleet(seed)
    fleet.link = Link(loss=0.2, duplication=0.05)
    fleet.run(30.0)
    fleet.link = Link()
    assert fleet.run(4.0, until=fleet.views_agree)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("status", [MemberStatus.SUSPECT, MemberStatus.DEAD])
def test_false_claim_is_refuted(status, seed):
    fleet = make_converged_fleet(seed)
    incarnation = fleet.members[FIRST].incarnation
    fleet.inject(SECOND, make_probe_with_claim(fleet, status, FIRST, sender=THIRD))
    fleet.run(CONVERGENCE_S)
    assert fleet.views_agree()
    assert fleet.members[FIRST].incarnation > incarnation
    kept_lease = (fleet.members[FIRST].lease_fresh_since(fleet.now) or 0.0) < CONVERGENCE_S
    assert kept_lease == (status is MemberStatus.SUSPECT)


@pytest.mark.parametrize("was_leaving", [False, True], ids=["crash", "stop"])
@pytest.mark.parametrize("down_s", [0.1, 5.0], ids=["at-once", "later"])
def test_restarted_host_replaces_its_earlier_incarnation(down_s, was_leaving):
    fleet = make_converged_fleet(seed=1)
    if was_leaving:
        fleet.leave(FIRST)
        fleet.run(CONVERGENCE_S)
    fleet.crash(FIRST)
    fleet.run(down_s)
    fleet.start(FIRST)
    fleet.run(CONVERGENCE_S)
    assert fleet.views_agree()
    members = [member.view.member(FIRST) for member in fleet.members.values()]
    incarnations = {member and member.incarnation for member in members}
    assert incarnations == {fleet.members[FIRST].incarnation}


def test_host_rejoins_after_its_clock_went_back_between_two_starts():
    fleet = make_converged_fleet(seed=1)
    fleet.crash(FIRST)
    fleet.run(CONVERGENCE_S)
    fleet.members[FIRST] = Membership(
        NINE[0], fleet.settings, random.Random(1), fleet.now, incarnation=1
    )
    fleet.run_effects(FIRST, fleet.members[FIRST].apply_host_list(tuple(NINE), fleet.now))
    fleet.resume(FIRST)
    assert fleet.run(CONVERGENCE_S, until=fleet.views_agree)


@pytest.mark.parametrize("seed", SEEDS)
def test_leaving_host_is_alive_but_not_a_home(seed):
    fleet = make_converged_fleet(seed)
    fleet.leave(FIRST)
    others = tuple(sorted(NAMES[1:]))
    assert fleet.run(
        1.0, until=lambda: all(m.view.homes(GROUP) == others for m in fleet.members.values())
    )
    assert all(member.view.is_alive(FIRST) for member in fleet.members.values())


def test_hosts_that_have_left_do_not_count_for_a_majority():
    fleet = make_converged_fleet(seed=1)
    for name in NAMES[:6]:
        fleet.leave(name)
        fleet.run(1.0)
        fleet.crash(name)
    fleet.run(CONVERGENCE_S)
    last = fleet.members[NAMES[-1]]
    assert last.has_majority(GROUP, fleet.now)
    assert last.lease_fresh(fleet.now)


def test_started_host_corrects_a_stale_host_list():
    fleet = make_converged_fleet(seed=1)
    fleet.crash(FIRST)
    fleet.crash(SECOND)
    fleet.run(CONVERGENCE_S)
    fleet.platform_hosts = tuple(host for host in NINE if host.name != THIRD)
    fleet.start(FIRST)
    assert fleet.run(1.0, until=fleet.views_agree)


def test_unlisted_live_host_stays_and_unlisted_dead_host_is_removed():
    fleet = make_converged_fleet(seed=1)
    fleet.crash(FIRST)
    fleet.run(CONVERGENCE_S)
    fleet.list_hosts([host for host in NINE if host.name not in (FIRST, SECOND)])
    view = fleet.members[THIRD].view
    assert view.is_alive(SECOND)
    assert view.host(FIRST) is not None
    fleet.run(fleet.settings.remove_unlisted_after_s + 2.0)
    assert fleet.views_agree()
    assert all(member.view.host(FIRST) is None for member in fleet.members.values())


def test_host_listed_as_leaving_is_not_a_home():
    fleet = make_converged_fleet(seed=1)
    fleet.list_hosts([NINE[0]._replace(state=HostState.LEAVING), *NINE[1:]])
    assert all(FIRST not in member.view.homes(GROUP) for member in fleet.members.values())
    fleet.list_hosts(NINE)
    assert fleet.views_agree()


def test_newly_listed_host_counts_as_alive_once_it_runs():
    fleet = Fleet(NINE[:8], seed=1)
    fleet.run(CONVERGENCE_S)
    fleet.list_hosts(NINE)
    fleet.run(CONVERGENCE_S)
    assert fleet.views_agree()
    fleet.hosts[NAMES[8]] = NINE[8]
    fleet.start(NAMES[8])
    assert fleet.run(1.0, until=fleet.views_agree)


@pytest.mark.parametrize(
    ("platform_hosts", "has_quorum_alone"),
    [
        pytest.param(NINE[:1], True, id="alone"),
        pytest.param(NINE[:2], False, id="one-of-two"),
        pytest.param((), False, id="no-list"),
    ],
)
def test_single_process_has_a_lease_only_if_it_is_the_whole_group(platform_hosts, has_quorum_alone):
    fleet = Fleet(NINE[:1], seed=1, platform_hosts=platform_hosts)
    fleet.run(CONVERGENCE_S)
    member = fleet.members[FIRST]
    assert member.has_majority(GROUP, fleet.now) == has_quorum_alone
    assert member.lease_fresh(fleet.now) == has_quorum_alone


def test_higher_revision_spreads_as_hosts_adopt_it():
    fleet = make_converged_fleet(seed=1)
    fleet.members[FIRST].set_revision(12)

    def adopt_revisions(name: str) -> None:
        for receiver, seen in fleet.revisions_seen:
            fleet.members[receiver].set_revision(seen.revision)

    fleet.on_event = adopt_revisions
    fleet.run(1.0)
    assert {name for name, _ in fleet.revisions_seen} == set(NAMES) - {FIRST}
