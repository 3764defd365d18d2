"""Records of which software began a stream, and the versions of a service."""

import unittest

from packages.forwarding.tests import samples
from trestlestall.forwarding import origins, stream_records, version_history

V1, V2 = origins.Origin("engines", "v1"), origins.Origin("engines", "v2")
KEY = stream_records.compute_key("basu", "r-1")


class RecordsTest(unittest.TestCase):
    def setUp(self):
        self.records = stream_records.Records(limit=3)

    def test_a_record_ends_with_its_time_and_is_extended_by_a_later_report(self):
        self.records.record(KEY, V1, 10.0, 0.0)
        self.records.record(KEY, V1, 10.0, 8.0)
        self.assertEqual(self.records.find(KEY, 17.9), V1)
        self.assertIsNone(self.records.find(KEY, 18.0))

    def test_contradicting_reports_leave_nothing_known(self):
        for origin in (V1, V2, V1):
            self.records.record(KEY, origin, 10.0, 0.0)
        self.assertIsNone(self.records.find(KEY, 1.0))
        self.assertEqual(self.records.list_newest(9, 1.0), [])

    def test_the_oldest_records_are_dropped_first_and_counted(self):
        keys = [stream_records.compute_key("", str(number)) for number in range(5)]
        for key in keys:
            self.records.record(key, V1, 10.0, 0.0)
        found = [self.records.find(key, 1.0) for key in keys]
        self.assertEqual(found, [None, None, V1, V1, V1])
        self.assertEqual(self.records.dropped, 2)
        self.records.record(KEY, V1, 10.0, 20.0)
        self.assertEqual((len(self.records), self.records.dropped), (1, 2))

    def test_records_survive_their_message_and_others_are_left_out(self):
        self.records.record(KEY, V1, 10.0, 0.0)
        (row,) = self.records.list_newest(9, 4.0)
        wrong = [
            (KEY, "s", None, 1.0),
            (b"short", "s", "v", 1.0),
            (KEY, "s", "v", float("nan")),
            (KEY, "s", "v", -1.0),
            7,
        ]
        rows = list(stream_records.decode_rows([row, *wrong]))
        self.assertEqual(rows, [(KEY, V1, 6.0)])

    def test_keys_differ_by_workspace_and_don_t_run_together(self):
        named = [("a", "b"), ("c", "b"), ("ab", ""), ("", "ab"), ("a", "b" * 10**6)]
        keys = {stream_records.compute_key(*one) for one in named}
        self.assertEqual({len(key) for key in keys}, {stream_records.KEY_BYTES})
        self.assertEqual(len(keys), len(named))


class HistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = version_history.VersionHistory()

    def find(self, now, seconds=20.0):
        return self.history.find_sole("engines", seconds, now)

    def test_a_version_counts_for_as_long_as_a_stream_may_last(self):
        self.history.record([samples.make_row(version="v1")], 0.0)
        self.history.record([samples.make_row(version="v2")], 30.0)
        self.assertIsNone(self.find(20.0 + 30.0, seconds=60.0))
        self.assertEqual(self.find(45.0), "v2")

    def test_an_upstream_of_unknown_version_leaves_no_only_one(self):
        self.history.record([samples.make_row(version="v1")], 0.0)
        self.history.record([samples.make_row("u2")], 0.0)
        self.assertIsNone(self.find(1.0))

    def test_a_proposed_version_counts_but_must_not_serve_yet(self):
        self.history.record([samples.make_row(version="v1")], 0.0)
        self.history.record_proposed("engines", "v2", 0.0)
        self.assertIsNone(self.find(1.0))
        self.assertTrue(self.history.is_new(samples.make_row(version="v2")))
        self.assertFalse(self.history.is_new(samples.make_row(version="v1")))
