"""The indexes of a table: names by row key, and names ordered by latest update."""

from collections import abc

from trestlestall.membership import entries, facts, rows


class Index:
    """Indexes that ``update`` and ``remove`` keep consistent with the table's entries.

    ``names`` maps the key of an upstream's described incarnation to its name.
    ``recent`` holds the names in the order in which they were last marked for relaying,
    the latest at the end.
    """

    def __init__(self) -> None:
        self.names: dict[bytes, str] = {}
        self.recent: dict[str, None] = {}

    def update(
        self, known: entries.Entry | None, entry: entries.Entry, is_relayed: bool
    ) -> None:
        """Replace the known entry; ``is_relayed`` if it is now marked for relaying."""
        name = entry.upstream.name
        if is_relayed:
            self.recent.pop(name, None)
            self.recent[name] = None
        if known is not None and not facts.needs_whole_row(known.fact, entry.fact):
            return
        if known is not None:
            self.names.pop(rows.derive_key(name, known.upstream.incarnation), None)
        if entry.fact.described:
            key = rows.derive_key(name, entry.upstream.incarnation)
            self.names[key] = name

    def remove(self, entry: entries.Entry) -> None:
        """Remove the entry from both indexes."""
        name = entry.upstream.name
        self.recent.pop(name, None)
        self.names.pop(rows.derive_key(name, entry.upstream.incarnation), None)

    def list_recent(self) -> abc.Iterator[str]:
        """Return the names, the most recently updated first."""
        return reversed(self.recent)
