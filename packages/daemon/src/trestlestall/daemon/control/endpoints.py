"""HTTP endpoints of the control process, for operators and for the platform."""

import secrets
import typing
from collections import abc

import eventlet.event

from trestlestall.daemon import metrics as process_metrics
from trestlestall.daemon.control import calls, operations, server as servers
from trestlestall.daemon.http import answers, credentials, errors, requests, routes

OPERATORS = routes.Routes()
PLATFORM = routes.Routes()
OPERATOR = "trestlestall.operator"
REQUEST_ID_BYTES = 12


class Components:
    """The parts of the control process that the HTTP handlers use."""

    def __init__(
        self,
        server: servers.Server,
        keys: typing.Mapping[str, str],
        metrics: process_metrics.Metrics,
        update_metrics: abc.Callable[[], object],
    ):
        self._server = server
        self._keys = keys
        self.metrics = metrics
        self.update_metrics = update_metrics
        self.stopping = False

    def check_operator(self, request: requests.Request) -> errors.Failure | None:
        """Return why the request has no valid operator key; else record its owner."""
        owner = credentials.find_owner(request.headers, self._keys)
        if isinstance(owner, errors.Failure):
            return owner
        request.environ[OPERATOR] = owner
        return None

    def ask(self, kind: str, document: dict) -> answers.Answer:
        """Open a call, wait for its reply and return it."""
        waiting = eventlet.event.Event()
        self._server.open_call(kind, document, waiting.send)
        return build_answer(waiting.wait())

    def find_unready(self) -> str | None:
        """Return why this process should get no requests, None if it should."""
        if self.stopping:
            return "it is stopping"
        if self._server.leader is None:
            return "no leader is known"
        return None


def build_answer(reply: dict) -> answers.Answer:
    """Return the HTTP answer of a reply."""
    body = reply["body"]
    retry = body.get("error", {}).get("retry_after")
    headers = (("Retry-After", str(retry)),) if retry is not None else ()
    return answers.build_json(body, reply["status"], headers)


@OPERATORS.register("POST", "/v1/operator")
def operate(components: Components, request: requests.Request) -> answers.Answer:
    """Execute an operator's text; without a ``request_id``, one is generated."""
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return answers.build_failure(body)
    document = requests.decode_json(body, dict)
    if isinstance(document, errors.Failure):
        return answers.build_failure(document)
    document["operator"] = request.environ[OPERATOR]
    default_id = secrets.token_hex(REQUEST_ID_BYTES)
    found = operations.read_request(document, default_id)
    if isinstance(found, calls.Reply):
        return build_answer(found.document)
    return components.ask(operations.Operate.name, found)


@OPERATORS.register("GET", "/v1/status")
def show_status(components: Components, request: requests.Request) -> answers.Answer:
    """Answer with the status that a quorum confirms."""
    return components.ask(operations.Status.name, {})


@PLATFORM.register("GET", "/healthz")
def show_health(components: Components, request: requests.Request) -> answers.Answer:
    """Answer that the event loop runs."""
    return answers.build_json({"status": "ok"})


@PLATFORM.register("GET", "/readyz")
def show_readiness(components: Components, request: requests.Request) -> answers.Answer:
    """Answer whether a leader is known, which operators' calls need."""
    reason = components.find_unready()
    if reason is None:
        return answers.build_json({"status": "ready"})
    return answers.build_failure(errors.Failure("not_ready", reason))


@PLATFORM.register("GET", "/metrics")
def show_metrics(components: Components, request: requests.Request) -> answers.Answer:
    """Answer with the current metrics."""
    components.update_metrics()
    return answers.Answer(
        200, components.metrics.render(), process_metrics.CONTENT_TYPE
    )
