"""Writes the log lines of placement: each decision, and each order until its end."""

import typing
from collections import abc

from trestlestall.daemon import events, logs
from trestlestall.placement import actions, orders

Writer = abc.Callable[["EventLogger", typing.Any], None]


class EventLogger:
    """Writes log lines for the controller's decisions and for changes of orders."""

    def __init__(self, log: logs.Log):
        self._log = log
        self._state = orders.EMPTY
        self._withheld: set[actions.Withheld] = set()

    def write_decided(self, action: actions.Decided) -> None:
        """Write a decision with its candidates and reason."""
        change = action.change
        for step in change.steps:
            self._log.write(
                events.placement.DECIDED,
                data_centre=change.data_centre,
                upstream=change.engine,
                order=step.kind,
                model=step.target,
                candidates=list(change.candidates),
                reason=change.reason,
            )

    def write_withheld(self, action: actions.Withheld) -> None:
        """Write that an order is withheld, once until the agreed state changes."""
        if action in self._withheld:
            return
        self._withheld.add(action)
        self._log.write(
            events.placement.ORDER_WITHHELD,
            upstream=action.engine,
            order="",
            model=action.target,
            reason=action.reason,
        )

    def write_unsettled(
        self, open_order: orders.Open, event: actions.Delivered
    ) -> None:
        """Write that the outcome of an order is unknown, if it is."""
        if event.result is actions.Result.UNKNOWN:
            self._log.write(
                events.placement.ORDER_UNSETTLED,
                **describe_order(open_order),
                reason=event.reason,
            )

    def write_sent(self, open_order: orders.Open) -> None:
        """Write that an order is sent to its engine."""
        self._log.write(events.placement.ORDER_SENT, **describe_order(open_order))

    def skip_changes(self, state: orders.Orders) -> None:
        """Record a state without writing: former leaders have logged its changes."""
        self._state = state

    def write_changes(self, state: orders.Orders) -> None:
        """Write the orders that were opened or have ended since the last state."""
        former, self._state = self._state, state
        if former is state:
            return
        self._withheld.clear()
        known = {open_order.fence for open_order in former.open.values()}
        for open_order in state.open.values():
            if open_order.fence not in known:
                self._log.write(
                    events.placement.ORDER_LOGGED, **describe_order(open_order)
                )
        ended = {closed.fence for closed in former.recent}
        for closed in state.recent:
            if closed.fence not in ended:
                self._write_closed(former, closed)

    def _write_closed(self, former: orders.Orders, closed: orders.Closed) -> None:
        if not closed.done:
            self._log.write(
                events.placement.ORDER_REFUSED,
                **describe_order(closed),
                reason=closed.reason,
            )
            return
        open_order = former.open.get(closed.engine)
        seconds = closed.at - open_order.at if open_order is not None else 0.0
        self._log.write(
            events.placement.ORDER_DONE,
            **describe_order(closed),
            seconds=round(seconds, 3),
        )


def describe_order(order: orders.Open | orders.Closed) -> dict[str, typing.Any]:
    """Return the fields that identify an order in log lines."""
    return {
        "fence": order.fence,
        "upstream": order.engine,
        "order": order.order.kind,
        "model": order.order.target,
    }
