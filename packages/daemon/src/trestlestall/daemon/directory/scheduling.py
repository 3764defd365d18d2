"""Places requests for all gateways, at the one directory that they all ask.

A scheduler that sees every request can keep long prompts away from streams that must
not pause, and can send prompts with equal prefixes to the upstream that has them
cached; gateways that choose on their own each see only part of the requests (figures in
docs/benchmarks.md). Gateways ask the linked directory with the lowest name, so no
election is needed, and where a network partition makes them ask different directories,
each side still has one. Nothing depends on the answer: a gateway that gets none chooses
by itself.
"""

import collections
import dataclasses
import math
import zlib
from collections import abc

from trestlestall.daemon import dialects, placement_protocol
from trestlestall.daemon.directory import (
    links as directory_links,
    metrics as directory_metrics,
    part_quarantine,
    quarantine as directory_quarantine,
    request_trials,
    retry_budget as directory_retry_budget,
)
from trestlestall.forwarding import (
    brittleness,
    budgets,
    crashes,
    descriptors,
    feature_flags,
    harmful_parts,
    model,
    placement,
    rate_limits,
    shedding,
    upstreams,
)
from trestlestall.wire import clocks, directory_messages

#: Seconds for which a retry waits until the other directories have acknowledged the
#: retries before it; its gateway waits no longer for an answer (``gateway.placing``).
PENDING_CALL_SECONDS = 0.2
#: Seconds after which a caller returns at the earliest if brittle upstreams are full.
FULL_WAIT_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class PendingCall:
    """A gateway's call that can't be decided yet, and when it times out."""

    gateway: str
    call: directory_messages.PlaceCall
    until: float


@dataclasses.dataclass(frozen=True)
class RunningRequest:
    """A gateway's request that runs at an upstream.

    ``placed_at`` is when this directory chose the upstream; minus infinity if another
    process chose it. ``sent_at`` is when it was sent there.
    """

    upstream: str
    descriptor: descriptors.Descriptor
    placed_at: float
    sent_at: float

    @property
    def digest(self) -> str:
        """The digest of the request."""
        return self.descriptor.digest


