"""Routers report their engines to the control leader, as changes only.

The leader calls each linked router at intervals, with the sequence number up to which
it knows the router's values. The router answers with what changed since, and does not
answer if nothing did. The next call makes up for a lost answer. A control process that
does not lead, or has no copies to manage, calls no router, so that nothing is sent.

Importing this module registers the messages with the wire's codec.
"""

import dataclasses
import typing
from collections import abc

from trestlestall.daemon.placement import leader
from trestlestall.membership import outcomes, table as tables, upstreams
from trestlestall.placement import model
from trestlestall.wire import registry

# A change of demand by less than this share is not reported.
DEMAND_STEP = 0.1


# Named tuples, which the codec writes as short arrays and checks when it reads them.


class Row(typing.NamedTuple):
    """An engine as observed by a router; ``load`` is rounded down to a power of two."""

    name: str
    incarnation: int
    models: tuple[str, ...]
    checks_fencing: bool
    live: bool
    load: int


class Asked(typing.NamedTuple):
    """Tokens a second requested of a model at a router, and the most urgent tier."""

    model: str
    tokens_per_second: float
    tier: int


class Answers(typing.NamedTuple):
    """Answers of an engine for a model since the router started, and those on time."""

    engine: str
    model: str
    answers: int
    on_time: int


@registry.register("sightings_call")
@dataclasses.dataclass(frozen=True)
class SightingsCall:
    """The leader asks for changes after ``known`` in this incarnation of the router."""

    life: str
    known: int


@registry.register("sightings_answer")
@dataclasses.dataclass(frozen=True)
class SightingsAnswer:
    """What changed; ``names`` are all engines, None when none has removed since."""

    life: str
    data_centre: str
    sequence: int
    rows: tuple[Row, ...] = ()
    names: tuple[str, ...] | None = None
    asked: tuple[Asked, ...] = ()
    answers: tuple[Answers, ...] = ()


# The router's side.

Key: typing.TypeAlias = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedValue:
    """A value that was report, and the sequence number of its last change."""

    value: Row | Asked | Answers
    sequence: int


class ChangeTracker:
    """A router's reported values with their sequence numbers.

    ``life`` identifies the incarnation of the router's process.
    """

    def __init__(self, life: str, data_centre: str):
        self._life = life
        self._data_centre = data_centre
        self._values: dict[Key, TrackedValue] = {}
        self._sequence = 1
        self._removed_at = 1

    def answer(
        self,
        call: SightingsCall,
        rows: abc.Iterable[Row],
        asked: abc.Iterable[Asked] = (),
        answers: abc.Iterable[Answers] = (),
    ) -> SightingsAnswer | None:
        """Return the present values that the caller lacks, None if it has all."""
        self._record_changes([*rows, *asked, *answers])
        known = call.known if call.life == self._life else 0
        if known >= self._sequence:
            return None
        changed = [one.value for one in self._values.values() if one.sequence > known]
        names = None
        if known < self._removed_at:
            names = tuple(sorted(k[1] for k in self._values if k[0] == Row.__name__))
        return SightingsAnswer(
            self._life,
            self._data_centre,
            self._sequence,
            tuple(one for one in changed if isinstance(one, Row)),
            names,
            tuple(one for one in changed if isinstance(one, Asked)),
            tuple(one for one in changed if isinstance(one, Answers)),
        )

    def _record_changes(self, present: list[Row | Asked | Answers]) -> None:
        """Give each change the next sequence number, and drop removed engines."""
        number = self._sequence + 1
        keys = {make_key(one): one for one in present}
        removed = [k for k in self._values if k not in keys and k[0] == Row.__name__]
        for key in removed:
            del self._values[key]
            self._removed_at = self._sequence = number
        for key, value in keys.items():
            tracked = self._values.get(key)
            if tracked is None or is_significant_change(tracked.value, value):
                self._values[key] = TrackedValue(value, number)
                self._sequence = number


def make_key(value: Row | Asked | Answers) -> Key:
    """Return the key that identifies a value."""
    if isinstance(value, Row):
        return Row.__name__, value.name
    if isinstance(value, Asked):
        return Asked.__name__, value.model
    return Answers.__name__, value.engine, value.model


def is_significant_change(
    former: Row | Asked | Answers, value: Row | Asked | Answers
) -> bool:
    """Return whether a change is to be reported; small changes of demand aren't."""
    if not isinstance(value, Asked) or not isinstance(former, Asked):
        return former != value
    step = abs(value.tokens_per_second - former.tokens_per_second)
    largest = max(value.tokens_per_second, former.tokens_per_second)
    return value.tier != former.tier or step > DEMAND_STEP * largest


