"""Log lines on elections that find no quorum."""

import unittest

from trestlestall.agreement import actions
from trestlestall.daemon.control import reports

VOTERS = ("a#1", "b#1", "c#1", "d#1")


class Lines:
    """A log that keeps the fields of its lines."""

    def __init__(self):
        self.fields = []

    def write(self, event, **fields):
        self.fields.append(fields)


class UndecidedElectionsTest(unittest.TestCase):
    def test_hours_without_a_quorum_write_few_lines(self):
        lines = Lines()
        undecided = reports.UndecidedElections(lines)
        same = actions.ElectionUndecided(2, ("c#1", "d#1"), (), (), (VOTERS,))
        for _ in range(10_000):
            undecided.record(same)
        self.assertEqual(len(lines.fields), 14)
        self.assertEqual(lines.fields[-1]["elections"], 8192)

    def test_another_outcome_is_logged_at_once(self):
        lines = Lines()
        undecided = reports.UndecidedElections(lines)
        for granted in (("c#1",), ("c#1",), ("c#1",), ("c#1", "d#1")):
            undecided.record(actions.ElectionUndecided(2, granted, (), (), (VOTERS,)))
        self.assertEqual([line["elections"] for line in lines.fields], [1, 2, 1])
        self.assertEqual(lines.fields[-1]["granted"], ["c#1", "d#1"])
