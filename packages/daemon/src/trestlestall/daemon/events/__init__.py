"""The catalogue of numbered events that the daemon logs.

There is one module per range of numbers; events are used as ``events.routing.SENT``.
The page docs/EVENTS.md is generated from this catalogue by ``python -m
trestlestall.daemon.events.page``, and a test checks that it is up to date.

    TS1xxx process    TS2xxx routing    TS3xxx upstreams
    TS4xxx agreement  TS5xxx links      TS6xxx placement
    TS7xxx forwarding TS8xxx directory  TS9xxx duties
"""

from trestlestall.daemon.events import (
    agreement,
    catalogue,
    directory,
    duties,
    forwarding,
    links,
    placement,
    process,
    routing,
    upstreams,
)

Event = catalogue.Event
Level = catalogue.Level
CATALOGUE = catalogue.CATALOGUE
RANGES = (
    process,
    routing,
    upstreams,
    agreement,
    links,
    placement,
    forwarding,
    directory,
    duties,
)
