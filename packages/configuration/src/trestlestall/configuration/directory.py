"""The workspaces by name, with an index by the digest of their key.

The index is kept with the map, so that a change costs the same however many workspaces
there are, and so that the two can not disagree.
"""

import typing
from collections import abc

from trestlestall.configuration import persistent


class Directory(abc.Mapping):
    """An immutable mapping of workspaces by name, iterated in the order of names."""

    __slots__ = ("_names", "_digests")

    def __init__(
        self,
        names: persistent.Map = persistent.EMPTY,
        digests: persistent.Map = persistent.EMPTY,
    ):
        self._names = names
        self._digests = digests

    @classmethod
    def of(cls, workspaces: abc.Mapping) -> "Directory":
        """Return a directory of the mapping; a ``Directory`` is returned as it is."""
        if isinstance(workspaces, Directory):
            return workspaces
        digests = {made.key_digest: name for name, made in workspaces.items()}
        return cls(persistent.Map.of(workspaces), persistent.Map.of(digests))

    def set(self, workspace: typing.Any) -> "Directory":
        """Return a directory with the workspace added, or replaced by its name."""
        cleared = self.remove(workspace.name)
        return Directory(
            cleared._names.set(workspace.name, workspace),
            cleared._digests.set(workspace.key_digest, workspace.name),
        )

    def remove(self, name: str) -> "Directory":
        """Return a directory without the workspace; an absent one changes nothing."""
        made = self._names.get(name)
        if made is None:
            return self
        digests = self._digests.remove(made.key_digest)
        return Directory(self._names.remove(name), digests)

    def find_digest(self, digest: str) -> typing.Any:
        """Return the workspace whose key has this digest, or ``None``."""
        return self._names.get(self._digests.get(digest))

    def __getitem__(self, name: str) -> typing.Any:
        return self._names[name]

    def __iter__(self) -> abc.Iterator[str]:
        return iter(self._names)

    def __len__(self) -> int:
        return len(self._names)

    def __hash__(self) -> int:
        return hash(self._names)

    def __repr__(self) -> str:
        return f"Directory({dict(self)!r})"


EMPTY = Directory()
