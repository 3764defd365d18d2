"""A gateway's cached view: the configuration in force and the known upstreams."""

import functools
import zlib
from collections import abc

from trestlestall.daemon import announcements, dialects, events, logs
from trestlestall.forwarding import (
    backoffs,
    brittleness,
    budgets,
    crashes,
    harmful_parts,
    model,
    placement,
    rate_limits,
    routing,
    upstreams,
)
from trestlestall.wire import clocks

#: The source of the gateway's own counts in its retry ledger. They are never sent to
#: another process, so the name need not be unique.
OWN = "own"


class CachedView:
    """The newest configuration, the merged table of upstreams, and what is derived.

    The configuration's version never goes back within one run of the process,
    whichever directory sends it.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        log: logs.Log,
        clock: abc.Callable[[], float] = clocks.read,
    ) -> None:
        self.dialect = dialect
        self.log = log
        self.clock = clock
        self.directory: routing.RouteTable | None = None
        self.version = 0
        self.has_rows = False
        self.table = upstreams.Table()
        self.placer = placement.Placer()
        self.retry_ledger = budgets.Ledger(OWN, clock())
        self.crashes = crashes.Record()
        self.parts = harmful_parts.Record()
        self.backoffs = backoffs.Backoffs()
        self.advertised_limits = rate_limits.RateLimits(share=0.0)
        self.brittleness = brittleness.Brittleness()

    @property
    def limits(self) -> model.CallerLimits:
        """The limits on callers' connections."""
        if self.directory is None:
            return model.DEFAULT_LIMITS
        return self.directory.configuration.limits

    def evaluate(self, digest: str) -> crashes.Verdict:
        """Return whether a request seems to crash upstreams, by what is known here."""
        return self.crashes.evaluate(digest, self.clock())

    def list_serving(self) -> list[str]:
        """Return the identities of the upstreams that take requests."""
        rows = self.table.rows.items()
        return [one for one, row in rows if row.state is upstreams.State.SERVING]

    def is_brittle(self, row: upstreams.Row) -> bool:
        """Return whether an upstream of the row's service says that it is brittle."""
        if not self.brittleness.is_active:
            return False
        rows = self.table.rows.values()
        return self.brittleness.is_any_brittle(
            one.identity for one in rows if one.service == row.service
        )

    def count_quarantined(self) -> int:
        """Return how many requests are quarantined for crashing upstreams."""
        return len(self.crashes.list_quarantined(self.clock()))

    def count_held_parts(self) -> int:
        """Return how many parts of prompts are held for crashing upstreams."""
        return sum(map(len, self.parts.list_held()))

    def is_complete(self) -> bool:
        """Return whether a configuration and a list of upstreams have been received."""
        return self.directory is not None and self.has_rows

    def can_place(self, host: str, path: str) -> bool:
        """Return whether enough is known to decide on a request to this host and path.

        That is the case if no route matches it, or if an upstream can serve it.
        """
        if self.directory is None:
            return False
        route = self.directory.find_route(host, path)
        if isinstance(route, routing.Unroutable):
            return True
        return any(self.placer.has_upstream(one.service) for one in route.targets)

    def apply_declaration(self, version: int, packed: bytes, source: str) -> None:
        """Apply a configuration, compressed by zlib, unless its version is outdated."""
        if version <= self.version and self.directory is not None:
            return
        found = self.dialect.decode_configuration(zlib.decompress(packed))
        if isinstance(found, model.Invalid):
            self.log.write(
                events.forwarding.UNDECODABLE,
                declaration=version,
                source=source,
                reason=found.reason,
            )
            return
        previous, self.version = self.version, version
        self.directory = routing.RouteTable(found)
        self._refresh()
        self.log.write(
            events.forwarding.APPLIED,
            declaration=version,
            previous=previous,
            source=source,
            routes=len(found.routes),
            workspaces=len(found.workspaces),
        )

    def merge_plain_rows(self, plain: abc.Iterable[object], source: str) -> None:
        """Merge the rows of a directory's message; malformed rows are logged."""
        report = functools.partial(self._report_refused, source)
        self.merge_rows(announcements.decode_rows(plain, report), source)

    def merge_plain_versions(self, plain: abc.Iterable[object], source: str) -> None:
        """Merge the versions of a directory's message; malformed ones are logged."""
        report = functools.partial(self._report_refused, source)
        pairs = announcements.decode_versions(plain, report)
        self._apply_changed(self.table.merge_versions(pairs), source)

    def _report_refused(self, source: str, identity: str, reason: str) -> None:
        self.log.write(
            events.forwarding.ROW_REFUSED,
            upstream=identity,
            source=source,
            reason=reason,
        )

    def merge_rows(self, rows: abc.Iterable[upstreams.Row], source: str) -> None:
        """Merge decoded rows; ``source`` names their sender in the log."""
        now = self.clock()
        self.has_rows = True
        changed = [
            merged for row in rows if (merged := self.table.merge(row, now)) is not None
        ]
        self.table.expire_tombstones(now)
        self._apply_changed(changed, source)

    def _apply_changed(self, changed: list[upstreams.Row], source: str) -> None:
        """Use rows that changed, and log them."""
        if changed:
            self._refresh()
        for row in changed:
            self.log.write(
                events.forwarding.UPSTREAM_CHANGED,
                upstream=row.identity,
                service=row.service,
                address=row.address,
                state=row.state.name.lower(),
                version=row.version,
                sequence=row.sequence,
                source=source,
            )

    def record_replaced(self, row: upstreams.Row) -> None:
        """Record that another incarnation of the upstream now uses its address."""
        self.merge_rows((upstreams.make_tombstone(row),), "upstream")

    def _refresh(self) -> None:
        known = self.directory.configuration if self.directory else None
        rows = self.table.rows.values()
        self.placer.set_upstreams(rows, known, self.clock())
        self.parts.evidence.record_serving(len(self.list_serving()), self.clock())
