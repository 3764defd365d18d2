"""Chooses an upstream for a request: by the scheduler, or locally without it.

The scheduler is the directory that places the requests of all gateways.
"""

import math
from collections import abc

from trestlestall.daemon import announcements, events, placement_protocol
from trestlestall.daemon.gateway import (
    cached_view,
    choosing,
    reachability,
    scheduler_client,
    tasks,
)
from trestlestall.forwarding import (
    brittleness,
    budgets,
    crashes,
    descriptors,
    harmful_parts,
    part_evidence,
    placement,
    rate_limits,
    shedding,
    upstreams,
)
from trestlestall.wire import clocks, directory_messages

#: Seconds without an answer after which a gateway counts as isolated: longer than it
#: takes to restart all directories and to query one again.
ISOLATED_SECONDS = 6.0

#: Seconds without an answer after which a gateway judges by itself which parts of
#: prompts crash upstreams.
ALONE_SECONDS = 1.0

#: Queries for one send: a second one if this gateway rejected the choice, or if another
#: directory has become the scheduler meanwhile.
QUERIES_PER_SEND = 2

#: Reasons of the scheduler's refusals after which no upstream is chosen locally.
FINAL_REASONS = (
    shedding.OVERLOADED,
    budgets.EXHAUSTED,
    crashes.HARMFUL,
    harmful_parts.HELD,
    harmful_parts.TRIED,
    rate_limits.LIMITED,
    brittleness.FULL,
)

#: Reasons that hold for the request, whichever upstreams can be reached.
REASONS_OF_REQUEST = (
    shedding.OVERLOADED,
    budgets.EXHAUSTED,
    crashes.HARMFUL,
    harmful_parts.HELD,
    harmful_parts.TRIED,
)


