"""What a directory knows of the other directories, and changes of the voters."""

import dataclasses
from collections import abc

from trestlestall.daemon import events, logs
from trestlestall.daemon.control import group, voter as voters
from trestlestall.daemon.directory import voter_changes


class Members:
    """The other directories' notices and link states, and the change in flight.

    ``clock`` returns the time on the monotonic clock, in seconds.
    """

    def __init__(self, log: logs.Log, clock: abc.Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._notices: dict[str, group.Notice] = {}
        self._observations: dict[str, voter_changes.Observation] = {}
        self._change: voter_changes.Change | None = None

    # Observations of the other directories.

    def record_linked(self, peer: str) -> None:
        """Record that a link to another directory opened."""
        self._observe(peer, None, True)

    def record_unlinked(self, peer: str) -> None:
        """Record that a link closed, if its peer was a directory."""
        if peer in self._observations:
            self._observe(peer, None, False)

    def record_notice(self, peer: str, notice: group.Notice) -> None:
        """Record what another directory says of itself."""
        self._notices[peer] = notice
        self._observe(peer, notice.voter, True)

    def has_ungrouped_peers(self) -> bool:
        """Return whether some directory has not learned the group yet."""
        return any(notice.group is None for notice in self._notices.values())

    def find_group(
        self, own: str, founders: abc.Sequence[str]
    ) -> tuple[str, ...] | None:
        """Return the initial voters, once they are known.

        ``founders`` are the directories that form the group, if it may still be
        formed; otherwise it is empty.
        """
        notices = list(self._notices.values())
        if founders:
            return group.find_group(own, founders, notices)
        return next((notice.group for notice in notices if notice.group), None)

    def _observe(self, peer: str, voter: str | None, linked: bool) -> None:
        known = self._observations.get(peer)
        changed = known is None or known.linked is not linked
        since = self._clock() if changed else known.since
        if voter is None and known is not None:
            voter = known.voter
        self._observations[peer] = voter_changes.Observation(voter, linked, since)

    # The change of voters.

    def begin_leading(self) -> None:
        """Begin to lead: measure from now on how long directories are unlinked."""
        self.clear_change()
        now = self._clock()
        for name, observation in self._observations.items():
            if not observation.linked:
                self._observations[name] = dataclasses.replace(observation, since=now)

    def clear_change(self) -> None:
        """Drop the change in flight: this directory does not lead."""
        self._change = None

    def decide(
        self, own: str, present: abc.Sequence[str]
    ) -> voter_changes.Change | None:
        """Return the next change of the ``present`` voters, if one is due."""
        if self._change is not None:
            return None
        self._add_unseen(own, present)
        found = voter_changes.find_change(
            own, present, self._observations, self._clock()
        )
        if found is not None:
            self._change = found
            self._log.write(
                events.directory.VOTER_CHANGE,
                add=found.add,
                remove=found.remove,
                reason=found.reason,
                voters=list(present),
            )
        return found

    def _add_unseen(self, own: str, present: abc.Sequence[str]) -> None:
        """Count a voter that was never linked as unresponsive from now on."""
        for voter in present:
            name = group.get_process_name(voter)
            if voter != own and name not in self._observations:
                observation = voter_changes.Observation(voter, False, self._clock())
                self._observations[name] = observation

    def record_result(self, result: voters.Result, present: abc.Sequence[str]) -> None:
        """Log how the change in flight ended."""
        change, self._change = self._change, None
        if change is None:
            return
        self._log.write(
            events.directory.VOTER_CHANGE_ENDED,
            add=change.add,
            remove=change.remove,
            outcome=type(result).__name__,
            voters=list(present),
        )
