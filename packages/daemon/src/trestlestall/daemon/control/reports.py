"""The status document of a control process, and its log lines."""

from __future__ import annotations

import typing
from collections import abc

from trestlestall.agreement import actions
from trestlestall.daemon import events, logs
from trestlestall.daemon.control import distribution, group, voter as voters
from trestlestall.storage import contents

if typing.TYPE_CHECKING:
    from trestlestall.daemon.control import server as servers

Document = dict[str, typing.Any]
Reply = abc.Callable[[Document], object]


def describe(
    server: servers.Server, notices: abc.Mapping[str, group.Notice], now: float
) -> Document:
    """Return the status document of a control process.

    It is current only if a quorum has confirmed that this process leads.
    """
    voter = server.voter
    if voter is None:
        return {"name": server.settings.name, "leader": None, "voters": []}
    return {
        "name": server.settings.name,
        "leader": server.leader,
        "term": voter.node.term,
        "configuration": voter.machine.version,
        "log_index": voter.node.commit_index,
        "snapshot_index": voter.node.snapshot_index,
        "voters": [
            _describe_voter(server, name, notices) for name in voter.node.voters
        ],
        "routers": _describe_routers(server, now),
        **server.placing.describe(voter.machine),
    }


def _describe_voter(
    server: servers.Server, voter: str, notices: abc.Mapping[str, group.Notice]
) -> Document:
    """Return a voter's row; ``other_disk`` means that its own disk is lost."""
    name = group.get_process_name(voter)
    notice = notices.get(name)
    state = "unreachable"
    if voter == server.own or notice is not None and notice.voter == voter:
        state = "linked"
    elif notice is not None:
        state = "other_disk"
    leads = voter == server.voter.node.leader
    return {"name": name, "voter": voter, "state": state, "leads": leads}


def _describe_routers(server: servers.Server, now: float) -> list[Document]:
    newest = server.voter.machine.version
    return [
        {
            "name": router,
            "configuration": version,
            "lags": version < newest,
            "lag_seconds": round(server.distributor.get_lag_seconds(router, now), 3),
        }
        for router, version in server.distributor.list_versions()
    ]


def write_timing(log: logs.Log, action: actions.TimingAdapted) -> None:
    """Log that a voter's election timeout was adapted to its disk."""
    log.write(
        events.agreement.TIMING_ADAPTED,
        sync_seconds=action.sync,
        election_seconds=action.election,
    )


class UndecidedElections:
    """Logs elections without a quorum, so that hours of them write few lines.

    Of alike ones in a row the first, second, fourth, eighth and so on are logged.
    """

    def __init__(self, log: logs.Log) -> None:
        self._log = log
        self._latest: actions.ElectionUndecided | None = None
        self._count = 0

    def record(self, action: actions.ElectionUndecided) -> None:
        """Count an election, and log it if that is due."""
        self._count = self._count + 1 if action == self._latest else 1
        self._latest = action
        if self._count & (self._count - 1) == 0:
            self._log.write(
                events.agreement.ELECTION_UNDECIDED,
                term=action.term,
                granted=list(action.granted),
                denied=list(action.denied),
                excluded=list(action.excluded),
                voters=[list(voters) for voters in action.configurations],
                elections=self._count,
            )


