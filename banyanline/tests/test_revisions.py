from __future__ import annotations

import msgspec
import pytest

from banyanline.core.model import CallerGroup, Configuration, DataCentre, Service, Upstream
from banyanline.core.revisions import (
    Accepted,
    Conflicting,
    Malformed,
    Older,
    RevisionHistory,
    RevisionOutcome,
    Same,
    WrongBase,
    WrongDigest,
)
from banyanline.core.types import DataCentreState, Endpoint, Protocol
from banyanline.core.updates import (
    ConfigurationUpdate,
    Delta,
    FullDocument,
    NoUpdate,
    PartKey,
    PartKind,
    digest_of,
)


def service(number: int, slots: int = 2) -> Service:
    name = f"service-{number}"
    upstream = Upstream(f"{name}-1", name, "north", Endpoint("203.0.113.1", number), slots=slots)
    return Service(name, Endpoint("198.51.100.1", number), number, Protocol.COAP, (upstream,))


def configuration(revision: int, *services: Service, out: bool = False) -> Configuration:
    state = DataCentreState.OUT if out else DataCentreState.IN_SERVICE
    groups = (CallerGroup("field", ("192.0.2.0/24",), "Europe/Zagreb", ()),)
    return Configuration(revision, (DataCentre("north", state),), groups, services)


def history_of(*configurations: Configuration, depth: int = 8) -> RevisionHistory:
    history = RevisionHistory(depth)
    for item in configurations:
        assert isinstance(history.accept(item), Accepted)
    return history


def over_the_wire(update: ConfigurationUpdate) -> ConfigurationUpdate:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=ConfigurationUpdate)


FIRST = configuration(5, service(1), service(2), service(3))


@pytest.mark.parametrize(
    ("offered", "expected"),
    [
        pytest.param(configuration(4, service(1)), Older(4, 5), id="older"),
        pytest.param(FIRST, Same(5), id="same"),
        pytest.param(
            configuration(5, service(3), service(1), service(2)), Same(5), id="same, other order"
        ),
        pytest.param(configuration(5, service(1)), Conflicting(5), id="same revision, other parts"),
        pytest.param(configuration(0), Older(0, 5), id="revision zero"),
    ],
)
def test_rejected_configuration_changes_nothing(offered, expected):
    history = history_of(FIRST)
    before = history.in_force
    assert history.accept(offered) == expected
    assert history.in_force is before
    assert history.outcomes == {RevisionOutcome.ACCEPTED: 1, expected.outcome: 1}


def test_accepted_lists_changed_and_removed_parts():
    history = history_of(FIRST)
    outcome = history.accept(configuration(9, service(1), service(2, slots=4), service(4)))
    assert outcome == Accepted(
        9,
        frozenset({PartKey(PartKind.SERVICE, "service-2"), PartKey(PartKind.SERVICE, "service-4")}),
        frozenset({PartKey(PartKind.SERVICE, "service-3")}),
    )


@pytest.mark.parametrize(
    ("second", "keys"),
    [
        pytest.param(
            configuration(6, service(1), service(2, slots=3), service(3)),
            ["s service-2"],
            id="service changed",
        ),
        pytest.param(
            configuration(6, service(1), service(3)), ["- service-2"], id="service removed"
        ),
        pytest.param(
            configuration(6, service(1), service(2), service(3), service(4)),
            ["s service-4"],
            id="service added",
        ),
        pytest.param(
            configuration(6, service(1), service(2), service(3), out=True),
            ["d north"],
            id="data centre out",
        ),
    ],
)
def test_delta_contains_only_changed_parts(second, keys):
    sender, receiver = history_of(FIRST, second), history_of(FIRST)
    delta = over_the_wire(sender.update_since(5))
    assert isinstance(delta, Delta)
    changed = [f"{part.key.kind} {part.key.name}" for part in delta.changed]
    assert changed + [f"- {key.name}" for key in delta.removed] == keys
    assert isinstance(receiver.apply(delta), Accepted)
    assert receiver.in_force == sender.in_force


@pytest.mark.parametrize(
    ("revision", "kind"),
    [
        pytest.param(0, FullDocument, id="holds none"),
        pytest.param(4, FullDocument, id="older than the first revision"),
        pytest.param(6, FullDocument, id="older than the history"),
        pytest.param(7, Delta, id="oldest in the history"),
        pytest.param(9, NoUpdate, id="holds the latest"),
        pytest.param(10, NoUpdate, id="holds a later revision"),
    ],
)
def test_update_kind_with_bounded_history(revision, kind):
    sender = history_of(
        FIRST, *(configuration(number, service(number)) for number in range(6, 10)), depth=2
    )
    update = over_the_wire(sender.update_since(revision))
    assert isinstance(update, kind)
    if isinstance(update, FullDocument):
        receiver = RevisionHistory()
        assert isinstance(receiver.apply(update), Accepted)
        assert receiver.in_force == sender.in_force


def test_full_document_recovers_from_rejected_delta():
    sender = history_of(FIRST, configuration(6, service(2)))
    behind = history_of(configuration(3, service(1)))
    delta = sender.update_since(5)
    assert isinstance(delta, Delta)
    assert behind.apply(delta) == WrongBase(5, 3)
    other = history_of(configuration(5, service(1), service(9)))
    assert other.apply(delta) == WrongDigest(6)
    assert history_of(configuration(6, service(1))).apply(delta) == Conflicting(6)
    assert sender.apply(delta) == Same(6)
    assert history_of(configuration(7)).apply(delta) == Older(6, 7)
    full_document = sender.update_since(0)
    assert isinstance(full_document, FullDocument)
    for receiver in (behind, other):
        assert isinstance(receiver.apply(full_document), Accepted)
        assert receiver.in_force == sender.in_force


def test_undecodable_part_is_rejected():
    sender = history_of(FIRST)
    full_document = sender.update_since(0)
    assert isinstance(full_document, FullDocument)
    part = msgspec.structs.replace(
        full_document.parts[-1], body=msgspec.msgpack.encode(["service-3", 7])
    )
    parts = {item.key: item for item in (*full_document.parts[:-1], part)}

    forged = FullDocument(5, digest_of(5, parts), tuple(parts.values()))
    receiver = RevisionHistory()
    assert isinstance(receiver.apply(forged), Malformed)
    assert receiver.in_force is None
