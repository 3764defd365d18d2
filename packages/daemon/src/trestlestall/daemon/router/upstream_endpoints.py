"""Routes of the upstreams' listener: announce, renew, leave."""

from __future__ import annotations

import dataclasses
import typing

from trestlestall.daemon.http import answers, errors, requests, routes
from trestlestall.membership import documents, outcomes, upstreams

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

ROUTES = routes.Routes()


@dataclasses.dataclass(frozen=True)
class Identity:
    """The body of a leave: one incarnation of an upstream."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Renewal:
    """The body of a renewal: an incarnation, and its newest load report."""

    name: str
    incarnation: int
    report: dict[str, typing.Any]


@ROUTES.register("POST", "/v1/upstreams/announce")
def announce(router: process.Router, request: requests.Request) -> answers.Answer:
    """Accept an upstream's announcement and grant it a lease."""
    document = read_document(request, dict)
    if isinstance(document, errors.Failure):
        return answers.build_failure(document)
    upstream = documents.decode_upstream(document)
    if isinstance(upstream, outcomes.Malformed):
        return refuse("invalid_request", describe(upstream))
    failure = check_upstream(router, upstream)
    if failure is not None:
        return answers.build_failure(failure)
    return router.members.announce(upstream)


@ROUTES.register("POST", "/v1/upstreams/renew")
def renew(router: process.Router, request: requests.Request) -> answers.Answer:
    """Renew a lease and store the upstream's load report."""
    renewal = read_document(request, Renewal)
    if isinstance(renewal, errors.Failure):
        return answers.build_failure(renewal)
    report = documents.decode_report(renewal.report)
    if isinstance(report, outcomes.Malformed):
        return refuse("invalid_request", describe(report))
    return router.members.renew(renewal.name, renewal.incarnation, report)


@ROUTES.register("POST", "/v1/upstreams/leave")
def leave(router: process.Router, request: requests.Request) -> answers.Answer:
    """End a lease: the upstream gets no new requests, and finishes running ones."""
    identity = read_document(request, Identity)
    if isinstance(identity, errors.Failure):
        return answers.build_failure(identity)
    return router.members.leave(identity.name, identity.incarnation)


def check_upstream(
    router: process.Router, upstream: upstreams.Upstream
) -> errors.Failure | None:
    """Return what is wrong with a well-typed announcement, or ``None``."""
    if upstream.data_centre != router.settings.data_centre:
        message = f"This router serves the data centre {router.settings.data_centre!r}."
        return errors.Failure("wrong_data_centre", message)
    return None


def read_document(
    request: requests.Request, shape: typing.Any
) -> typing.Any | errors.Failure:
    """Return the request's JSON body in the shape, or why it is refused."""
    body = requests.read_body(request)
    if isinstance(body, errors.Failure):
        return body
    return requests.decode_json(body, shape)


def refuse(code: str, message: str) -> answers.Answer:
    """Return the answer to a refused request."""
    return answers.build_failure(errors.Failure(code, message))


def describe(malformed: outcomes.Malformed) -> str:
    """Return what is wrong with a document."""
    return dataclasses.astuple(malformed)[0]