class Reporter:
    """Writes log lines on changes of the replicated state and its voters."""

    def __init__(self, log: logs.Log):
        self._log = log
        self._undecided = UndecidedElections(log)
        self._voters: tuple[str, ...] = ()
        self._version = 0
        self._lagging_routers: set[str] = set()

    def log_link_change(self, peer: str, linked: bool) -> None:
        """Log that a link opened or closed."""
        self._log.write(events.links.UP if linked else events.links.DOWN, peer=peer)

    def log_action(self, action: actions.Action, voter: voters.Voter | None) -> None:
        """Log changes of leadership, and snapshots."""
        if isinstance(action, actions.BecameLeader):
            granted = list(action.granted)
            self._log.write(
                events.agreement.ELECTED,
                term=action.term,
                granted=granted,
                excluded=list(action.excluded),
            )
        elif isinstance(action, actions.VoterLost):
            self._log.write(events.agreement.DISK_LOST, voter=action.voter)
        elif isinstance(action, actions.ElectionUndecided):
            self._undecided.record(action)
        elif isinstance(action, actions.Deposed):
            self._log.write(events.agreement.DEPOSED, term=action.term)
        elif isinstance(action, actions.TimingAdapted):
            write_timing(self._log, action)
        elif isinstance(action, actions.PersistSnapshot):
            self._log.write(
                events.agreement.SNAPSHOT_SAVED,
                index=action.snapshot.index,
                bytes=len(action.snapshot.state),
                kept_records=len(action.entries),
            )
        elif isinstance(action, actions.Restore):
            index = action.snapshot.index
            self._log.write(events.agreement.SNAPSHOT_RESTORED, index=index)

    def log_recovery(self, loaded: contents.Loaded) -> None:
        """Log the number of records recovered from the data folder."""
        self._log.write(events.agreement.LOG_RECOVERED, records=len(loaded.records))

    def log_changes(self, server: servers.Server, now: float) -> None:
        """Log changes since the last turn: voters, version, lagging routers."""
        self._log_voter_changes(server.voter.node.voters)
        version = server.voter.machine.version
        if version != self._version:
            self._log.write(
                events.agreement.APPLIED,
                configuration=version,
                previous=self._version,
                source="log",
            )
            self._version = version
        if server.voter.leads:
            self._log_lags(server, version, now)

    def _log_voter_changes(self, present: tuple[str, ...]) -> None:
        former, self._voters = self._voters or present, present
        for voter in sorted(set(present) - set(former)):
            self._log.write(
                events.agreement.VOTER_ADDED, voter=voter, voters=list(present)
            )
        for voter in sorted(set(former) - set(present)):
            self._log.write(
                events.agreement.VOTER_REMOVED, voter=voter, voters=list(present)
            )

    def _log_lags(self, server: servers.Server, version: int, now: float) -> None:
        for router, acknowledged in server.distributor.list_versions():
            lag = server.distributor.get_lag_seconds(router, now)
            if lag < distribution.LAG_WARNING_SECONDS:
                self._lagging_routers.discard(router)
            elif router not in self._lagging_routers:
                self._lagging_routers.add(router)
                self._log.write(
                    events.agreement.ROUTER_LAGS,
                    router=router,
                    configuration=acknowledged,
                    newest=version,
                    seconds=round(lag, 1),
                )

    def wrap_reply(self, request: Document, reply: Reply) -> Reply:
        """Return a reply that also logs the outcome of an operator's command."""

        def reply_and_log(document: Document) -> None:
            outcome = document.get("body", {}).get("outcome")
            if outcome is not None and not request.get("dry_run"):
                OUTCOMES[outcome["kind"]](self._log, request, outcome)
            reply(document)

        return reply_and_log


def log_accepted(log: logs.Log, request: Document, outcome: Document) -> None:
    """Log an accepted command, without its text, which may contain a key."""
    log.write(
        events.agreement.COMMAND_ACCEPTED,
        configuration=outcome["version"],
        operator=request["operator"],
        request_id=request["request_id"],
    )


def log_rejected(log: logs.Log, request: Document, outcome: Document) -> None:
    """Log a rejected command."""
    log.write(
        events.agreement.COMMAND_REJECTED,
        operator=request["operator"],
        request_id=request["request_id"],
        code=outcome["code"],
        message=outcome["message"],
    )


def log_beaten(log: logs.Log, request: Document, outcome: Document) -> None:
    """Log a command whose number another command had taken."""
    log.write(
        events.agreement.COMMAND_BEATEN,
        operator=request["operator"],
        request_id=request["request_id"],
        number=outcome["number"],
        winner=outcome["winner"]["request_id"],
    )


OUTCOMES = {
    "accepted": log_accepted,
    "rejected": log_rejected,
    "beaten": log_beaten,
}
