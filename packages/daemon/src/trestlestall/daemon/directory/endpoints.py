"""HTTP endpoints of the directory: configuration, announcements, status."""

import zlib

import eventlet
import eventlet.event

from trestlestall.daemon import (
    announcements,
    dialects,
    events,
    logs,
    settings as process_settings,
)
from trestlestall.daemon.directory import (
    metrics as directory_metrics,
    operations,
    server as servers,
)
from trestlestall.daemon.http import (
    answers,
    application,
    errors,
    limits,
    requests,
    routes,
)
from trestlestall.forwarding import model, upstreams
from trestlestall.wire import clocks, sockets

OK = 200
BAD_REQUEST, TOO_LARGE, UNAVAILABLE = 400, 413, 503
#: zlib level. Documents compress well; the bytes that a higher level saves are not
#: worth its time.
PACKING_LEVEL = 1
#: The largest announcement; one of a runner with a hundred models takes a tenth of it.
ANNOUNCEMENT_BYTES = 64 * 1024
#: Seconds between two log lines on invalid announcements.
REFUSAL_LOG_INTERVAL_SECONDS = 1.0


class Components:
    """The parts of the directory that its HTTP handlers use."""

    def __init__(
        self,
        server: servers.Server,
        dialect: dialects.Dialect,
        log: logs.Log,
        settings: process_settings.DirectorySettings,
    ) -> None:
        self.server = server
        self.dialect = dialect
        self.log = log
        self.document_bytes = settings.document_bytes
        self._clients = settings.clients
        self.stopping = False
        self.refusals = logs.Throttle(REFUSAL_LOG_INTERVAL_SECONDS)

    def build_application(self) -> application.Application:
        """Return the WSGI application with its routes at the dialect's paths."""
        table = routes.Routes()
        paths = self.dialect.paths
        table.register("PUT", paths.configuration)(put_configuration)
        table.register("GET", paths.configuration)(get_configuration)
        table.register("PUT", paths.upstreams)(announce)
        table.register("DELETE", paths.upstreams)(withdraw)
        table.register("GET", paths.ready)(show_readiness)
        table.register("GET", paths.metrics)(show_metrics)
        bounds = limits.Limits(
            body_bytes=self.document_bytes,
            connections=self._clients.connections,
            held_bytes=self._clients.held_bytes,
        )
        return application.Application(
            self, table, bounds, report_error=self.report_error
        )

    def report_error(self, request: requests.Request, error: Exception) -> None:
        """Log an unexpected exception of a handler."""
        self.log.write(
            events.process.INVARIANT_BROKEN,
            place=f"{request.method} {request.path}",
            error=repr(error),
        )

    def call(self, kind: str, document: dict) -> dict:
        """Make a call of the directories' log; wait for its reply and return it."""
        waiting = eventlet.event.Event()
        self.server.open_call(kind, document, waiting.send)
        return waiting.wait()


def put_configuration(
    components: Components, request: requests.Request
) -> answers.Answer:
    """Put a complete configuration in force; answer 200 once a quorum has it."""
    started = clocks.read()
    body = requests.read_body(request, components.document_bytes, takes_chunks=True)
    if isinstance(body, errors.Failure):
        return refuse_document(components, body)
    found = components.dialect.decode_configuration(body)
    if isinstance(found, model.Invalid):
        components.log.write(
            events.directory.REFUSED, reason=found.reason, bytes=len(body)
        )
        return refuse(BAD_REQUEST, found.reason)
    packed = zlib.compress(body, PACKING_LEVEL)
    document = {"version": found.version, "packed": packed}
    reply = components.call(operations.Declare.name, document)
    components.log.write(
        events.directory.DECLARATION_ANSWERED,
        declaration=found.version,
        status=reply["status"],
        newest=reply.get("newest"),
        bytes=len(body),
        seconds=round(clocks.read() - started, 4),
    )
    record_call(components, "declare", reply["status"], started)
    if reply["status"] != OK:
        return refuse(UNAVAILABLE, "no quorum confirmed it; it may still be in force")
    return answers.build_json({"newest": reply.get("newest")})


def refuse_document(components: Components, failure: errors.Failure) -> answers.Answer:
    """Refuse a document that was not received; another directory may receive it."""
    if components.refusals.count() is not None:
        components.log.write(events.directory.REFUSED, reason=failure.message)
    if failure.code == "overloaded":
        return refuse(UNAVAILABLE, failure.message)
    return refuse(TOO_LARGE, "the document is too large, or was cut off")


