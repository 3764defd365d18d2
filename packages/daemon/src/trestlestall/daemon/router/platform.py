"""Routes of the platform's listener: health, readiness and metrics."""

from __future__ import annotations

import typing

from trestlestall.daemon import metrics as daemon_metrics
from trestlestall.daemon.http import answers, errors, requests, routes
from trestlestall.daemon.router import overview

if typing.TYPE_CHECKING:
    from trestlestall.daemon.router import process

ROUTES = routes.Routes()


@ROUTES.register("GET", "/healthz")
def check_health(router: process.Router, request: requests.Request) -> answers.Answer:
    """Answer 200 while the process runs."""
    return answers.build_json({"healthy": True})


@ROUTES.register("GET", "/readyz")
def check_ready(router: process.Router, request: requests.Request) -> answers.Answer:
    """Answer 200 only while the balancer should send callers here."""
    reason = overview.find_unready_reason(router)
    if reason is None:
        return answers.build_json({"ready": True})
    return answers.build_failure(errors.Failure("not_ready", reason))


@ROUTES.register("GET", "/metrics")
def read_metrics(router: process.Router, request: requests.Request) -> answers.Answer:
    """Answer with the exposition text of all metrics."""
    overview.refresh_metrics(router)
    return answers.Answer(200, router.metrics.render(), daemon_metrics.CONTENT_TYPE)
