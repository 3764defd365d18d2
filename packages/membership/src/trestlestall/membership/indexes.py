"""The indexes of a table: names by the key of a row, and by how new their news is."""

from collections import abc

from trestlestall.membership import entries, facts, rows


class Index:
    """Kept in step with the table's entries by ``update`` and ``forget``.

    ``names`` finds an upstream's name by the key of its described incarnation.
    ``recent`` holds names by when they were last to be passed on, the newest at the
    end.
    """

    def __init__(self) -> None:
        self.names: dict[bytes, str] = {}
        self.recent: dict[str, None] = {}

    def update(
        self, known: entries.Entry | None, entry: entries.Entry, is_news: bool
    ) -> None:
        """Note the entry in the place of the known one; news is to be passed on."""
        name = entry.upstream.name
        if is_news:
            self.recent.pop(name, None)
            self.recent[name] = None
        if known is not None and not facts.is_whole_change(known.fact, entry.fact):
            return
        if known is not None:
            self.names.pop(rows.derive_key(name, known.upstream.incarnation), None)
        if entry.fact.described:
            key = rows.derive_key(name, entry.upstream.incarnation)
            self.names[key] = name

    def forget(self, entry: entries.Entry) -> None:
        """Drop the entry."""
        name = entry.upstream.name
        self.recent.pop(name, None)
        self.names.pop(rows.derive_key(name, entry.upstream.incarnation), None)

    def list_recent(self) -> abc.Iterator[str]:
        """Return the names, the one with the newest news first."""
        return reversed(self.recent)
