"""Pattern: the store comes back from an older copy, and its revisions are used again."""

from __future__ import annotations

from typing import Any

import pytest

from banyanline.core.steering.catalog import RESTORE_SETTLE_S
from banyanline.core.steering.outcomes import Forward
from banyanline.net.steering.feed import MIN_RELAY_BOUND_S
from banyanline.platform.entries import StoreItem
from banyanline.platform.store import Changes
from banyanline.tests.steering import HERE, Host, entry, packet, table
from banyanline.tests.test_feed import OUT, SEED, START, Script, view

COPY_REVISION = 80


def restored(*entries: Any) -> Host:
    """Return a host at revision 100 whose store was then restored from a copy at 80."""
    host = Host(*entries)
    host.revision = 99
    host.take_out("west")
    assert host.catalog.begin_era(2, host.now)
    host.revision = COPY_REVISION
    return host


def list_store(host: Host, *names: str, out: tuple[str, ...] = ()) -> None:
    """Apply a complete listing of the store at the host's revision."""
    host.catalog.remove_missing(names, out, host.revision, host.now)


def names(host: Host) -> set[str]:
    return set(host.catalog.upstreams.names_with_entry())


def test_a_revision_that_is_used_again_replaces_what_is_known():
    host = restored()
    assert host.take_out("west", is_out=False)
    assert host.catalog.data_centres_out == set()
    assert host.catalog.revision == COPY_REVISION + 1


def test_what_the_copy_lacks_is_kept_until_it_could_be_written_again():
    host = restored(entry("orders-1"), entry("orders-2"))
    list_store(host, "orders-1")
    assert names(host) == {"orders-1", "orders-2"}
    assert host.catalog.data_centres_out == {"west"}
    assert not host.catalog.is_listing_due(host.now)
    host.wait(RESTORE_SETTLE_S)
    assert host.catalog.is_listing_due(host.now)
    list_store(host, "orders-1")
    assert names(host) == {"orders-1"}
    assert host.catalog.data_centres_out == set()
    assert not host.catalog.is_listing_due(host.now)


def test_open_flows_of_an_upstream_that_the_copy_lacks_continue():
    host = Host(entry("orders-1"))
    name = host.open()
    host.catalog.begin_era(2, host.now)
    for response in range(3):
        list_store(host)
        answered = packet(cookie=host.cookie(name), ack=501 + response)
        assert isinstance(host.send(answered), Forward)
        host.wait(RESTORE_SETTLE_S)


@pytest.mark.parametrize(
    ("known", "copied", "is_used"),
    [
        pytest.param({"is_leaving": True, "sequence": 9}, {"sequence": 8}, False, id="leaving"),
        pytest.param({"sequence": 8}, {"is_leaving": True, "sequence": 9}, False, id="leaves now"),
        pytest.param({"is_leaving": True, "sequence": 9}, {"sequence": 10}, True, id="stays"),
        pytest.param(
            {"is_leaving": True, "sequence": 9},
            {"incarnation": 2, "sequence": 1},
            True,
            id="started again",
        ),
        pytest.param(
            {"is_leaving": True, "incarnation": 2, "sequence": 1},
            {"incarnation": 1, "sequence": 9},
            False,
            id="earlier incarnation",
        ),
        pytest.param(
            {"is_leaving": True, "incarnation": None, "sequence": 9},
            {"incarnation": None, "sequence": 8},
            False,
            id="without start time",
        ),
    ],
)
def test_an_entry_of_the_copy_does_not_replace_a_later_one(known, copied, is_used):
    host = restored(entry("orders-1", **known))
    host.put(entry("orders-1", **copied))
    assert bool(host.catalog.usable("orders")) is is_used


def test_an_upstream_that_was_removed_stays_so_until_the_store_has_settled():
    host = Host(entry("orders-1", sequence=9))
    host.remove("orders-1")
    host.catalog.begin_era(2, host.now)
    host.revision = COPY_REVISION
    assert not host.put(entry("orders-1", sequence=9))
    assert names(host) == set()
    host.wait(RESTORE_SETTLE_S)
    assert host.put(entry("orders-1", sequence=9))
    assert names(host) == {"orders-1"}


def test_the_configuration_does_not_go_back():
    host = restored()
    host.configure(table(7))
    host.catalog.begin_era(3, host.now)
    assert not host.configure(table(6))
    assert host.catalog.version == 7


