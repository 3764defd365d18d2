"""Run gateways and directories as processes, with scripted upstreams in this one."""

import dataclasses
import http.client
import http.server
import json
import pathlib
import threading
import time

from trestlestall.standins import addresses, processes

MODULE = "trestlestall.daemon"
HOST = "127.0.0.1"
WAIT_SECONDS = 15.0


def find_ports(count):
    """Return free ports that stay reserved for a while."""
    return [addresses.reserve_port() for _ in range(count)]


def make_document(version, prefix="/work/", **changes):
    """Return a declaration with one route to the service ``work``."""
    route = {
        "name": "work",
        "host": "api",
        "prefix": prefix,
        "targets": [{"service": "work", "weight": 1}],
        "streams": False,
        "idempotent": False,
        "resumable": False,
        "attempts": 1,
        "tier": 1,
        "public": True,
        "first_seconds": 0.5,
        "whole_seconds": 5.0,
    }
    service = {"name": "work", "health_path": "/", "connections": 50}
    document = {"version": version, "routes": [route], "services": {"work": service}}
    return {**document, **changes}


def write_document(version, **changes):
    """Return a declaration as JSON text, as an operator sends it."""
    return json.dumps(make_document(version, **changes))


def read_version(body):
    """Return the version of a declaration, given as JSON text."""
    return json.loads(body)["version"]


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP response; status 0 means that there was none."""

    status: int
    body: bytes = b""


def ask(port, method, path, body=None, timeout=2.0, **headers):
    """Send one HTTP request and return the response."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, given)
        found = connection.getresponse()
        return Answer(found.status, found.read())
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


def make_row(address, sequence, state=0, **changes):
    """Return the announcement of an upstream of the service ``work``."""
    row = {
        "sequence": sequence,
        "state": state,
        "service": "work",
        "address": address,
        "data_centre": "a",
        "slots": 8,
    }
    return {**row, **changes}


def announce(port, identity, row):
    """Send an upstream's announcement to a directory; return the status."""
    path = f"/v1/upstreams/{identity}"
    return ask(port, "PUT", path, json.dumps(row)).status


class Upstream:
    """A service that records the ids of the requests it ran and announces itself."""

    def __init__(self, identity):
        self.identity = identity
        self.seen = []
        self.sequence = 0
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802 (the library's name)
                outer.answer(self)

            def log_message(self, *args):
                return

        self.server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        self.server.daemon_threads = True
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    def answer(self, handler):
        """Run one request."""
        length = int(handler.headers.get("Content-Length") or 0)
        handler.rfile.read(length)
        self.seen.append(handler.headers["Trestlestall-Request"])
        handler.send_response(200)
        handler.send_header("Content-Length", "2")
        handler.end_headers()
        handler.wfile.write(b"ok")

    def announce(self, port, state=0):
        """Announce this upstream to a directory; return the status."""
        self.sequence += 1
        address = f"{HOST}:{self.server.server_address[1]}"
        row = make_row(address, self.sequence, state)
        return announce(port, self.identity, row)

    def stop(self):
        """Stop the server."""
        self.server.shutdown()
        self.server.server_close()


class Deployment:
    """Directories and gateways, each with a settings file and a process.

    ``settings`` holds additional settings for all processes, and ``hosts`` maps process
    names to ``suspension.Host`` objects for processes that a test suspends. Both apply
    to processes started afterwards.
    """

    def __init__(self, folder, directories=3, gateways=2):
        self.folder = pathlib.Path(folder)
        self.secrets = self.folder / "secrets.json"
        keys = {"peers": "p" * 32, "upstreams": "u" * 32, "operators": {"o": "k" * 32}}
        self.secrets.write_text(json.dumps(keys))
        self.secrets.chmod(0o600)
        self.names = [f"directory-{number}" for number in range(directories)]
        self.links = dict(zip(self.names, find_ports(directories), strict=True))
        self.ports = dict(zip(self.names, find_ports(directories), strict=True))
        self.first = [f"{HOST}:{port}" for port in self.links.values()]
        self.gateways = [f"gateway-{number}" for number in range(gateways)]
        self.ready = dict(zip(self.gateways, find_ports(gateways), strict=True))
        for name, port in zip(self.gateways, find_ports(gateways), strict=True):
            self.ports[name] = port
        self.running = {}
        self.settings = {}
        self.hosts = {}
        self.reached_at = {}

    def start_all(self, founding=True):
        """Start every process."""
        for name in self.names:
            self.start_directory(name, founding)
        for name in self.gateways:
            self.start_gateway(name)

    def start_directory(self, name, founding=False):
        """Start a directory."""
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        listen = {
            "service": f"{HOST}:{self.ports[name]}",
            "peers": f"{HOST}:{self.links[name]}",
        }
        if name in self.reached_at:
            listen["peers_reached_at"] = self.reached_at[name]
        more = {"data_folder": str(data), "founding": founding, "listen": listen}
        self.start("directory", name, more)

    def put_relays(self, reached_at):
        """Make peers reach directories through relays, given by directory name."""
        self.reached_at = reached_at
        self.first = list(reached_at.values())

    def start_gateway(self, name):
        """Start a gateway."""
        listen = {
            "callers": f"{HOST}:{self.ports[name]}",
            "platform": f"{HOST}:{self.ready[name]}",
            "peers": f"{HOST}:{find_ports(1)[0]}",
            "tunnels": f"{HOST}:{find_ports(1)[0]}",
        }
        self.start("gateway", name, {"listen": listen})

    def start(self, role, name, more):
        """Write the settings file of a process and start it."""
        file = self.folder / f"{name}.json"
        settings = {
            "role": role,
            "name": name,
            "data_centre": "a",
            "secrets_file": str(self.secrets),
            "directories": self.first,
            **self.settings,
            **more,
        }
        file.write_text(json.dumps(settings))
        arguments = [role, "--settings", str(file)]
        host = self.hosts.get(name)
        self.running[name] = processes.start(
            name, MODULE, arguments, self.folder, host.variables if host else None
        )

    def stop_all(self):
        """Kill every process that still runs."""
        for process in self.running.values():
            if process.running:
                process.kill()

    # Requests.

    def declare(self, document, names=None):
        """Send a declaration to directories in turn until one accepts or rejects it."""
        body = document if isinstance(document, bytes) else json.dumps(document)
        deadline = time.monotonic() + WAIT_SECONDS
        while True:
            for name in names or self.names:
                status = ask(self.ports[name], "PUT", "/v1/declaration", body).status
                if status not in (0, 503):
                    return status
            if time.monotonic() > deadline:
                ends = [self.running[name].describe() for name in self.names]
                raise AssertionError(
                    "no directory acknowledged the document\n" + "\n".join(ends)
                )

    def read(self, name):
        """Return the newest declaration known to a directory, or the error status."""
        found = ask(self.ports[name], "GET", "/v1/declaration")
        return json.loads(found.body) if found.status == 200 else found.status

    def ask(self, name, request="r", path="/work/x", body=b"body"):
        """Send a request through a gateway; return the status."""
        headers = {"Host": "api", "Trestlestall_Request": request}
        return ask(self.ports[name], "POST", path, body, **headers).status

    def is_ready(self, name):
        """Return whether the gateway reports itself ready."""
        return ask(self.ready[name], "GET", "/readyz").status == 200


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Poll until a condition holds; fail the test after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(0.05)
