"""The node's interface: one group of three elects, replicates, commits and applies."""

import unittest

from trestlestall.agreement import actions, entries, events, node, timing

NAMES = ("a", "b", "c")


class ContractTest(unittest.TestCase):
    def setUp(self):
        self.nodes = {
            name: node.Node(name, NAMES, timing.Timing(), 1) for name in NAMES
        }
        self.queue = []
        self.done = {name: [] for name in NAMES}
        self.now = 0.0

    def step(self, name, event):
        for action in self.nodes[name].handle(event, self.now):
            self.done[name].append(action)
            if isinstance(action, actions.Send):
                self.queue.append((action.to, name, action.message))

    def run_until(self, end):
        while self.now < end:
            self.now += 0.1
            for name in NAMES:
                self.step(name, events.Tick())
            while self.queue:
                to, sender, message = self.queue.pop(0)
                self.step(to, events.Receive(sender, message))

    def test_command_is_committed_and_applied_everywhere(self):
        self.run_until(3.0)
        leader = self.nodes["a"].leader
        self.step(leader, events.Propose("t", b"x"))
        self.step(leader, events.Read("r"))
        self.run_until(4.0)
        self.assertIn(actions.Proposed("t", actions.Committed(3)), self.done[leader])
        self.assertIn(actions.ReadReady("r", 2), self.done[leader])
        for name in NAMES:
            applied = [a.entry for a in self.done[name] if isinstance(a, actions.Apply)]
            kinds = [entry.kind for entry in applied]
            self.assertEqual(kinds, [entries.VOTERS, entries.NO_OP, entries.COMMAND])
            self.assertEqual(applied[-1].payload, b"x")


if __name__ == "__main__":
    unittest.main()
