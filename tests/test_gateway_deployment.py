"""Gateways and directories as real processes: acknowledged changes are durable."""

import contextlib
import json
import os
import shutil
import signal
import tempfile
import unittest

from tests import gateways
from trestlestall.standins import processes

#: Invalid values of an announcement's fields.
FOREIGN = (
    ("sequence", -1),
    ("sequence", "x"),
    ("state", 7),
    ("service", ""),
    ("service", 3),
    ("address", "nowhere:1"),
    ("address", f"{gateways.HOST}:0"),
    ("slots", -3),
    ("warm_seconds", 1e300),
    ("born", 1.5),
)


class DeploymentCase(unittest.TestCase):
    directories = 3

    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="trestle-"))
        self.system = gateways.Deployment(folder, self.directories)
        stack.callback(self.system.stop_all)
        self.upstream = gateways.Upstream("u1")
        stack.callback(self.upstream.stop)
        self.system.start_all()

    def serve(self):
        """Declare, announce, and wait until both gateways serve requests."""
        self.assertEqual(self.system.declare(gateways.make_document(5)), 200)
        port = self.system.ports[self.system.names[0]]
        self.assertEqual(self.upstream.announce(port), 200)
        for name in self.system.gateways:
            gateways.wait_until(lambda each=name: self.system.is_ready(each), name)
            gateways.wait_until(lambda each=name: self.is_served(each), name)

    def is_served(self, name):
        return self.system.ask(name) == 200

    def has_route(self, name, path):
        return self.system.ask(name, path=path) != 404


class Signalled:
    """A host on which a process gets a reload signal while it loads its libraries."""

    SOURCE = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "eventlet":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
