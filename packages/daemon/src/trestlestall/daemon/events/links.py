"""TS5xxx: the links between the system's own processes."""

from trestlestall.daemon.events import catalogue

UP = catalogue.declare(
    "TS5001",
    "link_up",
    catalogue.Level.INFO,
    "peer role data_centre address",
    "A link to a peer is open and both ends have proved that they have the shared"
    " secret.",
)
DOWN = catalogue.declare(
    "TS5002",
    "link_down",
    catalogue.Level.WARNING,
    "peer reason",
    "A link broke; it is dialled again with exponential backoff and jitter.",
    "Check the peer and the network if it stays down.",
)
REFUSED = catalogue.declare(
    "TS5003",
    "link_refused",
    catalogue.Level.WARNING,
    "peer address reason",
    "A connection to the peers' address did not prove that it has the shared secret,"
    " or violated a limit.",
    "Find out who connects; compare the secrets files if it is one of your processes.",
)
NOT_UNDERSTOOD = catalogue.declare(
    "TS5004",
    "message_not_understood",
    catalogue.Level.WARNING,
    "peer message reason",
    "A peer sent a message that this version doesn't know; the peer was notified.",
    "Finish the upgrade, so that all processes run compatible versions.",
)
DROPPED = catalogue.declare(
    "TS5005",
    "message_dropped",
    catalogue.Level.WARNING,
    "peer message count",
    "The send queue of a link was full and its oldest messages were dropped.",
    "Check whether the peer or the network is too slow.",
)
