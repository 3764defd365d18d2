"""A disk is lost while an operator replaces a control process, so that four vote."""

from packages.daemon.tests import test_control_cluster as clusters

LEFT = ("control-3", "control-4")


class LostDiskTest(clusters.ClusterTest):
    def test_the_two_that_are_left_of_four_accept_commands(self):
        self.cluster.start()
        self.accept(1)
        self.cluster.start("control-4")
        added = 'add voter control-4 at "127.0.0.1:19044"'
        body = self.cluster.operate(self.cluster.elect(), added, "add")
        self.assertEqual(body["outcome"]["kind"], "accepted", body)
        self.cluster.run_until(lambda: None, steps=20)
        self.cluster.stop("control-1", "control-2")
        self.cluster.wipe("control-2")
        self.cluster.start("control-2")
        leader = self.cluster.elect(LEFT)
        body = self.cluster.operate(leader, "drain upstream u2", "r2")
        self.assertEqual(body["outcome"], {"kind": "accepted", "version": 2})
