"""Orders upstreams from the platform: committed to the log first, then sent."""

from collections import abc

from trestlestall.daemon import dialects, events, logs
from trestlestall.daemon.directory import (
    backoffs,
    demands as directory_demands,
    lease_context,
    platform_client,
)
from trestlestall.duties import fleet, leases, orders, supply
from trestlestall.forwarding import model, upstreams

#: Seconds between two evaluations of what should be ordered.
EVALUATION_INTERVAL_SECONDS = 0.5
#: Seconds after which reclaimable upstreams are ordered again in a data centre that
#: had none left, or that reclaimed them.
UNAVAILABLE_SECONDS = 3.0
#: The reclaimable upstreams of a data centre count as reclaimed once fewer than this
#: share of those that served remain: a single one that ends is no sign of that.
RECLAIMED_SHARE = 0.5
#: Seconds beyond an upstream's start time after which an order is sent again if some of
#: its upstreams never appeared: the platform also accepts an order where it provides
#: fewer, for instance while released upstreams have not left yet.
MISSING_GRACE_SECONDS = 3.0
#: Seconds after its first turn for which a lease holder orders nothing: by then all
#: present upstreams have announced themselves twice.
DISCOVERY_SECONDS = 3.0


class Autoscaler:
    """Orders upstreams while this directory holds the lease of the duties."""

    def __init__(
        self,
        duty_calls: dialects.DutyCalls,
        demands: directory_demands.Demands,
        log: logs.Log,
    ) -> None:
        self._duty_calls = duty_calls
        self._demands = demands
        self._log = log
        self._backoff = backoffs.Backoff(log)
        self._evaluated_at = float("-inf")
        self._proposing: set[orders.Subject] = set()
        self._unavailable_until: dict[orders.Subject, float] = {}
        self._peak_serving: dict[orders.Subject, int] = {}
        self._to_resend: set[orders.Subject] = set()
        self._short_since: dict[orders.Subject, float] = {}
        self._started_at: float | None = None

    def carry_out(
        self,
        known: orders.Orders,
        services: abc.Iterable[model.Service],
        rows: abc.Iterable[upstreams.Row],
        context: lease_context.LeaseContext,
    ) -> None:
        """Propose orders that are due, and send one that was not accepted yet."""
        if self._started_at is None:
            self._started_at = context.now
        if context.now - self._started_at < DISCOVERY_SECONDS:
            return
        if context.now - self._evaluated_at >= EVALUATION_INTERVAL_SECONDS:
            self._evaluated_at = context.now
            serving = count_serving(rows)
            for service in services:
                self._evaluate_service(service, known, serving, context)
        if not context.client.is_free or not self._backoff.is_due(context.now):
            return
        for subject, standing in known.standing.items():
            if self._is_pending(subject, standing, context.now):
                self._send_order(subject, standing.count, context)
                return

    def _is_pending(
        self, subject: orders.Subject, standing: orders.Standing, now: float
    ) -> bool:
        if standing.taken and subject not in self._to_resend:
            return False
        return subject not in self._proposing and not self._is_unavailable(subject, now)

    def _is_unavailable(self, subject: orders.Subject, now: float) -> bool:
        return now < self._unavailable_until.get(subject, float("-inf"))

    def _evaluate_service(
        self,
        service: model.Service,
        known: orders.Orders,
        serving: abc.Mapping[orders.Subject, int],
        context: lease_context.LeaseContext,
    ) -> None:
        terms = service.scaling
        target_capacity = self._demands.find_target_capacity(service.name, context.now)
        observations = {
            name: self._observe(service, name, known, serving, context.now)
            for name in terms.prices
        }
        planned = fleet.plan(terms, target_capacity, observations)
        serving_count = sum(
            observation.on_demand + observation.reclaimable
            for observation in observations.values()
        )
        enough = serving_count >= sum(
            one.on_demand + one.reclaimable for one in planned.values()
        )
        for name, count in planned.items():
            remaining = terms.most - max(count.on_demand, observations[name].ordered)
            pairs = (
                (False, count.on_demand),
                (True, min(count.reclaimable, remaining)),
            )
            for reclaimable, number in pairs:
                subject = orders.Subject(service.name, name, reclaimable)
                standing = known.standing.get(subject)
                previous = (
                    serving.get(subject, 0) if standing is None else standing.count
                )
                if subject in self._proposing or self._is_unavailable(
                    subject, context.now
                ):
                    continue
                if fleet.is_change(previous, number, enough, reclaimable):
                    self._propose_order(
                        subject, number, previous, serving, target_capacity, context
                    )

    def _observe(
        self,
        service: model.Service,
        data_centre: str,
        known: orders.Orders,
        serving: abc.Mapping[orders.Subject, int],
        now: float,
    ) -> fleet.Observation:
        on_demand_subject = orders.Subject(service.name, data_centre)
        reclaimable_subject = orders.Subject(service.name, data_centre, True)
        reclaimable_count = serving.get(reclaimable_subject, 0)
        standing = known.standing.get(reclaimable_subject)
        self._check_reclaimed(reclaimable_subject, reclaimable_count, standing, now)
        self._check_missing(
            reclaimable_subject, reclaimable_count, standing, service.scaling, now
        )
        on_demand_count = serving.get(on_demand_subject, 0)
        return fleet.Observation(
            on_demand_count,
            reclaimable_count,
            count_ordered(known.standing.get(on_demand_subject), on_demand_count),
            self._is_unavailable(reclaimable_subject, now),
        )

    def _check_reclaimed(
        self,
        subject: orders.Subject,
        reclaimable_count: int,
        standing: orders.Standing | None,
        now: float,
    ) -> None:
        """Mark a subject as unavailable once most of its upstreams were reclaimed."""
        if standing is None:
            return
        peak = min(
            max(self._peak_serving.get(subject, 0), reclaimable_count), standing.count
        )
        if reclaimable_count < RECLAIMED_SHARE * peak:
            self._unavailable_until[subject] = now + UNAVAILABLE_SECONDS
            self._to_resend.add(subject)
            peak = reclaimable_count
        self._peak_serving[subject] = peak

    def _check_missing(
        self,
        subject: orders.Subject,
        reclaimable_count: int,
        standing: orders.Standing | None,
        terms: supply.Terms,
        now: float,
    ) -> None:
        """Mark an order to be sent again if upstreams are missing for too long."""
        if (
            standing is None
            or not standing.taken
            or reclaimable_count >= standing.count
        ):
            self._short_since.pop(subject, None)
            return
        since = self._short_since.setdefault(subject, now)
        if now - since >= terms.start_seconds + MISSING_GRACE_SECONDS:
            self._short_since[subject] = now
            self._to_resend.add(subject)

    def _propose_order(
        self,
        subject: orders.Subject,
        count: int,
        previous: int,
        serving: abc.Mapping[orders.Subject, int],
        target_capacity: float,
        context: lease_context.LeaseContext,
    ) -> None:
        self._proposing.add(subject)

        def on_answer(answer: leases.Answer | None) -> None:
            self._proposing.discard(subject)
            if isinstance(answer, leases.Granted):
                self._log.write(
                    events.duties.ORDERED,
                    token=context.token,
                    service=subject.service,
                    data_centre=subject.data_centre,
                    reclaimable=subject.reclaimable,
                    count=count,
                    previous=previous,
                    serving=serving.get(subject, 0),
                    need=round(target_capacity, 1),
                )

        order = orders.Order(
            context.token,
            subject.service,
            subject.data_centre,
            subject.reclaimable,
            count,
        )
        context.propose(order, on_answer)

    def _send_order(
        self, subject: orders.Subject, count: int, context: lease_context.LeaseContext
    ) -> None:
        def on_answer(answer: platform_client.Answer) -> None:
            verdict = backoffs.find_verdict(self._duty_calls.read_order_verdict, answer)
            if verdict is dialects.Verdict.ACCEPTED:
                self._backoff.record_success()
                self._to_resend.discard(subject)
                self._propose_placed(subject, count, answer.seconds, context)
                return
            if verdict is dialects.Verdict.NONE_LEFT:
                self._unavailable_until[subject] = context.now + UNAVAILABLE_SECONDS
                return
            self._backoff.record_failure(f"order {subject}", answer, verdict, context)

        call = self._duty_calls.encode_order(subject, count)
        context.client.post(call, context.token, on_answer)

    def _propose_placed(
        self,
        subject: orders.Subject,
        count: int,
        seconds: float,
        context: lease_context.LeaseContext,
    ) -> None:
        self._proposing.add(subject)
        self._log.write(
            events.duties.ORDER_ACCEPTED,
            token=context.token,
            service=subject.service,
            data_centre=subject.data_centre,
            reclaimable=subject.reclaimable,
            count=count,
            seconds=round(seconds, 3),
        )
        placed = orders.Placed(
            context.token,
            subject.service,
            subject.data_centre,
            subject.reclaimable,
            count,
        )
        context.propose(placed, lambda answer: self._proposing.discard(subject))


def count_ordered(standing: orders.Standing | None, present: int) -> int:
    """Return how many on-demand upstreams a data centre may have, by the latest order.

    Until the platform has accepted that order, those present may stay.
    """
    if standing is None:
        return present
    return standing.count if standing.taken else max(standing.count, present)


def count_serving(rows: abc.Iterable[upstreams.Row]) -> dict[orders.Subject, int]:
    """Return how many upstreams take requests, by subject."""
    counts: dict[orders.Subject, int] = {}
    for row in rows:
        if row.state is upstreams.State.SERVING:
            subject = orders.Subject(row.service, row.data_centre, row.reclaimable)
            counts[subject] = counts.get(subject, 0) + 1
    return counts
