"""Upstreams of several software versions that stream, and callers who take streams up.

An event's data says which version and upstream wrote it, so that a caller can tell
whether all events that it holds are of one version.
"""

import contextlib
import dataclasses
import http.client
import http.server
import itertools
import json
import random
import socket
import threading
import time

from tests import gateways

EVENTS = 20
EVENT_SECONDS = 0.05
ANNOUNCE_SECONDS = 0.3
STOP_POLL_SECONDS = 0.01
#: Seconds after which a caller takes a stream up at another gateway.
RETURN_SECONDS = 0.3
TRIES = 6
RESUMES = "Trestlestall-Resumes"
REQUEST = "Trestlestall-Request"
LAST_EVENT = "Last-Event-Id"
PATH = "/stream/x"


def make_document(version=5, **changes):
    """Return a declaration with one route whose streams may be resumed."""
    document = gateways.make_document(version, prefix="/stream/")
    (route,) = document["routes"]
    route.update(streams=True, resumable=True, attempts=4, whole_seconds=15.0)
    route.update(pause_seconds=0.5, **changes)
    return document


class Upstream:
    """One upstream of one software version; ``break_share`` of streams break midway.

    It announces itself from ``silent_seconds`` after its start on. It resumes whatever
    it is asked for, and doesn't check who began.
    """

    def __init__(
        self,
        ports,
        identity,
        version,
        break_share=0.0,
        port=0,
        born=0,
        silent_seconds=0.0,
    ):
        self.silent_seconds = silent_seconds
        self.ports = ports
        self.identity = identity
        self.version = version
        self.break_share = break_share
        self.born = born
        self.seen = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.draining = False
        self.draw = random.Random(identity)
        self.open = set()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                outer.open.add(self.connection)

            def finish(self):
                outer.open.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_POST(self):  # noqa: N802 (the library's name)
                with contextlib.suppress(OSError):
                    outer.answer(self)

            def log_message(self, *args):
                return

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                return

        self.server = Server((gateways.HOST, port), Handler)
        self.port = self.server.server_address[1]
        self.address = f"{gateways.HOST}:{self.port}"
        threading.Thread(target=self.serve, daemon=True).start()
        threading.Thread(target=self.announce_periodically, daemon=True).start()

    def serve(self):
        """Accept connections until stopped, which is noticed soon."""
        self.server.serve_forever(STOP_POLL_SECONDS)

    def answer(self, handler):
        """Stream the events after the last one that the request names."""
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        first = int(handler.headers.get(LAST_EVENT) or 0) + 1
        with self.lock:
            self.seen.append((handler.headers.get(REQUEST, ""), first))
            breaks = self.draw.random() < self.break_share
            last = self.draw.randint(first, EVENTS) if breaks else EVENTS
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Trestlestall-Signature", self.identity)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(first, last + 1):
            if self.stopped.wait(EVENT_SECONDS):
                handler.close_connection = True
                return
            data = f"id: {number}\ndata: {self.version} {self.identity}\n\n".encode()
            handler.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        if breaks:
            handler.close_connection = True
        else:
            handler.wfile.write(b"0\r\n\r\n")

    def announce_periodically(self):
        """Announce this upstream periodically until it is stopped."""
        sequence = 0
        pause = self.silent_seconds
        while not self.stopped.wait(pause):
            sequence += 1
            pause = ANNOUNCE_SECONDS
            self.announce(sequence)

    def announce(self, sequence):
        """Announce this upstream to one of the directories."""
        port = self.ports[sequence % len(self.ports)]
        gateways.announce(port, self.identity, self.make_row(sequence))

    def make_row(self, sequence):
        """Return an announcement."""
        return gateways.make_row(
            self.address,
            sequence,
            int(self.draining),
            born=self.born,
            version=self.version,
            slots=64,
        )

    @contextlib.contextmanager
    def announcing(self, port, sequence):
        """Leave an announcement with a directory that stands still, for the block."""
        connection = http.client.HTTPConnection(gateways.HOST, port)
        with contextlib.closing(connection):
            body = json.dumps(self.make_row(sequence))
            connection.request("PUT", f"/v1/upstreams/{self.identity}", body)
            yield

    def stop(self):
        """Stop as a crash does: connections end, and new ones are refused."""
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


@dataclasses.dataclass
class Try:
    """One try of a caller: where it was sent, its answer, and how many events came."""

    request: str
    gateway: str
    status: int = 0
    events: int = 0
    headers: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Stream:
    """A caller's stream over all its tries."""

    began_at: float
    tries: list = dataclasses.field(default_factory=list)
    events: list = dataclasses.field(default_factory=list)
    first_seconds: float | None = None
    whole: bool = False

    @property
    def versions(self):
        """The versions that wrote the events which the caller holds."""
        return {version for _, version, _ in self.events}

    @property
    def first_request(self):
        """The request that brought the first event; None before it."""
        return next((one.request for one in self.tries if one.events), None)

    def list_takeups(self):
        """Return the tries that were to go on with events that the caller held."""
        held, found = 0, []
        for one in self.tries:
            if held:
                found.append(one)
            held += one.events
        return found


