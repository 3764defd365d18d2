"""The agreed configuration as this router holds it, and when it was last confirmed."""

import dataclasses
import typing
from collections import abc

from trestlestall.configuration import (
    documents,
    exceptions,
    model,
    outcomes,
    state as states,
)

# A router that control has not confirmed for this long reports itself as cut off.
CUT_OFF_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class Applied:
    """A newer configuration was installed and is in force."""

    version: int


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The message held nothing newer than the version in force."""

    version: int


@dataclasses.dataclass(frozen=True)
class Gap:
    """The delta does not apply to the version in force: a full copy is needed."""

    version: int


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """The document is not a valid configuration."""

    message: str


Result: typing.TypeAlias = Applied | Unchanged | Gap | Unreadable


class AgreedConfiguration:
    """Holds the newest configuration; never goes back to an older one.

    ``known`` is true once some process has sent the configuration in force, even if
    only to say that nothing was declared yet (version 0). ``confirmed_at`` is when
    control last confirmed the version in force, in seconds of the monotonic clock;
    ``None`` before the first confirmation.
    """

    def __init__(self, on_change: abc.Callable[[model.Configuration], None]):
        self.configuration = model.EMPTY
        self.confirmed_at: float | None = None
        self.known = False
        self._on_change = on_change

    @property
    def version(self) -> int:
        """The version in force; 0 before the first configuration."""
        return self.configuration.version

    def record_confirmation(self, now: float) -> None:
        """Record that control has just confirmed the version in force."""
        self.confirmed_at = now

    def compute_age(self, now: float) -> float | None:
        """Return the seconds since control last confirmed the version in force."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def is_cut_off(self, now: float) -> bool:
        """Return whether control has not confirmed for ``CUT_OFF_SECONDS``."""
        age = self.compute_age(now)
        return age is None or age > CUT_OFF_SECONDS

    def apply_cached(self, version: int, document: object) -> None:
        """Install a cached configuration until a process sends the one in force."""
        if isinstance(self.apply_full(version, document), Applied):
            self.known = False

    def apply_full(self, version: int, document: object) -> Result:
        """Install a full configuration if it is newer than the one in force."""
        if version <= self.version:
            return self._report_unchanged()
        try:
            found = documents.decode_configuration(document)
        except exceptions.InvalidDocument as error:
            return Unreadable(str(error))
        if found.version != version:
            return Unreadable(f"version {found.version} was sent as {version}")
        return self._install(found)

    def apply_delta(
        self, since: int, version: int, submissions: abc.Sequence[object]
    ) -> Result:
        """Apply the accepted submissions that lead from ``since`` to ``version``."""
        if version <= self.version:
            return self._report_unchanged()
        if since > self.version:
            return Gap(self.version)
        try:
            decoded = [documents.decode_submission(each) for each in submissions]
        except exceptions.InvalidDocument as error:
            return Unreadable(str(error))
        state = states.follow(self.configuration)
        for submission in decoded[self.version - since :]:
            state, outcome = states.apply_submission(state, submission, 0.0)
            if not isinstance(outcome, outcomes.Accepted):
                return Gap(self.version)
        if state.configuration.version != version:
            return Gap(self.version)
        return self._install(state.configuration)

    def encode(self) -> dict:
        """Return the configuration in force as a document, for a peer or the cache."""
        return documents.encode_configuration(self.configuration)

    def _report_unchanged(self) -> Unchanged:
        self.known = True
        return Unchanged(self.version)

    def _install(self, configuration: model.Configuration) -> Applied:
        self.known = True
        self.configuration = configuration
        self._on_change(configuration)
        return Applied(configuration.version)
