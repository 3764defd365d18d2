"""Advertised limits: what may be sent, and when a limit ends."""

import random
import unittest

from trestlestall.forwarding import rate_limits

LIMIT = 1.5
#: The promise for four seconds: at most one and a half times the limit, plus five.
SPAN_SECONDS, FACTOR, EXTRA = 4.0, 1.5, 5


def make(limit=LIMIT, now=0.0, **changes):
    """Return the limits of one upstream that has just advertised one."""
    made = rate_limits.RateLimits(**changes)
    made.record_limit("u1", limit, now, now)
    return made


def make_stalled(seconds):
    """Return the limits of a process that was held up from 1 s on, as of its end."""
    stalled = [0.0]
    limits = make(read_stalled=lambda: stalled[0])
    limits.list_exhausted(1.0)
    stalled[0] = seconds
    limits.list_exhausted(1.0 + seconds)
    return limits


def send(limits, demand, seconds, now=0.0):
    """Return when requests are sent, with ``demand`` requests a second."""
    sent = []
    for step in range(int(demand * seconds)):
        at = now + step / demand
        if "u1" not in limits.list_exhausted(at):
            limits.consume("u1", at)
            sent.append(at)
    return sent


def find_most(sent):
    """Return the largest number of requests in a span."""
    spans = (sum(at <= one < at + SPAN_SECONDS for one in sent) for at in sent)
    return max(spans, default=0)


class RateTest(unittest.TestCase):
    def test_the_limit_is_used_and_not_exceeded(self):
        for limit in (0.3, 1.1, LIMIT, 7.0, 40.0):
            with self.subTest(limit):
                sent = send(make(limit), 200, 20.0)
                self.assertLessEqual(
                    find_most(sent), FACTOR * limit * SPAN_SECONDS + EXTRA
                )
                self.assertGreaterEqual(len(sent), 0.9 * (20.0 * limit - 1))

    def test_a_limit_of_zero_is_probed(self):
        sent = send(make(0.0), 20, 21.0)
        self.assertEqual(len(sent), 4)
        self.assertLessEqual(find_most(sent), EXTRA)

    def test_idle_time_saves_up_no_more_than_a_burst(self):
        for limit, most in ((LIMIT, 1), (7.0, 7)):
            limits = make(limit)
            self.assertEqual(len(send(limits, 200, 0.1, now=1000.0)), most)

    def test_uneven_requests_below_the_limit_are_rarely_rejected(self):
        drawn = random.Random(1)
        limits, now, sent, asked = make(5.0), 0.0, 0, 0
        while now < 400.0:
            now += drawn.expovariate(0.9 * 5.0)
            asked += 1
            if "u1" not in limits.list_exhausted(now):
                limits.consume("u1", now)
                sent += 1
        self.assertGreater(sent / asked, 0.9)

    def test_requests_placed_by_others_count(self):
        limits = make()
        for _ in range(4):
            limits.consume("u1", 1.0)
        self.assertGreater(limits.find_wait("u1", 1.0), 1.0 / LIMIT)

    def test_requests_that_others_placed_during_a_stall_count_against_its_refill(self):
        """Guards against an upstream left idle after a stall of the process."""
        limits = make_stalled(4.0)
        for _ in range(6):
            limits.consume_remote("u1", 5.0)
        self.assertEqual(limits.list_exhausted(5.0), [])
        for _ in range(2):
            limits.consume_remote("u1", 5.0)
        self.assertGreater(limits.find_wait("u1", 5.0), 0.0, "more than allowed")

    def test_a_stall_saves_up_no_more_than_a_burst(self):
        self.assertEqual(len(send(make_stalled(4.0), 200, 0.1, now=5.0)), 1)

    def test_requests_that_are_reported_later_were_not_sent_during_the_stall(self):
        limits = make_stalled(4.0)
        reported_at = 5.0 + rate_limits.CATCH_UP_SECONDS + 0.1
        for _ in range(3):
            limits.consume_remote("u1", reported_at)
        self.assertGreater(limits.find_wait("u1", reported_at), 1.0 / LIMIT)

    def test_two_placers_that_share_counts_keep_the_limit(self):
        drawn = random.Random(1)
        first, second = make(), make()
        sent = []
        for step in range(4000):
            at = step / 200
            own, other = drawn.sample((first, second), 2)
            if "u1" not in own.list_exhausted(at):
                own.consume("u1", at)
                other.consume("u1", at)
                sent.append(at)
        allowed = FACTOR * LIMIT * SPAN_SECONDS + EXTRA
        self.assertLessEqual(find_most(sent), allowed)

    def test_successors_without_the_count_keep_the_limit(self):
        sent = []
        for number in range(10):
            now = number * 2.0
            sent += send(make(now=now), 200, 2.0, now)
        self.assertLessEqual(find_most(sent), FACTOR * LIMIT * SPAN_SECONDS + EXTRA)

    def test_without_a_share_only_probes_are_sent(self):
        sent = send(make(30.0, share=0.0), 20, 21.0)
        self.assertEqual(len(sent), 4)


