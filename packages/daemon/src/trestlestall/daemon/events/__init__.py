"""The catalogue of numbered events that the daemon logs.

One module per range of numbers; use them as ``events.routing.REQUEST_SENT``. The page
docs/EVENTS.md is written from this catalogue by ``python -m
trestlestall.daemon.events.page``, and a test holds the two equal.

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