"""

    def __init__(self, folder):
        folder.mkdir()
        (folder / "sitecustomize.py").write_text(self.SOURCE)
        paths = processes.make_environment()["PYTHONPATH"]
        self.variables = {"PYTHONPATH": os.pathsep.join([str(folder), paths])}


class ServiceTest(DeploymentCase):
    def test_declared_announced_served_drained_and_stopped(self):
        gateway = self.system.gateways[0]
        gateways.wait_until(lambda: self.system.ask(gateway) == 503, "no configuration")
        self.serve()
        document = gateways.make_document(6, prefix="/other/")
        self.assertEqual(self.system.declare(document), 200)
        for name in self.system.gateways:
            gateways.wait_until(
                lambda each=name: self.has_route(each, "/other/x"), "the new route"
            )
            self.assertEqual(self.system.ask(name), 404)
        port = self.system.ports[self.system.names[1]]
        self.assertEqual(self.upstream.announce(port, state=1), 200)
        gateways.wait_until(
            lambda: self.system.ask(gateway, path="/other/x") == 503, "the drain"
        )
        stopped = self.system.running[gateway]
        stopped.send_signal(signal.SIGHUP)
        self.assertTrue(self.system.is_ready(gateway))
        stopped.send_signal(signal.SIGTERM)
        gateways.wait_until(lambda: not self.system.is_ready(gateway), "unready")
        self.assertEqual(stopped.child.wait(12), 0)

    def test_a_reload_signal_during_the_start_ends_no_process(self):
        """Guards against a process that is gone after a restart and a reload."""
        self.serve()
        gateway, directory = self.system.gateways[0], self.system.names[0]
        signalled = Signalled(self.system.folder / "signalled")
        for name in (gateway, directory):
            self.system.hosts[name] = signalled
            self.system.running[name].kill()
        self.system.start_gateway(gateway)
        self.system.start_directory(directory)
        gateways.wait_until(lambda: self.system.ask(gateway) == 200, gateway)
        gateways.wait_until(
            lambda: self.system.read(directory) == gateways.make_document(5), directory
        )

    def test_documents_are_read_back_as_sent(self):
        document = gateways.make_document(7, note={"unknown": [1, 2]})
        self.assertEqual(self.system.declare(document), 200)
        for name in self.system.names:
            self.assertEqual(self.system.read(name), document)

    def test_words_of_other_writers_change_nothing(self):
        self.serve()
        good = {
            "sequence": 99,
            "state": 0,
            "service": "work",
            "address": f"{gateways.HOST}:9",
            "data_centre": "a",
            "slots": 8,
        }
        bodies = [{**good, field: value} for field, value in FOREIGN]
        bodies += [b"", b"\xff", b"[" * 50_000, b"{" + b" " * 200_000 + b"}"]
        port = self.system.ports[self.system.names[0]]
        for body in bodies:
            plain = body if isinstance(body, bytes) else json.dumps(body)
            for name in ("u1", "u7", "a b"):
                path = f"/v1/upstreams/{name}"
                found = gateways.ask(port, "PUT", path, plain)
                self.assertNotEqual(found.status, 200, (name, body))
        for name in self.system.gateways:
            self.assertEqual(self.system.ask(name), 200)
        self.assertIn("trestlestall_announcements_refused_total", self.show_metrics())
        self.assertTrue(self.system.running[self.system.names[0]].running)

    def test_a_directory_shows_its_metrics(self):
        self.serve()
        # The directory may be a follower, which gets a version later than the leader.
        for line in (
            "trestlestall_declaration_version 5.0",
            "trestlestall_directory_voters 3.0",
            'kind="announce",status="200"',
        ):
            gateways.wait_until(lambda text=line: text in self.show_metrics(), line)

    def show_metrics(self):
        port = self.system.ports[self.system.names[0]]
        return gateways.ask(port, "GET", "/metrics").body.decode()

    def test_invalid_old_and_doubled_documents(self):
        names = self.system.names
        newest = gateways.make_document(9)
        self.assertEqual(self.system.declare(newest), 200)
        self.assertEqual(self.system.declare(newest, names[1:2]), 200)
        older = gateways.make_document(8, prefix="/older/")
        self.assertEqual(self.system.declare(older, names[2:]), 200)
        same = gateways.make_document(9, prefix="/same/")
        self.assertEqual(self.system.declare(same), 200)
        for invalid in (
            json.dumps(gateways.make_document(10))[:-9].encode(),
            gateways.make_document(10, services={}),
            gateways.make_document(3, services={}),
        ):
            self.assertEqual(self.system.declare(invalid), 400)
        self.assertEqual(self.system.read(names[0]), newest)


class FailureTest(DeploymentCase):
    def test_killed_directories_keep_what_was_acknowledged(self):
        self.serve()
        newest = gateways.make_document(20)
        self.assertEqual(self.system.declare(newest), 200)
        for name in self.system.names:
            self.system.running[name].kill()
        self.assertTrue(self.is_served(self.system.gateways[0]))
        for name in self.system.names:
            self.system.start_directory(name)
        for name in self.system.names:
            gateways.wait_until(
                lambda each=name: self.system.read(each) == newest, "read back"
            )

    def test_one_of_three_is_never_sure(self):
        self.serve()
        for name in self.system.names[1:]:
            self.system.running[name].kill()
        gateways.wait_until(
            lambda: self.system.read(self.system.names[0]) == 503, "not sure"
        )
        port = self.system.ports[self.system.names[0]]
        self.assertEqual(self.upstream.announce(port, state=1), 503)

    def test_a_lost_disk_joins_again_and_then_counts(self):
        self.serve()
        newest = gateways.make_document(30)
        self.assertEqual(self.system.declare(newest), 200)
        lost, other, last = self.system.names
        self.system.running[lost].kill()
        shutil.rmtree(self.system.folder / f"{lost}-data")
        self.system.start_directory(lost)
        gateways.wait_until(lambda: self.votes(lost), "the new disk votes")
        self.system.running[other].kill()
        gateways.wait_until(lambda: self.system.read(lost) == newest, "read back")
        self.assertEqual(self.system.declare(gateways.make_document(31)), 200)
        self.assertEqual(self.system.read(last)["version"], 31)

    def votes(self, name):
        """Return whether a leader has logged the new disk as an added voter."""
        for process in self.system.running.values():
            for line in process.read_log().splitlines():
                ended = '"voter_change_ended"' in line and '"Applied"' in line
                if ended and f'"add":"127.0.0.1:{self.system.links[name]}#' in line:
                    return True
        return False


class GrowthTest(DeploymentCase):
    directories = 4

    def test_a_directory_that_nobody_lists_joins(self):
        *first, added = self.system.names
        self.system.running[added].kill()
        shutil.rmtree(self.system.folder / f"{added}-data")
        self.system.first = self.system.first[:3]
        for name in first:
            self.system.running[name].kill()
            shutil.rmtree(self.system.folder / f"{name}-data")
            self.system.start_directory(name, founding=True)
        self.system.start_directory(added, founding=True)
        newest = gateways.make_document(40)
        self.assertEqual(self.system.declare(newest), 200)
        gateways.wait_until(lambda: self.system.read(added) == newest, "read back")