@pytest.mark.parametrize("era", [1, 2])
def test_an_era_begins_once(era):
    host = restored()
    assert not host.catalog.begin_era(era, host.now)


def test_an_era_that_rises_twice_settles_again():
    host = restored(entry("orders-1"))
    host.wait(RESTORE_SETTLE_S - 0.1)
    host.catalog.begin_era(3, host.now)
    host.wait(0.2)
    list_store(host)
    assert names(host) == {"orders-1"}


def test_a_new_host_has_nothing_to_keep():
    host = Host(configured=False)
    assert host.catalog.begin_era(3, host.now)
    host.put(entry("orders-1"))
    list_store(host)
    assert names(host) == set()


def test_a_view_of_an_earlier_era_brings_only_a_newer_configuration():
    host, other = restored(), Host(entry("orders-9"))
    other.take_out(HERE)
    other.configure(table(5))
    other.revision = 500
    other.catalog.advance_revision(500)
    host.catalog.apply_view(other.catalog.view(other.now), host.now)
    assert host.catalog.version == 5
    assert "orders-9" not in names(host)
    assert host.catalog.data_centres_out == {"west"}
    assert host.catalog.revision < 500


def test_a_view_of_a_later_era_begins_it_and_holds_what_is_kept():
    sender, host = restored(entry("orders-1")), Host(entry("orders-2"))
    host.catalog.apply_view(sender.catalog.view(sender.now), host.now)
    assert host.catalog.era == 2
    assert names(host) == {"orders-1", "orders-2"}
    assert host.catalog.data_centres_out == {"west"}
    new = Host(configured=False)
    new.catalog.apply_view(sender.catalog.view(sender.now), new.now)
    assert names(new) == {"orders-1"}
    assert new.catalog.data_centres_out == {"west"}


async def test_a_watch_of_a_new_era_is_not_continued_but_the_store_is_listed(monkeypatch):
    """Revisions are used again, so the events after the known one may not be all."""
    script = Script(monkeypatch, [Changes((OUT,), START + 9, era=4)], [])
    script.eras = [3, 4]
    requests = await script.play(bound_s=3.0, seeds=[])
    assert requests == ["all", "store 7", "all", "store 7"]
    assert script.catalog.data_centres_out == set()
    assert script.catalog.era == 4


async def test_a_late_response_of_an_earlier_era_is_ignored(monkeypatch):
    late = Changes((OUT,), START + 50, era=2)
    script = Script(monkeypatch, [late, Changes((), START + 1, era=3)], [])
    script.eras = [3]
    requests = await script.play(bound_s=3.0, seeds=[])
    assert requests == ["all", "store 7", "store 7", "store 8"]
    assert script.catalog.data_centres_out == set()


async def test_a_listing_begins_again_when_the_store_is_restored_meanwhile(monkeypatch):
    script = Script(monkeypatch, [], [])
    south = StoreItem("op/evacuate/south", 3, "e30=")
    script.pages = [[OUT], [south], [south], []]
    script.eras = [3, 4, 4, 4]
    await script.play(bound_s=3.0, seeds=[])
    assert script.requests[:3] == ["all", "page after op/evacuate/north", "all"]


async def test_the_store_is_listed_again_once_it_has_settled(monkeypatch):
    quiet = Changes((), START + 1, era=4)
    script = Script(monkeypatch, [Changes((), 9, era=4), quiet, quiet, quiet], [])
    script.eras = [3, 4, 4]
    script.seconds_per_watch = 2.0
    requests = await script.play(bound_s=3.0, seeds=[])
    assert requests.count("all") == 3
    assert not script.catalog.is_listing_due(script.now)


async def test_a_host_that_follows_a_seed_learns_of_the_new_era_from_it(monkeypatch):
    later = view(START - 3, out=True)._replace(era=4)
    script = Script(monkeypatch, [], [later, later])
    script.eras = [3]
    requests = await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[SEED])
    assert requests == ["all", "seed 7", "seed 4", "seed 4"]
    assert (script.catalog.era, script.catalog.revision) == (4, START - 3)


async def test_a_seed_in_an_earlier_era_is_not_followed(monkeypatch):
    earlier = view(START + 100, out=True)._replace(era=2)
    script = Script(monkeypatch, [], [earlier])
    script.eras = [3]
    requests = await script.play(bound_s=MIN_RELAY_BOUND_S, seeds=[SEED])
    assert requests == ["all", "seed 7", "store 7"]
    assert script.catalog.data_centres_out == set()
