"""A home's choice of upstreams and its retries, for each service."""

from __future__ import annotations

from collections.abc import Collection

from banyanline.core.choice import UpstreamChoice, fallback
from banyanline.core.context import Context
from banyanline.core.messages import LoadReport
from banyanline.core.retry import AttemptOutcome, RetryBudget, RetryDecision, RetryPolicy
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName


class Policies:
    """The choice among a service's upstreams and the service's retry budget."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._choices: dict[ServiceName, UpstreamChoice] = {}
        self._retries: dict[ServiceName, RetryPolicy] = {}

    def configuration_changed(self) -> None:
        """Choose among the upstreams that may take new work now."""
        directory = self._context.directory
        for name in [name for name in self._choices if name not in directory.services]:
            del self._choices[name]
            self._retries.pop(name, None)
        for name in directory.services:
            upstreams = [upstream.name for upstream in directory.open_upstreams(name)]
            choice = self._choices.get(name)
            if choice is None:
                self._choices[name] = UpstreamChoice(upstreams)
            else:
                choice.set_upstreams(upstreams)

    def choose(
        self,
        service: ServiceName,
        flow_hash: int,
        excluded: Collection[UpstreamName],
        now: Seconds,
        *,
        needs_other_owner: bool,
    ) -> UpstreamName | None:
        """Return an upstream of the service, preferably one that another host owns.

        With ``needs_other_owner`` an upstream of this host is taken only if it owns
        all of the service's upstreams. What this host has sent as a home is then
        known to another host, its owner, should this host be lost.
        """
        choice = self._choices.get(service)
        if choice is None:
            return None
        if needs_other_owner and self.has_other_owner(service):
            excluded = {*excluded, *filter(self._is_local, choice.upstreams)}
        return choice.choose(flow_hash, now, excluded, self._is_local)

    def has_other_owner(self, service: ServiceName) -> bool:
        """Whether another host owns an upstream of the service that takes new work."""
        choice = self._choices.get(service)
        return choice is not None and not all(map(self._is_local, choice.upstreams))

    def fallback(self, service: ServiceName, flow_hash: int) -> UpstreamName | None:
        """Return the likeliest upstream of a flow that no host remembers."""
        choice = self._choices.get(service)
        return None if choice is None else fallback(flow_hash, choice.upstreams)

    def learn(
        self, service: ServiceName, owner: HostName, report: LoadReport, now: Seconds
    ) -> None:
        """Take an owner's word on the load of an upstream in."""
        choice = self._choices.get(service)
        if choice is not None:
            choice.observe(report.upstream, owner, report.load, now)

    def dispatched(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Note that a request was sent to an upstream's owner."""
        choice = self._choices.get(service)
        if choice is not None:
            choice.dispatched(upstream)

    def succeeded(self, service: ServiceName, now: Seconds) -> None:
        """Note an answer of an upstream."""
        self._retry_policy(service, now).budget.succeeded(now)

    def decide(
        self,
        service: ServiceName,
        attempt: int,
        outcome: AttemptOutcome,
        idempotent: bool,
        remaining_s: Seconds,
        now: Seconds,
    ) -> RetryDecision:
        """Decide what follows an attempt that brought no answer."""
        policy = self._retry_policy(service, now)
        return policy.decide(attempt, outcome, idempotent, remaining_s, self._context.rng, now)

    def _retry_policy(self, service: ServiceName, now: Seconds) -> RetryPolicy:
        policy = self._retries.get(service)
        if policy is None:
            policy = RetryPolicy(RetryBudget(now, self._context.limits.retry_share))
            self._retries[service] = policy
        return policy

    def _is_local(self, upstream: UpstreamName) -> bool:
        return self._context.owner_of(upstream) == self._context.local.name
