"""The command line of trestlestalld."""

import io
import random
import subprocess
import sys
import unittest

from trestlestall.daemon import cli, environment, status


def run_cli(*args):
    """Run one command line; return its status, output and errors."""
    streams = io.StringIO(), io.StringIO(), io.StringIO()
    env = environment.Environment(*streams, environment.Clock(), random.Random(1))
    found = cli.main(args, env)
    return found, streams[1].getvalue(), streams[2].getvalue()


class UsageTest(unittest.TestCase):
    def test_wrong_lines_get_one_plain_line(self):
        table = {
            "no command 'route'": ["route"],
            "missing settings": ["router"],
            "--settings needs a value": ["router", "--settings"],
            "unexpected argument b": ["check-settings", "a", "b"],
            "no flag --sttings": ["router", "--sttings", "x"],
            "no flag --;": ["router", "--", "--interactive"],
            "no flag --trace": ["router", "--trace"],
        }
        for message, args in table.items():
            with self.subTest(args=args):
                found, output, errors = run_cli(*args)
                self.assertEqual(found, status.ExitStatus.USAGE)
                self.assertIn(message, errors)
                self.assertEqual(errors.count("\n"), 1)
                self.assertEqual(output, "")

    def test_help_is_a_manual(self):
        for args in ([], ["--help"], ["help"], ["router", "--help"]):
            with self.subTest(args=args):
                found, output, _ = run_cli(*args)
                self.assertEqual(found, status.ExitStatus.OK)
                for heading in ("SYNOPSIS", "EXIT STATUS", "check-settings FILE"):
                    self.assertIn(heading, output)

    def test_arguments_stay_text(self):
        found, _, errors = run_cli("check-settings", "007")
        self.assertEqual(found, status.ExitStatus.BAD_SETTINGS)
        self.assertIn("can't read 007: No such file", errors)


class ProcessTest(unittest.TestCase):
    def test_the_real_process_warns_of_nothing_and_keeps_its_status(self):
        line = [sys.executable, "-m", "trestlestall.daemon", "check-settings", "none"]
        found = subprocess.run(line, capture_output=True, text=True, timeout=60)
        self.assertEqual(found.returncode, status.ExitStatus.BAD_SETTINGS)
        self.assertEqual(
            found.stderr,
            "trestlestalld: none: can't read none: No such file or directory\n",
        )
