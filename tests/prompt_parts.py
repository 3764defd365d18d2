"""Upstreams that a part of a prompt crashes, and callers whose prompts share parts.

Sound requests share a first part, one of some second parts, and end with a part of
their own. No two fatal requests are alike: they have one part more among the same
others, never the last.
"""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import itertools
import random
import threading
import time

from tests import crashing, gateways
from trestlestall.forwarding import harmful_parts

REQUEST = "Trestlestall-Request"
PARTS = "Trestlestall-Parts"
LAST_EVENT = "Last-Event-Id"
PATH = "/stream/x"
HELD = harmful_parts.HELD
HOLD_SECONDS = harmful_parts.TRIAL_SECONDS[0]
#: Events of a stream, and seconds between two.
EVENTS = 8
EVENT_SECONDS = 0.05
#: Seconds from the head of a fatal answer to the crash.
FATAL_SECONDS = 0.05
BACK_SECONDS = 3.0
FIRST = "a0"
SECONDS = tuple(f"b{number}" for number in range(8))
FATAL = "f0"
OTHER_FATAL = "f1"
#: A sound part that each fatal request has as well.
BESIDE = "s0"
#: Tries of a caller, and seconds between two.
TRIES = 3
RETURN_SECONDS = 0.2


class Start(crashing.Start):
    """An incarnation that streams, and ends as it begins to write on a fatal part."""

    slots = 64

    def answer(self, handler):
        """Stream an answer."""
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        parts = read_parts(handler.headers.get(PARTS, ""))
        self.fleet.runs.append((time.monotonic(), self.identity, parts))
        fatal = self.fleet.fatal.intersection(parts)
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Trestlestall-Signature", self.identity)
        if self.fleet.is_brittle:
            handler.send_header("Trestlestall-Brittle", "4")
        if self.fleet.is_framed:
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get(LAST_EVENT) or 0) + 1
        if fatal:
            self.write(handler, range(first, first + self.fleet.fatal_events))
            time.sleep(FATAL_SECONDS)
            self.fleet.blame(self.identity, fatal)
            self.end()
        elif self.write(handler, range(first, EVENTS + 1)) and self.fleet.is_framed:
            handler.wfile.write(b"0\r\n\r\n")
        handler.close_connection = not self.fleet.is_framed

    def write(self, handler, numbers):
        """Write events with a pause before each; return whether all were written."""
        for number in numbers:
            if self.ended.wait(EVENT_SECONDS):
                return False
            data = f"id: {number}\ndata: {self.identity}\n\n".encode()
            if self.fleet.is_framed:
                data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            handler.wfile.write(data)
        return True


class Fleet(crashing.Fleet):
    """Upstreams; ``fatal`` are the parts that crash them now.

    ``fatal_events`` of an answer are written before the crash. Unless ``is_framed``, an
    answer ends with its connection.

    ``crashes`` holds the time of each crash by the part that caused it.
    """

    start_class = Start
    back_seconds = BACK_SECONDS

    def __init__(self, ports, count):
        self.fatal = set()
        self.is_brittle = False
        self.is_framed = True
        self.fatal_events = 0
        self.crashes = {}
        self.blamed = set()
        self.lock = threading.Lock()
        super().__init__(ports, count)

    def blame(self, identity, parts):
        """Record the crash of an incarnation, once, for the parts that cause it."""
        with self.lock:
            if identity not in self.blamed:
                self.blamed.add(identity)
                for part in parts:
                    self.crashes.setdefault(part, []).append(time.monotonic())

    def crash_some(self, count=1):
        """Let some upstreams crash at the same moment, by themselves."""
        alive = [start for start in self.starts if not start.ended.is_set()]
        for start in alive[:count]:
            start.end()

    def list_sends(self, part):
        """Return when requests with a part reached an upstream."""
        return [at for at, _, parts in self.runs if part in parts]


@dataclasses.dataclass(frozen=True)
class Result:
    """What a caller saw of one request: its parts, and each try's status and events."""

    began_at: float
    parts: tuple[str, ...]
    tries: tuple[tuple[int, int], ...]

    @property
    def began(self):
        """Whether the first try brought an event."""
        return self.tries[0][1] > 0

    @property
    def was_answered(self):
        """Whether the last try was answered whole."""
        return self.tries[-1][1] == EVENTS


