"""Whole sessions of an operator, compared with golden files.

A golden file holds command lines after ``$``, what they print, and the exit status when
it isn't 0. ``<`` lines before a command line are its standard input; a ``!`` line gives
the first server a fault for its next request. ``ID`` stands for the request id of the
call before. To renew the files after an intended change, run this module with
RENEW_GOLDEN=1 in the environment and read the difference.
"""

import contextlib
import io
import json
import os
import pathlib
import random
import re
import shlex
import tempfile
import unittest
from unittest import mock

from packages.client.tests import operator_server
from trestlestall.client import cli, settings
from trestlestall.daemon import environment

GOLDEN = pathlib.Path(__file__).parent / "golden"
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "client.md"
NO_LEADER = {"code": "no_leader", "message": "no leader is known"}
FAULTS = {
    "lose the answer": ["lose"],
    "drop the request": ["drop"],
    "answer no_leader": [(503, {"error": NO_LEADER | {"run": "not_run"}})],
    "answer timeout": [(504, {"error": NO_LEADER | {"run": "outcome_unknown"}})],
    "answer rubbish": [(200, b"\xff<html>")],
    "lose the second answer": [None, "lose"],
}


class Session:
    """Plays the command lines of one golden file."""

    def __init__(self, folder, server, other):
        self.folder = pathlib.Path(folder)
        self.server = server
        self.names = {
            "SERVER": server.address,
            "OTHER": other.address,
            "NOBODY": operator_server.find_free_address(),
            "FOLDER": str(folder),
        }
        self.random = random.Random(7)
        self.write(
            "client.json", json.dumps({"servers": [server.address], "key_file": "key"})
        )
        self.write("key", operator_server.KEY)
        self.write("wrong-key", "other")

    def write(self, name, content):
        path = self.folder / name
        path.write_text(content)
        path.chmod(0o600)

    def play(self, script):
        """Return the script with what its command lines print now."""
        written, given = [], []
        for line in script.splitlines():
            if line.startswith("# ") or not line:
                written.append(line)
            elif line.startswith("! "):
                self.server.faults += FAULTS[line[2:]]
                written.append(line)
            elif line.startswith("< "):
                given.append(line[2:])
                written.append(line)
            elif line.startswith("$ "):
                written += [line, *self.call(line[2:], "\n".join(given))]
                given = []
        return "\n".join(written) + "\n"

    def call(self, line, given):
        """Return the lines that one command line prints."""
        for name, value in self.names.items():
            line = line.replace(name, value)
        if self.server.requests:
            line = line.replace(
                "ID", self.server.requests[-1].get("request_id", "")[:36]
            )
        output = io.StringIO()
        env = environment.Environment(
            io.StringIO(given), output, output, environment.Clock(), self.random
        )
        _, *args = shlex.split(line)
        default = str(self.folder / "client.json")
        with mock.patch.object(settings, "DEFAULT_FILE", default):
            status = cli.main(args, env)
        text = output.getvalue()
        for name, value in self.names.items():
            text = text.replace(value, name)
        end = [f"[exit {int(status)}]"] if status else []
        return [f"  {part}".rstrip() for part in text.splitlines()] + end


@contextlib.contextmanager
def open_session():
    """Yield a session with servers and a folder of its own."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        server = stack.enter_context(operator_server.run_server())
        other = stack.enter_context(operator_server.run_server())
        yield Session(folder, server, other)


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_sessions(self):
        paths = sorted(GOLDEN.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(session=path.name), open_session() as session:
                script = path.read_text()
                played = session.play(script)
                if os.environ.get("RENEW_GOLDEN"):
                    path.write_text(played)
                self.assertEqual(script, played)

    def test_the_session_of_the_manual_page(self):
        page = PAGE.read_text()
        scripts = re.findall("```console\n(.*?)```", page, re.DOTALL)
        self.assertTrue(scripts)
        with open_session() as session:
            played = [session.play(script) for script in scripts]
        for script, now in zip(scripts, played, strict=True):
            if os.environ.get("RENEW_GOLDEN"):
                PAGE.write_text(PAGE.read_text().replace(script, now))
            with self.subTest(script=script.splitlines()[0]):
                self.assertEqual(script, now)