class Scheduler:
    """Tracks the running requests of all gateways and places new ones.

    ``set_declaration`` supplies the sizes of engines. ``record_prefill(service,
    seconds)`` is called with the prefill time of each request's prompt.
    """

    def __init__(
        self,
        links: directory_links.Links,
        dialect: dialects.Dialect,
        metrics: directory_metrics.Metrics,
        retry_budget: directory_retry_budget.RetryBudget,
        quarantine: directory_quarantine.Quarantine,
        parts: part_quarantine.PartQuarantine,
        limits: rate_limits.RateLimits,
        brittle: brittleness.Brittleness,
        record_prefill: abc.Callable[[str, float], object],
        features: feature_flags.Features = feature_flags.NONE,
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self._links = links
        self._dialect = dialect
        self._metrics = metrics
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._parts = parts
        self._limits = limits
        self._brittle = brittle
        self._record_prefill = record_prefill
        self._clock = clock
        self.placer = placement.Placer(features)
        self._configuration: model.Configuration | None = None
        self._rows: tuple[upstreams.Row, ...] = ()
        self._running: dict[str, dict[str, RunningRequest]] = {}
        self._pending: collections.deque[PendingCall] = collections.deque()
        self._trials = request_trials.RequestTrials(
            quarantine, self._list_running_digests, clock
        )

    def set_declaration(self, packed: bytes) -> None:
        """Use the configuration in force."""
        found = self._dialect.decode_configuration(zlib.decompress(packed))
        if isinstance(found, model.Configuration):
            self._configuration = found
            self.set_rows(self._rows)

    def set_rows(self, rows: abc.Iterable[upstreams.Row]) -> None:
        """Use the current table of upstreams."""
        self._rows = tuple(rows)
        self._parts.record.evidence.record_serving(
            sum(row.state is upstreams.State.SERVING for row in self._rows),
            self._clock(),
        )
        self.placer.set_upstreams(self._rows, self._configuration, self._clock())

    def place(self, gateway: str, call: directory_messages.PlaceCall) -> None:
        """Choose an upstream and send the answer to the gateway."""
        self._place(PendingCall(gateway, call, self._clock() + PENDING_CALL_SECONDS))

    def _place(self, pending: PendingCall) -> None:
        started = clocks.read()
        gateway, call = pending.gateway, pending.call
        descriptor = descriptors.decode(list(call.descriptor))
        verdict = self._evaluate_retry(call.purpose, descriptor.service)
        if verdict is budgets.Verdict.LATER:
            self._pending.append(pending)
            return
        found = self._find_place(gateway, descriptor, call, verdict)
        refused = isinstance(found, placement.Refused)
        self._record_prefill(
            descriptor.service, self.placer.estimate_prefill_seconds(descriptor, found)
        )
        outcome = found.reason if refused else directory_metrics.PLACED
        self._metrics.record_choice(outcome, clocks.read() - started)
        if refused:
            answer = directory_messages.PlaceAnswer(
                call.token, "", 0, 0.0, found.reason, found.return_seconds
            )
        else:
            now = self._clock()
            self._add_running(gateway, descriptor, found.row.identity, now, now)
            answer = directory_messages.PlaceAnswer(
                call.token,
                found.row.identity,
                found.unread,
                found.predicted,
                taken=found.taken,
                fetch_from=found.fetch_from,
                limit=found.limit,
            )
        self._links.send(gateway, answer)

    def place_pending(self) -> None:
        """Decide the calls that waited for other directories; drop expired ones."""
        waiting, self._pending = self._pending, collections.deque()
        for one in waiting:
            if self._clock() < one.until:
                self._place(one)

    def _evaluate_retry(self, purpose: str, service: str) -> budgets.Verdict:
        """Count a caller's request; return whether the retry budget allows the send."""
        if purpose == placement_protocol.FIRST_SEND:
            self._retry_budget.record_request(service)
        if purpose == placement_protocol.RETRY:
            return self._retry_budget.evaluate(service)
        return budgets.Verdict.GRANTED

    def _find_place(
        self,
        gateway: str,
        descriptor: descriptors.Descriptor,
        call: directory_messages.PlaceCall,
        verdict: budgets.Verdict,
    ) -> placement.Placed | placement.Refused:
        """Choose an upstream; count a retry once it has one."""
        if self._trials.is_refused(descriptor.digest):
            return placement.Refused(crashes.HARMFUL, 0.0)
        if verdict is budgets.Verdict.DENIED:
            return placement.Refused(budgets.EXHAUSTED, placement.RETURN_SECONDS)
        found = self._place_by_parts(gateway, descriptor, call)
        if call.purpose == placement_protocol.RETRY and isinstance(
            found, placement.Placed
        ):
            self._retry_budget.record_retry(descriptor.service)
        return found

    def _place_by_parts(
        self,
        gateway: str,
        descriptor: descriptors.Descriptor,
        call: directory_messages.PlaceCall,
    ) -> placement.Placed | placement.Refused:
        """Choose an upstream unless a part of the prompt crashes upstreams.

        A request with a part in doubt is kept where others with it are.
        """
        finding = self._parts.evaluate(gateway, descriptor)
        if finding.verdict is crashes.Verdict.HARMFUL:
            return placement.Refused(harmful_parts.HELD, 0.0)
        if finding.verdict is crashes.Verdict.ON_TRIAL:
            return placement.Refused(harmful_parts.TRIED, placement.RETURN_SECONDS)
        if finding.verdict is crashes.Verdict.DOUBTFUL:
            return self._place_in_doubt(descriptor, call, finding.key)
        found = self._place_within_limits(descriptor, call)
        if isinstance(found, placement.Refused):
            self._parts.cancel_trial(descriptor)
        return found

    def _place_in_doubt(
        self,
        descriptor: descriptors.Descriptor,
        call: directory_messages.PlaceCall,
        key: harmful_parts.Key,
    ) -> placement.Placed | placement.Refused:
        serving = self.placer.list_serving(descriptor.service)
        for left_out in self._parts.list_left_out(key, serving):
            found = self._place_within_limits(descriptor, call, left_out)
            if isinstance(found, placement.Placed):
                self._parts.keep(key, found.row.identity)
                break
        return found

    def _place_within_limits(
        self,
        descriptor: descriptors.Descriptor,
        call: directory_messages.PlaceCall,
        left_out: abc.Collection[str] = (),
    ) -> placement.Placed | placement.Refused:
        """Choose among upstreams whose rate limit allows a request, and count it."""
        now = self._clock()
        spent = self._limits.list_exhausted(now)
        full = self._list_full(descriptor.service, now)
        excluded = {*spent, *full, *call.barred, *left_out}
        found = self.placer.place(descriptor, now, call.tried, excluded)
        if isinstance(found, placement.Placed):
            self._limits.consume(found.row.identity, now)
            limit = self._limits.find_limit(found.row.identity)
            return dataclasses.replace(found, limit=limit)
        if found.reason == shedding.OVERLOADED:
            return found
        avoided = {*call.tried, *call.barred}
        serving = set(self.placer.list_serving(descriptor.service)) - avoided
        waits = [self._limits.find_wait(one, now) for one in spent if one in serving]
        if not waits and serving.intersection(full):
            waits, reason = [FULL_WAIT_SECONDS], brittleness.FULL
        elif not waits:
            return found
        else:
            reason = rate_limits.LIMITED
        after = rate_limits.compute_retry_after(
            waits, placement.compute_jitter(descriptor)
        )
        return placement.Refused(reason, after)

    def _list_full(self, service: str, now: float) -> list[str]:
        """Return the brittle upstreams of a service that should get no request now."""
        if not self._brittle.is_active:
            return []
        return self._brittle.list_full(service, self.placer.measure_load(service), now)

    def handle_withdrawn(
        self, gateway: str, message: directory_messages.PlaceWithdrawn
    ) -> None:
        """Take back the count of a request that was not sent; its end follows."""
        running = self._running.get(gateway, {}).get(message.request)
        if running is not None:
            self._limits.restore(running.upstream, self._clock())

    def handle_note(self, gateway: str, note: directory_messages.PlaceNote) -> None:
        """Record the first event or the outcome of a request."""
        now = self._clock()
        requests = self._running.get(gateway, {})
        if note.kind == placement_protocol.FIRST_EVENT:
            self.placer.record_first_event(note.request, now)
            if (running := requests.get(note.request)) is not None:
                self._parts.record_answering(running.descriptor, running.sent_at)
            return
        self._remove_pending(gateway, note.request)
        running = requests.pop(note.request, None)
        self.placer.end(note.request, now, note.pause)
        if running is None:
            return
        self._parts.record_outcome(
            running.descriptor, running.sent_at, placement_protocol.FAILURES[note.kind]
        )
        if note.kind == placement_protocol.INCONCLUSIVE:
            return
        failed = note.kind == placement_protocol.FAILED
        data_centre = running.descriptor.data_centre
        self.placer.record_outcome(running.upstream, data_centre, failed)
        if failed:
            self._trials.record_failed(running.digest)
        else:
            self._quarantine.record_success(
                running.digest, running.upstream, running.placed_at
            )

    def _remove_pending(self, gateway: str, request: str) -> None:
        """Remove the pending call of a gateway that continued without an answer.

        If it were placed later, it would be counted at an upstream that never
        receives it.
        """
        self._pending = collections.deque(
            one
            for one in self._pending
            if one.gateway != gateway or one.call.descriptor[0] != request
        )

    def handle_state(self, gateway: str, state: directory_messages.PlaceState) -> None:
        """Replace the gateway's running requests with those that it lists."""
        self._remove_requests(gateway)
        self._parts.record_state(gateway)
        now = self._clock()
        for plain, identity, has_first_event, *rest in state.tasks:
            descriptor = descriptors.decode(plain)
            age = max(0.0, rest[0]) if rest else 0.0
            found = self.placer.adopt(descriptor, identity, now, age)
            if isinstance(found, placement.Refused):
                continue
            self._add_running(gateway, descriptor, identity, -math.inf, now - age)
            if has_first_event:
                self.placer.record_first_event(descriptor.request_id, now)
                self._parts.record_answering(descriptor, now - age)

    def _list_running_digests(self) -> abc.Iterator[str]:
        """Yield the digest of each running request."""
        for requests in self._running.values():
            for running in requests.values():
                yield running.digest

    def list_scalable(self) -> list[model.Service]:
        """Return the services whose upstreams may be ordered from the platform."""
        if self._configuration is None:
            return []
        services = self._configuration.services.values()
        return [one for one in services if one.scaling is not None]

    def count_load(self, service: str) -> float:
        """Return how many upstreams the running requests of a service fill."""
        taken, places = self.placer.count_slots(service)
        serving = sum(
            row.service == service and row.state is upstreams.State.SERVING
            for row in self._rows
        )
        return taken * serving / places if places else 0.0

    def count_places(self, service: str) -> tuple[int, int]:
        """Return how many slots of the service are in use, and how many there are."""
        return self.placer.count_slots(service)

    def remove_gateway(self, gateway: str) -> None:
        """Remove the requests of a gateway that is no longer linked."""
        self._parts.remove_gateway(gateway)
        self._remove_requests(gateway)

    def _remove_requests(self, gateway: str) -> None:
        now = self._clock()
        self._pending = collections.deque(
            one for one in self._pending if one.gateway != gateway
        )
        for request, running in self._running.pop(gateway, {}).items():
            self.placer.end(request, now)
            self._parts.record_outcome(running.descriptor, running.sent_at, None)

    def _add_running(
        self,
        gateway: str,
        descriptor: descriptors.Descriptor,
        identity: str,
        placed_at: float,
        sent_at: float,
    ) -> None:
        running = self._running.setdefault(gateway, {})
        running[descriptor.request_id] = RunningRequest(
            identity, descriptor, placed_at, sent_at
        )
