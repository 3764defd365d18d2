"""Three control processes on loopback, and helpers for the other agreed-state tests."""

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing
import unittest
from collections import abc
from concurrent import futures

from trestlestall.standins import addresses, processes

NAMES = ("control-1", "control-2", "control-3")
KEYS = {"alice": "key-of-alice", "bela": "key-of-bela"}
LISTENERS = ("operators", "platform", "peers")
# Only stops a test that hangs; no assertion depends on the value.
WAIT_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.02
CALL_SECONDS = 30.0


class Deployment:
    """Control processes with their settings and data folders under a temporary path."""

    def __init__(self, path: pathlib.Path, names: abc.Sequence[str]):
        self.path = path
        self.names = list(names)
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses = {name: find_addresses() for name in names}
        for name in names:
            self.write_settings(name)

    def write_settings(self, name: str) -> None:
        secrets = {"peers": "p", "upstreams": "u", "operators": KEYS}
        secrets_file = self.path / "secrets.json"
        secrets_file.write_text(json.dumps(secrets))
        secrets_file.chmod(0o600)
        (self.path / name).mkdir(exist_ok=True)
        peers = [
            {
                "name": peer,
                "role": "control",
                "data_centre": peer,
                "address": self.addresses[peer]["peers"],
            }
            for peer in self.names
            if peer != name
        ]
        document = {
            "role": "control",
            "name": name,
            "data_centre": name,
            "listen": self.addresses[name],
            "secrets_file": "secrets.json",
            "data_folder": name,
            "voters": list(NAMES),
            "peers": peers,
        }
        (self.path / f"{name}.json").write_text(json.dumps(document))

    def start(self, *names: str) -> None:
        for name in names or self.names:
            command = [sys.executable, "-m", "trestlestall.daemon", "control"]
            command += ["--settings", str(self.path / f"{name}.json")]
            with open(self.path / f"{name}.log", "ab") as log:
                self.processes[name] = subprocess.Popen(command, stderr=log)

    def add_process(self, name: str) -> None:
        """Start a process that lists the others as peers but is not listed by them."""
        self.names.append(name)
        self.addresses[name] = find_addresses()
        self.write_settings(name)
        self.start(name)

    def send(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def kill(self, *names: str) -> None:
        for name in names:
            self.send(name, signal.SIGKILL)
            self.processes.pop(name).wait()

    def wipe(self, name: str) -> None:
        shutil.rmtree(self.path / name)
        (self.path / name).mkdir()

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def call(self, name, method, path, body=None, key="alice", listener="operators"):
        """Return status and document, or (None, None) if there was no response."""
        host, port = self.addresses[name][listener].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_SECONDS)
        headers = {"Authorization": f"Bearer {KEYS.get(key, key)}"}
        try:
            content = None if body is None else json.dumps(body)
            connection.request(method, path, content, headers)
            answer = connection.getresponse()
            data = answer.read()
            is_json = answer.headers["Content-Type"] == "application/json"
            return answer.status, json.loads(data) if is_json else data.decode()
        except (OSError, http.client.HTTPException):
            return None, None
        finally:
            connection.close()

    def operate(self, name: str, text: str, key="alice", **fields):
        body = {"text": text, **fields}
        return self.call(name, "POST", "/v1/operator", body, key)

    def submit_until_resolved(
        self, text: str, request_id: str, names=None, **fields
    ) -> dict:
        """Send a command to the processes in turn until one returns its outcome."""
        names = list(names or self.processes)

        def ask() -> dict | None:
            names.append(names.pop(0))
            status, document = self.operate(
                names[0], text, request_id=request_id, **fields
            )
            return document["outcome"] if status == 200 else None

        return wait_for(ask, f"an outcome of {request_id}")

    def find_status(self, name: str) -> dict | None:
        status, document = self.call(name, "GET", "/v1/status")
        return document if status == 200 else None

    def wait_for_leader(self, names=None) -> str:
        names = list(names or self.processes)

        def ask() -> str | None:
            names.append(names.pop(0))
            document = self.find_status(names[0])
            return document["leader"] if document else None

        return wait_for(ask, "a leader")

    def read_events(self, name: str) -> list[dict]:
        lines = processes.read_lines(self.path / f"{name}.log")
        return [json.loads(line) for line in lines if line.startswith("{")]


def wait_for(ask: abc.Callable, what: str):
    """Poll ``ask`` and return its first true result."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        found = ask()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"timed out after {WAIT_TIMEOUT_SECONDS} s waiting for {what}")


def call_together(ask: abc.Callable[[int], typing.Any]) -> list:
    """Call ``ask(0)`` and ``ask(1)`` concurrently and return the results."""
    barrier = threading.Barrier(2)

    def run(place: int) -> typing.Any:
        barrier.wait()
        return ask(place)

    with futures.ThreadPoolExecutor(2) as pool:
        return list(pool.map(run, range(2)))


def find_addresses() -> dict[str, str]:
    """Return an address for each listener that stays reserved for a while."""
    return {name: str(addresses.reserve_address()) for name in LISTENERS}


@contextlib.contextmanager
def open_deployment(names: abc.Sequence[str] = NAMES) -> abc.Iterator[Deployment]:
    """Yield a started deployment, and kill its processes afterwards."""
    with tempfile.TemporaryDirectory() as path:
        deployment = Deployment(pathlib.Path(path), names)
        try:
            deployment.start()
            yield deployment
        finally:
            deployment.close()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(path, os.environ["KEEP_LOGS"], dirs_exist_ok=True)


class DeploymentTest(unittest.TestCase):
    def test_doors_and_bad_requests(self):
        cases = (
            ("operators", "GET", "/v1/status", None, "nobody", 401),
            ("operators", "POST", "/v1/operator", {"text": "history"}, "nobody", 401),
            ("operators", "POST", "/v1/operator", {"txt": "history"}, "alice", 400),
            ("operators", "POST", "/v1/operator", {"text": 7}, "alice", 400),
            ("operators", "POST", "/v1/operator", [], "alice", 400),
            ("operators", "POST", "/v1/operator", {"text": "histori"}, "alice", 400),
            ("operators", "POST", "/v1/operator", {"text": "history"}, "bela", 200),
            ("operators", "GET", "/metrics", None, "alice", 404),
            ("platform", "GET", "/v1/status", None, "alice", 404),
            ("platform", "GET", "/healthz", None, "", 200),
            ("platform", "GET", "/readyz", None, "", 200),
            ("platform", "GET", "/metrics", None, "", 200),
        )
        with open_deployment() as deployment:
            leader = deployment.wait_for_leader()
            for listener, method, path, body, key, expected in cases:
                with self.subTest(f"{method} {path}", key=key, body=body):
                    status, _ = deployment.call(
                        leader, method, path, body, key, listener
                    )
                    self.assertEqual(status, expected)
            _, text = deployment.call(leader, "GET", "/metrics", listener="platform")
            self.assertIn("trestlestall_leader 1.0", text)

    def test_three_form_a_group_and_stop_as_planned(self):
        with open_deployment() as deployment:
            leader = deployment.wait_for_leader()
            for name in NAMES:
                status = deployment.find_status(name)
                self.assertEqual(status["leader"], leader)
                states = {row["name"]: row["state"] for row in status["voters"]}
                self.assertEqual(set(states), set(NAMES))
            for name in NAMES:
                deployment.send(name, signal.SIGTERM)
            ends = [process.wait() for process in deployment.processes.values()]
            self.assertEqual(ends, [0, 0, 0])