def list_rows(known: tables.Table, now: float) -> list[Row]:
    """Return the rows of the announced engines of the table's data centre."""
    rows = []
    for entry in known.list_entries():
        upstream = entry.upstream
        state = entry.find_state(now, known.grace)
        if state not in (outcomes.State.LIVE, outcomes.State.SUSPECT):
            continue
        if upstream.kind != upstreams.ENGINE or not entry.fact.described:
            continue
        if upstream.data_centre == known.data_centre:
            rows.append(make_row(upstream, state is outcomes.State.LIVE))
    return rows


def make_row(upstream: upstreams.Upstream, live: bool) -> Row:
    """Return an engine's row."""
    load = upstream.report.running + upstream.report.waiting
    return Row(
        upstream.name,
        upstream.incarnation,
        upstream.models,
        upstream.capabilities.checks_fencing,
        live,
        1 << (load.bit_length() - 1) if load else 0,
    )


# The control process's side.


@dataclasses.dataclass
class RouterReport:
    """The values that one router has reported."""

    life: str = ""
    data_centre: str = ""
    sequence: int = 0
    rows: dict[str, Row] = dataclasses.field(default_factory=dict)
    asked: dict[str, Asked] = dataclasses.field(default_factory=dict)
    answers: dict[Key, Answers] = dataclasses.field(default_factory=dict)


class RouterReports:
    """The values that all linked routers have reported."""

    def __init__(self) -> None:
        self._reports: dict[str, RouterReport] = {}

    def forget(self, router: str) -> None:
        """Remove a router whose link ended."""
        self._reports.pop(router, None)

    def clear(self) -> None:
        """Remove everything; routers report it again at the next call."""
        self._reports.clear()

    def make_call(self, router: str) -> SightingsCall:
        """Return the call to a router."""
        known = self._reports.get(router, RouterReport())
        return SightingsCall(known.life, known.sequence)

    def handle_answer(self, router: str, answer: SightingsAnswer) -> list[Answers]:
        """Merge a router's answer; return the answers that are new to this process."""
        known = self._reports.get(router)
        if known is None or known.life != answer.life:
            known = self._reports[router] = RouterReport(
                answer.life, answer.data_centre
            )
        if answer.sequence < known.sequence:
            return []
        known.sequence = answer.sequence
        known.rows |= {row.name: row for row in answer.rows}
        if answer.names is not None:
            present = set(answer.names)
            known.rows = {n: row for n, row in known.rows.items() if n in present}
        known.asked |= {one.model: one for one in answer.asked}
        return [new for one in answer.answers if (new := count_new_answers(known, one))]

    def list_gates(self) -> dict[str, tuple[str, ...]]:
        """Return the routers that have reported something, by data centre."""
        found: dict[str, tuple[str, ...]] = {}
        for router, report in sorted(self._reports.items()):
            gates = found.get(report.data_centre, ())
            found[report.data_centre] = (*gates, router)
        return found

    def list_sightings(self) -> list[leader.Sighting]:
        """Return each engine once, in its newest incarnation.

        It is live if any router that has this incarnation reports it as live.
        """
        best: dict[str, tuple[tuple[int, bool], leader.Sighting]] = {}
        for _, report in sorted(self._reports.items()):
            for row in report.rows.values():
                rank = row.incarnation, row.live
                if row.name not in best or rank > best[row.name][0]:
                    best[row.name] = rank, read_row(row, report.data_centre)
        return [sighting for _, (_, sighting) in sorted(best.items())]

    def sum_demand(self) -> model.Demand:
        """Return the demand by data centre and model, summed over the routers."""
        found: dict[model.Place, model.ModelDemand] = {}
        for report in self._reports.values():
            for one in report.asked.values():
                place = report.data_centre, one.model
                known = found.get(place, model.ModelDemand(0.0))
                found[place] = model.ModelDemand(
                    known.tokens_per_second + one.tokens_per_second,
                    min(known.tier, one.tier),
                )
        return found


def count_new_answers(known: RouterReport, report: Answers) -> Answers | None:
    """Return the answers since the last count; None if none, or at the first count."""
    key = report.engine, report.model
    former = known.answers.get(key)
    known.answers[key] = report
    if former is None or report.answers <= former.answers:
        return None
    return Answers(
        report.engine,
        report.model,
        report.answers - former.answers,
        report.on_time - former.on_time,
    )


def read_row(row: Row, data_centre: str) -> leader.Sighting:
    """Return the sighting of a row, without an address: only routers need that."""
    upstream = upstreams.Upstream(
        row.name,
        row.incarnation,
        data_centre,
        "",
        models=row.models,
        capabilities=upstreams.Capabilities(checks_fencing=row.checks_fencing),
        report=upstreams.Report(running=row.load),
    )
    return leader.Sighting(upstream, row.live)
