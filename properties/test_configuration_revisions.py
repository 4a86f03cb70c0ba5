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
    """Return a configuration in which few things differ from one seed to the next."""
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


def encode(update: ConfigurationUpdate) -> ConfigurationUpdate:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=ConfigurationUpdate)


class RelayedRevisions(RuleBasedStateMachine):
    """Balancers that read a platform which may be stale, and ask each other.

    The platform's revisions are ordered, so that one revision has one content, but
    for the rule that publishes a conflicting one.
    """

    def __init__(self):
        super().__init__()
        self.nodes = [RevisionHistory(DEPTH) for _ in range(NODES)]
        self.published = []
        self.seen = [0] * NODES
        self.in_force = [None] * NODES
        self.kept = []

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
    @rule(sender=NODE, receiver=NODE, is_kept=st.booleans())
    def ask(self, sender, receiver, is_kept):
        revision = self.nodes[receiver].revision
        update = encode(self.nodes[sender].update_since(revision))
        if is_kept:
            self.kept.append(update)
            return
        outcome = self.apply(receiver, update)
        if isinstance(outcome, WrongBase | WrongDigest):
            self.apply(receiver, encode(self.nodes[sender].update_since(0)))
        if revision < self.nodes[sender].revision:
            assert self.nodes[receiver].in_force == self.nodes[sender].in_force

    @precondition(lambda self: self.kept)
    @rule(receiver=NODE, pick=st.integers(0, 50))
    def deliver_late(self, receiver, pick):
        self.apply(receiver, self.kept[pick % len(self.kept)])

    def apply(self, receiver, update):
        if isinstance(update, NoUpdate):
            return None
        before = self.nodes[receiver].revision
        outcome = self.nodes[receiver].apply(update)
        assert isinstance(outcome, Accepted) == (self.nodes[receiver].revision > before)
        if isinstance(outcome, Accepted):
            held = self.nodes[receiver].in_force
            assert held is not None
            assert (held.revision, held.digest) == (update.revision, update.digest)
            fresh = RevisionHistory()
            fresh.accept(held.configuration)
            assert fresh.in_force == held
        return outcome

    @invariant()
    def never_goes_back(self):
        for idx, node in enumerate(self.nodes):
            assert node.revision >= self.seen[idx]
            if node.revision == self.seen[idx]:
                assert node.in_force is self.in_force[idx]
            self.seen[idx] = node.revision
            self.in_force[idx] = node.in_force


TestRelayedRevisions = RelayedRevisions.TestCase
TestRelayedRevisions.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
