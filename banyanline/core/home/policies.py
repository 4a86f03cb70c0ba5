"""Upstream choice and retry policy of a home, for each service."""

from __future__ import annotations

from collections.abc import Collection

from banyanline.core.choice import UpstreamChoice, rendezvous_choice
from banyanline.core.context import Context
from banyanline.core.messages import LoadReport
from banyanline.core.retry import AttemptOutcome, RetryBudget, RetryDecision, RetryPolicy
from banyanline.core.types import HostName, Seconds, ServiceName, UpstreamName


class Policies:
    """The upstream choice and the retry budget of each service."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._choices: dict[ServiceName, UpstreamChoice] = {}
        self._retries: dict[ServiceName, RetryPolicy] = {}

    def configuration_changed(self) -> None:
        """Update the candidate upstreams to those that may take new work."""
        directory = self._context.directory
        for name in [name for name in self._choices if name not in directory.services]:
            del self._choices[name]
            self._retries.pop(name, None)
        for name in directory.services:
            upstreams = [upstream.name for upstream in directory.available_upstreams(name)]
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
        needs_remote_owner: bool,
    ) -> UpstreamName | None:
        """Return an upstream of the service, preferably one that another host owns.

        With ``needs_remote_owner`` an upstream owned by this host is chosen only if this
        host owns all of the service's upstreams. Otherwise the owner is another host,
        which still knows of the dispatch if this host fails.
        """
        choice = self._choices.get(service)
        if choice is None:
            return None
        if needs_remote_owner and self.has_remote_owner(service):
            excluded = {*excluded, *filter(self._is_local, choice.upstreams)}
        return choice.choose(flow_hash, now, excluded, self._is_local)

    def has_remote_owner(self, service: ServiceName) -> bool:
        """Whether another host owns an upstream of the service that takes new work."""
        choice = self._choices.get(service)
        return choice is not None and not all(map(self._is_local, choice.upstreams))

    def rendezvous_choice(self, service: ServiceName, flow_hash: int) -> UpstreamName | None:
        """Return the rendezvous choice, used for a flow whose upstream no host knows."""
        choice = self._choices.get(service)
        return None if choice is None else rendezvous_choice(flow_hash, choice.upstreams)

    def record_load(
        self, service: ServiceName, owner: HostName, report: LoadReport, now: Seconds
    ) -> None:
        """Record an owner's load report on an upstream."""
        choice = self._choices.get(service)
        if choice is not None:
            choice.observe(report.upstream, owner, report.load, now)

    def record_dispatch(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Record that a request was sent to an upstream's owner."""
        choice = self._choices.get(service)
        if choice is not None:
            choice.record_dispatch(upstream)

    def record_success(self, service: ServiceName, now: Seconds) -> None:
        """Record a response from an upstream, which adds to the retry budget."""
        self._retry_policy(service, now).budget.record_success(now)

    def decide(
        self,
        service: ServiceName,
        attempt: int,
        outcome: AttemptOutcome,
        idempotent: bool,
        remaining_s: Seconds,
        now: Seconds,
    ) -> RetryDecision:
        """Decide whether and when to retry after a failed or refused attempt."""
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
