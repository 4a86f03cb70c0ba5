"""An owner's verdict on the claims of new homes."""

from __future__ import annotations

from banyanline.core.context import Context
from banyanline.core.ledger import Fenced, OwnerLedger
from banyanline.core.messages import (
    CannotTell,
    Carried,
    Claim,
    ClaimObstacle,
    ClaimReply,
    Free,
    NotRun,
    Verdict,
)
from banyanline.core.owner.owned import OwnedUpstream
from banyanline.core.owner.tenure import Stage
from banyanline.core.placement import key_of
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName


class ClaimJudge:
    """Answers claims from the ledger, and tells when it cannot."""

    def __init__(
        self,
        context: Context,
        ledger: OwnerLedger,
        owned: dict[UpstreamName, OwnedUpstream],
        former: dict[UpstreamName, OwnedUpstream],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._owned = owned
        self._former = former

    def receive(self, sender: HostName, message: Claim, now: Seconds) -> None:
        """Answer a claim."""
        verdict = self._judge(message, now)
        self._context.send(sender, ClaimReply(message.key, message.ballot, verdict))

    def _judge(self, message: Claim, now: Seconds) -> Verdict:
        if not self._context.membership.lease_fresh(now):
            return CannotTell(ClaimObstacle.STANDING_BACK)
        record = self._ledger.get(message.key)
        outcome = None if record is None else record.outcome
        if outcome is None or isinstance(outcome, NotRun):
            # That this owner has not run the request tells nothing of a lost one.
            obstacle = self._obstacle(message, now)
            if obstacle is not None:
                return CannotTell(obstacle)
        if record is not None and outcome is not None:
            record.ballot = max(record.ballot, message.ballot)
            return Carried(record.upstream, outcome)
        claimed = self._ledger.claim(message.key, message.ballot, now)
        if claimed is Fenced.SUPERSEDED:
            return CannotTell(ClaimObstacle.SUPERSEDED)
        if claimed is Fenced.FULL:
            return CannotTell(ClaimObstacle.LEDGER_FULL)
        return Free()

    def _obstacle(self, message: Claim, now: Seconds) -> ClaimObstacle | None:
        for name in message.former:
            last = self._former.get(name)
            if last is None or last.tenure.may_have_carried(message.previous_homes, False, now):
                return ClaimObstacle.PREVIOUS_OWNER_LOST
        for name in message.upstreams:
            owned = self._owned.get(name)
            if owned is None or owned.is_ceded:
                return ClaimObstacle.NOT_OWNER
            if owned.tenure.stage is Stage.AWAITING_HANDOVER:
                return ClaimObstacle.AWAITING_HANDOVER
            is_excluded = message.knows_history and self._had_choice(
                message.key.service, owned, now
            )
            if owned.tenure.may_have_carried(message.previous_homes, is_excluded, now):
                return ClaimObstacle.PREVIOUS_OWNER_LOST
        return None

    def _had_choice(self, service: ServiceName, owned: OwnedUpstream, now: Seconds) -> bool:
        """Whether each lost owner had upstreams of other hosts to send to."""
        lost = {owner.host for owner in owned.tenure.lost(now)}
        context = self._context
        for upstream in context.directory.open_upstreams(service):
            key = key_of(upstream)
            hosts = {owner.host for owner in context.ownership.previous_owners(key, now)}
            if upstream.name != owned.name and not hosts & lost:
                return True
        return False
