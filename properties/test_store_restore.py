"""Hosts agree with the store after it was restored from copies, whatever they heard before."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from banyanline.core.steering.catalog import RESTORE_SETTLE_S, Catalog
from banyanline.core.steering.model import (
    Change,
    DataCentreChanged,
    RoutingTable,
    TableChanged,
    UpstreamChanged,
    UpstreamEntry,
)
from banyanline.tests.steering import entry, table

HOSTS = 3
NAMES = ("orders-1", "orders-2", "orders-3")
DATA_CENTRES = ("north", "south")


class StoreState(NamedTuple):
    """Everything in the store, with the revision of each write."""

    revision: int
    upstreams: dict[str, tuple[UpstreamEntry, int]]
    out: dict[str, int]
    table: tuple[RoutingTable, int]

    def changes(self) -> list[Change]:
        listed: list[Change] = [TableChanged(*self.table)]
        listed += [UpstreamChanged(each, at, at) for each, at in self.upstreams.values()]
        return listed + [DataCentreChanged(name, True, at) for name, at in self.out.items()]


class RestoredStore(RuleBasedStateMachine):
    """A store that is restored from copies, and hosts that list it and tell each other."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.era = 1
        self.sequence = 0
        self.version = 1
        self.state = StoreState(1, {}, {}, (table(1), 1))
        self.copy = self.state
        self.hosts = [Catalog() for _ in range(HOSTS)]
        self.versions = [0] * HOSTS

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def write_upstream(self, name: str, leaving: bool) -> None:
        self.sequence += 1
        written = entry(name, is_leaving=leaving, sequence=self.sequence)
        revision = self.state.revision + 1
        upstreams = self.state.upstreams | {name: (written, revision)}
        self.state = self.state._replace(revision=revision, upstreams=upstreams)

    @rule(name=st.sampled_from(NAMES))
    def remove_upstream(self, name: str) -> None:
        upstreams = {key: value for key, value in self.state.upstreams.items() if key != name}
        self.state = self.state._replace(revision=self.state.revision + 1, upstreams=upstreams)

    @rule(name=st.sampled_from(DATA_CENTRES), out=st.booleans())
    def take_data_centre(self, name: str, out: bool) -> None:
        revision = self.state.revision + 1
        others = {key: value for key, value in self.state.out.items() if key != name}
        self.state = self.state._replace(
            revision=revision, out=others | ({name: revision} if out else {})
        )

    @rule()
    def configure(self) -> None:
        self.version += 1
        revision = self.state.revision + 1
        self.state = self.state._replace(revision=revision, table=(table(self.version), revision))

    @rule()
    def take_copy(self) -> None:
        self.copy = self.state

    @rule()
    def restore(self) -> None:
        """The operator writes its newest configuration again; upstreams write when they change."""
        self.era += 1
        self.state = self.copy._replace(
            revision=self.copy.revision + 1,
            table=(table(self.version), self.copy.revision + 1),
        )

    @rule(seconds=st.floats(0.0, 2.0 * RESTORE_SETTLE_S))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(host=st.integers(0, HOSTS - 1))
    def list_store(self, host: int) -> None:
        catalog = self.hosts[host]
        catalog.begin_era(self.era, self.now)
        for change in self.state.changes():
            catalog.on_change(change, self.now)
        catalog.remove_missing(
            list(self.state.upstreams), list(self.state.out), self.state.revision, self.now
        )

    @rule(host=st.integers(0, HOSTS - 1), sender=st.integers(0, HOSTS - 1), whole=st.booleans())
    def hear_from_host(self, host: int, sender: int, whole: bool) -> None:
        catalog, other = self.hosts[host], self.hosts[sender]
        is_same_era = catalog.era == other.era
        have = catalog.revision if is_same_era and not whole else 0
        catalog.apply_view(other.view(self.now, have), self.now)

    @rule(host=st.integers(0, HOSTS - 1))
    def restart(self, host: int) -> None:
        self.hosts[host] = Catalog()
        self.versions[host] = 0

    @invariant()
    def configuration_does_not_go_back(self) -> None:
        for number, catalog in enumerate(self.hosts):
            assert catalog.version >= self.versions[number]
            self.versions[number] = catalog.version

    @invariant()
    def hosts_do_not_get_ahead_of_the_store(self) -> None:
        for catalog in self.hosts:
            assert catalog.era <= self.era

    def teardown(self) -> None:
        """Once the store has settled, one listing makes each host agree with it."""
        for host in range(HOSTS):
            self.list_store(host)
        self.now += RESTORE_SETTLE_S
        for host, catalog in enumerate(self.hosts):
            self.list_store(host)
            listed = set(catalog.upstreams.names_with_entry())
            assert listed == set(self.state.upstreams)
            for name, (written, _) in self.state.upstreams.items():
                known = catalog.upstreams.get(name)
                assert known is not None
                assert known.entry.is_leaving == written.is_leaving
            assert catalog.data_centres_out == set(self.state.out)
            assert catalog.version == self.version


RestoredStore.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestoredStore = RestoredStore.TestCase
