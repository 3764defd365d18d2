"""The demonstration as a user starts it, and what it stands on: real processes."""

import pathlib
import tempfile
import unittest

from tests import helpers
from trestlestall.standins import deployment, processes

DECLARATIONS = (
    "declare class chat tier 1 target 60s idempotent floor 5%",
    'declare workspace basu key "the-key-of-basu"',
)


class DemoTest(unittest.TestCase):
    def test_demonstration_runs_to_its_end_and_leaves_no_process(self):
        with tempfile.TemporaryDirectory() as folder:
            module = "trestlestall.standins.demo"
            finished = processes.run(module, (), pathlib.Path(folder))
        self.assertEqual((finished.returncode, finished.stderr), (0, ""))
        expected = (
            "accepted: version 6",
            "-23 \n   status 200, request router-b1-",
            "the service did the work 1 time(s)",
            "code unknown_model, not_run",
            "router-b1  6",
            "== Ended 7 processes, 0 left",
        )
        for text in expected:
            with self.subTest(text):
                self.assertIn(text, finished.stdout)


class DeploymentTest(unittest.TestCase):
    def test_command_through_a_router_gets_controls_answer(self):
        with helpers.start(deployment.Plan(data_centres=("a",))) as running:
            running.operate(DECLARATIONS[0])
            answer = running.query(DECLARATIONS[1], running.routers[0])
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.document["outcome"], {"kind": "accepted", "version": 2})


if __name__ == "__main__":
    unittest.main()
