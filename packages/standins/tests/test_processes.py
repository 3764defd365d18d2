"""A program that starts others stops them, also if it gets SIGTERM itself."""

import os
import pathlib
import signal
import tempfile
import unittest

from trestlestall.standins import processes

STARTER = """
import pathlib, sys, time
from trestlestall.standins import deployment, processes
processes.exit_on_termination()
plan = deployment.Plan(
    controls=0,
    routers_per_data_centre=0,
    engines=(deployment.EnginePlan("e1"), deployment.EnginePlan("e2", "b")),
)
with deployment.start_deployment(pathlib.Path.cwd(), plan) as running:
    print("started", *(process.pid for process in running.started), flush=True)
    time.sleep(600)
"""


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TerminationTest(unittest.TestCase):
    def test_terminated_program_leaves_no_child_process(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            (path / "starter.py").write_text(STARTER)
            process = processes.start("starter", "starter", (), path)
            processes.wait_until(
                lambda: "started" in process.read_log() or not process.running, "start"
            )
            pids = [int(pid) for pid in process.read_log().split()[-2:]]
            process.send_signal(signal.SIGTERM)
            status = process.child.wait(processes.START_TIMEOUT_SECONDS)
        self.assertEqual(status, 128 + signal.SIGTERM)
        self.assertEqual([pid for pid in pids if is_alive(pid)], [])

    def test_early_exit_is_reported_with_the_end_of_the_log(self):
        with tempfile.TemporaryDirectory() as folder:
            process = processes.start("x", "no_such_module", (), pathlib.Path(folder))
            process.child.wait(processes.START_TIMEOUT_SECONDS)
            with self.assertRaisesRegex(Exception, "No module named no_such_module"):
                processes.check_running(process)

    def test_a_line_that_is_not_yet_written_completely_is_no_event(self):
        """Guards against a test that fails as it reads while a process logs."""
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "x.log"
            process = processes.Process("x", None, log)
            log.write_text('{"name": "first"}\n{"name": "sec')
            self.assertEqual(process.read_events(), [{"name": "first"}])
            log.write_text('{"name": "first"}\nnot JSON\n{"name": "second"}\n')
            names = [one["name"] for one in process.read_events()]
        self.assertEqual(names, ["first", "second"])


if __name__ == "__main__":
    unittest.main()
