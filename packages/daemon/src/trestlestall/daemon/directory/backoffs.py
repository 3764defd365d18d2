"""Exponential backoff of calls that the platform did not accept."""

from collections import abc

from trestlestall.daemon import dialects, events, logs
from trestlestall.daemon.directory import lease_context, platform_client
from trestlestall.wire import clocks

#: Seconds until a call is retried after its first failure; doubled with each further
#: failure up to the longest backoff, so that a recovering platform is not flooded and a
#: report still gets several attempts within its ten seconds.
FIRST_BACKOFF_SECONDS = 0.25
LONGEST_BACKOFF_SECONDS = 4.0


class Backoff:
    """The backoff after consecutive failures of one kind of call."""

    def __init__(
        self, log: logs.Log, clock: abc.Callable[[], float] = clocks.read
    ) -> None:
        self._log = log
        self._clock = clock
        self._backoff_seconds = FIRST_BACKOFF_SECONDS
        self._due_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether a call may be made now."""
        return now >= self._due_at

    def record_success(self) -> None:
        """Reset the backoff after an accepted call."""
        self._backoff_seconds = FIRST_BACKOFF_SECONDS

    def record_failure(
        self,
        call: str,
        answer: platform_client.Answer,
        verdict: dialects.Verdict,
        context: lease_context.LeaseContext,
    ) -> None:
        """Extend the backoff; release the lease if another directory holds it."""
        if verdict is dialects.Verdict.SUPERSEDED:
            context.release(call)
        self._due_at = self._clock() + self._backoff_seconds
        self._log.write(
            events.duties.CALL_FAILED,
            token=context.token,
            call=call,
            status=answer.status,
            verdict=verdict.value,
            reason=answer.reason,
            seconds=round(answer.seconds, 3),
            pause=self._backoff_seconds,
        )
        self._backoff_seconds = min(
            LONGEST_BACKOFF_SECONDS, 2.0 * self._backoff_seconds
        )


def find_verdict(
    read: abc.Callable[[int], dialects.Verdict], answer: platform_client.Answer
) -> dialects.Verdict:
    """Return the verdict on a call, which is unknown without an answer."""
    if answer.status is None:
        return dialects.Verdict.UNKNOWN
    return read(answer.status)