class Placing:
    """Places requests; ``scheduler_client`` is for the links to set up and to feed."""

    def __init__(
        self,
        view: cached_view.CachedView,
        prober: reachability.Prober,
        find_retry_bound: abc.Callable[[], budgets.Bound],
    ) -> None:
        self._view = view
        self._find_retry_bound = find_retry_bound
        self._chooser = choosing.Chooser(view)
        self._tasks = tasks.Tasks()
        self.scheduler_client = scheduler_client.SchedulerClient(
            view, prober, self._tasks
        )

    def place(
        self,
        descriptor: descriptors.Descriptor,
        tried: abc.Collection[str],
        purpose: str,
        workspace: str = "",
    ) -> placement.Placed | placement.Refused:
        """Choose an upstream that was not tried yet, and count the request there.

        ``purpose`` is one of those in ``placement_protocol``. A retry draws on the
        retry budget, which the scheduler keeps for all gateways. ``workspace`` is that
        of the caller.
        """
        verdict = self._view.evaluate(descriptor.digest)
        if verdict is crashes.Verdict.HARMFUL:
            return placement.Refused(crashes.HARMFUL, 0.0)
        if self._is_part_held(descriptor, workspace, math.inf):
            return placement.Refused(harmful_parts.HELD, 0.0)
        answer = self._query_and_check(descriptor, tried, purpose)
        if answer is not None and answer.reason in FINAL_REASONS:
            return placement.Refused(
                answer.reason,
                answer.return_seconds,
                self.scheduler_client.scheduler or "",
            )
        if answer is None or not answer.upstream:
            # No answer, or the scheduler found only upstreams that are unreachable.
            if verdict is crashes.Verdict.ON_TRIAL:
                # Other gateways may run the trial as well.
                return placement.Refused(crashes.HARMFUL, 0.0)
            if self._is_part_held(descriptor, workspace, self._find_judged_since()):
                return placement.Refused(harmful_parts.HELD, 0.0)
            if purpose == placement_protocol.RETRY and not self._may_retry_alone(
                descriptor
            ):
                return placement.Refused(budgets.EXHAUSTED, placement.RETURN_SECONDS)
            return self._choose_locally(descriptor, tried)
        return self._adopt(descriptor, tried, answer)

    def _is_part_held(
        self, descriptor: descriptors.Descriptor, workspace: str, judges_since: float
    ) -> bool:
        """Return whether a part of the prompt crashes upstreams.

        Only a gateway that chooses alone judges by what it has seen itself. It lets no
        trial begin, as others may.
        """
        found = self._view.parts.evaluate(
            part_evidence.list_keys(descriptor),
            self._view.clock(),
            workspace,
            judges_since,
        )
        if judges_since < math.inf:
            refused = (crashes.Verdict.HARMFUL, crashes.Verdict.ON_TRIAL)
            return found.verdict in refused
        return found.verdict is crashes.Verdict.HARMFUL

    def _find_judged_since(self) -> float:
        """Return since when this gateway judges parts itself; infinity for not now.

        A scheduler that is late for a moment knows more than one gateway.
        """
        silent_seconds = self.scheduler_client.count_silent_seconds()
        return -math.inf if silent_seconds > ALONE_SECONDS else math.inf

    def record_first(
        self, descriptor: descriptors.Descriptor, start: tuple = ()
    ) -> None:
        """Record a request's first event, or its response.

        ``start`` is the row of the usage count that the request raised; empty if it was
        counted before.
        """
        task = self._tasks.mark_started(descriptor.request_id)
        if task is None:
            return
        self._view.parts.evidence.record_answering(
            descriptor.request_id,
            part_evidence.list_keys(descriptor),
            task.placed_at,
            clocks.read(),
        )
        self._view.placer.record_first_event(descriptor.request_id, clocks.read())
        self.scheduler_client.send_note(
            descriptor, placement_protocol.FIRST_EVENT, start=start
        )

    def report_replaced(self, identity: str) -> None:
        """Report that another incarnation of the upstream now uses its address."""
        self.scheduler_client.send_message(directory_messages.Replaced(identity))

    def end(
        self,
        descriptor: descriptors.Descriptor,
        identity: str,
        failed: bool | None,
        pause: float = 0.0,
    ) -> None:
        """Record that a request has left its upstream.

        ``failed`` is whether that counts as a failure of the upstream; None for neither
        a failure nor a success. ``pause`` is the longest of its stream, in seconds; 0
        if none is known.
        """
        placer = self._view.placer
        placer.end(descriptor.request_id, clocks.read(), pause)
        if failed is not None:
            placer.record_outcome(identity, descriptor.data_centre, failed)
        self._drop_task(descriptor, failed is False)
        self.scheduler_client.send_note(
            descriptor, placement_protocol.OUTCOMES[failed], pause
        )

    def withdraw(self, descriptor: descriptors.Descriptor) -> None:
        """Record that a request is not sent to the upstream chosen for it."""
        self._view.placer.end(descriptor.request_id, clocks.read())
        self._drop_task(descriptor, False)
        self.scheduler_client.withdraw(descriptor)

    def _drop_task(self, descriptor: descriptors.Descriptor, answered: bool) -> None:
        task = self._tasks.drop(descriptor.request_id)
        if task is not None:
            self._view.parts.record_outcome(
                descriptor.request_id,
                part_evidence.list_keys(descriptor),
                task.placed_at,
                answered,
                clocks.read(),
            )

    def resume(
        self,
        descriptor: descriptors.Descriptor,
        identity: str,
        age: float,
        started: bool,
    ) -> bool:
        """Count the request at its upstream again, since it was not left after all.

        It was sent there ``age`` seconds ago; ``started`` is whether it has had its
        first event. Return whether the upstream is still there.
        """
        row = self._view.table.rows.get(identity)
        if row is None or row.state is upstreams.State.GONE:
            return False
        now = clocks.read()
        found = self._view.placer.adopt(descriptor, identity, now, age)
        if isinstance(found, placement.Refused):
            return False
        self._tasks.add(descriptor, identity, now - age)
        if started:
            self._tasks.mark_started(descriptor.request_id)
            self._view.placer.record_first_event(descriptor.request_id, now)
        return True

    def _may_retry_alone(self, descriptor: descriptors.Descriptor) -> bool:
        """Consume one retry from the part of the budget that needs no scheduler."""
        verdict = self._view.retry_ledger.consume(
            descriptor.service,
            self._find_retry_bound(),
            budgets.Coverage.ALONE,
            clocks.read(),
        )
        return verdict is budgets.Verdict.GRANTED

    def _adopt(
        self,
        descriptor: descriptors.Descriptor,
        tried: abc.Collection[str],
        answer: directory_messages.PlaceAnswer,
    ) -> placement.Placed | placement.Refused:
        """Count the request at the upstream that the scheduler chose."""
        placer = self._view.placer
        found = placer.adopt(descriptor, answer.upstream, clocks.read())
        if isinstance(found, placement.Refused):
            # The scheduler knows an upstream that this gateway has not discovered yet.
            self.scheduler_client.withdraw(descriptor)
            return self._choose_locally(descriptor, tried)
        self._tasks.add(descriptor, answer.upstream, clocks.read())
        return placement.Placed(
            found.row,
            answer.unread,
            answer.predicted,
            answer.taken,
            self.scheduler_client.scheduler or "",
            answer.fetch_from,
            answer.limit,
        )

    def _query_and_check(
        self,
        descriptor: descriptors.Descriptor,
        tried: abc.Collection[str],
        purpose: str,
    ) -> directory_messages.PlaceAnswer | None:
        """Query the scheduler; return None if there is no choice to follow.

        A scheduler that is partitioned from other directories may have missed a drain
        notice, and an upstream may request backoff while a request is being placed. A
        gateway that knows of it notifies the scheduler, and queries once more.
        """
        excluded = set(tried)
        for _ in range(QUERIES_PER_SEND):
            queried = self.scheduler_client.scheduler
            answer = self.scheduler_client.query(descriptor, excluded, purpose)
            if answer is None and self.scheduler_client.scheduler != queried:
                # The unresponsive scheduler may have counted the caller's request.
                purpose = (
                    placement_protocol.REROUTED
                    if purpose == placement_protocol.FIRST_SEND
                    else purpose
                )
                continue
            row = self._get_row(answer)
            if row is None or self._chooser.accepts_requests(row):
                return answer
            self._reject_choice(descriptor, row)
            excluded.add(row.identity)
            # The scheduler has counted the request already.
            purpose = placement_protocol.REROUTED
        return None

    def _reject_choice(
        self, descriptor: descriptors.Descriptor, row: upstreams.Row
    ) -> None:
        """Notify the scheduler that its choice is not followed, and why.

        Only a drain notice is passed on: that an upstream was removed may be no more
        than this gateway's own conclusion.
        """
        self.scheduler_client.withdraw(descriptor)
        if row.state is upstreams.State.DRAINING:
            self.scheduler_client.send_message(announcements.encode((row,)))
        self._view.log.write(
            events.forwarding.CHOICE_OVERRIDDEN,
            request=descriptor.request_id,
            upstream=row.identity,
            state=row.state.name.lower(),
            rest_seconds=round(self._chooser.get_backoff(row), 3),
            arbiter=self.scheduler_client.scheduler,
        )

    def _get_row(
        self, answer: directory_messages.PlaceAnswer | None
    ) -> upstreams.Row | None:
        """Return the cached row of the chosen upstream, if any."""
        if answer is None:
            return None
        return self._view.table.rows.get(answer.upstream)

    def _choose_locally(
        self, descriptor: descriptors.Descriptor, tried: abc.Collection[str]
    ) -> placement.Placed | placement.Refused:
        """Choose from the cached view, and count the request."""
        silent_seconds = self.scheduler_client.count_silent_seconds()
        is_isolated = silent_seconds > ISOLATED_SECONDS
        found = self._chooser.choose(descriptor, tried, is_isolated)
        if isinstance(found, placement.Placed):
            self._tasks.add(descriptor, found.row.identity, clocks.read())
        return found
