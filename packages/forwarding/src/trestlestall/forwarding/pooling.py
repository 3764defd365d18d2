"""Pools and estimated speeds of a placer's upstreams, for services that use them; pure.

``Placer`` chooses among the upstreams of ``list_choices``, and records the demand.
"""

import collections
import math
from collections import abc

from trestlestall.forwarding import (
    descriptors,
    engines,
    feature_flags,
    pools,
    speeds,
    upstreams,
)

#: Failure rate, for callers of any data centre, from which on an upstream is not
#: counted as capacity of its service.
FAILING_RATE = 0.5


class Pooling:
    """Pools by service, and the prefill speed of each upstream.

    ``engines_by_identity`` are the placer's engines, which the placer keeps up to date.
    """

    def __init__(
        self,
        features: feature_flags.Features,
        engines_by_identity: abc.Mapping[str, engines.Upstream],
    ) -> None:
        self.pools: dict[str, pools.Pools] = {}
        #: Services whose upstreams may be ordered and released.
        self.autoscaled: frozenset[str] = frozenset()
        self._features = features
        self._engines = engines_by_identity
        self._delays: dict[str, speeds.FixedDelay] = {}
        #: When each request was counted, as long as the demand includes it.
        self._counted: collections.OrderedDict[str, float] = collections.OrderedDict()

    def count_size(self, rows: abc.Collection[upstreams.Row]) -> tuple[int, int]:
        """Return how many upstreams there are, and the least slots of any of them."""
        slots = min((self._engines[row.identity].slots for row in rows), default=0)
        return len(rows), slots

    def find_features(
        self, rows: abc.Sequence[upstreams.Row]
    ) -> feature_flags.Features:
        """Return the features that are on for a service with these upstreams.

        There are none where more upstreams may be ordered: an autoscaled fleet lacks
        capacity only for a moment, and each change of the pools costs cached prefixes.
        """
        if any(row.service in self.autoscaled for row in rows[:1]):
            return feature_flags.NONE
        are_applicable = feature_flags.are_applicable(
            self._features, *self.count_size(rows)
        )
        return self._features if are_applicable else feature_flags.NONE

    def record_serving(self, service: str, rows: abc.Collection[upstreams.Row]) -> None:
        """Give serving upstreams a Kalman estimator, if the service learns speeds."""
        if not self.find_features(rows).learns_speeds:
            return
        delay = self._delays.setdefault(service, speeds.FixedDelay())
        for row in rows:
            engine = self._engines[row.identity]
            if not isinstance(engine.estimator, speeds.KalmanEstimator):
                engine.estimator = speeds.KalmanEstimator(speeds.UNKNOWN, delay)

    # Pools.

    def list_choices(
        self,
        serving: abc.Sequence[upstreams.Row],
        reachable: list[upstreams.Row],
        descriptor: descriptors.Descriptor,
        now: float,
    ) -> list[list[upstreams.Row]]:
        """Return lists of upstreams to choose from, in the order of trying.

        ``reachable`` are the service's upstreams that are reachable and not excluded. A
        request goes to its own pool. Where it would be refused there, the pools for
        longer pauses come next, then all idle upstreams.
        """
        found = self.pools.setdefault(descriptor.service, pools.Pools())
        if found.is_due(now):
            self._update_priors(serving)
            healthy = [row for row in serving if self._is_healthy(row)]
            found.rebalance([self._describe(row, now) for row in healthy], now)
        number = found.find_pool(get_qos_class(descriptor))
        if number is None:
            return [reachable]
        members = (found.list_members(number), found.list_more_tolerant(number))
        choices = [
            [row for row in reachable if row.identity in some] for some in members
        ]
        choices.append(
            [row for row in reachable if not self._engines[row.identity].tasks]
        )
        return [rows for rows in choices if rows] or [reachable]

    def record_demand(
        self, descriptor: descriptors.Descriptor, unread: int, now: float
    ) -> None:
        """Count a request with the tokens to prefill where it would be placed."""
        size = engines.compute_prefill_work(descriptor.tokens_in)
        demand = self.pools[descriptor.service].demand
        demand.record(
            get_qos_class(descriptor), size, engines.compute_prefill_work(unread), now
        )
        self._store_counted(descriptor.request_id, now)

    def record_earlier_demand(
        self,
        descriptor: descriptors.Descriptor,
        unread: int,
        placed_at: float,
        now: float,
    ) -> None:
        """Count a request that another process placed, as ``record_demand`` does.

        A process that takes over in a burst learns the classes and the demand of the
        preceding seconds this way. Until it has observed them itself, it would admit
        long prompts beside streams that must not pause. A gateway with a new link sends
        all of its requests, also those that were placed here.
        """
        if descriptor.request_id in self._counted:
            return
        self._store_counted(descriptor.request_id, now)
        found = self.pools.setdefault(descriptor.service, pools.Pools())
        size = engines.compute_prefill_work(descriptor.tokens_in)
        work = engines.compute_prefill_work(unread)
        found.demand.record_earlier(get_qos_class(descriptor), size, work, placed_at)

    def _store_counted(self, request_id: str, now: float) -> None:
        self._counted[request_id] = now
        self._counted.move_to_end(request_id)
        while now - next(iter(self._counted.values())) > pools.LONG_WINDOW_SECONDS:
            self._counted.popitem(last=False)

    def _is_healthy(self, row: upstreams.Row) -> bool:
        """Return whether an upstream counts as capacity of its service."""
        engine = self._engines[row.identity]
        rates = engine.failure_rates.values()
        return engine.reachable and max(rates, default=0.0) < FAILING_RATE

    def _describe(self, row: upstreams.Row, now: float) -> pools.Member:
        engine = self._engines[row.identity]
        return pools.Member(
            row.identity,
            row.data_centre,
            engine.prefill_rate,
            engine.find_backlog(now),
            engine.slots,
            engine.targets,
        )

    # Speeds.

    def list_speeds(self) -> dict[str, speeds.Speed]:
        """Return the speeds of the upstreams that have been observed."""
        return {
            identity: estimator.speed
            for identity, estimator in self._list_estimators()
            if estimator.speed.observed
        }

    def merge_speeds(self, received: abc.Mapping[str, speeds.Speed]) -> None:
        """Adopt another process's estimates that rest on more observations."""
        for identity, estimator in self._list_estimators():
            speed = received.get(identity)
            if speed is not None and speed.observed > estimator.speed.observed:
                estimator.speed = speed

    def _list_estimators(self) -> abc.Iterator[tuple[str, speeds.KalmanEstimator]]:
        for identity, engine in self._engines.items():
            if isinstance(engine.estimator, speeds.KalmanEstimator):
                yield identity, engine.estimator

    def _update_priors(self, serving: abc.Iterable[upstreams.Row]) -> None:
        """Let upstreams without observations count as fast as their siblings."""
        identities = {row.identity for row in serving}
        estimators = [
            estimator
            for identity, estimator in self._list_estimators()
            if identity in identities
        ]
        prior = speeds.compute_prior(estimator.speed for estimator in estimators)
        for estimator in estimators:
            estimator.set_prior(prior)


def get_qos_class(descriptor: descriptors.Descriptor) -> pools.QosClass:
    """Return the longest allowed pause of the request's stream, in seconds."""
    return descriptor.pause_seconds or math.inf
