"""The software versions of incarnations of upstreams.

An incarnation has one version for life. Two that are announced for one identity mean
that its process was replaced, or that somebody else announces it: then its version
counts as unknown, since nobody can tell which of them answers.
"""

#: Versions that are kept: several times the upstreams of the largest deployments.
VERSIONS_LIMIT = 20_000


class Versions:
    """The version of each incarnation, by identity; the oldest are dropped first."""

    def __init__(self) -> None:
        self._versions: dict[str, str | None] = {}

    def record(self, identity: str, version: str | None) -> str | None:
        """Record an announced version, None for none; return what counts from now on.

        >>> known = Versions()
        >>> known.record("u1", "v1")
        'v1'
        >>> known.record("u1", "v2") is None
        True
        """
        if version is None:
            return self._versions.get(identity)
        recorded = self._versions.setdefault(identity, version)
        if recorded != version:
            recorded = self._versions[identity] = None
        if len(self._versions) > VERSIONS_LIMIT:
            del self._versions[next(iter(self._versions))]
        return recorded

    def drop(self, identity: str) -> None:
        """Forget an incarnation."""
        self._versions.pop(identity, None)
