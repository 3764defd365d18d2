"""Planned stops of the leader, on real processes: another one leads at once."""

import signal
import unittest

from tests import test_agreed_state_deployment as deployments

STOPS = 4


class StopTest(unittest.TestCase):
    def test_change_right_after_the_leader_was_told_to_stop_is_accepted(self):
        """A leader that was not replaced while it stopped would log no end of it."""
        with deployments.open_deployment() as deployment:
            for number in range(1, STOPS + 1):
                leader = deployment.wait_for_leader()
                others = [name for name in deployments.NAMES if name != leader]
                deployment.send(leader, signal.SIGTERM)
                status, document = deployment.operate(
                    others[number % 2], f"drain upstream u{number}"
                )
                self.assertEqual(status, 200, document)
                accepted = {"kind": "accepted", "version": number}
                self.assertEqual(document["outcome"], accepted)
                self.assertEqual(deployment.processes[leader].wait(), 0)
                self.check_handed_over(deployment, leader, others)
                deployment.start(leader)
                deployments.wait_for(
                    lambda: deployment.find_status(leader),  # noqa: B023
                    "the process that was started again",
                )

    def check_handed_over(self, deployment, leader, others):
        """The leader's term ended before its process did, by the next one's term."""
        told = [line["name"] for line in deployment.read_events(leader)]
        last = len(told) - told[::-1].index("process_stopping")
        self.assertEqual(told[last:].count("leader_deposed"), 1, told[last:])
        self.assertIn(deployment.wait_for_leader(others), others)
