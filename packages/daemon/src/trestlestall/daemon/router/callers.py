"""Routes of the callers' listener: completions, models and plain services."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

from trestlestall.configuration import model
from trestlestall.daemon.http import answers, credentials, errors, requests, routes
from trestlestall.daemon.router import calls, responses

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

ROUTES = routes.Routes()
SERVICES_PATH = "/v1/services/"
KEY_HEADER = "idempotency-key"
CLASS_HEADER = "trestlestall-class"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
KEY_LIMIT_CHARACTERS = 255


Outcome = answers.Answer | errors.Failure
Handler = abc.Callable[["process.Router", requests.Request, model.Workspace], Outcome]


def resolve_workspace(handler: Handler) -> routes.Handler:
    """Return a handler that resolves the caller's workspace and records rejections."""

    @functools.wraps(handler)
    def answer(router: process.Router, request: requests.Request) -> answers.Answer:
        found: typing.Any = find_workspace(router, request)
        if not isinstance(found, errors.Failure):
            found = handler(router, request, found)
        if not isinstance(found, errors.Failure):
            return found
        router.reports.record_rejection("callers", request, found)
        return answers.build_failure(found)

    return answer


@ROUTES.register("POST", calls.MODEL_PATHS[0])
@ROUTES.register("POST", calls.MODEL_PATHS[1])
@resolve_workspace
def complete(
    router: process.Router, request: requests.Request, workspace: model.Workspace
) -> Outcome:
    """Route a completion to an engine."""
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return body
    call = calls.read_completion(request.path, body)
    if isinstance(call, errors.Failure):
        return call
    return serve_call(router, request, workspace, call)


@ROUTES.register("GET", "/v1/models")
@resolve_workspace
def list_models(
    router: process.Router, request: requests.Request, workspace: model.Workspace
) -> Outcome:
    """List the models that the workspace is bound to."""
    bound = sorted(
        target
        for name, target in router.agreed.configuration.bindings
        if name == workspace.name and not target.startswith(model.SERVICE_PREFIX)
    )
    data = [
        {"id": name, "object": "model", "owned_by": "trestlestall"} for name in bound
    ]
    return answers.build_json({"object": "list", "data": data})


@ROUTES.register(routes.ANY, SERVICES_PATH)
@resolve_workspace
def call_service(
    router: process.Router, request: requests.Request, workspace: model.Workspace
) -> Outcome:
    """Route a call to a plain service."""
    name, _, rest = request.path.removeprefix(SERVICES_PATH).partition("/")
    if name not in router.agreed.configuration.services:
        return errors.Failure("unknown_service", f"No service is called {name!r}.")
    if request.method not in SERVICE_METHODS:
        message = f"Services take {', '.join(SERVICE_METHODS)}."
        return errors.Failure("method_not_allowed", message)
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return body
    query = f"?{calls.quote_path(request.query)}" if request.query else ""
    call = calls.Call(
        target=model.SERVICE_PREFIX + name,
        method=request.method,
        path=calls.quote_path(f"/{rest}", quoted="") + query,
        body=body,
        content_type=request.headers.get("content-type", "application/json"),
    )
    return serve_call(router, request, workspace, call)


def find_workspace(
    router: process.Router, request: requests.Request
) -> model.Workspace | errors.Failure:
    """Return the workspace whose key the request carries."""
    if not router.agreed.known:
        message = "This router has no configuration yet."
        return errors.Failure("not_ready", message)
    key = credentials.read_bearer(request.headers)
    if key is None:
        return credentials.MISSING
    # WSGI reads headers as latin-1; operators write keys in UTF-8.
    text = key.encode("latin-1").decode("utf-8", "replace")
    return router.agreed.configuration.find_workspace(text) or credentials.UNKNOWN


def serve_call(
    router: process.Router,
    request: requests.Request,
    workspace: model.Workspace,
    call: calls.Call,
) -> Outcome:
    """Resolve the call's request class, submit it and return the response."""
    wanted = request.headers.get(CLASS_HEADER)
    request_class = router.agreed.configuration.resolve_class(
        workspace.name, call.target, wanted
    )
    if isinstance(request_class, model.Unresolved):
        return errors.Failure(request_class.code, request_class.message)
    key = request.headers.get(KEY_HEADER, "")
    failure = check_key(key, request_class) or router.check_capacity()
    if failure is not None:
        return failure
    if not request_class.idempotent:
        # Two workspaces may choose the same key: the prefix keeps them apart for
        # upstreams that read it.
        call = dataclasses.replace(call, key=f"{workspace.name}/{key}")
    exchange = router.make_exchange(call, workspace, request_class, key)
    return responses.answer(router, request, exchange)


def check_key(key: str, request_class: model.RequestClass) -> errors.Failure | None:
    """Return what is wrong with the idempotency key, or ``None``."""
    if not key and not request_class.idempotent:
        message = (
            f"The class {request_class.name!r} runs at most once: send Idempotency-Key."
        )
        return errors.Failure("idempotency_key_missing", message)
    if len(key) > KEY_LIMIT_CHARACTERS:
        message = f"An Idempotency-Key has at most {KEY_LIMIT_CHARACTERS} characters."
        return errors.Failure("invalid_request", message)
    return None
