"""Keeps which software began each stream, and tells gateways that take one up.

A gateway reports a stream's first event to several directories before it passes the
event on. So the fact outlives the gateway that began the stream and the directory that
placed it.
"""

from collections import abc

from trestlestall.daemon.directory import links as directory_links
from trestlestall.forwarding import stream_records, upstreams, version_history
from trestlestall.wire import clocks, stream_messages


class StreamRegistry:
    """The records of one directory; ``list_rows`` returns the known upstreams."""

    def __init__(
        self,
        links: directory_links.Links,
        list_rows: abc.Callable[[], abc.Iterable[upstreams.Row]],
        history: version_history.VersionHistory,
        count_voters: abc.Callable[[], int],
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.records = stream_records.Records()
        self._links = links
        self._list_rows = list_rows
        self._history = history
        self._count_voters = count_voters
        self._clock = clock
        self._started_at = clock()

    def record_first_start(self) -> None:
        """Record that the deployment starts for the first time: no stream began yet."""
        self._started_at = -stream_records.LONGEST_SECONDS

    def handle_began(self, message: stream_messages.StreamsBegan) -> None:
        """Keep the records that a gateway reports."""
        now = self._clock()
        for key, origin, seconds in stream_records.decode_rows(message.rows):
            self.records.record(key, origin, seconds, now)

    def answer(self, gateway: str, call: stream_messages.StreamCall) -> None:
        """Tell a gateway what is known of a stream that a caller takes up."""
        now = self._clock()
        kept_seconds = now - self._started_at
        origin = self.records.find(call.key, now)
        sole = None
        if kept_seconds > call.seconds:
            rows = self._list_rows()
            present = [row for row in rows if row.state is not upstreams.State.GONE]
            self._history.record(present, now)
            sole = self._history.find_sole(call.service, call.seconds, now)
        known = () if origin is None else (origin.service, origin.version)
        answer = stream_messages.StreamAnswer(
            call.token, known, sole, round(kept_seconds, 3), self._count_voters()
        )
        self._links.send(gateway, answer)
