"""Graceful stops of the leader, on real processes: leadership is handed over."""

import signal
import unittest

from tests import test_agreed_state_deployment as deployments

STOPS = 4


class StopTest(unittest.TestCase):
    def test_change_right_after_the_leader_was_told_to_stop_is_accepted(self):
        """A leader that stops without a handover would not log ``leader_deposed``."""
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
                    "the restarted process",
                )

    def check_handed_over(self, deployment, leader, others):
        """Check that a new leader replaced this one before its process exited."""
        names = [line["name"] for line in deployment.read_events(leader)]
        last = len(names) - names[::-1].index("process_stopping")
        leads = [name for name in names if name.startswith("leader_")]
        seen = f"{leads} of {leader}, then {names[last:]}"
        self.assertEqual(names[last:].count("leader_deposed"), 1, seen)
        self.assertIn(deployment.wait_for_leader(others), others)
