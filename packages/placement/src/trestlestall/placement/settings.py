"""Bounds and times of placement; seconds, tokens a second, or counts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Planning:
    """When and how much the plan changes.

    An engine holds at most ``models_per_engine``. A copy is taken to carry
    ``copy_rate`` tokens a second: one more is wanted when the copies are used above
    ``high``, and one is spare only when the others would stay below ``low``. A copy
    younger than ``hold`` is not given up. A data centre is planned for once its set of
    engines has been the same for ``settle``, and at most the share ``busy`` of its
    engines changes at a time.
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
    """The times of one order on its way.

    A gate forwards an order only within ``permit`` of having granted it, and writes it
    to the engine within ``forward`` of that, both by its own clock. ``outlive`` is
    therefore the longest time after which an order can still be written, with ``drift``
    for clocks that run unequally fast. An order without an answer for ``answer`` counts
    as lost. Engines are asked every ``ask``; one that says it holds nothing of an order
    it took is believed after ``forget``.
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
    def outlive(self) -> float:
        """Seconds from the last chance to get a permit until no order is written."""
        return (self.permit + self.forward) * self.drift


@dataclasses.dataclass(frozen=True)
class Loading:
    """How the weight store is spared.

    At most ``at_once`` loads run and one starts every ``interval``. A load that is not
    urgent starts at a moment drawn from ``spread``; a failed one waits ``retry_first``,
    doubled each time up to ``retry_longest``.
    """

    at_once: int = 4
    interval: float = 1.0
    spread: float = 10.0
    retry_first: float = 5.0
    retry_longest: float = 300.0


@dataclasses.dataclass(frozen=True)
class Rolling:
    """When a new version counts as missing its targets.

    It is judged on ``samples`` answers and at least ``soak`` after an engine took it.
    It fails below ``attainment`` or more than ``slack`` below the former version, and
    after ``failures`` failed loads.
    """

    soak: float = 30.0
    samples: int = 20
    attainment: float = 0.9
    slack: float = 0.05
    failures: int = 3


@dataclasses.dataclass(frozen=True)
class Settings:
    """All of them."""

    planning: Planning = Planning()
    sending: Sending = Sending()
    loading: Loading = Loading()
    rolling: Rolling = Rolling()
