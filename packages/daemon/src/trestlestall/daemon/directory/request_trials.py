"""Trials of requests whose quarantine is over: one of a kind runs at a time."""

from collections import abc

from trestlestall.daemon.directory import quarantine as directory_quarantine
from trestlestall.forwarding import crashes

#: Seconds between the failure of a trial and the next one: by then it is known whether
#: its upstream crashed, even if that shows only by another incarnation in its place.
TRIAL_INTERVAL_SECONDS = 6.0


class RequestTrials:
    """The trials of one directory; ``list_running`` yields digests that run now."""

    def __init__(
        self,
        quarantine: directory_quarantine.Quarantine,
        list_running: abc.Callable[[], abc.Iterator[str]],
        clock: abc.Callable[[], float],
    ) -> None:
        self._quarantine = quarantine
        self._list_running = list_running
        self._clock = clock
        self._failed_at: dict[str, float] = {}

    def is_refused(self, digest: str) -> bool:
        """Return whether a request is not sent because upstreams crash under it.

        While it is on trial, only one send runs at a time. A send that failed counts as
        running until it would be known that its upstream crashed.
        """
        verdict = self._quarantine.evaluate(digest)
        if verdict is not crashes.Verdict.ON_TRIAL:
            return verdict is crashes.Verdict.HARMFUL
        self._forget_settled()
        return digest in self._failed_at or digest in self._list_running()

    def record_failed(self, digest: str) -> None:
        """Record that a request failed; this matters if it was on trial."""
        if self._quarantine.evaluate(digest) is crashes.Verdict.ON_TRIAL:
            self._failed_at[digest] = self._clock()

    def _forget_settled(self) -> None:
        earliest = self._clock() - TRIAL_INTERVAL_SECONDS
        self._failed_at = {
            digest: at for digest, at in self._failed_at.items() if at > earliest
        }
