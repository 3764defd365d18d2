"""TS3xxx: upstreams that announce themselves, renew, leave or fail."""

from trestlestall.daemon.events import catalogue

ANNOUNCED = catalogue.declare(
    "TS3001",
    "upstream_announced",
    catalogue.Level.INFO,
    "upstream incarnation data_centre address kind models",
    "An upstream announced itself, for the first time or as a new incarnation.",
)
RENEWED_LATE = catalogue.declare(
    "TS3002",
    "upstream_renewed_late",
    catalogue.Level.WARNING,
    "upstream incarnation late_seconds",
    "A renewal arrived after the lease had expired; the upstream is live again.",
    "Look for an overloaded host or a lossy network if it happens again.",
)
LEFT = catalogue.declare(
    "TS3003",
    "upstream_left",
    catalogue.Level.INFO,
    "upstream incarnation running",
    "An upstream announced that it leaves: it gets no new requests and finishes those"
    " that run.",
)
EXPIRED = catalogue.declare(
    "TS3004",
    "upstream_expired",
    catalogue.Level.WARNING,
    "upstream incarnation running",
    "The lease expired without a renewal: the upstream gets no new requests.",
    "Check the upstream's process and the network between it and this host.",
)
SUSPECT = catalogue.declare(
    "TS3005",
    "upstream_suspect",
    catalogue.Level.WARNING,
    "upstream incarnation reason",
    "A connection was refused or broke: the upstream gets no new requests until its"
    " next renewal.",
    "Check the upstream if it stays suspect or flaps.",
)
DRAINED = catalogue.declare(
    "TS3006",
    "upstream_drained",
    catalogue.Level.INFO,
    "upstream configuration",
    "An operator drained the upstream: it gets no new requests and finishes those that"
    " run.",
)
ADMITTED = catalogue.declare(
    "TS3007",
    "upstream_admitted",
    catalogue.Level.INFO,
    "upstream configuration",
    "An operator admitted the upstream again.",
)
ANNOUNCEMENT_REFUSED = catalogue.declare(
    "TS3008",
    "announcement_refused",
    catalogue.Level.WARNING,
    "upstream incarnation reason",
    "An announcement or renewal was refused; the upstream received the reason.",
    "For an old incarnation, find the second process that uses the same name.",
)
STRAGGLING = catalogue.declare(
    "TS3009",
    "upstream_straggling",
    catalogue.Level.WARNING,
    "upstream gap_seconds usual_seconds",
    "Tokens arrive much more slowly than from sibling upstreams; this one is chosen"
    " less often.",
    "Look at the upstream's host; drain it if it stays slow.",
)
BACKOFF_REQUESTED = catalogue.declare(
    "TS3010",
    "upstream_rests",
    catalogue.Level.INFO,
    "upstream incarnation seconds",
    "The upstream refused a request and asked for backoff: for this many seconds it"
    " gets no new requests from this router, even if it renews.",
    "Look at its load if this continues.",
)