def get_configuration(
    components: Components, request: requests.Request
) -> answers.Answer:
    """Answer with the newest configuration, byte for byte as the operator sent it."""
    started = clocks.read()
    reply = components.call(operations.ReadDeclaration.name, {})
    components.log.write(
        events.directory.READ,
        declaration=reply.get("version"),
        status=reply["status"],
        seconds=round(clocks.read() - started, 4),
    )
    record_call(components, "read", reply["status"], started)
    if reply["status"] != OK:
        return refuse(UNAVAILABLE, "no quorum confirms which one is the newest")
    if not reply["version"]:
        return refuse(404, "no configuration was declared yet")
    return answers.Answer(OK, zlib.decompress(reply["packed"]))


def announce(components: Components, request: requests.Request) -> answers.Answer:
    """Register an upstream's announcement."""
    name = request.path.removeprefix(components.dialect.paths.upstreams)
    body = requests.read_body(request, ANNOUNCEMENT_BYTES, takes_chunks=True)
    if isinstance(body, errors.Failure):
        return refuse_announcement(components, request, name, body.message)
    row = components.dialect.decode_announcement(name, body)
    if isinstance(row, model.Invalid):
        return refuse_announcement(components, request, name, row.reason)
    return handle_announcement(components, request, row)


def withdraw(components: Components, request: requests.Request) -> answers.Answer:
    """Handle an upstream's notice that it leaves."""
    name = request.path.removeprefix(components.dialect.paths.upstreams)
    latest = components.server.registrations.table.find_latest(name)
    row = upstreams.make_tombstone(
        latest or upstreams.Row(name, 0, upstreams.State.GONE)
    )
    fault = announcements.find_fault(row)
    if fault is not None:
        return refuse_announcement(components, request, name, fault.reason)
    return handle_announcement(components, request, row)


def refuse_announcement(
    components: Components, request: requests.Request, name: str, reason: str
) -> answers.Answer:
    """Refuse an invalid announcement; log its sender, at a limited rate."""
    components.server.metrics.refused.inc()
    left_out = components.refusals.count()
    if left_out is not None:
        components.log.write(
            events.directory.ANNOUNCEMENT_REFUSED,
            upstream=name[: announcements.NAME_LENGTH_LIMIT],
            sender=request.environ.get("REMOTE_ADDR"),
            reason=reason,
            left_out=left_out,
        )
    return refuse(BAD_REQUEST, reason)


def handle_announcement(
    components: Components, request: requests.Request, row: upstreams.Row
) -> answers.Answer:
    """Answer 200 once all directories that have to know were notified."""
    started = clocks.read()
    is_present = not sockets.is_ended(request.socket)
    taken = components.server.registrations.announce(row, is_present)
    record_call(components, "announce", OK if taken else UNAVAILABLE, started)
    if taken:
        return answers.build_json({})
    return refuse(UNAVAILABLE, "too few directories could be told")


def show_readiness(components: Components, request: requests.Request) -> answers.Answer:
    """Answer whether a leader is known."""
    ready = components.server.leader is not None and not components.stopping
    return answers.build_json({"ready": ready}, OK if ready else UNAVAILABLE)


def record_call(components: Components, kind: str, status: int, started: float) -> None:
    """Record a call's status and its duration since the clock reading ``started``."""
    components.server.metrics.record_call(kind, status, clocks.read() - started)


def show_metrics(components: Components, request: requests.Request) -> answers.Answer:
    """Update the gauges and answer with the metrics."""
    server = components.server
    metrics = server.metrics
    metrics.version.set(server.version)
    metrics.voters.set(server.count_voters())
    metrics.leads.set(int(server.leader == server.links.own))
    metrics.upstreams.set(len(server.registrations.table.rows))
    metrics.limited.set(len(server.advertised_limits.limits.list_limited()))
    records = server.stream_registry.records
    metrics.stream_records.set(len(records))
    metrics.dropped_records.set(records.dropped)
    links = server.links
    metrics.links.set(len(links.list_directories()) + len(links.list_gateways()))
    metrics.suspended.set(server.suspensions.seconds)
    metrics.dropped.set(getattr(server.output, "dropped", 0))
    return answers.Answer(OK, metrics.render(), directory_metrics.CONTENT_TYPE)


def refuse(status: int, reason: str) -> answers.Answer:
    """Return an error answer with the reason."""
    return answers.build_json({"error": reason}, status)
