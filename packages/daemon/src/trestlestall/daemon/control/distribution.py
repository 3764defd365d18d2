"""Distribution of the configuration to routers: their versions, due pushes; pure.

Only committed versions are pushed, and only to a router that has acknowledged one
before. A router without a version pulls, and is answered once a quorum has confirmed
that the answer is current. So a control process that resumes after a long suspension
can't send its old version to a router that has just started.

Only the leader pushes, and repeats a push until it is acknowledged. A router that is
partitioned from the leader alone pulls from the other control processes, which forward
the pull to the leader.
"""

import dataclasses
import typing

from trestlestall.configuration import commands, documents, state as states
from trestlestall.wire import messages

RESEND_INTERVAL_SECONDS = 1.0
LAG_WARNING_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class RouterState:
    """The versions of one router; times are of the monotonic clock, in seconds.

    ``pushed`` is the newest version sent, at ``pushed_at``; ``behind_since`` is when a
    version newer than ``acknowledged`` was first observed, None when there is none.
    """

    acknowledged: int
    pushed: int = 0
    pushed_at: float = 0.0
    behind_since: float | None = None


@dataclasses.dataclass(frozen=True)
class Push:
    """A message to be sent to a router."""

    router: str
    message: messages.ConfigurationDelta | messages.ConfigurationFull


def encode_full(state: states.State) -> messages.ConfigurationFull:
    """Return the whole configuration as a message."""
    configuration = state.configuration
    document = documents.encode_configuration(configuration)
    return messages.ConfigurationFull(configuration.version, document)


def encode_update(
    state: states.State, since: int
) -> messages.ConfigurationDelta | messages.ConfigurationFull:
    """Return an update from a version to the newest: a delta or all, by length.

    For a router that has the newest version already it is an empty delta, which
    confirms that version.
    """
    version = state.configuration.version
    wanted = range(since + 1, version + 1)
    if len(wanted) > _count_objects(state) or any(
        v not in state.history for v in wanted
    ):
        return encode_full(state)
    submissions = tuple(_encode_submission(state, number) for number in wanted)
    return messages.ConfigurationDelta(since, version, submissions)


def _count_objects(state: states.State) -> int:
    found = state.configuration
    parts = (found.classes, found.workspaces, found.bindings, found.services)
    return sum(map(len, (*parts, found.drained, found.copies)))


def _encode_submission(state: states.State, version: int) -> dict[str, typing.Any]:
    entry = state.history[version]
    submission = commands.Submission(
        entry.request_id, entry.operator, version, entry.command, entry.at
    )
    return documents.encode_submission(submission)


class Distributor:
    """The versions of the routers by name, as known to this process."""

    def __init__(self) -> None:
        self._routers: dict[str, RouterState] = {}

    def record_acknowledgement(self, router: str, version: int) -> None:
        """Record the version that is in force on a router."""
        known = self._routers.get(router, RouterState(version))
        behind = known.behind_since if version < known.pushed else None
        self._routers[router] = dataclasses.replace(
            known, acknowledged=version, behind_since=behind
        )

    def remove_router(self, router: str) -> None:
        """Remove a router whose link closed; it reports its version again."""
        self._routers.pop(router, None)

    def list_versions(self) -> list[tuple[str, int]]:
        """Return the names of the routers, each with its acknowledged version."""
        return [(name, one.acknowledged) for name, one in self._routers.items()]

    def get_lag_seconds(self, router: str, now: float) -> float:
        """Return for how many seconds a router has lacked the newest version."""
        known = self._routers.get(router)
        if known is None or known.behind_since is None:
            return 0.0
        return now - known.behind_since

    def collect_due_pushes(
        self, state: states.State, leads: bool, now: float
    ) -> list[Push]:
        """Return the messages that are due, and record them as sent."""
        version = state.configuration.version
        pushes = []
        for router, known in self._routers.items():
            if known.acknowledged >= version:
                continue
            if known.behind_since is None:
                known = dataclasses.replace(known, behind_since=now)
                self._routers[router] = known
            if leads and _is_due(known, version, now):
                since = _find_base_version(known, version)
                pushes.append(Push(router, encode_update(state, since)))
                self._routers[router] = dataclasses.replace(
                    known, pushed=version, pushed_at=now
                )
        return pushes


def _find_base_version(known: RouterState, version: int) -> int:
    """Return the version that a push starts from: the last one pushed or acknowledged.

    A link preserves the order, so a new version follows the earlier pushes. If one of
    them was lost, nothing is acknowledged, and the push is repeated from the
    acknowledged version.
    """
    if known.pushed < version:
        return max(known.acknowledged, known.pushed)
    return known.acknowledged


def _is_due(known: RouterState, version: int, now: float) -> bool:
    return known.pushed < version or now - known.pushed_at >= RESEND_INTERVAL_SECONDS
