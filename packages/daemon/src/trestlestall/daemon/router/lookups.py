"""Looks up the record of a key at control before a refusal says "not run".

A client retry may be refused before its key is claimed, although an earlier request
under the key has run. One lookup goes to the control leader for each such refusal. It
writes nothing to the replicated log, and it is sent once: when it or its answer is
lost, or when ``LOOKUP_LIMIT`` lookups are already pending, the refusal says that the
outcome is unknown.
"""

import dataclasses
import typing
from collections import abc

import eventlet

from trestlestall.claims import documents, events as claim_events, outcomes
from trestlestall.configuration import exceptions
from trestlestall.daemon import call_tokens
from trestlestall.daemon.router import claims, exchanges
from trestlestall.wire import messages

KIND = "look"
# About 60 KB of pending lookups; at 5 ms each this allows 50,000 refusals a second.
LOOKUP_LIMIT = 256

# Called once with the recorded outcome, or ``None`` when control did not answer.
Resolve: typing.TypeAlias = abc.Callable[[outcomes.Outcome | None], None]


@dataclasses.dataclass(frozen=True)
class PendingLookup:
    """A pending lookup."""

    call: messages.ClaimCall
    resolve: Resolve


class Lookups:
    """The pending lookups, by token.

    ``send`` passes a message to the control leader, as far as it is known;
    ``on_timeout`` is called when an answer did not come in time.
    """

    def __init__(self, send: claims.Send, on_timeout: abc.Callable[[], None]):
        self._send = send
        self._on_timeout = on_timeout
        self._token = call_tokens.draw_first()
        self._lookups: dict[int, PendingLookup] = {}

    def start(self, exchange: exchanges.Exchange, resolve: Resolve) -> None:
        """Look up the exchange's key; ``resolve`` is called once, in any case."""
        if len(self._lookups) >= LOOKUP_LIMIT:
            resolve(None)
            return
        self._token += 1
        call = messages.ClaimCall(self._token, KIND, _make_fields(exchange))
        self._lookups[self._token] = PendingLookup(call, resolve)
        self._send(call)
        eventlet.spawn_after(claims.ANSWER_TIMEOUT_SECONDS, self.time_out, self._token)

    def handle_answer(self, token: int, kind: str, fields: dict) -> bool:
        """Handle control's answer; false when it answers no lookup."""
        if token not in self._lookups:
            return False
        try:
            outcome = documents.decode_outcome({"kind": kind, **fields})
        except exceptions.InvalidDocument:
            return True
        self._lookups.pop(token).resolve(outcome)
        return True

    def redirect(self, token: int) -> None:
        """Send a lookup again, to the leader that another control process named."""
        lookup = self._lookups.get(token)
        if lookup is not None:
            self._send(lookup.call)

    def time_out(self, token: int) -> None:
        """Resolve a lookup that got no answer in time."""
        lookup = self._lookups.pop(token, None)
        if lookup is not None:
            self._on_timeout()
            lookup.resolve(None)


def _make_fields(exchange: exchanges.Exchange) -> dict:
    lookup = claim_events.Lookup(
        workspace=exchange.workspace.name,
        key=exchange.claim_key,
        fingerprint=claims.compute_fingerprint(exchange),
        attempt=exchange.request,
    )
    return documents.encode_lookup(lookup)
