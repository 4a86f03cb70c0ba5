"""Claims: how a new home makes sure that no earlier home has dispatched a request key.

The home sends one ballot to every owner of the service. An owner that has received no
dispatch of the key records the ballot and from then on refuses lower ones. A dispatch
by an earlier home therefore either reached the owner before the claim, and the reply
reports it, or arrives after the claim and is refused. The new home may dispatch the key
once all owners have replied that none was dispatched.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from banyanline.core.context import Context
from banyanline.core.messages import (
    AlreadyDispatched,
    Ballot,
    Claim,
    ClaimReply,
    Inconclusive,
    NotDispatched,
    NotRun,
    Outcome,
    RequestKey,
)
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName

RESEND_INTERVAL_S = 0.1


class ClaimGranted(NamedTuple):
    """No owner has received a dispatch of the key; only the claiming home may dispatch it."""


class ClaimAlreadyDispatched(NamedTuple):
    """An owner has received a dispatch of the key; ``outcome`` is its outcome so far."""

    owner: HostName
    upstream: UpstreamName
    outcome: Outcome


class ClaimInconclusive(NamedTuple):
    """The claim could not be decided; a new claim may be, unless ``is_final`` is set."""

    is_final: bool


class ClaimPending(NamedTuple):
    """Some owners have not replied yet."""


_CLAIM_COUNTER_NAMES = {
    ClaimGranted: "free",
    ClaimAlreadyDispatched: "carried",
    ClaimInconclusive: "undecided",
}

ClaimState: TypeAlias = ClaimGranted | ClaimAlreadyDispatched | ClaimInconclusive | ClaimPending


class _PendingClaim:
    """One claim and the owners that have not replied to it, with the message for each.

    ``refusal`` is set once an owner has replied that it did not run a dispatch of the key.
    """

    __slots__ = ("awaited_owners", "ballot", "message", "refusal")

    def __init__(self, message: Claim, awaited_owners: dict[HostName, Claim]) -> None:
        self.ballot = message.ballot
        self.message = message
        self.awaited_owners = awaited_owners
        self.refusal: ClaimAlreadyDispatched | None = None


class PendingClaims:
    """The pending claims of one home."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._pending: dict[RequestKey, _PendingClaim] = {}
        self._last_wall_ms = 0

    def __len__(self) -> int:
        """Return the number of pending claims."""
        return len(self._pending)

    def start(self, key: RequestKey, slot: int, now: Seconds) -> tuple[Ballot, ClaimState]:
        """Send a claim to all owners of the key's service; return its ballot and state."""
        context = self._context
        ballot = self._next_ballot()
        previous_homes = tuple(context.previous_homes(slot, now))
        claims = self._claim_messages(key, ballot, previous_homes, now)
        if claims is None:
            return ballot, ClaimInconclusive(is_final=True)
        if not claims:
            return ballot, ClaimInconclusive(is_final=False)
        first = next(iter(claims.values()))
        self._pending[key] = _PendingClaim(first, claims)
        context.counters.claims["started"] += 1
        self.resend(key)
        return ballot, ClaimPending()

    def _claim_messages(
        self, key: RequestKey, ballot: Ballot, previous_homes: tuple[HostName, ...], now: Seconds
    ) -> dict[HostName, Claim] | None:
        """Return the claim for each host; ``None`` if a host that must reply is dead or unknown.

        Claims go to the current owners, and to the last owner of each upstream that has
        since been removed or whose data centre was taken out of service.
        """
        context = self._context
        former_upstreams: dict[HostName, list[UpstreamName]] = {}
        for upstream, host in self._last_owners(key.service, now).items():
            if host is None or not context.membership.view.is_alive(host):
                return None
            former_upstreams.setdefault(host, []).append(upstream)
        owners = context.owners_of_service(key.service)
        return {
            host: Claim(
                key,
                ballot,
                previous_homes,
                context.has_full_history(now),
                tuple(owners.get(host, ())),
                tuple(former_upstreams.get(host, ())),
            )
            for host in sorted(owners.keys() | former_upstreams.keys())
        }

    def _last_owners(
        self, service: ServiceName, now: Seconds
    ) -> dict[UpstreamName, HostName | None]:
        """Return the last owner of each upstream that has none now.

        A host that joined lately did not see who owned the upstreams that went out of service
        before. It asks the hosts that would own them now, which know whether they did.
        """
        context = self._context
        observed = context.ownership.orphaned_upstreams(service, now)
        owners: dict[UpstreamName, HostName | None] = {
            name: owner.host for name, owner in observed.items()
        }
        if context.has_full_history(now):
            return owners
        for name in context.directory.unreachable_upstreams(service):
            owner = observed.get(name)
            if owner is None or not context.has_observed_since(owner.until, now):
                owners[name] = context.presumed_owner(name)
        return owners

    def resend(self, key: RequestKey) -> bool:
        """Resend the claim to owners that have not replied; false if no claim is pending."""
        pending = self._pending.get(key)
        if pending is None:
            return False
        for owner, message in pending.awaited_owners.items():
            self._context.send(owner, message)
        return True

    def drop(self, key: RequestKey) -> None:
        """Abandon the claim of a key, if one is pending."""
        if self._pending.pop(key, None) is not None:
            self._context.counters.claims["abandoned"] += 1

    def receive(self, sender: HostName, reply: ClaimReply) -> ClaimState:
        """Process an owner's reply and return the state of the claim."""
        pending = self._pending.get(reply.key)
        if pending is None or pending.ballot != reply.ballot:
            return ClaimPending()
        if sender not in pending.awaited_owners:
            return ClaimPending()
        state = self._apply_verdict(sender, reply, pending)
        if not isinstance(state, ClaimPending):
            del self._pending[reply.key]
            self._context.counters.claims[_CLAIM_COUNTER_NAMES[type(state)]] += 1
        return state

    def _apply_verdict(
        self, sender: HostName, reply: ClaimReply, pending: _PendingClaim
    ) -> ClaimState:
        verdict = reply.verdict
        if isinstance(verdict, Inconclusive):
            return ClaimInconclusive(verdict.obstacle.is_final)
        del pending.awaited_owners[sender]
        if isinstance(verdict, AlreadyDispatched):
            dispatched = ClaimAlreadyDispatched(sender, verdict.upstream, verdict.outcome)
            if not isinstance(verdict.outcome, NotRun):
                return dispatched
            # A refusal by one owner does not prove that no other owner ran the request.
            pending.refusal = dispatched
        else:
            assert isinstance(verdict, NotDispatched)
        if pending.awaited_owners:
            return ClaimPending()
        return pending.refusal or ClaimGranted()

    def abandon_awaiting(self, host: HostName) -> list[RequestKey]:
        """Abandon the claims that await a reply of a dead host and return their keys."""
        keys = [key for key, claim in self._pending.items() if host in claim.awaited_owners]
        for key in keys:
            self.drop(key)
        return keys

    def _next_ballot(self) -> Ballot:
        wall_ms = max(int(self._context.wall_clock() * 1000), self._last_wall_ms + 1)
        self._last_wall_ms = wall_ms
        return Ballot(wall_ms, self._context.local.name)
