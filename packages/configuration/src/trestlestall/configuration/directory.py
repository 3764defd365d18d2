"""The workspaces by name, with an index by the digest of their key.

The index is updated together with the map, so that the cost of a change does not depend
on the number of workspaces, and the two are always consistent.
"""

import typing
from collections import abc

from trestlestall.configuration import persistent


class Directory(abc.Mapping):
    """An immutable mapping of workspaces by name, iterated in the order of names.

    It has nothing to do with the directory process.
    """

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
        digests = {one.key_digest: name for name, one in workspaces.items()}
        return cls(persistent.Map.of(workspaces), persistent.Map.of(digests))

    def set(self, workspace: typing.Any) -> "Directory":
        """Return a directory with the workspace added or, by its name, replaced."""
        others = self.remove(workspace.name)
        return Directory(
            others._names.set(workspace.name, workspace),
            others._digests.set(workspace.key_digest, workspace.name),
        )

    def remove(self, name: str) -> "Directory":
        """Return a directory without the workspace, unchanged if there is none."""
        workspace = self._names.get(name)
        if workspace is None:
            return self
        digests = self._digests.remove(workspace.key_digest)
        return Directory(self._names.remove(name), digests)

    def find_digest(self, digest: str) -> typing.Any:
        """Return the workspace whose bearer key has this digest, or ``None``."""
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
