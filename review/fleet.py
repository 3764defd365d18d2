"""A small deployment for the second review: real processes, and stand-ins around them.

The processes are started with the commands of ``deploy/system.toml``, each machine at
an address of its own in 127.0.0.0/8 with the same ports, as on the users' platform.
Clients, runners and the operator are stand-ins that follow the users' PROTOCOL page.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

TOP = pathlib.Path(__file__).resolve().parent.parent
FRONT, READY, CONTROL, RUNNER = 8227, 8220, 8229, 8120
INTERNAL = 7340
BROKEN, HELD, NOT_RUN = 1, 0, 2
ZONES = ("ba-hall-a", "ba-hall-b", "tt-hall")
#: The bounds of sites/krvodar-plan.toml, under the names of the settings file.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "unsettled_slack_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 56,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
}


class CouldNotRun(Exception):  # noqa: N818 (an outcome, not an error)
    """The case could not be set up, which says nothing of the rule."""


def has_trouble():
    """Return whether the disruption shall happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_block():
    """Return the first three parts of an unused block of loopback addresses."""
    for _ in range(100):
        block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        if all(is_free(f"{block}.1", port) for port in (FRONT, CONTROL, INTERNAL)):
            return block
    raise CouldNotRun("no free block of loopback addresses")


def is_free(host, port):
    """Return whether nothing listens at an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def write_toml(fields):
    """Return a settings file; nested tables come after the plain fields."""
    plain = [f"{key} = {json.dumps(v)}" for key, v in fields.items() if not is_table(v)]
    tables = [
        "\n".join([f"[{key}]", *(f"{k} = {json.dumps(v)}" for k, v in table.items())])
        for key, table in fields.items()
        if is_table(table)
    ]
    return "\n".join([*plain, *tables]) + "\n"


def is_table(value):
    """Return whether a field is a table."""
    return isinstance(value, dict)


class Machine:
    """One machine of the system with one role, and its process while there is one."""

    def __init__(self, fleet, name, role, host, zone):
        self.fleet, self.name, self.role = fleet, name, role
        self.host, self.zone = host, zone
        self.data = fleet.folder / f"{name}-data"
        self.settings = fleet.folder / f"{name}.toml"
        self.process = None
        self.starts = 0

    def start(self, seeds, bootstrap):
        """Start the process, as the deploy file says."""
        front = self.role == "gateway"
        listen = {"front": f"{self.host}:{FRONT}", "ready": f"{self.host}:{READY}"}
        fields = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "front" if front else "core",
            "serves": ["front"] if front else ["control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "sk-west",
            "internal_port_range": [INTERNAL, INTERNAL + 15],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "counts_as_loss": not front,
            "discovery": "registration",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "config_mode": "highest",
            "listen": listen if front else {"control": f"{self.host}:{CONTROL}"},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": BOUNDS,
        }
        if not front:
            self.data.mkdir(exist_ok=True)
            fields["data_dir"] = str(self.data)
        self.settings.write_text(write_toml(fields))
        self.starts += 1
        log = self.fleet.folder / f"{self.name}-{self.starts}.log"
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "TRESTLESTALL_CONFIG": str(self.settings),
        }
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/main.py", self.role],
                cwd=TOP,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def stop(self, seconds=9.0):
        """Send SIGTERM, wait for the end, and kill after ``seconds``."""
        self.process.terminate()
        deadline = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        self.kill()

    def wipe(self):
        """Lose the disk of a machine that is down."""
        shutil.rmtree(self.data)

    def read_log(self):
        """Return the text of all logs of the machine."""
        logs = sorted(self.fleet.folder.glob(f"{self.name}-*.log"))
        return "".join(log.read_text(errors="replace") for log in logs)


class Fleet:
    """The machines, the record and the services' and routes' document."""

    def __init__(self, record):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block = find_block()
        self.began = time.monotonic()
        self.machines = {}
        self.runners = []
        self._record = record.open("w")
        self._last_host = 0

    def note(self, text):
        """Write a line with the time to the record and to standard output."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    def take_host(self):
        """Return an address that no machine has had."""
        self._last_host += 1
        return f"{self.block}.{self._last_host}"

    def add(self, name, role, zone):
        """Return a new machine; it is not started."""
        self.machines[name] = Machine(self, name, role, self.take_host(), zone)
        return self.machines[name]

    @property
    def core(self):
        """The machines of the core."""
        return [one for one in self.machines.values() if one.role == "directory"]

    @property
    def fronts(self):
        """The machines that take clients."""
        return [one for one in self.machines.values() if one.role == "gateway"]

    def list_seeds(self, core=None):
        """Return the seeds: the control addresses of three core machines."""
        return [f"{one.host}:{CONTROL}" for one in (core or self.core)[:3]]

    async def start(self, document, core=3, fronts=2):
        """Start the whole system for the first time, and send the configuration."""
        for number in range(core):
            self.add(f"core-{number + 1}", "directory", ZONES[number % 3])
        for number in range(fronts):
            self.add(f"front-{number + 1}", "gateway", ZONES[number % 3])
        seeds = self.list_seeds()
        for machine in self.machines.values():
            machine.start(seeds, bootstrap=True)
        status = await self.declare(document, 20.0)
        if status != 200:
            raise CouldNotRun(f"the first configuration got {status}")

    async def declare(self, document, seconds, machines=None):
        """Send a configuration until it is clearly answered; return the status."""
        deadline = time.monotonic() + seconds
        body = json.dumps(document).encode()
        while time.monotonic() < deadline:
            for machine in machines or self.core:
                reply = await call(
                    machine.host, CONTROL, "PUT", "/v1/configuration", body
                )
                version = document["version"]
                self.note(f"PUT version {version} at {machine.name}: {reply.status}")
                if reply.status in (200, 400, 409, 412, 413, 422):
                    return reply.status
                await asyncio.sleep(0.1)
        return 0

    async def read(self, machine):
        """Return the version read at a machine, or None, and the status."""
        reply = await call(machine.host, CONTROL, "GET", "/v1/configuration")
        version = json.loads(reply.body)["version"] if reply.status == 200 else None
        return version, reply.status

    async def wait_ready(self, seconds=15.0):
        """Wait until all fronts say that they are ready."""
        deadline = time.monotonic() + seconds
        for machine in self.fronts:
            while time.monotonic() < deadline:
                reply = await call(machine.host, READY, "GET", "/v1/ready")
                if reply.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CouldNotRun(f"{machine.name} did not become ready")

    async def close(self):
        """End all processes and stand-ins, and remove the folder."""
        for runner in self.runners:
            await runner.close()
        for machine in self.machines.values():
            machine.kill()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


