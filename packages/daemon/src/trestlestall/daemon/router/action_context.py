"""The interface that the handlers of the policy's actions work with."""

import typing
from collections import abc

from trestlestall.daemon import metrics as daemon_metrics
from trestlestall.daemon.router import (
    attempts,
    claims,
    exchanges,
    journal,
    lookups,
    views,
)


class ActionContext(typing.Protocol):
    """The state that actions change; see ``dispatcher``."""

    views: views.Views
    journal: journal.Journal
    metrics: daemon_metrics.Metrics
    claim_client: claims.ClaimClient
    lookups: lookups.Lookups
    on_pressure: abc.Callable[[abc.Mapping[str, int]], None]
    exchanges: dict[str, exchanges.Exchange]
    attempts: dict[str, attempts.Attempt]

    def may_have_run(self, exchange: exchanges.Exchange) -> bool:
        """Return whether a byte of the request was sent to an upstream."""

    def start(self, attempt: attempts.Attempt) -> None:
        """Run an attempt in a greenlet of its own."""
