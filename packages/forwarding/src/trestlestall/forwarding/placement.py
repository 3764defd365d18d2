"""The choice of an upstream for a forwarded request; pure.

    placer = Placer()
    placer.set_upstreams(rows, configuration, now)
    found = placer.place(descriptor, now)

A choice compares, for each upstream, when the first event is expected against its
target, how prefilling the prompt would pause the streams that run there, and how often
the upstream failed recently.
"""

import dataclasses
import hashlib
from collections import abc

from trestlestall.forwarding import (
    brittleness,
    costs,
    descriptors,
    engines,
    feature_flags,
    fetching,
    model,
    origins,
    pooling,
    prefix_cache,
    remote_failures,
    shedding,
    shortlists,
    speeds,
    upstreams,
)

#: Values of ``compute_rendezvous_hash`` lie below this.
RENDEZVOUS_RANGE = 2**64
#: Seconds, in the mean, until a caller whose service has no usable upstream should
#: retry; about the interval between two announcements. Callers are spread around it.
RETURN_SECONDS = 1.0


#: Why a request is refused if no upstream that may take it serves.
NO_UPSTREAM = "no upstream"
#: The source of a choice that the process made by its own cached view.
OWN = "own"


@dataclasses.dataclass(frozen=True)
class Placed:
    """Send the request to ``row``; ``source`` is the process that chose.

    ``unread`` are the prompt tokens that the upstream has to prefill, ``predicted`` the
    seconds until the first event. ``taken`` is how many requests the source counts
    there, this one included. ``fetch_from`` is the address of the engine from which to
    fetch the first blocks of the prompt; empty for none. ``limit`` is the upstream's
    rate limit in requests a second over all gateways, from which the source has
    consumed this request; None for no limit.
    """

    row: upstreams.Row
    unread: int
    predicted: float
    taken: int
    source: str = OWN
    fetch_from: str = ""
    limit: float | None = None


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream, the cost of sending a request there, and what it would fetch.

    ``unread`` are the prompt tokens that it would have to prefill.
    """

    row: upstreams.Row
    cost: float
    unread: int
    fetch: fetching.Fetch | None


@dataclasses.dataclass(frozen=True)
class Refused:
    """No upstream can take the request; the caller may retry after some seconds.

    ``source`` is the directory that refused; empty for this process.
    """

    reason: str
    return_seconds: float
    source: str = ""


class Placer:
    """The upstreams and the requests there, in the view of one process or group."""

    def __init__(self, features: feature_flags.Features = feature_flags.NONE) -> None:
        self.features = features
        self.rows: dict[str, upstreams.Row] = {}
        self.engines: dict[str, engines.Upstream] = {}
        self._by_service: dict[str, list[upstreams.Row]] = {}
        self._last_of_version: frozenset[str] = frozenset()
        self._tasks: dict[str, engines.Upstream] = {}
        self._recent_blocks = prefix_cache.RecentBlocks()
        self._remote_failures = remote_failures.RemoteFailures()
        self.pooling = pooling.Pooling(features, self.engines)

    def set_upstreams(
        self,
        rows: abc.Iterable[upstreams.Row],
        configuration: model.Configuration | None,
        now: float,
    ) -> None:
        """Replace the upstreams that may be chosen from now on."""
        self.rows = {row.identity: row for row in rows}
        self._by_service = {}
        for row in self.rows.values():
            if row.state is upstreams.State.SERVING:
                self._by_service.setdefault(row.service, []).append(row)
            self._ensure_engine(row, configuration)
        self._last_of_version = origins.list_last(self._by_service)
        for identity in self.engines.keys() - self.rows.keys():
            if not self.engines[identity].tasks:
                del self.engines[identity]
        if configuration is not None:
            services = configuration.services.values()
            self.pooling.autoscaled = frozenset(
                one.name for one in services if one.scaling is not None
            )
        for service, serving in self._by_service.items():
            self.pooling.record_serving(service, serving)

    def has_upstream(self, service: str) -> bool:
        """Return whether any upstream of the service takes requests."""
        return bool(self._by_service.get(service))

    def place(
        self,
        descriptor: descriptors.Descriptor,
        now: float,
        tried: abc.Collection[str] = (),
        barred: abc.Collection[str] = (),
    ) -> Placed | Refused:
        """Choose an upstream that was not tried yet, and count the request there.

        ``barred`` are upstreams to exclude: they accept no request now.
        """
        rows = [
            row
            for row in self._by_service.get(descriptor.service, ())
            if row.identity not in tried and row.identity not in barred
        ]
        after = RETURN_SECONDS * (0.5 + compute_jitter(descriptor))
        if not rows:
            return Refused(NO_UPSTREAM, after)
        reachable = [row for row in rows if self.engines[row.identity].reachable]
        if not reachable:
            return Refused("no upstream within reach", after)
        self._recent_blocks.expire(now)
        serving = self._by_service[descriptor.service]
        features = self.pooling.find_features(serving)
        by_forecast = features.refuses_by_forecast
        should_refuse = (
            shedding.should_refuse_by_forecast
            if by_forecast
            else shedding.should_refuse
        )
        choices = [reachable]
        if features.keeps_apart:
            choices = self.pooling.list_choices(serving, reachable, descriptor, now)
        for allowed in choices:
            best = self._choose_best(allowed, reachable, descriptor, now)
            forecast = self._forecast(best, allowed, descriptor, now)
            is_refused = not tried and should_refuse(descriptor, forecast)
            if not is_refused:
                break
        if features.keeps_apart:
            self.pooling.record_demand(descriptor, best.unread, now)
        if is_refused:
            after = shedding.compute_retry_after(descriptor, compute_jitter(descriptor))
            return Refused(shedding.OVERLOADED, after)
        return self._start_request(best.row, descriptor, now, best.fetch)

    def list_serving(self, service: str) -> list[str]:
        """Return the reachable upstreams of a service."""
        rows = self._by_service.get(service, ())
        return [row.identity for row in rows if self.engines[row.identity].reachable]

    def estimate_prefill_seconds(
        self, descriptor: descriptors.Descriptor, found: Placed | Refused
    ) -> float:
        """Return the seconds of prefill at the upstream where the request was placed.

        For a refused request, the seconds at an upstream that has cached none of it.
        """
        if isinstance(found, Refused):
            return descriptor.tokens_in / speeds.INITIAL_PREFILL_RATE
        return self.engines[found.row.identity].estimate_prefill_seconds(found.unread)

    def record_first_event(self, request_id: str, now: float) -> None:
        """Record the first event, or the answer, of a request."""
        engine = self._tasks.get(request_id)
        if engine is not None:
            engine.record_first_event(request_id, now)

    def end(self, request_id: str, now: float, pause: float = 0.0) -> None:
        """Record that a request has left its upstream; see ``engines.Upstream.end``."""
        engine = self._tasks.pop(request_id, None)
        if engine is not None:
            engine.end(request_id, now, pause)

    def record_outcome(self, identity: str, data_centre: str, failed: bool) -> None:
        """Update the failure rates by an answer of an upstream, or the lack of one."""
        engine = self.engines.get(identity)
        if engine is not None:
            engine.record_outcome(data_centre, failed)
        row = self.rows.get(identity)
        if row is not None:
            self._remote_failures.record(row.data_centre != data_centre, failed)

    def adopt(
        self,
        descriptor: descriptors.Descriptor,
        identity: str,
        now: float,
        age: float = 0.0,
    ) -> Placed | Refused:
        """Count a request at an upstream that was chosen elsewhere, ``age`` ago."""
        row = self.rows.get(identity)
        if row is None:
            return Refused("unknown upstream", RETURN_SECONDS)
        found = self._start_request(row, descriptor, now)
        if age:
            task = self.engines[identity].tasks[descriptor.request_id]
            task.placed_at -= age
            # Its course until now was not observed here: its first event would show an
            # engine that is as slow as the request is old.
            task.is_fully_observed = False
            if self.find_features(descriptor.service).keeps_apart:
                self.pooling.record_earlier_demand(
                    descriptor, found.unread, task.placed_at, now
                )
        return found

    def set_reachable(self, identity: str, reachable: bool) -> None:
        """Set whether the upstream can be connected to, and thus chosen."""
        engine = self.engines.get(identity)
        if engine is not None:
            engine.reachable = reachable

    def count_slots(self, service: str) -> tuple[int, int]:
        """Return how many slots of the service are used here, and how many exist."""
        rows = self._by_service.get(service, ())
        taken = sum(len(self.engines[row.identity].tasks) for row in rows)
        return taken, sum(self.engines[row.identity].slots for row in rows)

    # Optional features.

    def count_requests(self, identity: str) -> int:
        """Return how many requests are counted at an upstream."""
        engine = self.engines.get(identity)
        return 0 if engine is None else len(engine.tasks)

    def measure_load(self, service: str) -> dict[str, brittleness.Load]:
        """Return the requests and slots of the upstreams of a service."""
        engines_of_service = {
            row.identity: self.engines[row.identity]
            for row in self._by_service.get(service, ())
        }
        return {
            identity: brittleness.Load(len(engine.tasks), engine.slots)
            for identity, engine in engines_of_service.items()
        }

    def find_features(self, service: str) -> feature_flags.Features:
        """Return the features that are on for a service."""
        return self.pooling.find_features(self._by_service.get(service, ()))

    def count_size(self, service: str) -> tuple[int, int]:
        """Return how many upstreams serve, and the least slots of any of them."""
        return self.pooling.count_size(self._by_service.get(service, ()))

    def list_services(self) -> list[str]:
        """Return the services with at least one serving upstream."""
        return list(self._by_service)

    # Steps of a choice.

    def _choose_best(
        self,
        rows: abc.Sequence[upstreams.Row],
        reachable: abc.Sequence[upstreams.Row],
        descriptor: descriptors.Descriptor,
        now: float,
    ) -> Candidate:
        """Return the upstream of the least cost; among equal ones by rendezvous hash.

        Of equal ones, the last of its version takes a stream that may be resumed only
        if there is no other one: nobody could go on with it. Blocks of the prompt may
        be fetched from all ``reachable`` upstreams.
        """
        sources = fetching.list_sources(reachable, self.engines, descriptor)
        shortlist = shortlists.choose(rows, self.engines, descriptor)
        found = [self._evaluate(row, descriptor, sources, now) for row in shortlist]
        least = min(one.cost for one in found)
        equal = [one for one in found if one.cost == least]
        last = self._last_of_version if descriptor.may_repeat else ()
        return min(
            equal,
            key=lambda one: (
                one.row.identity in last,
                compute_rendezvous_hash(descriptor, one.row.identity),
            ),
        )

    def _evaluate(
        self,
        row: upstreams.Row,
        descriptor: descriptors.Descriptor,
        sources: abc.Sequence[fetching.Source],
        now: float,
    ) -> Candidate:
        engine = self.engines[row.identity]
        unread = engine.count_uncached(descriptor)
        recomputed = engine.prefix_cache.count_recomputed(
            descriptor, self._recent_blocks
        )
        fetch = fetching.choose_fetch(row, engine, unread, descriptor, sources, now)
        seconds = 0.0
        if fetch is not None:
            unread -= fetch.tokens
            recomputed = max(0, recomputed - fetch.tokens)
            seconds = fetch.seconds
        cost = costs.compute_cost(engine, descriptor, unread, seconds, now)
        cost += costs.RECOMPUTE_COST * recomputed
        if fetch is not None:
            cost += costs.FETCH_COST * fetch.tokens
        if row.data_centre != descriptor.data_centre:
            cost += costs.compute_failure_cost(
                descriptor, self._remote_failures.find_rate()
            )
        return Candidate(row, round(cost, 2), unread, fetch)

    def _get_slot_usage(self, row: upstreams.Row) -> float:
        engine = self.engines[row.identity]
        return len(engine.tasks) / engine.slots

    def _forecast(
        self,
        best: Candidate,
        reachable: abc.Iterable[upstreams.Row],
        descriptor: descriptors.Descriptor,
        now: float,
    ) -> shedding.Forecast:
        engine = self.engines[best.row.identity]
        wait = engine.find_wait(now, descriptor.rank)
        wait += engine.find_slot_wait(descriptor.rank)
        prefill = costs.compute_preparation_seconds(engine, best.unread, best.fetch)
        prefill += engine.estimator.delay
        taken = min(self._get_slot_usage(one) for one in reachable)
        yields = engine.has_less_urgent(descriptor.rank)
        return shedding.Forecast(wait, wait + prefill, taken, yields)

    def _start_request(
        self,
        row: upstreams.Row,
        descriptor: descriptors.Descriptor,
        now: float,
        fetch: fetching.Fetch | None = None,
    ) -> Placed:
        engine = self.engines[row.identity]
        unread = engine.count_uncached(descriptor)
        if fetch is not None:
            unread -= fetch.tokens
            fetching.record_fetch(engine, fetch, now)
        wait = engine.find_wait(now, descriptor.rank)
        predicted = wait + costs.compute_preparation_seconds(engine, unread, fetch)
        predicted += engine.estimator.delay
        task = engines.Task(descriptor, row.identity, unread, now, predicted)
        engine.begin(task, now)
        self._tasks[descriptor.request_id] = engine
        self._recent_blocks.record(descriptor, now)
        address = fetch.source.row.address if fetch is not None else ""
        return Placed(row, unread, predicted, len(engine.tasks), fetch_from=address)

    def _ensure_engine(
        self, row: upstreams.Row, configuration: model.Configuration | None
    ) -> None:
        service = configuration.services.get(row.service) if configuration else None
        declared = service.engine if service is not None else None
        memory = declared.memory_tokens if declared is not None else 0
        slots = declared.slots if declared is not None else row.slots
        engine = self.engines.get(row.identity)
        if engine is None:
            engine = engines.Upstream(row.identity, slots, memory)
            self.engines[row.identity] = engine
        engine.memory_tokens = memory
        engine.slots = max(1, slots)
        engine.token_seconds = declared.token_seconds if declared is not None else 0.0


def compute_jitter(descriptor: descriptors.Descriptor) -> float:
    """Return a number from 0 to 1, the same for a request in every process."""
    drawn = compute_rendezvous_hash(descriptor, descriptor.request_id)
    return drawn / RENDEZVOUS_RANGE


def compute_rendezvous_hash(descriptor: descriptors.Descriptor, identity: str) -> int:
    """Return the upstream's hash for the prompt's prefix, the same in every process.

    Processes that know nothing of each other's requests still send equal prefixes to
    the same upstream, as long as the costs are alike.
    """
    shared = descriptor.parts[-2].identity if len(descriptor.parts) > 1 else ""
    seed = f"{descriptor.model}/{shared or descriptor.request_id}/{identity}"
    digest = hashlib.blake2b(seed.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
