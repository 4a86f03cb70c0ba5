"""Claims: how a new home makes sure that a request key has run nowhere else.

The home asks every owner of the service with one ballot. An owner that has not
carried the key records the ballot and from then on refuses lower ones, so a
dispatch of an earlier home either came before the claim, and is found by it, or
is refused. The key may be dispatched when all owners have answered that it is free.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from banyanline.core.context import Context
from banyanline.core.messages import (
    Ballot,
    CannotTell,
    Carried,
    Claim,
    ClaimReply,
    Free,
    NotRun,
    Outcome,
    RequestKey,
)
from banyanline.core.types import HostName, Seconds, UpstreamName

RESEND_INTERVAL_S = 0.1


class ClaimFree(NamedTuple):
    """No owner has carried the key; the claimer alone may dispatch it."""


class ClaimCarried(NamedTuple):
    """An owner has carried the key, with this outcome so far."""

    owner: HostName
    upstream: UpstreamName
    outcome: Outcome


class ClaimUndecided(NamedTuple):
    """Not every owner could tell. Unless it ``is_final``, another claim may bring a decision."""

    is_final: bool


class ClaimOpen(NamedTuple):
    """Owners still have to answer."""


_CLAIM_COUNTS = {ClaimFree: "free", ClaimCarried: "carried", ClaimUndecided: "undecided"}

ClaimState: TypeAlias = ClaimFree | ClaimCarried | ClaimUndecided | ClaimOpen


class _Round:
    """One claim and the owners that have not answered it."""

    __slots__ = ("ballot", "message", "missing", "refused")

    def __init__(self, message: Claim, missing: dict[HostName, Claim]) -> None:
        self.ballot = message.ballot
        self.message = message
        self.missing = missing
        self.refused: ClaimCarried | None = None


class ClaimRounds:
    """The claims of one home that are under way."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rounds: dict[RequestKey, _Round] = {}
        self._last_wall_ms = 0

    def __len__(self) -> int:
        """Return the number of claims under way."""
        return len(self._rounds)

    def start(self, key: RequestKey, slot: int, now: Seconds) -> tuple[Ballot, ClaimState]:
        """Ask all owners of the key's service."""
        context = self._context
        ballot = self._next_ballot()
        previous = tuple(context.previous_homes(slot, now))
        asks = self._questions(key, ballot, previous, now)
        if asks is None:
            return ballot, ClaimUndecided(is_final=True)
        if not asks:
            return ballot, ClaimUndecided(is_final=False)
        first = next(iter(asks.values()))
        self._rounds[key] = _Round(first, asks)
        context.counters.claims["started"] += 1
        self.resend(key)
        return ballot, ClaimOpen()

    def _questions(
        self, key: RequestKey, ballot: Ballot, previous: tuple[HostName, ...], now: Seconds
    ) -> dict[HostName, Claim] | None:
        """Return what to ask of whom; ``None`` if someone who may know is gone.

        Besides the owners those are asked who were the last to own an upstream that
        has been taken out since. A host that came later does not know them.
        """
        context = self._context
        if not context.knows_history(now) and context.directory.has_closed_upstreams(key.service):
            return None
        former: dict[HostName, list[UpstreamName]] = {}
        for upstream, host in context.ownership.orphans(key.service, now).items():
            if not context.membership.view.is_alive(host):
                return None
            former.setdefault(host, []).append(upstream)
        owners = context.owners_of_service(key.service)
        return {
            host: Claim(
                key,
                ballot,
                previous,
                context.knows_history(now),
                tuple(owners.get(host, ())),
                tuple(former.get(host, ())),
            )
            for host in sorted(owners.keys() | former.keys())
        }

    def resend(self, key: RequestKey) -> bool:
        """Ask the owners that have not answered; false if no claim is under way."""
        claim_round = self._rounds.get(key)
        if claim_round is None:
            return False
        for owner, message in claim_round.missing.items():
            self._context.send(owner, message)
        return True

    def drop(self, key: RequestKey) -> None:
        """Give a claim up."""
        self._rounds.pop(key, None)

    def receive(self, sender: HostName, reply: ClaimReply) -> ClaimState:
        """Take an owner's verdict in."""
        claim_round = self._rounds.get(reply.key)
        if claim_round is None or claim_round.ballot != reply.ballot:
            return ClaimOpen()
        if sender not in claim_round.missing:
            return ClaimOpen()
        state = self._judge(sender, reply, claim_round)
        if not isinstance(state, ClaimOpen):
            del self._rounds[reply.key]
            self._context.counters.claims[_CLAIM_COUNTS[type(state)]] += 1
        return state

    def _judge(self, sender: HostName, reply: ClaimReply, claim_round: _Round) -> ClaimState:
        verdict = reply.verdict
        if isinstance(verdict, CannotTell):
            return ClaimUndecided(verdict.obstacle.is_final)
        del claim_round.missing[sender]
        if isinstance(verdict, Carried):
            carried = ClaimCarried(sender, verdict.upstream, verdict.outcome)
            if not isinstance(verdict.outcome, NotRun):
                return carried
            # A refusal by one owner does not tell that no other has run the request.
            claim_round.refused = carried
        else:
            assert isinstance(verdict, Free)
        if claim_round.missing:
            return ClaimOpen()
        return claim_round.refused or ClaimFree()

    def owner_gone(self, host: HostName) -> list[RequestKey]:
        """Return, and give up, the claims that wait for a host which is no longer alive."""
        keys = [key for key, claim in self._rounds.items() if host in claim.missing]
        for key in keys:
            del self._rounds[key]
        return keys

    def _next_ballot(self) -> Ballot:
        wall_ms = max(int(self._context.wall_clock() * 1000), self._last_wall_ms + 1)
        self._last_wall_ms = wall_ms
        return Ballot(wall_ms, self._context.local.name)
