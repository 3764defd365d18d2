"""Bounds and times of placement, in seconds, tokens a second, or counts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Planning:
    """When and how much the plan changes.

    An engine holds at most ``models_per_engine``. A copy is assumed to serve
    ``copy_rate`` tokens a second: one more is wanted when the use of the copies exceeds
    ``high`` (0..1), and one may be unloaded only when the use of the others would stay
    below ``low``. A copy loaded for less than ``hold`` is not unloaded. Plans are made
    at intervals of ``every``, for each data centre whose set of engines has been the
    same for ``settle``; at most the share ``busy`` of its engines changes at a time.
    """

    models_per_engine: int = 2
    copy_rate: float = 2000.0
    high: float = 0.8
    low: float = 0.5
    hold: float = 300.0
    settle: float = 10.0
    busy: float = 0.25
    every: float = 5.0


@dataclasses.dataclass(frozen=True)
class Sending:
    """The times of one order's delivery.

    A gate forwards an order only within ``permit`` of having granted it, and writes it
    to the engine within ``forward`` of that, both by its own clock. ``max_in_flight``
    is therefore the longest time after which an order can still be written; ``drift``
    allows for clocks that run at unequal speed. An order without an answer for
    ``answer`` counts as lost. A permit request is repeated after ``retry``, and engines
    are queried every ``ask``. An accepted order of which the engine shows no trace has
    failed after ``forget``. An engine drained for ``drain_settle`` gets no new requests
    any more.
    """

    permit: float = 2.0
    forward: float = 3.0
    drift: float = 1.2
    answer: float = 8.0
    retry: float = 1.0
    ask: float = 1.0
    forget: float = 10.0
    drain_settle: float = 5.0

    @property
    def max_in_flight(self) -> float:
        """Seconds after which an order that was given a permit can't be written."""
        return (self.permit + self.forward) * self.drift


@dataclasses.dataclass(frozen=True)
class Loading:
    """The limits on loads that protect the weight store.

    At most ``at_once`` loads run, and one starts every ``interval``. A load that is not
    urgent starts after a random part of ``spread``. A failed load backs off for
    ``retry_first``, doubled with each failure up to ``retry_longest``.
    """

    at_once: int = 4
    interval: float = 1.0
    spread: float = 10.0
    retry_first: float = 5.0
    retry_longest: float = 300.0


@dataclasses.dataclass(frozen=True)
class Rolling:
    """When a rollout's new version counts as failed.

    The next engine follows after ``samples`` answers, and at least ``soak`` after the
    last one changed. The version fails if, over at least ``samples`` answers, its
    attainment is below ``attainment`` or more than ``slack`` below that of the previous
    version, or if its load fails ``failures`` times on an engine.
    """

    soak: float = 30.0
    samples: int = 20
    attainment: float = 0.9
    slack: float = 0.05
    failures: int = 3


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of placement."""

    planning: Planning = Planning()
    sending: Sending = Sending()
    loading: Loading = Loading()
    rolling: Rolling = Rolling()
