"""The choice of an upstream: cached prompts, tight pauses, free slots, failures."""

import unittest

from packages.forwarding.tests import samples
from trestlestall.forwarding import descriptors, placement, upstreams

LONG = {"tokens": 20_000, "first_seconds": 2.0, "pause_seconds": 0.6}


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.placer = placement.Placer()
        self.set_rows("u1", "u2", "u3")

    def set_rows(self, *identities, **changes):
        rows = [samples.make_row(identity, **changes) for identity in identities]
        configuration = samples.make_configuration()
        self.placer.set_upstreams(rows, configuration, 0.0)

    def place(self, request_id, now=0.0, tried=(), **changes):
        descriptor = samples.make_descriptor(request_id, **changes)
        found = self.placer.place(descriptor, now, tried)
        self.assertIsInstance(found, placement.Placed)
        return found.row.identity

    def test_nothing_to_choose(self):
        found = self.placer.place(samples.make_descriptor(service="other"), 0.0)
        self.assertIsInstance(found, placement.Refused)
        self.assertGreater(found.return_seconds, 0)

    def test_tried_upstreams_are_excluded(self):
        self.assertEqual(self.place("r1", tried=("u1", "u3")), "u2")

    def test_draining_upstreams_get_nothing_new(self):
        self.set_rows("u1", state=upstreams.State.DRAINING)
        found = self.placer.place(samples.make_descriptor(), 0.0)
        self.assertIsInstance(found, placement.Refused)

    def test_a_stream_avoids_the_last_upstream_of_its_version_where_costs_are_equal(
        self,
    ):
        """Guards against a stream that nobody can go on with."""
        rows = [
            samples.make_row(f"u{number}", version="v2" if number == 2 else "v1")
            for number in range(1, 4)
        ]
        self.placer.set_upstreams(rows, samples.make_configuration(), 0.0)
        found = set()
        for number in range(20):
            found.add(self.place(f"r{number}", may_repeat=True))
            self.placer.end(f"r{number}", 0.0)
        self.assertEqual(found, {"u1", "u3"})
        self.assertEqual(self.place("r", tried=("u1", "u3"), may_repeat=True), "u2")

    def test_equal_prefixes_go_where_they_are_cached(self):
        parts = (("shared", 5000), ("own-1", 10))
        first = self.place("r1", tokens=5010, parts=parts)
        self.placer.record_first_event("r1", 0.2)
        parts = (("shared", 5000), ("own-2", 10))
        self.assertEqual(self.place("r2", 0.3, tokens=5010, parts=parts), first)

    def test_a_block_counts_only_after_all_preceding_blocks(self):
        engine = self.placer.engines["u1"]
        cached = samples.make_descriptor(tokens=30, parts=(("a", 10), ("b", 20)))
        engine.prefix_cache.add_blocks(cached, engine.memory_tokens)
        other = samples.make_descriptor(tokens=30, parts=(("x", 10), ("b", 20)))
        self.assertEqual(engine.count_uncached(cached), 0)
        self.assertEqual(engine.count_uncached(other), 30)

    def test_streams_with_tight_pauses_stay_away_from_long_prompts(self):
        busy = self.place("long", **LONG)
        for number in range(10):
            self.assertNotEqual(self.place(f"r{number}"), busy)

    def test_long_prompts_stay_away_from_tight_pauses(self):
        self.set_rows("u1", "u2")
        tight = self.place("r1")
        self.placer.record_first_event("r1", 0.1)
        self.assertNotEqual(self.place("long", 0.2, **LONG), tight)

    def test_free_slots_go_first(self):
        taken = [self.place(f"r{number}", tokens=1) for number in range(24)]
        for identity in ("u1", "u2", "u3"):
            self.assertEqual(taken.count(identity), 8)

    def test_ended_requests_free_their_slots(self):
        for number in range(24):
            self.place(f"r{number}")
        for number in range(24):
            self.placer.end(f"r{number}", 1.0)
        self.assertEqual(self.placer.count_slots("engines"), (0, 24))
        self.assertEqual(self.placer.engines["u1"].find_backlog(1.0), 0.0)

    def test_failures_divert_requests_of_the_affected_data_centre(self):
        for _ in range(10):
            for identity in ("u1", "u2"):
                self.placer.record_outcome(identity, "a", True)
        self.assertEqual(self.place("r1"), "u3")
        elsewhere = {self.place(f"b{number}", data_centre="b") for number in range(12)}
        self.assertEqual(elsewhere, {"u1", "u2", "u3"})

    def test_requests_stay_in_their_data_centre_where_all_else_is_equal(self):
        rows = [
            samples.make_row(f"u{number}", data_centre=name)
            for number, name in enumerate("abc")
        ]
        self.placer.set_upstreams(rows, samples.make_configuration(), 0.0)
        for number, name in enumerate("abc" * 3):
            at = self.place(f"r{number}", tokens=1, data_centre=name)
            self.assertEqual(self.placer.rows[at].data_centre, name)

    def test_requests_leave_their_data_centre_rather_than_wait(self):
        rows = [
            samples.make_row("u1", data_centre="a"),
            samples.make_row("u2", data_centre="b"),
        ]
        self.placer.set_upstreams(rows, samples.make_configuration(), 0.0)
        taken = {self.place(f"r{number}", tokens=10_000) for number in range(2)}
        self.assertEqual(taken, {"u1", "u2"})

    def test_requests_that_must_not_rerun_avoid_failing_upstreams(self):
        self.set_rows("u1", "u2")
        self.placer.record_outcome("u1", "a", True)
        self.placer.record_outcome("u1", "a", True)
        for number in range(3):
            name = self.place(f"once-{number}", tokens=1, may_repeat=False)
            self.assertEqual(name, "u2")
        taken = {
            self.place(f"again-{number}", tokens=1, may_repeat=True)
            for number in range(6)
        }
        self.assertEqual(taken, {"u1", "u2"})

    def test_a_stalled_upstream_is_avoided(self):
        first = self.place("r1", 0.0)
        others = {self.place(f"b{number}", 1.0) for number in range(10)}
        self.assertNotIn(first, others)
        self.placer.record_first_event("r1", 1.1)
        later = {self.place(f"c{number}", 1.2, tokens=1) for number in range(10)}
        self.assertIn(first, later)

    def test_unreachable_upstreams_are_excluded_until_they_are_back(self):
        for identity in ("u1", "u2"):
            self.placer.set_reachable(identity, False)
        self.assertEqual(self.place("r1"), "u3")
        found = self.placer.place(samples.make_descriptor("r2"), 0.0, ("u3",))
        self.assertIsInstance(found, placement.Refused)
        self.placer.set_reachable("u1", True)
        self.assertEqual(self.place("r2", tried=("u3",)), "u1")

    def test_prefill_rates_are_learned(self):
        engine = self.placer.engines["u1"]
        before = engine.prefill_rate
        for number in range(20):
            name = f"r{number}"
            found = self.placer.adopt(
                samples.make_descriptor(name, tokens=10_000), "u1", float(number)
            )
            self.placer.record_first_event(name, number + 4 * found.predicted)
            self.placer.end(name, number + 5 * found.predicted)
        self.assertLess(engine.prefill_rate, before / 2)

    def test_a_request_that_waited_elsewhere_shows_no_speed(self):
        # After each takeover, engines seemed to prefill as slowly as requests are old.
        engine = self.placer.engines["u1"]
        before = engine.prefill_rate
        for number in range(20):
            name = f"r{number}"
            request = samples.make_descriptor(name, tokens=10_000)
            self.placer.adopt(request, "u1", float(number), age=3.0)
            self.placer.record_first_event(name, number + 0.001)
            self.placer.end(name, number + 0.5, pause=2.0)
        self.assertEqual(engine.prefill_rate, before)


class DescriptorTest(unittest.TestCase):
    def test_descriptors_survive_encoding(self):
        found = samples.make_descriptor(parts=(("a", 1), ("b", 2)), length_hint=7)
        plain = descriptors.encode(found)
        self.assertEqual(descriptors.decode(plain), found)
        with self.assertRaises(ValueError):
            descriptors.decode(plain + [1, 2])

    def test_expected_length(self):
        self.assertEqual(samples.make_descriptor().expected_tokens_out, 50)
        hinted = samples.make_descriptor(length_hint=20)
        self.assertEqual(hinted.expected_tokens_out, 20)
        self.assertEqual(
            samples.make_descriptor(length_hint=90).expected_tokens_out, 50
        )
