"""How much an upstream that survives few rejections is given."""

import unittest

from trestlestall.forwarding import brittleness

SLOTS = 8


class RoomTest(unittest.TestCase):
    def setUp(self):
        self.known = brittleness.Brittleness()
        self.now = 100.0

    def is_full(self, requests, identity="u1", others=()):
        """Return whether an upstream that holds so many requests gets no other."""
        load = {one: brittleness.Load(0, SLOTS) for one in ("u1", *others)}
        load[identity] = brittleness.Load(requests, SLOTS)
        return identity in self.known.list_full("work", load, self.now)

    def test_others_are_not_limited(self):
        self.assertFalse(self.is_full(1000))

    def test_all_of_a_service_get_what_runs_at_once_if_one_is_brittle(self):
        self.known.record_brittle("u2", 4.0, self.now)
        self.assertFalse(self.is_full(SLOTS - 1, others=("u2",)))
        self.assertTrue(self.is_full(SLOTS, others=("u2",)))

    def test_the_room_is_below_what_was_rejected_and_grows_again(self):
        self.known.record_brittle("u1", 100.0, self.now)
        self.known.record_rejection("u1", 4, self.now)
        self.assertTrue(self.is_full(3))
        self.assertFalse(self.is_full(2))
        self.now += 20.0
        self.assertFalse(self.is_full(SLOTS - 1))
        self.assertTrue(self.is_full(SLOTS))

    def test_nothing_is_sent_until_the_rejections_are_forgiven(self):
        self.known.record_brittle("u1", 4.0, self.now)
        for _ in range(2):
            self.known.record_rejection("u1", SLOTS, self.now)
        self.assertTrue(self.is_full(0))
        self.now += brittleness.WINDOW_SECONDS
        self.assertFalse(self.is_full(0))

    def test_one_that_starts_again_is_not_rushed(self):
        self.known.record_brittle("u1", 4.0, self.now)
        self.is_full(0)
        self.assertTrue(self.is_full(SLOTS // 2, "u3", ("u3",)))
        self.assertFalse(self.is_full(1, "u3", ("u3",)))

    def test_an_answer_that_says_it_no_more_ends_it_unless_it_is_older(self):
        self.known.record_brittle("u1", 4.0, self.now)
        self.assertFalse(self.known.record_sturdy("u1", self.now - 1.0))
        self.assertTrue(self.known.is_brittle("u1"))
        self.assertTrue(self.known.record_sturdy("u1", self.now + 1.0))
        self.assertFalse(self.is_full(1000))

    def test_one_that_survives_no_rejection_still_gets_requests(self):
        self.known.record_brittle("u1", 0.0, self.now)
        self.assertFalse(self.is_full(0))
