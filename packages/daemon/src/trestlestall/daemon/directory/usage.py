"""Usage at a directory: counts of starts from gateways, and the lease holder's reports.

Gateways send their counts to the directory that places their requests. The lease holder
of the duties queries all directories for their counts of a reporting window that has
ended, commits the totals to the log, and reports what the log holds.
"""

import typing
from collections import abc

from trestlestall.daemon import dialects, events, logs, settings as process_settings
from trestlestall.daemon.directory import (
    backoffs,
    lease_context,
    links as directory_links,
    platform_client,
    starts_file,
)
from trestlestall.duties import leases, reporting, spans, starts, windows
from trestlestall.wire import directory_messages

#: Seconds between two queries for a window that is incomplete.
QUERY_INTERVAL_SECONDS = 0.5
#: Seconds between two syncs of new counts; a power failure of the whole deployment
#: loses the counts of this time.
SYNC_INTERVAL_SECONDS = 0.2
#: Windows ahead of the wall clock for which starts are accepted, as clocks differ.
WINDOWS_AHEAD = 1
#: A report is retried for this many times the period in which it is due.
RETRY_PERIODS = 12.0


class Usage:
    """The counts of starts that one directory knows; ``wall`` returns the Unix time."""

    def __init__(
        self,
        links: directory_links.Links,
        settings: process_settings.Duties,
        duty_calls: dialects.DutyCalls,
        log: logs.Log,
        file: starts_file.StartsFile,
        wall: abc.Callable[[], float],
    ) -> None:
        self.starts = starts.Starts()
        self._links = links
        self._rules = reporting.Rules(settings.window_seconds, settings.late_seconds)
        self._duty_calls = duty_calls
        self._log = log
        self._file = file
        self._wall = wall
        self._newest_fixed = 0
        self._unsynced: list[starts.Row] = []
        self._synced_at = float("-inf")
        self._inquiry = reporting.NOTHING_ASKED
        self._answered: set[str] = set()
        self._queried_at = float("-inf")
        self._proposing = False
        self._last_fixed = 0
        self._reported: set[int] = set()
        self._backoff = backoffs.Backoff(log)
        for row in file.load():
            self.starts.merge(row)
        self._start_window = spans.find_window(wall(), self._rules.window)

    # Messages.

    def handle_starts(self, peer: str, message: directory_messages.Starts) -> None:
        """Merge counts from a gateway or another directory."""
        try:
            rows = starts.decode_rows(message.rows)
            done = [starts.decode_done(one) for one in message.done]
        except ValueError as error:
            self._log.write(
                events.duties.STARTS_REFUSED, source=peer, reason=str(error)
            )
            return
        for row in rows:
            self._add_row(row)
        for source, window in done:
            self.starts.record_done(source, window)
        if message.asked and message.asked == self._inquiry.first:
            self._answered.add(peer)

    def handle_start(self, peer: str, plain: abc.Sequence[typing.Any]) -> None:
        """Merge the count that one request has raised; ``plain`` may be empty."""
        if plain:
            self.handle_starts(peer, directory_messages.Starts((plain,)))

    def answer(self, peer: str, call: directory_messages.StartsCall) -> None:
        """Send another directory the counts from a window on."""
        rows = tuple(self.starts.list_rows(call.window - 1))
        done = tuple(self.starts.done.items())
        self._links.send(peer, directory_messages.Starts(rows, done, call.window))

    def _add_row(self, row: starts.Row) -> None:
        latest = spans.find_window(self._wall(), self._rules.window) + WINDOWS_AHEAD
        if self._newest_fixed <= row[1] <= latest and self.starts.merge(row):
            self._unsynced.append(row)

    def turn(self, known: windows.Windows, now: float) -> None:
        """Store new counts, and drop those of windows that the log has fixed."""
        if known.newest > self._newest_fixed:
            self._newest_fixed = known.newest
            if self.starts.forget(self._newest_fixed):
                self._unsynced.clear()
                self._file.replace(self.starts.list_rows())
        if self._unsynced and now - self._synced_at >= SYNC_INTERVAL_SECONDS:
            self._synced_at = now
            self._file.add(self._unsynced)
            self._unsynced.clear()

    # Duties of the lease holder.

    def carry_out(
        self,
        known: windows.Windows,
        list_directories: abc.Callable[[], list[str]],
        context: lease_context.LeaseContext,
    ) -> None:
        """Fix the next window if it is due, and report one that is fixed."""
        self._fix_next(known, list_directories, context)
        waiting = [number for number in known.waiting if number not in self._reported]
        if waiting and context.client.is_free and self._backoff.is_due(context.now):
            self._report(min(waiting), known, context)

    def _fix_next(
        self,
        known: windows.Windows,
        list_directories: abc.Callable[[], list[str]],
        context: lease_context.LeaseContext,
    ) -> None:
        wall = self._wall()
        window = reporting.find_next(known, self._find_first(), wall, self._rules)
        if window is None or self._proposing or window <= self._last_fixed:
            return
        if not self._inquiry.covers(window, context.token):
            self._inquiry = reporting.make_inquiry(
                known, context.token, wall, context.now, self._rules
            )
            self._answered.clear()
            self._queried_at = float("-inf")
        others = sorted(list_directories())
        observation = self._observe(window, others, context.now)
        if reporting.is_due(window, observation, wall, self._rules):
            self._fix(window, observation, context)
        elif context.now - self._queried_at >= QUERY_INTERVAL_SECONDS:
            self._queried_at = context.now
            for peer in others:
                self._links.send(
                    peer, directory_messages.StartsCall(self._inquiry.first)
                )

    def _find_first(self) -> int:
        """Return the first window to fix, for when none was fixed yet.

        Received counts may be of windows before this process started.
        """
        known = self.starts.find_first()
        return self._start_window if known is None else min(known, self._start_window)

    def _observe(
        self, window: int, others: abc.Iterable[str], now: float
    ) -> reporting.Observation:
        return reporting.Observation(
            tuple(one for one in others if one not in self._answered),
            tuple(self.starts.list_unfinished(window)),
            now - self._inquiry.asked_at,
        )

    def _fix(
        self,
        window: int,
        observation: reporting.Observation,
        context: lease_context.LeaseContext,
    ) -> None:
        counts = self.starts.total(window)
        age = self._find_age(window)
        self._proposing = True

        def on_answer(answer: leases.Answer | None) -> None:
            self._proposing = False
            if not isinstance(answer, leases.Granted):
                return
            self._last_fixed = window
            self._log.write(
                events.duties.USAGE_COMMITTED,
                token=context.token,
                window=window,
                requests=sum(counts.values()),
                workspaces=len(counts),
                age=round(age, 3),
                silent_directories=list(observation.silent_directories),
                silent_sources=list(observation.silent_sources),
            )

        context.propose(windows.Fix(context.token, window, counts), on_answer)

    def _find_age(self, window: int) -> float:
        """Return how many seconds ago a window ended."""
        return self._wall() - spans.find_end(window, self._rules.window)

    def _report(
        self, window: int, known: windows.Windows, context: lease_context.LeaseContext
    ) -> None:
        counts = known.waiting[window]
        requests = sum(counts.values())
        if self._find_age(window) > RETRY_PERIODS * self._rules.late:
            self._finish(window, requests, context, events.duties.USAGE_TIMED_OUT)
            return

        def on_answer(answer: platform_client.Answer) -> None:
            verdict = backoffs.find_verdict(self._duty_calls.read_usage_verdict, answer)
            if verdict is dialects.Verdict.ACCEPTED:
                self._backoff.record_success()
                self._finish(window, requests, context, events.duties.REPORTED)
            else:
                call = f"usage {window}"
                self._backoff.record_failure(call, answer, verdict, context)

        context.client.post(
            self._duty_calls.encode_usage(window, counts), context.token, on_answer
        )

    def _finish(
        self,
        window: int,
        requests: int,
        context: lease_context.LeaseContext,
        event: events.Event,
    ) -> None:
        """Stop reporting a window, and propose to drop it from the log."""
        self._reported.add(window)
        self._log.write(
            event,
            token=context.token,
            window=window,
            requests=requests,
            age=round(self._find_age(window), 3),
        )

        def on_answer(answer: leases.Answer | None) -> None:
            if answer is None:
                self._reported.discard(window)

        context.propose(windows.Reported(context.token, window), on_answer)
