"""Placing requests for all gateways, at one directory that they all ask.

One process that sees every request can keep long prompts away from streams that must
not pause, and sends equal beginnings of prompts to where they are held; gateways that
choose alone each see a part (figures in docs/benchmarks.md). Gateways ask the linked
directory with the lowest name, so no election is needed, and where a cut makes them ask
different ones each side still has one. Nothing depends on the answer: a gateway without
one chooses by itself.
"""

import time
import zlib
from collections import abc

from trestlestall.daemon import dialects, notes
from trestlestall.daemon.directory import (
    links as directory_links,
    metrics as directory_metrics,
)
from trestlestall.forwarding import descriptors, model, placement, upstreams
from trestlestall.wire import messages


class Arbiter:
    """What runs where, over all gateways; kept at the directory that is asked.

    ``configuration`` tells the sizes of engines.
    """

    def __init__(
        self,
        links: directory_links.Links,
        dialect: dialects.Dialect,
        metrics: directory_metrics.Metrics,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._links = links
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._placer = placement.Placer()
        self._configuration: model.Configuration | None = None
        self._rows: tuple[upstreams.Row, ...] = ()
        self._owned: dict[str, dict[str, tuple[str, str]]] = {}

    def set_declaration(self, packed: bytes) -> None:
        """Take the configuration in force."""
        found = self._dialect.decode_configuration(zlib.decompress(packed))
        if isinstance(found, model.Configuration):
            self._configuration = found
            self.set_rows(self._rows)

    def set_rows(self, rows: abc.Iterable[upstreams.Row]) -> None:
        """Take the upstreams as they are known."""
        self._rows = tuple(rows)
        self._placer.set_upstreams(self._rows, self._configuration, self._clock())

    def place(self, gateway: str, call: messages.PlaceCall) -> None:
        """Choose an upstream and tell the gateway."""
        started = time.monotonic()
        descriptor = descriptors.decode(list(call.descriptor))
        found = self._placer.place(descriptor, self._clock(), call.tried)
        refused = isinstance(found, placement.Refused)
        outcome = found.reason if refused else directory_metrics.PLACED
        self._metrics.note_choice(outcome, time.monotonic() - started)
        if refused:
            answer = messages.PlaceAnswer(
                call.token, "", 0, 0.0, found.reason, found.return_seconds
            )
        else:
            self._own(gateway, descriptor, found.row.identity)
            answer = messages.PlaceAnswer(
                call.token,
                found.row.identity,
                found.unread,
                found.predicted,
                taken=found.taken,
            )
        self._links.send(gateway, answer)

    def take_note(self, gateway: str, note: messages.PlaceNote) -> None:
        """Learn what became of a request."""
        now = self._clock()
        if note.kind == notes.FIRST:
            self._placer.note_first(note.request, now)
            return
        owned = self._owned.get(gateway, {}).pop(note.request, None)
        self._placer.end(note.request, now, note.pause)
        if owned is not None and note.kind != notes.NEITHER:
            self._placer.note_outcome(*owned, note.kind == notes.FAILED)

    def take_state(self, gateway: str, state: messages.PlaceState) -> None:
        """Learn what a gateway has at upstreams, in the place of what was known."""
        self.forget(gateway)
        now = self._clock()
        for plain, identity, began in state.tasks:
            descriptor = descriptors.decode(plain)
            if isinstance(
                self._placer.adopt(descriptor, identity, now), placement.Refused
            ):
                continue
            self._own(gateway, descriptor, identity)
            if began:
                self._placer.note_first(descriptor.request_id, now)

    def count_places(self, service: str) -> tuple[int, int]:
        """Return how many slots of the service are taken, and how many there are."""
        return self._placer.count_places(service)

    def forget(self, gateway: str) -> None:
        """Forget the requests of a gateway that is no longer linked."""
        now = self._clock()
        for request in self._owned.pop(gateway, {}):
            self._placer.end(request, now)

    def _own(
        self, gateway: str, descriptor: descriptors.Descriptor, identity: str
    ) -> None:
        owned = self._owned.setdefault(gateway, {})
        owned[descriptor.request_id] = (identity, descriptor.data_centre)
