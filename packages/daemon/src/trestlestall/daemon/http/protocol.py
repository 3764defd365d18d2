"""HTTP/1.1 on one connection, with limits on the memory and time of a client.

eventlet's own protocol class limits each line and the total of the headers for the
whole process, but not the time that a slow client takes, and it answers in plain text.
This subclass adds the listener's limits and the common error format.
"""

import eventlet
from eventlet import wsgi
from eventlet.green import socket

from trestlestall.daemon.http import answers, application, errors, exceptions, limits

LINGER_SECONDS = 1.0
LINGER_BYTES = 256 * 1024


#: Position in the state of a connection: whether a request is being received.
RECEIVING_INDEX = 3


class BoundedHeaders:
    """A reader of header lines that fails beyond a number of bytes."""

    def __init__(self, source, bound: int):
        self._source = source
        self._remaining = bound

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; raises ``HeadersTooLargeError`` beyond the limit."""
        line = self._source.readline(self._remaining + 1)
        self._remaining -= len(line)
        if self._remaining < 0:
            raise exceptions.HeadersTooLargeError()
        return line


class Protocol(wsgi.HttpProtocol):
    """One connection of a listener."""

    bounds: limits.Limits

    def __init__(self, conn_state, server):
        self.bounds = server.bounds
        self._timer = None
        super().__init__(conn_state, server)

    def handle_one_request(self) -> None:
        """Serve one request of the connection."""
        if not self._wait_for_request():
            self.close_connection = 1
            return
        self.conn_state[RECEIVING_INDEX] = True
        self._timer = eventlet.Timeout(
            self.bounds.read_seconds, exceptions.SlowHeadersError()
        )
        try:
            super().handle_one_request()
        except exceptions.SlowHeadersError:
            seconds = self.bounds.read_seconds
            message = f"The headers did not arrive within {seconds:g} s."
            self._refuse(errors.Failure("slow_sender", message))
        except exceptions.HeadersTooLargeError:
            message = f"At most {self.bounds.header_bytes} bytes of headers are taken."
            self._refuse(errors.Failure("header_too_large", message))
        finally:
            self._timer.cancel()

    def parse_request(self) -> bool:
        """Read the headers, within the limits of size and time."""
        plain = self.rfile.fp
        bounded = BoundedHeaders(plain, self.bounds.header_bytes)
        self.rfile = bounded
        parsed = super().parse_request()
        self._timer.cancel()
        if parsed and len(self.headers.get_all("content-length", ())) > 1:
            self.send_error(400, "Send Content-Length once.")
            return False
        return parsed

    def send_error(self, code: int, message: str | None = None, explain=None) -> None:
        """Refuse a request line or header that is not valid HTTP."""
        name = "header_too_large" if code == 431 else "invalid_request"
        self._refuse(errors.Failure(name, message or "This is not HTTP/1.1."))

    def get_environ(self) -> dict:
        """Return the WSGI environment, with a reference to this connection."""
        environ = super().get_environ()
        environ[application.PROTOCOL_SETTING] = self
        source = environ["eventlet.input"]
        if not (source.content_length or source.chunked_input):
            self.end_receiving()
        return environ

    def end_receiving(self) -> None:
        """Record that the request was received completely."""
        self.conn_state[RECEIVING_INDEX] = False

    def finish(self) -> None:
        """Close the connection in a way that lets the client read the last answer."""
        try:
            self._linger()
        finally:
            super().finish()

    def _read_request_line(self) -> bytes:
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        message = f"The request line is longer than {len(line)} bytes."
        self._refuse(errors.Failure("header_too_large", message))
        return b""

    def _wait_for_request(self) -> bool:
        self.connection.settimeout(self.bounds.idle_seconds)
        try:
            return bool(self.rfile.peek(1))
        except (TimeoutError, OSError, ValueError):
            return False
        finally:
            self.connection.settimeout(self.bounds.read_seconds)

    def _refuse(self, failure: errors.Failure) -> None:
        answer = answers.build_failure(failure)
        lines = [f"HTTP/1.1 {answers.find_status_line(answer.status)}"]
        lines += [f"{name}: {value}" for name, value in answers.list_headers(answer)]
        head = "\r\n".join([*lines, "Connection: close", "", ""]).encode()
        self.close_connection = 1
        try:
            self.wfile.write(head + answer.body)
            self.wfile.flush()
        except OSError:
            pass  # the client of the bad request has disconnected

    def _linger(self) -> None:
        """Discard what the client still sends (lingering close).

        Closing with unread data would reset the connection, and the client would lose
        the answer.
        """
        left = LINGER_BYTES
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            self.connection.settimeout(LINGER_SECONDS)
            with eventlet.Timeout(LINGER_SECONDS, False):
                while left > 0:
                    data = self.connection.recv(min(left, 16384))
                    if not data:
                        return
                    left -= len(data)
        except (OSError, ValueError):
            return
