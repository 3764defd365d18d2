"""Dry runs: what a submission would change."""

import dataclasses
from collections import abc

from trestlestall.configuration import commands, model, outcomes, state as states

KEY_DIGEST = "key_digest"
PARTS = {
    "class": "classes",
    "workspace": "workspaces",
    "binding": "bindings",
    "service": "services",
    "copies": "copies",
}


@dataclasses.dataclass(frozen=True)
class Change:
    """One declared object before and after; ``None`` where it does not exist.

    ``kind`` is a key of ``PARTS``, or ``drain``, for which the objects are upstream
    names.
    """

    kind: str
    name: str
    before: object | None
    after: object | None


@dataclasses.dataclass(frozen=True)
class Preview:
    """The outcome that a submission would have now, and what it would change."""

    outcome: outcomes.Outcome
    changes: tuple[Change, ...]


def preview_submission(state: states.State, submission: commands.Submission) -> Preview:
    """Return what the submission would do now; a repeated one would change nothing."""
    after, outcome = states.apply_submission(state, submission, at=0.0)
    changes = list_changes(state.configuration, after.configuration)
    return Preview(outcome, changes)


def list_changes(
    before: model.Configuration, after: model.Configuration
) -> tuple[Change, ...]:
    """Return what differs between two configurations, by kind and name."""
    changes: list[Change] = []
    for kind, part in PARTS.items():
        changes += _compare(kind, getattr(before, part), getattr(after, part))
    drained = [{name: name for name in one.drained} for one in (before, after)]
    changes += _compare("drain", *drained)
    return tuple(changes)


def describe_change(change: Change) -> str:
    """Return the change as one line, such as ``change class alerts: tier 3 -> 2``.

    For a changed key the line says only "key", without the digest.
    """
    title = f"{change.kind} {change.name}"
    if change.before is None:
        return f"add {title}"
    if change.after is None:
        return f"remove {title}"
    old, new = (dataclasses.asdict(one) for one in (change.before, change.after))
    differing = [field for field in old if old[field] != new[field]]
    parts = [
        f"{field} {old[field]} -> {new[field]}" if field != KEY_DIGEST else "key"
        for field in differing
    ]
    return f"change {title}: {', '.join(parts)}"


def _compare(kind: str, before: abc.Mapping, after: abc.Mapping) -> list[Change]:
    if before is after:
        return []
    names = sorted(before.keys() | after.keys())
    pairs = ((name, before.get(name), after.get(name)) for name in names)
    return [
        Change(kind, _join_name(name), old, new)
        for name, old, new in pairs
        if old != new
    ]


def _join_name(name: str | tuple[str, ...]) -> str:
    return name if isinstance(name, str) else " ".join(name)
