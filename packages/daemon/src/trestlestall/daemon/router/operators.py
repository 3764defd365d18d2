"""Routes of the operators' listener: queries about this router, and commands.

A router answers queries about its own data centre (upstreams, requests, routers) and
forwards every other text to the control leader over the peer link.
"""

from __future__ import annotations

import dataclasses
import typing

import eventlet

from trestlestall.daemon import call_tokens
from trestlestall.daemon.http import answers, credentials, errors, requests, routes
from trestlestall.daemon.router import overview
from trestlestall.language import errors as language_errors, parser, queries
from trestlestall.wire import messages

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

ROUTES = routes.Routes()
ANSWER_TIMEOUT_SECONDS = 5.0
UNAVAILABLE = errors.CODES["control_unavailable"]
LOCAL_SUBJECTS = ("upstreams", "requests")

Rows = list[dict[str, typing.Any]]


@dataclasses.dataclass(frozen=True)
class OperatorRequest:
    """The body of ``POST /v1/operator``."""

    text: str
    request_id: str | None = None
    number: int | None = None
    dry_run: bool = False


class Submissions:
    """Texts that were forwarded to control and wait for its answer."""

    def __init__(self):
        self._token = call_tokens.draw_first()
        self._waiting: dict[int, eventlet.Event] = {}

    def open(self) -> tuple[int, eventlet.Event]:
        """Return a token, and the event that is sent its answer."""
        self._token += 1
        event = self._waiting[self._token] = eventlet.Event()
        return self._token, event

    def close(self, token: int) -> None:
        """Remove a token; an answer that arrives later is dropped."""
        self._waiting.pop(token, None)

    def handle_answer(self, token: int, document: dict) -> None:
        """Pass control's answer to the greenlet that waits for it."""
        event = self._waiting.pop(token, None)
        if event is not None:
            event.send(document)


@ROUTES.register("POST", "/v1/operator")
def operate(router: process.Router, request: requests.Request) -> answers.Answer:
    """Answer a query, or forward a text to control."""
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return answers.build_failure(body)
    submitted = requests.decode_json(body, OperatorRequest)
    if isinstance(submitted, errors.Failure):
        return answers.build_failure(submitted)
    parsed = parser.parse(submitted.text)
    if isinstance(parsed, language_errors.LanguageError):
        return build_language_error(parsed)
    rows = find_local_rows(router, parsed)
    if isinstance(rows, errors.Failure):
        return answers.build_failure(rows)
    if rows is not None:
        return answers.build_json({"rows": rows})
    return forward(router, request, submitted)


@ROUTES.register("GET", "/v1/status")
def read_status(router: process.Router, request: requests.Request) -> answers.Answer:
    """Answer with the state of this router."""
    return answers.build_json(overview.describe(router))


def build_language_error(error: language_errors.LanguageError) -> answers.Answer:
    """Return the answer that names the place of the error, as control words it."""
    message = f"line {error.line}, column {error.column}: {error.message}"
    return answers.build_failure(errors.Failure("invalid_request", message))


def find_local_rows(
    router: process.Router, parsed: object
) -> Rows | errors.Failure | None:
    """Return the rows of a query that this router answers itself, else ``None``."""
    if isinstance(parsed, queries.Explain):
        return explain(router, parsed.request)
    if isinstance(parsed, queries.Show) and parsed.subject in LOCAL_SUBJECTS:
        lister = LISTERS[parsed.subject]
        return queries.select_rows(lister(router), parsed)
    return None


def explain(router: process.Router, request: str) -> Rows | errors.Failure:
    """Return the log lines of a request, if it is one of the newest of this router."""
    lines = router.journal.explain(request)
    if lines is None:
        message = (
            f"{request!r} is not known here: ask the router that its name begins with."
        )
        return errors.Failure("unknown_request", message)
    return [
        {"at": line.at, "event": line.number, "name": line.name, **line.fields}
        for line in lines
    ]


def list_upstreams(router: process.Router) -> Rows:
    """Return a row for each upstream of the data centre."""
    return router.members.list_rows(router.agreed.configuration.drained)


def list_requests(router: process.Router) -> Rows:
    """Return a row for each request in progress at this router."""
    now = router.env.clock.monotonic()
    return [
        {
            "request": exchange.request,
            "router": router.settings.name,
            "workspace": exchange.workspace.name,
            "target": exchange.call.target,
            "class": exchange.request_class.name,
            "tier": exchange.request_class.tier,
            "upstream": exchange.upstream,
            "tokens": exchange.tokens,
            "age": round(now - exchange.arrived_at, 3),
        }
        for exchange in router.dispatcher.list_open()
    ]


LISTERS = {"upstreams": list_upstreams, "requests": list_requests}


def forward(
    router: process.Router, request: requests.Request, submitted: OperatorRequest
) -> answers.Answer:
    """Forward a text to the control leader and return its answer."""
    operator = router.settings.secrets.find_operator(
        credentials.read_bearer(request.headers) or ""
    )
    document = {"operator": operator, **dataclasses.asdict(submitted)}
    token, event = router.submissions.open()
    try:
        if not router.controls.send(messages.Submit(token, document)):
            message = "No control process can be reached; nothing was changed."
            return answers.build_failure(errors.Failure("control_unavailable", message))
        with eventlet.Timeout(ANSWER_TIMEOUT_SECONDS, False):
            answer = build_control_answer(event.wait())
            if answer.status == UNAVAILABLE.status:
                router.controls.clear_leader()
            return answer
        router.controls.clear_leader()
    finally:
        router.submissions.close(token)
    message = (
        "Control has not answered: resend under the same request_id to learn more."
    )
    failure = errors.Failure("control_unavailable", message, errors.Run.UNKNOWN)
    return answers.build_failure(failure)


def build_control_answer(document: dict) -> answers.Answer:
    """Return control's answer unchanged; an error gets the status of its code."""
    error = document.get("error")
    if not isinstance(error, dict):
        return answers.build_json(document)
    code = errors.CODES.get(str(error.get("code")))
    return answers.build_json(document, code.status if code is not None else 400)