class RecordTest(unittest.TestCase):
    def test_messages_in_any_order_give_the_same_limit(self):
        messages = [("stated", 1.0, 1.0), ("stated", 4.0, 2.0), ("unstated", 3.0, None)]
        messages += [("unstated", 4.2, None), ("unstated", 4.6, None)]
        for count, limit in ((3, 2.0), (4, 2.0), (5, None)):
            for seed in range(20):
                limits = rate_limits.RateLimits()
                ordered = messages[:count]
                random.Random(seed).shuffle(ordered)
                # The end of a limit has an effect only where a limit is known.
                ordered.sort(key=lambda word: word[0] == "unstated")
                for kind, at, value in ordered:
                    if kind == "stated":
                        limits.record_limit("u1", value, at, 10.0)
                    else:
                        limits.record_no_limit("u1", at)
                self.assertEqual(limits.find_limit("u1"), limit)

    def test_a_late_advertisement_of_an_ended_limit_changes_nothing(self):
        limits = make(now=1.0)
        limits.record_no_limit("u1", 4.0)
        limits.record_limit("u1", 9.0, 3.0, 5.0)
        self.assertIsNone(limits.find_limit("u1"))
        limits.record_limit("u1", 9.0, 4.0, 5.0)
        self.assertEqual(limits.find_limit("u1"), 9.0)

    def test_only_changes_are_reported(self):
        limits = rate_limits.RateLimits()
        self.assertTrue(limits.record_limit("u1", 1.0, 1.0, 1.0))
        self.assertFalse(limits.record_limit("u1", 1.0, 2.0, 2.0))
        self.assertTrue(limits.record_limit("u1", 3.0, 3.0, 3.0))
        self.assertFalse(limits.record_limit("u1", 9.0, 0.5, 3.0), "an old one")
        self.assertFalse(limits.record_no_limit("u1", 3.1))
        self.assertTrue(limits.record_no_limit("u1", 4.0))
        self.assertFalse(limits.record_no_limit("u1", 5.0))
        self.assertFalse(limits.record_no_limit("u2", 5.0))

    def test_the_capacity_is_bounded(self):
        limits = rate_limits.RateLimits()
        for number in range(rate_limits.LIMITS_KEPT + 10):
            limits.record_limit(f"u{number}", 1.0, number, number)
        self.assertEqual(len(limits.list_limited()), rate_limits.LIMITS_KEPT)
        self.assertIsNone(limits.find_limit("u0"))

    def test_advertisements_are_listed_with_their_age(self):
        self.assertEqual(make(now=3.0).list_advertised(5.0), [("u1", LIMIT, 2.0)])


class RetryAfterTest(unittest.TestCase):
    def test_retries_are_spread_after_the_shortest_wait(self):
        found = [
            rate_limits.compute_retry_after((3.0, 2.0), jitter)
            for jitter in (0, 0.5, 1)
        ]
        self.assertEqual(found, [2.0, 3.0, 4.0])
        self.assertEqual(rate_limits.compute_retry_after((0.1,), 1.0), 0.6)


if __name__ == "__main__":
    unittest.main()
