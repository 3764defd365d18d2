"""TS6xxx: which engine holds which model, and the orders that make it so."""

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
    "The intent to give an order is agreed, before anything is sent.",
)
ORDER_SENT = catalogue.declare(
    "TS6003",
    "order_sent",
    catalogue.Level.INFO,
    "fence upstream order model",
    "An order went to an engine under its fencing number.",
)
ORDER_DONE = catalogue.declare(
    "TS6004",
    "order_done",
    catalogue.Level.INFO,
    "fence upstream order model seconds",
    "The engine reports that the order is carried out.",
)
ORDER_REFUSED = catalogue.declare(
    "TS6005",
    "order_refused",
    catalogue.Level.WARNING,
    "fence upstream order model reason",
    "The engine refused the order, for an old fencing number or another reason.",
    "For an old number: nothing, a newer leader has ordered. Else see the reason.",
)
ORDER_UNSETTLED = catalogue.declare(
    "TS6006",
    "order_unsettled",
    catalogue.Level.WARNING,
    "fence upstream order model reason",
    "The answer to an order was lost; the engine is asked for its state.",
    "Nothing to do unless it stays so: then check the engine.",
)
ORDER_WITHHELD = catalogue.declare(
    "TS6007",
    "order_withheld",
    catalogue.Level.INFO,
    "upstream order model reason",
    "An order is not sent yet: a former leader's orders may still be on the way, or"
    " the weight store has refused for now.",
)
