"""TS6xxx: the placement of models on engines, and the orders that carry it out."""

from trestlestall.daemon.events import catalogue

DECIDED = catalogue.declare(
    "TS6001",
    "placement_decided",
    catalogue.Level.INFO,
    "data_centre upstream order model candidates reason",
    "A change of placement was chosen; candidates and reason say why.",
)
ORDER_LOGGED = catalogue.declare(
    "TS6002",
    "order_logged",
    catalogue.Level.INFO,
    "fence upstream order model",
    "The intent to send an order was committed, before anything is sent.",
)
ORDER_SENT = catalogue.declare(
    "TS6003",
    "order_sent",
    catalogue.Level.INFO,
    "fence upstream order model",
    "An order was sent to an engine with its fencing token.",
)
ORDER_DONE = catalogue.declare(
    "TS6004",
    "order_done",
    catalogue.Level.INFO,
    "fence upstream order model seconds",
    "The engine reports that the order has been carried out.",
)
ORDER_REFUSED = catalogue.declare(
    "TS6005",
    "order_refused",
    catalogue.Level.WARNING,
    "fence upstream order model reason",
    "The engine refused the order, for an old fencing token or another reason.",
    "For an old token: nothing, a newer leader has sent orders. Otherwise see the"
    " reason.",
)
ORDER_UNSETTLED = catalogue.declare(
    "TS6006",
    "order_unsettled",
    catalogue.Level.WARNING,
    "fence upstream order model reason",
    "The answer to an order was lost; the engine is queried for its state.",
    "Nothing to do unless it stays so: then check the engine.",
)
ORDER_WITHHELD = catalogue.declare(
    "TS6007",
    "order_withheld",
    catalogue.Level.INFO,
    "upstream order model reason",
    "An order is not sent yet: orders of a previous leader may still be in flight, or"
    " the weight store has refused for now.",
)
