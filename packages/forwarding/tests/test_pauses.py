"""What reading beside a stream does to its pauses, and how that is learned."""

import unittest

from packages.forwarding.tests import samples
from trestlestall.forwarding import engines, pauses

TIGHT, LOOSE = 0.15, 0.6


class LatenessTest(unittest.TestCase):
    def test_reading_shorter_than_the_target_makes_nobody_late(self):
        self.assertEqual(pauses.Pauses().find_lateness(TIGHT, TIGHT), 0.0)

    def test_more_reading_is_never_safer(self):
        known = pauses.Pauses()
        found = [known.find_lateness(TIGHT, tenth / 10) for tenth in range(20)]
        self.assertEqual(found, sorted(found))
        self.assertGreater(found[-1], 0.5)

    def test_what_reading_never_does_is_no_risk(self):
        self.assertEqual(pauses.Pauses().find_lateness(LOOSE, 100.0), 0.0)
        self.assertEqual(pauses.Pauses().find_lateness(None, 100.0), 0.0)

    def test_an_upstream_with_longer_pauses_is_found_out(self):
        known = pauses.Pauses()
        for _ in range(60):
            known.learn(0.7, 5.0)
        self.assertGreater(known.find_lateness(LOOSE, 5.0), 0.5)

    def test_little_reading_teaches_nothing(self):
        known = pauses.Pauses()
        known.learn(0.01, 0.1)
        self.assertEqual(known.longest, pauses.FIRST_LONGEST)


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        self.upstream = engines.Upstream("u1", 48, 0)

    def begin(self, request_id, now, **changes):
        descriptor = samples.make_descriptor(request_id, **changes)
        unread = descriptor.tokens_in
        self.upstream.begin(engines.Task(descriptor, "u1", unread, now, 0.1), now)

    def test_a_second_long_prompt_harms_less_than_the_first(self):
        for number in range(5):
            self.begin(f"r{number}", 0.0, tokens=1)
        first = self.upstream.find_pause_risk(LOOSE, 0.0, 1.0)
        second = self.upstream.find_pause_risk(LOOSE, 1.0, 1.0)
        self.assertGreater(first, 2.0)
        self.assertEqual(second, 0.0)

    def test_streams_that_ended_are_no_longer_harmed(self):
        self.begin("r1", 0.0, tokens=1)
        self.upstream.end("r1", 1.0)
        self.assertEqual(self.upstream.find_pause_risk(LOOSE, 0.0, 9.0), 0.0)

    def test_streams_beside_long_reading_teach(self):
        self.begin("r1", 0.0, tokens=1)
        self.upstream.note_first("r1", 0.01)
        self.begin("long", 0.01, tokens=60_000, tier=3)
        self.upstream.end("r1", 2.0, 0.25)
        self.assertGreater(self.upstream.pauses.longest, pauses.FIRST_LONGEST)

    def test_streams_on_their_own_teach_nothing(self):
        self.begin("r1", 0.0, tokens=1)
        self.upstream.note_first("r1", 0.01)
        self.upstream.end("r1", 2.0, 0.25)
        self.assertEqual(self.upstream.pauses.longest, pauses.FIRST_LONGEST)
