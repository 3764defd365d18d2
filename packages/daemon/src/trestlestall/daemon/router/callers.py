"""The callers' listener: completions, models and plain services."""

from __future__ import annotations

import dataclasses
import typing

from trestlestall.configuration import model
from trestlestall.daemon.http import answers, credentials, errors, requests, routes
from trestlestall.daemon.router import bodies, calls

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

ROUTES = routes.Routes()
SERVICES_PATH = "/v1/services/"
KEY_HEADER = "idempotency-key"
CLASS_HEADER = "trestlestall-class"
REQUEST_HEADER = "Trestlestall-Request"
KEY_LIMIT = 255


@ROUTES.register("POST", calls.MODEL_PATHS[0])
@ROUTES.register("POST", calls.MODEL_PATHS[1])
def complete(site: process.Router, request: requests.Request) -> answers.Answer:
    """Carry a completion to an engine."""
    workspace = find_workspace(site, request)
    if isinstance(workspace, errors.Failure):
        return answers.build_failure(workspace)
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return answers.build_failure(body)
    call = calls.read_completion(request.path, body)
    if isinstance(call, errors.Failure):
        return answers.build_failure(call)
    return carry(site, request, workspace, call)


@ROUTES.register("GET", "/v1/models")
def list_models(site: process.Router, request: requests.Request) -> answers.Answer:
    """List the models that the workspace is bound to."""
    workspace = find_workspace(site, request)
    if isinstance(workspace, errors.Failure):
        return answers.build_failure(workspace)
    bound = sorted(
        target
        for name, target in site.agreed.configuration.bindings
        if name == workspace.name and not target.startswith(model.SERVICE_PREFIX)
    )
    data = [
        {"id": name, "object": "model", "owned_by": "trestlestall"} for name in bound
    ]
    return answers.build_json({"object": "list", "data": data})


@ROUTES.register(routes.ANY, SERVICES_PATH)
def call_service(site: process.Router, request: requests.Request) -> answers.Answer:
    """Carry a call to a plain service."""
    workspace = find_workspace(site, request)
    if isinstance(workspace, errors.Failure):
        return answers.build_failure(workspace)
    name, _, rest = request.path.removeprefix(SERVICES_PATH).partition("/")
    if name not in site.agreed.configuration.services:
        message = f"No service is called {name!r}."
        return answers.build_failure(errors.Failure("unknown_service", message))
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return answers.build_failure(body)
    query = f"?{request.query}" if request.query else ""
    call = calls.Call(
        target=model.SERVICE_PREFIX + name,
        method=request.method,
        path=calls.quote_path(f"/{rest}") + query,
        body=body,
        content_type=request.headers.get("content-type", "application/json"),
    )
    return carry(site, request, workspace, call)


def find_workspace(
    site: process.Router, request: requests.Request
) -> model.Workspace | errors.Failure:
    """Return the workspace whose key the request bears."""
    if not site.agreed.known:
        message = "This router has no configuration yet."
        return errors.Failure("not_ready", message)
    key = credentials.read_bearer(request.headers)
    if key is None:
        return credentials.MISSING
    # WSGI reads headers as latin-1; operators write keys in UTF-8.
    text = key.encode("latin-1").decode("utf-8", "replace")
    return site.agreed.configuration.find_workspace(text) or credentials.UNKNOWN


def carry(
    site: process.Router,
    request: requests.Request,
    workspace: model.Workspace,
    call: calls.Call,
) -> answers.Answer:
    """Give the call its class, let it arrive, and answer with what comes of it."""
    wanted = request.headers.get(CLASS_HEADER)
    found = site.agreed.configuration.resolve_class(workspace.name, call.target, wanted)
    if isinstance(found, model.Unresolved):
        return answers.build_failure(errors.Failure(found.code, found.message))
    key = request.headers.get(KEY_HEADER, "")
    failure = check_key(key, found) or site.check_room()
    if failure is not None:
        return answers.build_failure(failure)
    if not found.idempotent:
        # Two workspaces may choose one key: an upstream that looks at it must not mix
        # them up.
        call = dataclasses.replace(call, key=f"{workspace.name}/{key}")
    exchange = site.make_exchange(call, workspace, found, key)
    return bodies.answer(site, request, exchange)


def check_key(key: str, found: model.RequestClass) -> errors.Failure | None:
    """Return what is wrong with the idempotency key, or ``None``."""
    if not key and not found.idempotent:
        message = f"The class {found.name!r} runs at most once: send Idempotency-Key."
        return errors.Failure("idempotency_key_missing", message)
    if len(key) > KEY_LIMIT:
        message = f"An Idempotency-Key has at most {KEY_LIMIT} characters."
        return errors.Failure("invalid_request", message)
    return None