class Reply:
    """A response as a client saw it; status 0 is none, ``whole`` is its end's."""

    def __init__(self, status=0, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole


async def call(host, port, method, path, body=b"", headers=None, seconds=1.5):
    """Send one request on a new connection and return the whole reply."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(write_request(method, path, headers or {}, body, host))
                await writer.drain()
                return await read_reply(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Reply()


def write_request(method, path, headers, body, host="control"):
    """Return the bytes of a request."""
    given = {"Host": host, **headers}
    if body or method in ("PUT", "POST"):
        given["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in given.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_head(reader):
    """Return the first line and the headers, by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_reply(reader):
    """Return the next response on a connection."""
    first, headers = await read_head(reader)
    status = int(first.split(" ", 2)[1])
    try:
        body = await read_body(reader, headers, ends_with_connection=True)
    except asyncio.IncompleteReadError as error:
        return Reply(status, headers, error.partial)
    return Reply(status, headers, body, True)


async def read_body(reader, headers, ends_with_connection=False):
    """Return a body of either framing; raises ``IncompleteReadError``."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if ends_with_connection else b""


class Runner:
    """A sound runner of a plain service: runs requests, and announces itself."""

    def __init__(self, fleet, service, zone, work_seconds=0.05, slots=64):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.work_seconds, self.slots = work_seconds, slots
        self.identity = f"i-{random.getrandbits(32):08x}"
        self.host = fleet.take_host()
        self.runs = []
        self.sequence = 0
        self.state = "ready"
        self._server = self._beats = None
        self._tasks = set()
        fleet.runners.append(self)

    @property
    def address(self):
        """The address, as it is announced."""
        return f"{self.host}:{RUNNER}"

    async def start(self):
        """Listen and announce."""
        self._server = await asyncio.start_server(self._serve, self.host, RUNNER)
        self._beats = asyncio.create_task(self._beat())

    async def close(self):
        """Stop listening and announcing."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def stop_announcing(self):
        """Send no more heartbeats."""
        self._beats.cancel()

    async def announce(self):
        """Send one heartbeat to the first core machine that takes it."""
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
        }
        body = json.dumps(row).encode()
        path = f"/v1/instances/{self.identity}"
        for machine in random.sample(self.fleet.core, len(self.fleet.core)):
            reply = await call(machine.host, CONTROL, "PUT", path, body, seconds=1.0)
            if 200 <= reply.status < 300:
                return True
        return False

    async def _beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                await self._serve_one(reader, writer)
        self._tasks.discard(task)
        writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        method, path, _ = first.split(" ")
        if "expect-instance" in headers and headers["expect-instance"] != self.identity:
            writer.write(self.write_answer(421, headers, b"", {"Not-Executed": "1"}))
            await writer.drain()
            return
        if "request-id" not in headers:
            writer.write(self.write_answer(200, headers, b"ok"))
            await writer.drain()
            return
        self.runs.append((time.monotonic(), headers["request-id"], method, path))
        await self.answer(headers, body, writer)

    async def answer(self, headers, body, writer):
        """Run a request, and write its answer."""
        await asyncio.sleep(self.work_seconds)
        identity = headers["request-id"]
        text = f"answer to {identity}".encode()
        writer.write(self.write_answer(200, headers, text, self.sign(identity)))
        await writer.drain()

    def sign(self, identity):
        """Return the signature header of an answer."""
        return {"Response-Signature": f"{self.identity}.{identity}"}

    def write_answer(self, status, headers, body, more=None):
        """Return the bytes of an answer that echoes the request's id."""
        given = {"Content-Length": str(len(body)), "Instance-Id": self.identity}
        if "request-id" in headers:
            given["Request-Id"] = headers["request-id"]
        given |= {"Keep-Alive": "timeout=10", **(more or {})}
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in given.items())]
        return "\r\n".join([*lines, "", ""]).encode() + body


def make_document(version, routes=(), services=("plain",), **more):
    """Return a configuration with a safe and an unsafe route to a plain service."""
    made = [make_route("safe", "/s/", "safe"), make_route("unsafe", "/u/", "unsafe")]
    listed = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    document = {"version": version, "routes": [*made, *routes], "services": listed}
    return {**document, "limits": limits, **more}


def make_route(name, prefix, kind, **changes):
    """Return a public route to the plain service."""
    route = {
        "name": name,
        "host": "site.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": "plain",
        "max_attempts": 2,
        "public": True,
    }
    return {**route, **changes}


def run(case, folder):
    """Run a case, a coroutine that returns an exit status, and exit with it."""
    fleet = Fleet(pathlib.Path(folder) / "record.txt")
    status = asyncio.run(run_guarded(case, fleet))
    sys.exit(status)


async def run_guarded(case, fleet):
    """Run a case and end all processes, whatever happens."""
    try:
        async with asyncio.timeout(110):
            return await case(fleet)
    except (CouldNotRun, TimeoutError, OSError) as error:
        fleet.note(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        await fleet.close()