class Callers:
    """Callers of a deployment; ``results`` are complete once ``stop`` has returned.

    ``held`` are the time and the parts of each refusal for a part of the prompt.
    """

    def __init__(self, system, seed=1):
        self.system = system
        self.results = []
        self.held = []
        self.draw = random.Random(seed)
        self.numbers = itertools.count(1)
        self.stopped = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(200)
        self.clocks = []

    def start(self, rate, make_parts, tries=1):
        """Send requests at a rate a second until stopped; return a way to stop them."""
        stopped = threading.Event()
        arguments = 1.0 / rate, make_parts, tries, stopped
        thread = threading.Thread(target=self.send_on, args=arguments, daemon=True)
        self.clocks.append((thread, stopped))
        thread.start()
        return stopped

    def send_on(self, pause, make_parts, tries, stopped):
        """Send a request each ``pause`` seconds."""
        due = time.monotonic()
        while not stopped.wait(max(0.0, due - time.monotonic())):
            due += pause
            number = next(self.numbers)
            parts = (*make_parts(self.draw), f"c{number:x}")
            self.pool.submit(self.ask, number, parts, tries)

    def stop(self):
        """Stop all, and wait for the answers."""
        for thread, stopped in self.clocks:
            stopped.set()
            thread.join()
        self.pool.shutdown()

    def choose(self, number):
        """Return the gateway of a try: each in its turn."""
        return self.system.gateways[number % len(self.system.gateways)]

    def ask(self, number, parts, tries):
        """Send one request, again under another id if it fails."""
        began_at = time.monotonic()
        seen = []
        for attempt in range(tries):
            if attempt:
                time.sleep(RETURN_SECONDS)
            name = self.choose(number + attempt)
            seen.append(self.ask_once(name, f"r{number}-{attempt}", parts))
            if seen[-1][1] == EVENTS:
                break
        self.results.append(Result(began_at, parts, tuple(seen)))

    def ask_once(self, name, request, parts):
        """Return the status and the number of events of one try."""
        header = ",".join(f"{part}:100" for part in parts)
        headers = {"Host": "api", REQUEST: request, PARTS: header}
        port = self.system.ports[name]
        connection = http.client.HTTPConnection(gateways.HOST, port, timeout=10.0)
        status, body = 0, b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", PATH, b"x", headers)
            found = connection.getresponse()
            status = found.status
            while chunk := found.read1():
                body += chunk
        connection.close()
        if HELD.encode() in body:
            self.held.append((time.monotonic(), parts))
        return status, body.count(b"data: ")


def make_document(version=5):
    """Return a declaration with one route of streams that may be resumed."""
    document = gateways.make_document(version, prefix="/stream/")
    (route,) = document["routes"]
    route.update(streams=True, resumable=True, attempts=2, whole_seconds=10.0)
    route.update(pause_seconds=0.5, first_seconds=1.0)
    document["services"]["work"]["connections"] = 200
    return document


def read_parts(value):
    """Return the identities in a header of parts."""
    return tuple(item.rpartition(":")[0] for item in value.split(",") if item)


def make_sound(draw):
    """Return the shared parts of a sound request."""
    return FIRST, draw.choice(SECONDS)


def make_fatal(draw, part=FATAL):
    """Return the shared parts of a fatal request."""
    return FIRST, part, draw.choice(SECONDS)


def make_fatal_first(draw):
    """Return the shared parts of a fatal request, whose first part is fatal."""
    return FATAL, FIRST, draw.choice(SECONDS)


def make_beside(draw):
    """Return the parts of a fatal request that always has a sound part as well."""
    return FIRST, BESIDE, FATAL, draw.choice(SECONDS)


def make_sound_beside(draw):
    """Return the parts of a sound request, 3 of 10 with the part beside fatal ones."""
    parts = make_sound(draw)
    return (*parts, BESIDE) if draw.random() < 0.3 else parts


def make_either(draw):
    """Return the parts of a fatal request with one of two fatal parts."""
    return make_fatal(draw, draw.choice((FATAL, OTHER_FATAL)))
