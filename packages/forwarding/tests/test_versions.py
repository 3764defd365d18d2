"""The software version of an incarnation, by what is announced of it."""

import unittest

from packages.forwarding.tests import samples
from trestlestall.forwarding import upstreams, versions


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = upstreams.Table()

    def find(self, identity="u1"):
        return self.table.rows[identity].version

    def test_a_version_that_comes_before_or_after_its_row_counts(self):
        self.table.merge_versions([("u1", "v1")])
        self.table.merge(samples.make_row(), 0.0)
        self.assertEqual(self.find(), "v1")
        self.table.merge(samples.make_row("u2"), 0.0)
        self.assertIsNone(self.find("u2"))
        (changed,) = self.table.merge_versions([("u2", "v2")])
        self.assertEqual((changed.identity, self.find("u2")), ("u2", "v2"))

    def test_a_row_without_a_version_takes_none_away(self):
        self.table.merge(samples.make_row(version="v1"), 0.0)
        drains = samples.make_row(sequence=2, state=upstreams.State.DRAINING)
        self.table.merge(drains, 0.0)
        self.assertEqual(self.find(), "v1")

    def test_two_versions_of_one_identity_are_unknown_for_good(self):
        """Guards against an upstream that starts again as another version."""
        self.table.merge(samples.make_row(sequence=9, version="v1"), 0.0)
        for sequence, version in ((1, "v2"), (10, "v1"), (11, "v2")):
            self.table.merge(samples.make_row(sequence=sequence, version=version), 1.0)
            self.assertIsNone(self.find())

    def test_another_incarnation_has_a_version_of_its_own(self):
        for born, version in ((1000, "v1"), (2000, "v2")):
            identity = upstreams.format_identity("u1", born)
            row = samples.make_row(identity, name="u1", born=born, version=version)
            self.table.merge(row, 0.0)
        self.assertEqual(self.find("u1@2000"), "v2")

    def test_versions_without_rows_are_bounded(self):
        known = versions.Versions()
        for number in range(versions.VERSIONS_LIMIT + 5):
            known.record(f"u{number}", "v1")
        self.assertIsNone(known.record("u4", None))
        self.assertEqual(known.record("u5", None), "v1")
