"""Replies to claims: whether this owner has dispatched a request key."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.ledger import LedgerRejection, OwnerLedger
from banyanline.core.messages import (
    AlreadyDispatched,
    Claim,
    ClaimObstacle,
    ClaimReply,
    ClaimVerdict,
    Inconclusive,
    NotDispatched,
    NotRun,
)
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.ownership import OwnershipStage
from banyanline.core.placement import key_of
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName


class ClaimHandler:
    """Decides claims from the ledger, or replies why it cannot.

    ``removed`` are the upstreams that this balancer was the last to own before they were
    taken out of service.
    """

    def __init__(
        self,
        context: Context,
        ledger: OwnerLedger,
        owned: dict[UpstreamName, OwnedUpstream],
        removed: dict[UpstreamName, OwnedUpstream],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._owned = owned
        self._removed = removed

    def receive(self, sender: HostName, message: Claim, now: Seconds) -> None:
        """Send the verdict on a claim to the home that made it."""
        verdict = self._decide(message, now)
        self._context.send(sender, ClaimReply(message.key, message.ballot, verdict))

    def _decide(self, message: Claim, now: Seconds) -> ClaimVerdict:
        if not self._context.membership.lease_fresh(now):
            return Inconclusive(ClaimObstacle.LEASE_NOT_FRESH)
        record = self._ledger.get(message.key)
        outcome = None if record is None else record.outcome
        if outcome is None or isinstance(outcome, NotRun):
            # A failed previous owner may have run the request even if this owner has not.
            obstacle = self._obstacle(message, now)
            if obstacle is not None:
                return Inconclusive(obstacle)
        if record is not None and outcome is not None:
            record.ballot = max(record.ballot, message.ballot)
            return AlreadyDispatched(record.upstream, outcome)
        claimed = self._ledger.claim(message.key, message.ballot, now)
        if claimed is LedgerRejection.SUPERSEDED:
            return Inconclusive(ClaimObstacle.SUPERSEDED)
        if claimed is LedgerRejection.FULL:
            return Inconclusive(ClaimObstacle.LEDGER_FULL)
        return NotDispatched()

    def _obstacle(self, message: Claim, now: Seconds) -> ClaimObstacle | None:
        for name in message.former_upstreams:
            if name in self._context.directory.reachable:
                # The claimer's configuration differs from this one only for a moment.
                return ClaimObstacle.NOT_OWNER
            if not self._is_last_owner_certain(name, message, now):
                return ClaimObstacle.PREVIOUS_OWNER_LOST
        for name in message.upstreams:
            owned = self._owned.get(name)
            if owned is None or owned.is_handed_over:
                return ClaimObstacle.NOT_OWNER
            if owned.ownership.stage is OwnershipStage.AWAITING_HANDOVER:
                return ClaimObstacle.AWAITING_HANDOVER
            is_sole_home_excluded = message.has_full_history and self._had_other_owner(
                message.key.service, owned, now
            )
            if owned.ownership.may_have_dispatched(
                message.previous_homes, is_sole_home_excluded, now
            ):
                return ClaimObstacle.PREVIOUS_OWNER_LOST
        return None

    def _is_last_owner_certain(self, name: UpstreamName, message: Claim, now: Seconds) -> bool:
        """Return whether this owner knows all dispatches to an upstream without an owner.

        A claimer without a full history may be wrong about the last owner. If this host's
        lease has expired since then, another host may have taken the upstream over.
        """
        removed = self._removed.get(name)
        if removed is None:
            return self._had_no_owner(name, now)
        lease_fresh_since = self._context.membership.lease_fresh_since(now)
        has_kept_lease = (
            lease_fresh_since is not None
            and lease_fresh_since
            <= removed.ownership.until - self._context.limits.request_lifetime_s
        )
        if not message.has_full_history and not has_kept_lease:
            return False
        return not removed.ownership.may_have_dispatched(message.previous_homes, False, now)

    def _had_no_owner(self, name: UpstreamName, now: Seconds) -> bool:
        """Return whether the upstream has been out of service for a request lifetime."""
        context = self._context
        key = context.upstream_key(name)
        if key is None or not context.has_full_history(now):
            return False
        oldest = now - context.limits.request_lifetime_s
        owners = context.ownership.previous_owners(key, now)
        return all(owner.until <= oldest for owner in owners)

    def _had_other_owner(self, service: ServiceName, owned: OwnedUpstream, now: Seconds) -> bool:
        """Return whether every failed owner could have sent to an upstream of another host."""
        lost = {owner.host for owner in owned.ownership.lost(now)}
        context = self._context
        for upstream in context.directory.available_upstreams(service):
            key = key_of(upstream)
            hosts = {owner.host for owner in context.ownership.previous_owners(key, now)}
            if upstream.name != owned.name and not hosts & lost:
                return True
        return False
