"""Requests of a router to an engine: one order, sent once, or a query of its state.

An order counts as "not sent" only until the call of ``connections.send``, and as
"unknown" from then on: nothing was sent if the connection could not be opened or the
order was too late.
"""

import dataclasses
import json
import typing
from collections import abc

from trestlestall.daemon.router import connections
from trestlestall.placement import actions, model

ORDERS = "/v1/orders"
STATE = "/v1/state"
JSON_HEADERS = {"Content-Type": "application/json"}
ANSWER_SECONDS = 5.0
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024
REASON_LIMIT_CHARACTERS = 200
TOO_LATE = "too_late"
NOT_CONNECTED = "not_connected"

Result = actions.Result


@dataclasses.dataclass(frozen=True)
class Delivery:
    """The result of sending an order."""

    result: actions.Result
    reason: str = ""


def send_order(
    address: str,
    fence: int,
    order: model.Order,
    may_write: abc.Callable[[], bool],
) -> Delivery:
    """Send an order to the engine at ``IP:port``.

    ``may_write`` is called right before the order is written.
    """
    connection = connections.connect(address)
    if isinstance(connection, Exception):
        return Delivery(Result.NOT_SENT, NOT_CONNECTED)
    try:
        connection.set_timeout(ANSWER_SECONDS)
        body = json.dumps(encode_order(fence, order)).encode()
        if not may_write():
            return Delivery(Result.NOT_SENT, TOO_LATE)
        response = connections.send(connection, "POST", ORDERS, JSON_HEADERS, body)
        return evaluate_answer(
            response.status, connections.read_body(response, ANSWER_LIMIT_BYTES)
        )
    except connections.TRANSPORT_ERRORS as error:
        return Delivery(Result.UNKNOWN, type(error).__name__)
    finally:
        connection.close()


def encode_order(fence: int, order: model.Order) -> dict[str, typing.Any]:
    """Return the body of an order in the format that engines expect."""
    return {
        "fence": fence,
        "order": order.kind,
        "model": order.model,
        "adapter": order.adapter,
        "version": order.version,
        "role": order.role,
    }


def evaluate_answer(status: int, body: bytes | None) -> Delivery:
    """Return the result of an order by the engine's answer.

    After a server error (5xx) the result is unknown.
    """
    if status == 200:
        return Delivery(Result.TAKEN)
    if 400 <= status < 500:
        return Delivery(Result.REFUSED, parse_error_code(body) or f"status_{status}")
    return Delivery(Result.UNKNOWN, f"status_{status}")


def parse_error_code(body: bytes | None) -> str:
    """Return the code of an error body in the published format, else an empty text."""
    error = parse_object(body).get("error")
    code = error.get("code") if isinstance(error, dict) else None
    return str(code)[:REASON_LIMIT_CHARACTERS] if code else ""


def fetch_state(address: str) -> dict[str, typing.Any]:
    """Return the state that the engine at ``IP:port`` reports, empty on failure."""
    connection = connections.connect(address)
    if isinstance(connection, Exception):
        return {}
    try:
        connection.set_timeout(ANSWER_SECONDS)
        response = connections.send(connection, "GET", STATE, {}, b"")
        body = connections.read_body(response, ANSWER_LIMIT_BYTES)
        return parse_object(body) if response.status == 200 else {}
    except connections.TRANSPORT_ERRORS:
        return {}
    finally:
        connection.close()


def parse_object(body: bytes | None) -> dict[str, typing.Any]:
    """Return the JSON object in a body, an empty one if there is none."""
    try:
        document = json.loads(body or b"{}")
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}
