"""What the other routers of the data centre said about tiers under pressure."""

import dataclasses
from collections import abc

LIFETIME = 3.0
ROUTER_LIMIT = 1000


@dataclasses.dataclass(frozen=True)
class Note:
    """The newest word of one router: the lowest tier under pressure by model."""

    sequence: int
    levels: abc.Mapping[str, int]
    received_at: float


class Board:
    """The newest note of each peer router; notes of silent routers age out.

    A tier number is lower when it is more urgent. ``find_pressure`` returns the most
    urgent tier that any router heard from in the last ``LIFETIME`` seconds has under
    pressure for the model, or ``None``.
    """

    def __init__(self, lifetime: float = LIFETIME) -> None:
        self.lifetime = lifetime
        self.notes: dict[str, Note] = {}

    def note(
        self, router: str, sequence: int, levels: abc.Mapping[str, int], now: float
    ) -> bool:
        """Keep the note unless a newer one is known; return whether it was kept.

        A router that restarts counts from a low number again: its old note has aged
        out by then, or the new one is refused until it has.
        """
        self.drop_silent(now)
        known = self.notes.get(router)
        if known is not None and known.sequence >= sequence:
            return False
        if known is None and len(self.notes) >= ROUTER_LIMIT:
            return False
        self.notes[router] = Note(sequence, dict(levels), now)
        return True

    def find_pressure(self, model: str, now: float) -> int | None:
        """Return the most urgent tier under pressure for the model, or ``None``."""
        self.drop_silent(now)
        levels = [note.levels for note in self.notes.values()]
        return min((tiers[model] for tiers in levels if model in tiers), default=None)

    def drop_silent(self, now: float) -> None:
        """Forget the routers that were last heard longer ago than the lifetime."""
        oldest = now - self.lifetime
        self.notes = {
            router: note
            for router, note in self.notes.items()
            if note.received_at > oldest
        }
