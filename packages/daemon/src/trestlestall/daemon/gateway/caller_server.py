"""The open connections of callers: which are accepted, and which yield to new ones.

Clients may open more connections than the process has descriptors for. So it keeps a
limit, and beyond it closes the connection that has waited longest for a request, or for
the rest of one, in favour of each new one.
"""

import socket

import eventlet

from trestlestall.daemon import dialects, events, logs
from trestlestall.daemon.gateway import callers, heads, refusals, request_handler
from trestlestall.daemon.http import bodies, open_files, pacing
from trestlestall.wire import clocks, sockets

ACCEPT_RETRY_SECONDS = 0.05
#: The reason in the answer to a request that an error of this program stopped.
FAILED = "internal error"
#: Seconds between two log lines on connections that were closed for new ones.
LOG_INTERVAL_SECONDS = 1.0


class CallerServer:
    """Serves the callers of a gateway.

    ``open`` are their connections. Once ``closing`` is set, each is closed after its
    current answer.
    """

    def __init__(
        self,
        handler: request_handler.RequestHandler,
        dialect: dialects.Dialect,
        log: logs.Log,
    ) -> None:
        self.open: set[callers.Caller] = set()
        self.closing = False
        self._handler = handler
        self._dialect = dialect
        self._log = log
        given = handler.settings.clients
        self._connections = given.connections
        self._bodies = bodies.Bodies(given.held_bytes)
        self._pacer = pacing.Pacer()
        self._yields = logs.Throttle(LOG_INTERVAL_SECONDS)

    def count_running(self) -> int:
        """Return how many callers have a request that is received or answered."""
        return sum(not caller.idle for caller in self.open)

    def accept(self, accepting: socket.socket) -> None:
        """Accept and serve connections until this greenlet is killed."""
        while True:
            try:
                opened, _ = accepting.accept()
            except OSError as error:
                self._log.write(
                    events.process.UNREADY, role="gateway", reason=str(error)
                )
                eventlet.sleep(ACCEPT_RETRY_SECONDS)
                continue
            self._make_room()
            eventlet.spawn_n(self._serve, opened)
            # eventlet doesn't switch while the socket is ready: let other threads run.
            eventlet.sleep(0)

    def _make_room(self) -> None:
        """Close the connection that waits longest for a caller, beyond the limit."""
        limit = open_files.limit_connections(self._connections)
        if len(self.open) < limit:
            return
        waiting = [caller for caller in self.open if not caller.is_whole]
        if not waiting:
            return
        found = min(waiting, key=lambda one: (not one.idle, one.active_at))
        self.open.discard(found)
        found.abort()
        left_out = self._yields.count()
        if left_out is not None:
            self._log.write(
                events.forwarding.CALLER_CLOSED,
                open=len(self.open),
                limit=limit,
                seconds=round(clocks.read() - found.active_at, 3),
                left_out=left_out,
            )

    def _serve(self, opened: socket.socket) -> None:
        with sockets.hold(opened), self._bodies.open() as body:
            caller = callers.Caller(opened, self._find_limits, body, self._pacer)
            caller.closing = self.closing
            self.open.add(caller)
            try:
                while self._serve_request(caller):
                    pass
            except callers.CallerLeft:
                return  # the request's log line says so
            finally:
                self.open.discard(caller)

    def _find_limits(self) -> object:
        return self._handler.view.limits

    def _serve_request(self, caller: callers.Caller) -> bool:
        """Serve one request; return whether another may follow.

        What it holds ends with it, before the next one is waited for.
        """
        request = caller.read_request()
        if isinstance(request, callers.Ended):
            return False
        if isinstance(request, callers.Rejected):
            self._reject(caller, request)
            return False
        try:
            self._handler.handle(request, caller)
        except callers.CallerLeft:
            raise
        except Exception as error:
            self._end_failed(caller, request, error)
            return False
        return caller.prepare_next()

    def _end_failed(
        self, caller: callers.Caller, request: callers.Request, error: Exception
    ) -> None:
        """Answer a request that an error of this program stopped, or cut its answer."""
        given = heads.index_headers(request.headers)
        self._log.write(
            events.forwarding.FAILED,
            request=given.get(self._dialect.headers.request_id.lower(), ""),
            error=f"{type(error).__name__}: {error}",
        )
        caller.closing = True
        caller.reject(refusals.BAD_GATEWAY, refusals.encode_error(FAILED))
        caller.reset_if_unfinished()

    def _reject(self, caller: callers.Caller, rejected: callers.Rejected) -> None:
        refusal = refusals.Refusal(rejected.status, rejected.reason)
        retry_after = refusals.get_retry_after(rejected.status, rejected.reason)
        self._handler.record_refusal(refusal, retry_after, clocks.read())
        caller.closing = True
        body = refusals.encode_error(rejected.reason)
        headers = refusals.list_error_headers(retry_after)
        caller.reject(rejected.status, body, headers if retry_after else ())
