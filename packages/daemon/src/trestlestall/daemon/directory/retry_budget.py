"""The retry budget at a directory: what it counts, grants and sends to the others."""

from collections import abc

from trestlestall.daemon import events, logs, settings as process_settings
from trestlestall.daemon.directory import links as directory_links
from trestlestall.forwarding import budgets, slot_counts
from trestlestall.wire import clocks, directory_messages, registry

#: Seconds between two log lines that a service's budget is exhausted; each request that
#: fails for this reason has a log line of its own at its gateway.
LOG_INTERVAL_SECONDS = 1.0
#: Seconds between two exchanges with all others while what is known is incomplete.
ASK_INTERVAL_SECONDS = 1.0


class RetryBudget:
    """Grants retries for all gateways.

    ``has_quorum`` and ``list_voters`` query the voter.
    """

    def __init__(
        self,
        links: directory_links.Links,
        retries: process_settings.Retries,
        log: logs.Log,
        has_quorum: abc.Callable[[], bool],
        list_voters: abc.Callable[[], budgets.Voters],
        incarnation: str,
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.retries = retries
        self.ledger = budgets.Ledger(f"{links.own}#{incarnation}", clock())
        self._links = links
        self._log = log
        self._has_quorum = has_quorum
        self._list_voters = list_voters
        self._clock = clock
        self._asked_at = float("-inf")
        self._log_limiters: dict[tuple[str, str], logs.Throttle] = {}

    @property
    def bound(self) -> budgets.Bound:
        """The bound on retries by the settings in force."""
        given = self.retries
        return budgets.Bound(given.ratio, given.slack, given.window_seconds)

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self.ledger.record_request(service, self._clock())

    def evaluate(self, service: str) -> budgets.Verdict:
        """Return whether a retry may be sent; log an exhausted budget."""
        now = self._clock()
        standing = self._find_coverage(now)
        verdict = self.ledger.evaluate(
            service, self.bound, standing, now, self._list_voters()
        )
        if verdict is budgets.Verdict.DENIED:
            self._log_exhausted(service, standing, now)
        return verdict

    def record_retry(self, service: str) -> None:
        """Count a retry that ``evaluate`` granted, and tell the others at once.

        Further retries wait for their acknowledgement, and a turn may wait for a disk.
        """
        now = self._clock()
        self.ledger.record_retry(service, now)
        self._log_granted(service, now)
        for peer in self._links.list_directories():
            self.send_counts(peer)

    def turn(self) -> None:
        """Send new counts; ask again while the window may be incomplete somewhere."""
        now = self._clock()
        standing = self._find_coverage(now)
        is_asking = (
            standing is not budgets.Coverage.COMPLETE
            and now - self._asked_at >= ASK_INTERVAL_SECONDS
        )
        if is_asking:
            self._asked_at = now
        for peer in self._links.list_directories():
            if is_asking or self.ledger.is_due(peer, now):
                self.send_counts(peer)

    def send_counts(self, peer: str) -> None:
        """Send own counts to a directory, which answers with all that it holds."""
        now = self._clock()
        if self.ledger.is_earlier_build(peer):
            self._send_update(peer, self.ledger.collect_update(peer, now))
            if self._find_coverage(now) is not budgets.Coverage.COMPLETE:
                self._links.send(peer, directory_messages.SpentCall(now))
            return
        counts = self.ledger.collect_counts(peer, now)
        self._links.send(peer, directory_messages.RetryCounts(**vars(counts)))

    def handle_counts(self, peer: str, message: directory_messages.RetryCounts) -> None:
        """Merge another directory's counts, and answer with all that it may lack."""
        rows = slot_counts.decode_rows(message.rows)
        counts = budgets.Counts(**{**vars(message), "rows": rows})
        answer = self.ledger.handle_counts(
            counts, self.bound.window, self._clock(), self._list_voters()
        )
        self._links.send(peer, directory_messages.RetryCountsAnswer(**vars(answer)))

    def handle_answer(
        self, peer: str, message: directory_messages.RetryCountsAnswer
    ) -> None:
        """Merge another directory's counts, and record what it has acknowledged."""
        rows = slot_counts.decode_rows(message.rows)
        answer = budgets.Acknowledgement(**{**vars(message), "rows": rows})
        self.ledger.handle_acknowledgement(peer, answer, self._clock())

    def _find_coverage(self, now: float) -> budgets.Coverage:
        if not self._has_quorum():
            return budgets.Coverage.PARTIAL
        return self.ledger.find_coverage(self.bound, now, self._list_voters())

    # Earlier builds.

    def handle_not_understood(self, peer: str, name: str) -> None:
        """Exchange counts with an earlier build as it does."""
        if name == registry.NAMES[directory_messages.RetryCounts]:
            self.ledger.record_earlier_build(peer)
            self.send_counts(peer)

    def answer(self, peer: str, call: directory_messages.SpentCall) -> None:
        """Send all counts of the window to a directory that requested them."""
        for update in self.ledger.list_snapshot(self.bound.window, self._clock()):
            self._send_update(peer, update, call.asked_at)

    def handle_spent(self, peer: str, message: directory_messages.Spent) -> None:
        """Merge another directory's counts; acknowledge the retries that it granted."""
        update = slot_counts.decode_update(
            message.source, message.known, message.tallies, message.granted
        )
        self.ledger.merge_update(peer, update, self._clock())
        if update.granted:
            self._links.send(peer, directory_messages.SpentAnswer(update.granted))

    def _send_update(
        self, peer: str, update: slot_counts.Update, asked_at: float = 0.0
    ) -> None:
        spent = directory_messages.Spent(
            update.source, update.known, update.tallies, update.granted, asked_at
        )
        self._links.send(peer, spent)

    # Log lines.

    def _log_exhausted(
        self, service: str, standing: budgets.Coverage, now: float
    ) -> None:
        left_out = self._count_left_out(events.directory.RETRIES_EXHAUSTED, service)
        if left_out is None:
            return
        requests, retries = self.ledger.count(service, self.bound, now)
        self._log.write(
            events.directory.RETRIES_EXHAUSTED,
            service=service,
            requests=requests,
            repeats=retries,
            limit=round(self.bound.find_limit(requests, standing), 1),
            standing=standing.value,
            left_out=left_out,
        )

    def _log_granted(self, service: str, now: float) -> None:
        left_out = self._count_left_out(events.directory.RETRIES_GRANTED, service)
        if left_out is None:
            return
        requests, _ = self.ledger.count(service, self.bound, now)
        standing = self._find_coverage(now)
        self._log.write(
            events.directory.RETRIES_GRANTED,
            service=service,
            requests=requests,
            sources=self.ledger.count_retries_by_source(service, self.bound, now),
            limit=round(self.bound.find_limit(requests, standing), 1),
            standing=standing.value,
            granted=self.ledger.granted,
            acknowledged=self.ledger.list_acknowledged(),
            left_out=left_out,
        )

    def _count_left_out(self, event: events.Event, service: str) -> int | None:
        """Return how many lines were left out if one is due, else None."""
        limiter = self._log_limiters.setdefault(
            (event.name, service), logs.Throttle(LOG_INTERVAL_SECONDS, self._clock)
        )
        return limiter.count()