class Callers:
    """Callers who begin streams at gateways in turn, and take up those that break.

    ``on_event`` is called with the gateway's name after each event that a caller reads.
    """

    def __init__(self, system, rate, names=None):
        self.system = system
        self.names = list(names or system.gateways)
        self.pause = 1.0 / rate
        self.streams = []
        self.numbers = itertools.count(1)
        self.threads = []
        self.draw = random.Random(65)
        self.names_first = True
        self.on_event = lambda name: None

    def name_request(self):
        """Return a new request id."""
        return f"s{next(self.numbers)}"

    def run(self, seconds, during=lambda: None):
        """Begin streams for some seconds, and until ``during`` ends; wait for them."""
        other = threading.Thread(target=during, daemon=True)
        other.start()
        until = time.monotonic() + seconds
        due = time.monotonic()
        for number in itertools.count():
            if time.monotonic() >= until and not other.is_alive():
                break
            name = self.names[number % len(self.names)]
            worker = threading.Thread(target=self.ask, args=(name,), daemon=True)
            worker.start()
            self.threads.append(worker)
            due += self.pause
            time.sleep(max(0.0, due - time.monotonic()))
        other.join()
        for worker in self.threads:
            worker.join()

    def ask(self, name):
        """Read one stream, with as many tries as it needs; return it."""
        stream = Stream(time.monotonic())
        self.streams.append(stream)
        for _ in range(TRIES):
            self.send(stream, name)
            if stream.whole:
                break
            time.sleep(RETURN_SECONDS)
            name = self.choose_other(name)
        return stream

    def choose_other(self, name):
        """Return another gateway that runs."""
        others = [
            each
            for each in self.names
            if each != name and self.system.running[each].running
        ]
        return self.draw.choice(others or self.names)

    def make_headers(self, stream):
        """Return the headers by which a stream is taken up; none for a new one."""
        if not stream.events:
            return {}
        number = str(stream.events[-1][0])
        named = {RESUMES: stream.first_request} if self.names_first else {}
        return {LAST_EVENT: number, **named}

    def send(self, stream, name, **changes):
        """Send one try, and read events up to its end; return the try."""
        made = Try(self.name_request(), name)
        headers = {"Host": "api", REQUEST: made.request}
        headers |= self.make_headers(stream)
        headers |= changes
        stream.tries.append(made)
        connection = http.client.HTTPConnection(
            gateways.HOST, self.system.ports[name], timeout=5.0
        )
        with contextlib.closing(connection):
            try:
                connection.request("POST", PATH, b"body", headers)
                answer = connection.getresponse()
                made.status = answer.status
                made.headers = dict(answer.getheaders())
                if answer.status == 200:
                    stream.whole = self.read(stream, made, answer)
                else:
                    answer.read()
            except (OSError, http.client.HTTPException):
                pass  # the try ended early; its events are recorded
        return made

    def read(self, stream, made, answer):
        """Read events; return whether the answer ended as a whole one."""
        number = None
        while line := answer.readline():
            if line.startswith(b"id: "):
                number = int(line[4:])
            elif line.startswith(b"data: "):
                version, identity = line[6:].decode().split()
                if stream.first_seconds is None:
                    stream.first_seconds = time.monotonic() - stream.began_at
                stream.events.append((number, version, identity))
                made.events += 1
                self.on_event(made.gateway)
        return answer.isclosed() and made.events > 0 and number == EVENTS

    # What the streams show.

    def list_mixed(self):
        """Return the streams that hold events of more than one version."""
        return [one for one in self.streams if len(one.versions) > 1]

    def list_out_of_order(self):
        """Return the streams with an event that is missing or came twice."""
        return [
            one
            for one in self.streams
            if [number for number, _, _ in one.events]
            != list(range(1, len(one.events) + 1))
        ]

    def list_takeups(self):
        """Return the tries that were to go on with a stream."""
        return [made for one in self.streams for made in one.list_takeups()]

    def list_taken_up(self):
        """Return those of them at gateways that still run."""
        return [one for one in self.list_takeups() if self.is_running(one)]

    def list_new(self):
        """Return the first tries at gateways that still run."""
        tries = [one.tries[0] for one in self.streams]
        return [one for one in tries if self.is_running(one)]

    def is_running(self, made):
        """Return whether the gateway of a try still runs."""
        return self.system.running[made.gateway].running
