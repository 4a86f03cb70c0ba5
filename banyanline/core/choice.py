"""A home's choice of an upstream for a new flow or request."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from banyanline.core.gate.messages import LoadWord
    from banyanline.core.types import HostName, Seconds, UpstreamName

WORD_LIFETIME_S = 2.0
INITIAL_SERVICE_MS = 50.0
CLOSED_SCORE_MS = 60_000.0
CANDIDATES = 2
PREFERENCE_MARGIN = 0.1

IsLocal: TypeAlias = Callable[["UpstreamName"], bool]


def _weight(flow_hash: int, upstream: UpstreamName) -> int:
    return xxh3_64_intdigest(upstream.encode(), flow_hash & 0xFFFF_FFFF_FFFF_FFFF)


def candidate_order(flow_hash: int, upstreams: Collection[UpstreamName]) -> list[UpstreamName]:
    """Order upstreams for a flow by rendezvous hashing, the same at every host.

    An upstream that comes or goes changes the place of no two others.

    >>> order = candidate_order(7, ["orders-1", "orders-2", "orders-3"])
    >>> order == candidate_order(7, ["orders-3", "orders-2", "orders-1"])
    True
    """
    return sorted(upstreams, key=lambda name: _weight(flow_hash, name), reverse=True)


def fallback(flow_hash: int, upstreams: Collection[UpstreamName]) -> UpstreamName | None:
    """Return the likeliest upstream of a flow that no host remembers, or None without any."""
    return max(upstreams, key=lambda name: _weight(flow_hash, name), default=None)


class _Word(NamedTuple):
    owner: HostName
    load: LoadWord
    received_at: Seconds


class UpstreamChoice:
    """Power of two choices on what the owners last said of their upstreams' load.

    The two candidates are the first two of :func:`candidate_order`, the first
    being taken if both are expected to answer about equally soon, so that
    :func:`fallback` finds the upstream of most flows without any memory. A word
    that grows old weighs less and less against the mean of all words, and what
    this home dispatched since the word is added to it.

    >>> choice = UpstreamChoice(["orders-1", "orders-2"])
    >>> name = choice.choose(flow_hash=7, now=0.0)
    >>> name == fallback(7, ["orders-1", "orders-2"])
    True
    >>> for _ in range(3):
    ...     choice.dispatched(name)
    >>> choice.choose(flow_hash=7, now=0.0) == name
    False
    """

    def __init__(self, upstreams: Sequence[UpstreamName]) -> None:
        self._upstreams = tuple(upstreams)
        self._words: dict[UpstreamName, _Word] = {}
        self._since_word: dict[UpstreamName, int] = dict.fromkeys(upstreams, 0)
        self._mean_ms = INITIAL_SERVICE_MS

    @property
    def upstreams(self) -> tuple[UpstreamName, ...]:
        """The upstreams among which is chosen."""
        return self._upstreams

    @property
    def service_s(self) -> Seconds:
        """The mean service time of the upstreams that have said theirs, in seconds."""
        known = [word.load.service_ms for word in self._words.values()]
        return 0.001 * (sum(known) / len(known) if known else INITIAL_SERVICE_MS)

    def has_free_slot(self, upstream: UpstreamName, now: Seconds) -> bool:
        """Whether a request would start at once, by a word that is not old.

        A hedge is worth sending only there: elsewhere it would take the turn of
        another request.
        """
        word = self._words.get(upstream)
        if word is None or now - word.received_at > WORD_LIFETIME_S:
            return False
        taken = word.load.in_flight + word.load.queued + self._since_word[upstream]
        return taken < word.load.slots

    def set_upstreams(self, upstreams: Sequence[UpstreamName]) -> None:
        """Take in a new configuration; words on upstreams that stay are kept."""
        self._upstreams = tuple(upstreams)
        self._since_word = {name: self._since_word.get(name, 0) for name in upstreams}
        self._words = {name: word for name, word in self._words.items() if name in self._since_word}

    def observe(
        self, upstream: UpstreamName, owner: HostName, load: LoadWord, now: Seconds
    ) -> bool:
        """Take in a word on load; tell whether it was newer than what was known."""
        if upstream not in self._since_word:
            return False
        known = self._words.get(upstream)
        if known is not None and known.owner == owner and known.load.sequence >= load.sequence:
            return False
        self._words[upstream] = _Word(owner, load, now)
        self._since_word[upstream] = 0
        self._mean_ms = self._mean_score_ms()
        return True

    def dispatched(self, upstream: UpstreamName) -> None:
        """Take in that this home sent a request to the upstream's owner."""
        if upstream in self._since_word:
            self._since_word[upstream] += 1

    def choose(
        self,
        flow_hash: int,
        now: Seconds,
        excluded: Collection[UpstreamName] = (),
        is_local: IsLocal | None = None,
    ) -> UpstreamName | None:
        """Return the upstream for a flow, or None if there is none.

        ``excluded`` ones were tried before and are not taken again. Those for
        which ``is_local`` is true are owned by this host and are taken only if
        there is no other, since their flows would have one witness.
        """
        order = candidate_order(flow_hash, self._upstreams)
        candidates = [name for name in order if name not in excluded]
        if is_local is not None:
            candidates = [name for name in candidates if not is_local(name)] or candidates
        open_ones = [name for name in candidates if not self._is_closed(name, now)]
        return self._better((open_ones or candidates)[:CANDIDATES], now)

    def score_ms(self, upstream: UpstreamName, now: Seconds) -> float:
        """Return the time in which an answer is expected, in milliseconds."""
        word = self._words.get(upstream)
        since = self._since_word[upstream]
        if word is None:
            return self._mean_ms * (1.0 + since)
        weight = math.exp((word.received_at - now) / WORD_LIFETIME_S)
        return weight * _load_ms(word.load, since) + (1.0 - weight) * self._mean_ms * (1.0 + since)

    def _better(self, candidates: Sequence[UpstreamName], now: Seconds) -> UpstreamName | None:
        if len(candidates) < CANDIDATES:
            return candidates[0] if candidates else None
        first, second = candidates
        gain = 1.0 + PREFERENCE_MARGIN
        return second if self.score_ms(second, now) * gain < self.score_ms(first, now) else first

    def _is_closed(self, upstream: UpstreamName, now: Seconds) -> bool:
        word = self._words.get(upstream)
        if word is None or word.load.slots > 0:
            return False
        return now - word.received_at < WORD_LIFETIME_S

    def _mean_score_ms(self) -> float:
        known = [_load_ms(word.load, 0) for word in self._words.values() if word.load.slots > 0]
        return sum(known) / len(known) if known else INITIAL_SERVICE_MS


def _load_ms(load: LoadWord, since_word: int) -> float:
    if load.slots == 0:
        return CLOSED_SCORE_MS
    service_ms = max(1.0, load.service_ms)
    own_ms = service_ms * (load.in_flight + load.queued + since_word + 1) / load.slots
    return max(own_ms, load.expected_wait_ms + service_ms)
