from __future__ import annotations

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from banyanline.core.model import Configuration, DataCentre, Service, Upstream
from banyanline.core.revisions import Accepted, RevisionHistory, WrongBase, WrongDigest
from banyanline.core.types import DataCentreState, Endpoint, Protocol
from banyanline.core.updates import ConfigurationUpdate, NoUpdate

NODES = 4
DEPTH = 3
NODE = st.integers(0, NODES - 1)
SEED = st.integers(0, 30)


def random_configuration(revision: int, seed: int) -> Configuration:
    """Return a random configuration; any two of them differ in few entries."""
    source = random.Random(seed)
    services = []
    for number in source.sample(range(6), source.randint(0, 6)):
        name = f"service-{number}"
        slots = source.randint(1, 2)
        upstream = Upstream(f"{name}-1", name, "north", Endpoint("203.0.113.1", number + 1))
        services.append(
            Service(
                name,
                Endpoint("198.51.100.1", number + 1),
                number + 1,
                Protocol.COAP,
                (upstream._replace(slots=slots),),
            )
        )
    state = source.choice(list(DataCentreState))
    return Configuration(revision, (DataCentre("north", state),), (), tuple(services))


def round_trip(update: ConfigurationUpdate) -> ConfigurationUpdate:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=ConfigurationUpdate)


class RelayedRevisions(RuleBasedStateMachine):
    """Balancers that read a possibly stale platform and fetch updates from each other.

    The platform's revisions are ordered, and each has a single content; only the rule
    ``read_conflicting`` delivers a second content under the latest revision.
    """

    def __init__(self):
        super().__init__()
        self.nodes = [RevisionHistory(DEPTH) for _ in range(NODES)]
        self.published = []
        self.seen_revisions = [0] * NODES
        self.in_force = [None] * NODES
        self.delayed_updates = []

    @rule(node=NODE, step=st.integers(1, 3), seed=SEED)
    def publish(self, node, step, seed):
        revision = (self.published[-1].revision if self.published else 0) + step
        self.published.append(random_configuration(revision, seed))
        self.read(node, 0)

    @precondition(lambda self: self.published)
    @rule(node=NODE, age=st.integers(0, 4))
    def read(self, node, age):
        self.nodes[node].accept(self.published[-1 - min(age, len(self.published) - 1)])

    @precondition(lambda self: self.published)
    @rule(node=NODE, seed=SEED)
    def read_conflicting(self, node, seed):
        latest = self.published[-1].revision
        self.nodes[node].accept(random_configuration(latest, seed))

    @precondition(lambda self: self.published)
    @rule(sender=NODE, receiver=NODE, is_delayed=st.booleans())
    def fetch_update(self, sender, receiver, is_delayed):
        revision = self.nodes[receiver].revision
        update = round_trip(self.nodes[sender].update_since(revision))
        if is_delayed:
            self.delayed_updates.append(update)
            return
        outcome = self.apply(receiver, update)
        if isinstance(outcome, WrongBase | WrongDigest):
            self.apply(receiver, round_trip(self.nodes[sender].update_since(0)))
        if revision < self.nodes[sender].revision:
            assert self.nodes[receiver].in_force == self.nodes[sender].in_force

    @precondition(lambda self: self.delayed_updates)
    @rule(receiver=NODE, pick=st.integers(0, 50))
    def deliver_late(self, receiver, pick):
        self.apply(receiver, self.delayed_updates[pick % len(self.delayed_updates)])

    def apply(self, receiver, update):
        if isinstance(update, NoUpdate):
            return None
        before = self.nodes[receiver].revision
        outcome = self.nodes[receiver].apply(update)
        assert isinstance(outcome, Accepted) == (self.nodes[receiver].revision > before)
        if isinstance(outcome, Accepted):
            current = self.nodes[receiver].in_force
            assert current is not None
            assert (current.revision, current.digest) == (update.revision, update.digest)
            new_history = RevisionHistory()
            new_history.accept(current.configuration)
            assert new_history.in_force == current
        return outcome

    @invariant()
    def revision_never_decreases(self):
        for idx, node in enumerate(self.nodes):
            assert node.revision >= self.seen_revisions[idx]
            if node.revision == self.seen_revisions[idx]:
                assert node.in_force is self.in_force[idx]
            self.seen_revisions[idx] = node.revision
            self.in_force[idx] = node.in_force


TestRelayedRevisions = RelayedRevisions.TestCase
TestRelayedRevisions.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
