"""Which links are checked, how upstreams are reached, and which peers are named."""

import random
import unittest

from trestlestall.forwarding import peer_choice, reach, silence


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.silence = silence.Silence()

    def test_a_silent_upstream_is_checked_after_its_expected_time(self):
        self.silence.begin("u1", 0.0, 0.5)
        self.assertEqual(self.silence.list_suspects(0.7), [])
        self.assertEqual(self.silence.list_suspects(0.9), ["u1"])

    def test_one_that_was_heard_from_is_checked_after_a_pause(self):
        exchange = self.silence.begin("u1", 0.0, 0.5)
        self.silence.record_heard(exchange, 0.2)
        self.assertEqual(self.silence.list_suspects(0.4), [])
        self.assertEqual(self.silence.list_suspects(0.6), ["u1"])

    def test_a_check_is_not_repeated_at_once(self):
        self.silence.begin("u1", 0.0, 0.0)
        self.assertEqual(self.silence.list_suspects(1.0), ["u1"])
        self.silence.record_check("u1", 1.0)
        self.assertEqual(self.silence.list_suspects(1.5), [])
        self.assertEqual(self.silence.list_suspects(2.1), ["u1"])

    def test_two_are_checked_early_if_nothing_is_heard_from_any(self):
        for number in range(4):
            self.silence.begin(f"u{number}", 0.1 * number, 1.0)
        self.assertEqual(self.silence.list_suspects(0.35), [])
        self.assertEqual(self.silence.list_suspects(0.45), ["u0", "u1"])

    def test_an_ended_exchange_is_not_awaited(self):
        self.silence.end(self.silence.begin("u1", 0.0, 0.0))
        self.assertEqual(self.silence.list_suspects(5.0), [])

    def test_one_loss_has_few_others_checked_and_two_have_all(self):
        known = [f"u{number}" for number in range(9)]
        heard = self.silence.begin("u8", 0.0, 0.0)
        self.silence.record_heard(heard, 5.0)
        related = self.silence.list_related({"u0": 5.0}, known, 5.05)
        self.assertEqual(len(related), silence.SAMPLE_SIZE)
        losses = {"u0": 5.0, "u1": 5.02}
        related = self.silence.list_related(losses, known, 5.05)
        self.assertEqual(related, known[2:8])


class ReachTest(unittest.TestCase):
    def setUp(self):
        self.reach = reach.Reach()

    def test_a_lost_upstream_is_reached_through_a_peer_until_it_is_steady(self):
        self.assertTrue(self.reach.record_loss("u1", 0.0, True))
        self.assertEqual(self.reach.unreachable, {"u1"})
        self.assertTrue(self.reach.record_peer("u1", True, 0.1))
        self.assertEqual(self.reach.find_way("u1"), reach.Way.PEER)
        self.assertEqual(self.reach.unreachable, frozenset())
        self.assertFalse(self.reach.record_connected("u1"))
        self.reach.record_loss("u1", 0.3, True)
        self.assertFalse(self.reach.record_connected("u1"))
        self.assertTrue(self.reach.record_connected("u1"))
        self.assertEqual(self.reach.find_way("u1"), reach.Way.DIRECT)

    def test_without_a_peer_one_connection_is_enough(self):
        self.reach.record_loss("u1", 0.0, True)
        self.assertTrue(self.reach.record_connected("u1"))

    def test_a_peer_for_an_upstream_that_is_not_lost_changes_nothing(self):
        self.assertFalse(self.reach.record_peer("u1", True, 0.0))

    def test_most_upstreams_are_a_partition(self):
        for identity in ("u1", "u2"):
            self.reach.record_loss(identity, 0.0, False)
        self.assertTrue(self.reach.is_partition(["u1", "u2", "u3"]))
        self.assertFalse(self.reach.is_partition(["u1", "u2", "u3", "u4"]))


class PeerChoiceTest(unittest.TestCase):
    def make_offers(self, count, data_centres="a", lost=()):
        return [
            peer_choice.Offer(
                f"g{number}",
                f"10.0.0.{number}:1",
                data_centres[number % len(data_centres)],
                frozenset(lost if number % 2 else ()),
            )
            for number in range(count)
        ]

    def test_those_come_first_that_reach_what_was_lost(self):
        offers = self.make_offers(8, lost=("u1",))
        named = peer_choice.choose(offers, "g0", "a", frozenset(("u1",)))
        self.assertEqual({int(one.name[1:]) % 2 for one in named[:3]}, {0})

    def test_a_gateway_is_not_its_own_peer(self):
        named = peer_choice.choose(self.make_offers(2), "g0", "a", frozenset())
        self.assertEqual([one.name for one in named], ["g1"])

    def test_one_is_in_another_data_centre(self):
        offers = self.make_offers(40, "ab")
        named = peer_choice.choose(offers, "g0", "a", frozenset())
        places = [one.data_centre for one in named]
        self.assertEqual(places, ["a", "a", "a", "b"])

    def test_peers_are_spread_over_those_that_reach(self):
        offers = self.make_offers(60)
        seed = random.Random(1)
        named = [
            one.name
            for asker in seed.sample(range(1000), 200)
            for one in peer_choice.choose(offers, f"x{asker}", "a", frozenset())
        ]
        most = max(named.count(name) for name in set(named))
        self.assertLess(most, 3 * len(named) / len(offers))
